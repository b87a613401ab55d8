// Outage detection with the store unreachable for all hosts, or only for some.
#include "src/store_outage.h"

#include <doctest/doctest.h>

namespace {

using namespace pimento;

StoreOutage NineHosts(int lost, int reaching, int64_t now_ms) {
  StoreOutage outage({});
  for (int i = 0; i < lost; ++i)
    outage.AddReport("lost" + std::to_string(i), 3'000, now_ms);
  for (int i = 0; i < reaching; ++i)
    outage.AddReport("reaching" + std::to_string(i), 200, now_ms);
  return outage;
}

}  // namespace

TEST_CASE("an outage is confirmed by nearly all hosts, and by no fewer") {
  CHECK(NineHosts(9, 0, 0).DurationMs(9, 0));
  CHECK(NineHosts(7, 0, 0).DurationMs(9, 0));
  // The other three are a zone that is cut off and may still reach the store.
  CHECK_FALSE(NineHosts(6, 0, 0).DurationMs(9, 0));
  CHECK_FALSE(NineHosts(1, 0, 0).DurationMs(1, 0));
}

TEST_CASE("one host that reaches the store ends the outage for all") {
  CHECK_FALSE(NineHosts(8, 1, 0).DurationMs(9, 0));
  auto outage = NineHosts(9, 0, 0);
  outage.AddReport("lost3", 40, 100);
  CHECK_FALSE(outage.DurationMs(9, 100));
}

TEST_CASE("an expired or late report does not confirm an outage") {
  auto outage = NineHosts(9, 0, 1'000);
  CHECK(outage.DurationMs(9, 1'800));
  CHECK_FALSE(outage.DurationMs(9, 2'000));
  outage.AddReport("lost0", 40, 1'500);
  outage.AddReport("lost0", 3'000, 1'200);
  CHECK_FALSE(outage.DurationMs(9, 1'600));
}

// Guards against hosts that lost the store long before the others making an
// outage seem longer, so that what had expired is used again.
TEST_CASE("an outage lasts as long as nearly all hosts have lost the store") {
  StoreOutage outage({});
  for (int i = 0; i < 2; ++i)
    outage.AddReport("cut" + std::to_string(i), 20'000, 0);
  for (int i = 0; i < 7; ++i)
    outage.AddReport("lost" + std::to_string(i), 1'000, 0);
  CHECK(outage.DurationMs(9, 0) == 1'000);
  CHECK(outage.DurationMs(9, 400) == 1'400);
  // Two that have just started do not make it shorter.
  outage = NineHosts(7, 0, 0);
  for (int i = 0; i < 2; ++i)
    outage.AddReport("new" + std::to_string(i), 600, 0);
  CHECK(outage.DurationMs(9, 0) == 3'000);
}
