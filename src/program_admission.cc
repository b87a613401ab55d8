#include "src/program_admission.h"

#include <algorithm>

namespace pimento {
namespace {

// Load, in calls in flight for each slot, from which on some programs and from
// which on all are refused.
struct Thresholds {
  double some = 0;
  double all = 0;
};
constexpr Thresholds kMostUrgent{.some = 1.1, .all = 1.5};
constexpr Thresholds kLessUrgent{.some = 0.5, .all = 0.8};
// Retries are spread over this time.
constexpr int64_t kMinRetryAfterMs = 300;
constexpr int64_t kRetrySpreadMs = 900;

// In [0, 1).
double Fraction(uint64_t hash) {
  constexpr double kRange = 4'294'967'296.0;
  return static_cast<double>(hash >> 32) / kRange;
}

}  // namespace

int64_t RefuseProgramForMs(const ProgramRequest& request, const SlotUse& use) {
  if (!MustSpread(use)) return 0;
  const Thresholds& limit = request.most_urgent ? kMostUrgent : kLessUrgent;
  const double load =
      static_cast<double>(use.own + use.peers) / static_cast<double>(use.slots);
  const double admitted = (limit.all - load) / (limit.all - limit.some);
  if (Fraction(request.program_hash) < admitted) return 0;
  return kMinRetryAfterMs +
         static_cast<int64_t>(Fraction(request.call_hash) * kRetrySpreadMs);
}

}  // namespace pimento
