// A monotonic clock that, unlike the steady clock, also counts the time for
// which the machine was suspended. Used for ages that must not exceed a bound.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace pimento {

struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) +
                      std::chrono::nanoseconds(now.tv_nsec));
  }
};

// Milliseconds of the boot clock.
inline int64_t BootMs(BootClock::time_point at = BootClock::now()) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             at.time_since_epoch())
      .count();
}

// Milliseconds of the steady clock.
inline int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace pimento
