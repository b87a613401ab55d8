// How many calls one of many gateways may have in flight at the upstreams of a
// service, and which of them a call considers.
//
// Load pattern: many gateways, a burst of turns, upstreams that serve a few
// calls at once and queue a few more. What a gateway knows of its peers' calls
// is older than a call lasts. All send to the upstreams that looked idle last:
// each of these gets several times what it can hold and turns calls away, while
// the ones next to it run empty. The calls come back at once, and the load that
// was served before the burst keeps the upstreams full after it.
//
// The sum over all upstreams is known well, since it changes slowly. So a
// gateway always has its fair part of the slots, and what is free beyond that
// is divided among all gateways. Other calls wait at their gateway, by
// priority. Of the upstreams with room, a call considers the one that holds
// most of its prompt and a few others that its own hash selects: two gateways
// rarely consider the same ones.
//
//   270 slots, 55 gateways, 350 calls in flight    6 for each gateway
//   270 slots, 55 gateways, 150 calls, 3 own       3 + 2 * 187 / 55 = 9
#pragma once

#include <cstdint>

namespace pimento {

// The upstreams of one service, as a gateway sees them.
struct SlotUse {
  int64_t slots = 0;
  // Calls in flight from this gateway and from all others.
  int64_t own = 0;
  int64_t peers = 0;
  int64_t gateways = 1;
  // True when the upstreams are divided among the gateways by the rate that a
  // cold one bears: then not the slots limit what a gateway may send.
  bool has_cold_rate = false;
};

// True while what this gateway knows of its peers' calls is too old to choose
// the upstream with the fewest: calls are spread. Never with a cold rate.
bool MustSpread(const SlotUse& use);

// Calls that this gateway may have in flight; at least 1.
int64_t SlotShare(const SlotUse& use);

// Calls in flight at one upstream, as far as known, from which on it gets no
// more while calls are spread. Beyond its slots, since the count is old and a
// prompt that it holds is worth a short wait.
int64_t CallsPerUpstream(int64_t slots);

// True when so many calls are in flight that one waits rather than to go to an
// upstream that it does not consider: a call that is placed anywhere goes where
// all others go.
bool IsBusy(const SlotUse& use);

// A number that all gateways draw alike for a pair of hashes.
uint64_t DrawHash(uint64_t call, uint64_t upstream);

struct Draw {
  uint64_t call = 0;
  uint64_t upstream = 0;
  // Usable upstreams of the service.
  int64_t upstreams = 0;
  int64_t now_ms = 0;
};
// True when the call with this hash considers the upstream with this hash. It
// considers a few of them on average, and others a little later.
bool IsCandidate(const Draw& draw);

}  // namespace pimento
