#include "src/slot_share.h"

#include <xxhash.h>

#include <algorithm>

namespace pimento {
namespace {

// With fewer gateways, news of a peer's calls is younger than a call lasts.
constexpr int64_t kManyGateways = 12;
// Calls in flight, in percent of the slots, that keep all of them busy although
// calls are spread unevenly.
constexpr int64_t kBusyPercent = 125;
// Calls at one upstream, in percent of its slots.
constexpr int64_t kUpstreamPercent = 150;
// Free slots that the gateways may take together before they hear of each
// other, in multiples of those that are free: most gateways have no call
// waiting.
constexpr int64_t kLending = 2;
// Share of the slots in use, in percent, from which on a service is busy.
constexpr int64_t kBusyFromPercent = 50;
// Time after which a call considers others.
constexpr int64_t kDrawMs = 100;
// Upstreams that a call considers.
constexpr int64_t kCandidates = 3;

}  // namespace

bool MustSpread(const SlotUse& use) {
  return use.gateways >= kManyGateways && use.slots > 0 && !use.has_cold_rate;
}

int64_t SlotShare(const SlotUse& use) {
  const int64_t gateways = std::max<int64_t>(1, use.gateways);
  const int64_t calls = use.slots * kBusyPercent / 100;
  const int64_t fair = std::max<int64_t>(1, calls / gateways);
  const int64_t free = std::max<int64_t>(0, calls - use.own - use.peers);
  return std::max(fair, use.own + kLending * free / gateways);
}

int64_t CallsPerUpstream(int64_t slots) {
  return slots * kUpstreamPercent / 100;
}

bool IsBusy(const SlotUse& use) {
  return (use.own + use.peers) * 100 >= use.slots * kBusyFromPercent;
}

uint64_t DrawHash(uint64_t call, uint64_t upstream) {
  const uint64_t pair[2] = {call, upstream};
  return XXH3_64bits(pair, sizeof pair);
}

bool IsCandidate(const Draw& draw) {
  if (draw.upstreams <= kCandidates) return true;
  const uint64_t values[3] = {draw.call, draw.upstream,
                              static_cast<uint64_t>(draw.now_ms / kDrawMs)};
  const uint64_t hash = XXH3_64bits(values, sizeof values);
  return hash % static_cast<uint64_t>(draw.upstreams) <
         static_cast<uint64_t>(kCandidates);
}

}  // namespace pimento
