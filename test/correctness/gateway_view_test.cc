// How a gateway classifies its peers by the age of their last message.
#include <doctest/doctest.h>

#include "src/gateway_peers.h"

namespace pimento {

// With 79 gateways each one sends a message every 650 ms. If the silence
// timeout does not grow with that interval, every message makes its sender look
// like a new peer.
TEST_CASE("a long gossip interval does not make a peer new with each message") {
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
  // A message that only carries team usage does not count as a sign of life.
  gossip.teams_only = true;
  view.ApplyGossip(gossip, 30'000);
  CHECK(view.IsSilent("a1", 30'000));
}

TEST_CASE("reports of leaving upstreams survive the encoding") {
  GatewayGossip gossip{.host = "a", .boot = 1, .sequence = 1};
  gossip.leaving_upstreams = {7, 0xffff'ffff'ffff'ffff};
  const auto decoded = DecodeGossip(EncodeGossip(gossip));
  CHECK(decoded.leaving_upstreams == gossip.leaving_upstreams);
}

TEST_CASE("the pace of upstreams is carried in hundredths, within bounds") {
  GatewayGossip gossip{.host = "a", .boot = 1, .sequence = 1};
  gossip.paces = {{.process = 7, .read_tokens_per_ms = 75.84, .event_ms = 36.5},
                  {.process = 8, .event_ms = 5'000}};
  const auto decoded = DecodeGossip(EncodeGossip(gossip));
  REQUIRE(decoded.paces.size() == 2);
  CHECK(decoded.paces[0].process == 7);
  CHECK(decoded.paces[0].read_tokens_per_ms == doctest::Approx(75.84));
  CHECK(decoded.paces[0].event_ms == doctest::Approx(36.5));
  CHECK(decoded.paces[1].read_tokens_per_ms == 0);
  CHECK(decoded.paces[1].event_ms > 600);
}

}  // namespace pimento
