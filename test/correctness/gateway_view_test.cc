// What a gateway takes the others for, from how long ago it heard them.
#include <doctest/doctest.h>

#include "src/gateway_peers.h"

namespace pimento {

// With 79 gateways each tells its gossip every 650 ms; counted by the time that
// suits six, each of them was new with each of its gossip.
TEST_CASE("news that come seldom do not make their sender new each time") {
  GatewayView view(450);
  view.set_silent_after_ms(2'600);
  GatewayGossip gossip{.host = "a1", .boot = 1};
  int seen_anew = 0;
  for (int64_t now_ms = 0; now_ms < 20'000; now_ms += 650) {
    ++gossip.sequence;
    seen_anew += view.IsSilent("a1", now_ms) ? 1 : 0;
    view.ApplyGossip(gossip, now_ms);
    CHECK_FALSE(view.IsSilent("a1", now_ms));
  }
  CHECK(seen_anew == 1);
  CHECK(view.IsSilent("a1", 30'000));
  // News of its teams alone do not say that it is well.
  gossip.teams_only = true;
  view.ApplyGossip(gossip, 30'000);
  CHECK(view.IsSilent("a1", 30'000));
}

}  // namespace pimento
