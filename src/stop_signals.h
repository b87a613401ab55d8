// Signals that stop or reload the process, from the first line of its main
// function on. They are held until the event loop runs, so that none ends the
// process by its default action; a start that takes long asks in between.
#pragma once

#include <stdexcept>
#include <string>

namespace pimento {

// A signal told the process to stop while it still starts. what() is the
// signal's name.
class StopRequested : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The name of a signal of this module, such as "SIGTERM".
std::string StopSignalName(int number);

// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in all that it starts.
void HoldStopSignals();
// Delivers what was held to the handlers, which must be installed by now.
void ReleaseStopSignals();
// Throws StopRequested when a SIGTERM or SIGINT is held. A held SIGHUP is
// logged, as it is while the loop runs.
void ThrowIfStopRequested();

}  // namespace pimento
