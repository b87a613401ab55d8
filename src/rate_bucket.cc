#include "src/rate_bucket.h"

#include <algorithm>
#include <cmath>

namespace pimento {
namespace {

// The TAT is a sum of 1/rate terms and may exceed its limit by rounding.
constexpr double kRoundingUs = 0.01;

}  // namespace

RateBucket::RateBucket(RateLimit limit, int64_t mark_us)
    : limit_(limit), tat_us_(static_cast<double>(mark_us)), mark_us_(mark_us) {}

int64_t RateBucket::MaxTatUs(int64_t now_us) const {
  return now_us + static_cast<int64_t>(limit_.burst * IntervalUs());
}

RateBucket::Outcome RateBucket::TryAcquire(int64_t now_us, uint32_t wanted) {
  Outcome outcome;
  const auto max_tat = static_cast<double>(MaxTatUs(now_us));
  double tat = std::max(tat_us_, static_cast<double>(now_us));
  for (uint32_t i = 0; i < wanted; ++i) {
    const double next = tat + IntervalUs();
    if (next > max_tat + kRoundingUs) break;
    tat = next;
    if (next <= static_cast<double>(mark_us_)) {
      tat_us_ = next;
      ++outcome.granted;
    } else {
      ++outcome.unrecorded;
    }
  }
  const double current_tat = std::max(tat_us_, static_cast<double>(now_us));
  const double wait = current_tat + IntervalUs() - max_tat;
  outcome.next_us =
      now_us + static_cast<int64_t>(std::ceil(std::max(0.0, wait)));
  return outcome;
}

// The mark may lie beyond what can be granted now: replicating it takes time,
// and the latest allowed TAT moves forward meanwhile.
int64_t RateBucket::MarkFor(int64_t now_us, uint32_t wanted) const {
  const double base = std::max(tat_us_, static_cast<double>(now_us));
  const double mark =
      base + wanted * IntervalUs() + static_cast<double>(kMarkAheadUs);
  return std::max(mark_us_, static_cast<int64_t>(std::ceil(mark)));
}

void RateBucket::OnMarkRecorded(int64_t mark_us) {
  mark_us_ = std::max(mark_us_, mark_us);
}

}  // namespace pimento
