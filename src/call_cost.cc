#include "src/call_cost.h"

#include <algorithm>
#include <cmath>

namespace pimento {
namespace {

// Slowdown by each call in flight, as a fraction of the call's own work.
constexpr double kSlowdownPerCall = 0.02;
// Expected wait for a free slot, as a fraction of the call's own work, for each
// call beyond the upstream's slots.
constexpr double kQueueingPerCall = 0.5;
// Spread of the choices of many gateways, as a fraction of the work of a call
// on a typical upstream.
constexpr double kSpread = 0.8;
// Fewer gateways than this know a larger part of the load themselves; with
// fewer than the second, news of a peer's calls is younger than a call lasts.
constexpr double kManyGateways = 32;
constexpr int64_t kMinGateways = 12;

}  // namespace

double ExpectedCallMs(const CallCost& cost) {
  const UpstreamPace::Pace& pace = cost.pace;
  const auto load = static_cast<double>(cost.load);
  const double read_ms =
      static_cast<double>(cost.read_tokens) / pace.read_tokens_per_ms;
  const double others_read_ms = load * pace.typical_read_ms;
  const double excess =
      std::max<double>(0, load + 1 - static_cast<double>(cost.slots));
  const double work_ms = pace.event_ms * cost.events;
  return read_ms + others_read_ms +
         work_ms * (1 + kSlowdownPerCall * load + kQueueingPerCall * excess);
}

double SpreadMs(uint64_t hash, int64_t gateways, double work_ms) {
  if (gateways < kMinGateways) return 0;
  constexpr int kFractionBits = 53;
  constexpr int kHashBits = 64;
  const double fraction =
      std::ldexp(static_cast<double>(hash >> (kHashBits - kFractionBits)) + 0.5,
                 -kFractionBits);
  // The least of numbers so distributed belongs to each upstream with a
  // probability that falls exponentially with its cost.
  const double gumbel = std::log(-std::log(1 - fraction));
  const double share =
      std::min(1.0, static_cast<double>(gateways - 1) / kManyGateways);
  return kSpread * share * work_ms * gumbel;
}

}  // namespace pimento
