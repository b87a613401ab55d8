// Detection on simulated hosts that become slow, are busy for a moment, or are
// suspended.
#include "src/overload_detector.h"

#include <doctest/doctest.h>

namespace {

using namespace pimento;

// Feeds one sample every 50 ms for `for_ms`. Returns the time at which the host
// became overloaded, or -1.
int64_t Feed(OverloadDetector& detector, int64_t& now_ms, int64_t for_ms,
             double late_ms) {
  int64_t found = -1;
  for (const int64_t end = now_ms + for_ms; now_ms < end; now_ms += 50) {
    detector.Observe(late_ms, now_ms);
    if (found < 0 && detector.overloaded()) found = now_ms;
  }
  return found;
}

}  // namespace

TEST_CASE("a host whose timers stay late is overloaded within half a second") {
  OverloadDetector detector({});
  int64_t now = 0;
  CHECK(Feed(detector, now, 5'000, 1) == -1);
  const int64_t found = Feed(detector, now, 3'000, 40);
  CHECK(found >= 5'000);
  CHECK(found <= 5'500);
  Feed(detector, now, 2'000, 1);
  CHECK(detector.overloaded());
  Feed(detector, now, 5'000, 1);
  CHECK_FALSE(detector.overloaded());
}

TEST_CASE("one long pause is not overload") {
  OverloadDetector detector({.enter_threshold_ms = 20});
  int64_t now = 0;
  Feed(detector, now, 1'000, 1);
  detector.Observe(8'000, now);
  CHECK_FALSE(detector.overloaded());
}

TEST_CASE("overloaded hosts are excluded only if others can take their load") {
  CHECK(MayExcludeOverloaded(1, 6));
  CHECK(MayExcludeOverloaded(2, 6));
  CHECK_FALSE(MayExcludeOverloaded(3, 6));
  CHECK_FALSE(MayExcludeOverloaded(1, 2));
  CHECK_FALSE(MayExcludeOverloaded(0, 6));
}
