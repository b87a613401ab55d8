#include "src/held_port.h"

#include <chrono>
#include <thread>

#include "src/errors.h"
#include "src/event_log.h"
#include "src/stop_signals.h"

namespace pimento {
namespace {

using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longer than a process that was told to stop takes to end.
constexpr milliseconds kHeldPortLimit{10'000};
constexpr milliseconds kHeldPortPause{100};

// Whether `error` passes when another process ends or an address is set up.
bool MayPass(const error_code& error) {
  return error == boost::system::errc::address_in_use ||
         error == boost::system::errc::address_not_available;
}

}  // namespace

void BindWhenFree(const std::string& address,
                  const std::function<error_code()>& bind) {
  const auto began = steady_clock::now();
  bool logged = false;
  for (;;) {
    const error_code error = bind();
    const auto took = duration_cast<milliseconds>(steady_clock::now() - began);
    const bool gives_up = error && (!MayPass(error) || took >= kHeldPortLimit);
    if (gives_up) {
      throw TransportError("Cannot listen on " + address + ": " +
                               error.message() + ", after " +
                               std::to_string(took.count()) + " ms of trying.",
                           false);
    }
    if (!error) {
      if (logged) {
        EventLine(Event::kPortHeld)
            .Text("address", address)
            .Text("outcome", "free")
            .Number("took_ms", took.count());
      }
      return;
    }
    if (!logged) {
      EventLine(Event::kPortHeld)
          .Text("address", address)
          .Text("outcome", "waiting")
          .Text("error", error.message());
    }
    logged = true;
    ThrowIfStopRequested();
    std::this_thread::sleep_for(kHeldPortPause);
  }
}

}  // namespace pimento
