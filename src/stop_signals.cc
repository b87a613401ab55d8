#include "src/stop_signals.h"

#include <signal.h>

#include <ctime>

#include "src/event_log.h"

namespace pimento {
namespace {

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

}  // namespace

std::string StopSignalName(int number) {
  switch (number) {
    case SIGTERM:
      return "SIGTERM";
    case SIGINT:
      return "SIGINT";
    case SIGHUP:
      return "SIGHUP";
    default:
      return std::to_string(number);
  }
}

void HoldStopSignals() {
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void ReleaseStopSignals() {
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

void ThrowIfStopRequested() {
  sigset_t held;
  sigset_t pending;
  // Signals that are not held go to their handlers, also while this asks.
  pthread_sigmask(SIG_BLOCK, nullptr, &held);
  sigpending(&pending);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    const bool is_held =
        sigismember(&held, number) == 1 && sigismember(&pending, number) == 1;
    if (!is_held) continue;
    sigset_t one;
    sigemptyset(&one);
    sigaddset(&one, number);
    const timespec at_once = {};
    if (sigtimedwait(&one, nullptr, &at_once) != number) continue;
    if (number != SIGHUP) throw StopRequested(StopSignalName(number));
    EventLine(Event::kReloaded).Text("signal", "SIGHUP");
  }
}

}  // namespace pimento
