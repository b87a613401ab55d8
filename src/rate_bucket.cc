#include "src/rate_bucket.h"

#include <algorithm>
#include <cmath>

namespace pimento {
namespace {

// Grants are sums of 1/rate; the sum may miss the ceiling by rounding.
constexpr double kRoundingUs = 0.01;

}  // namespace

RateBucket::RateBucket(RateLimit limit, int64_t mark_us)
    : limit_(limit),
      earned_us_(static_cast<double>(mark_us)),
      mark_us_(mark_us) {}

int64_t RateBucket::Ceiling(int64_t now_us) const {
  return now_us + static_cast<int64_t>(limit_.burst * UsEach());
}

RateBucket::Outcome RateBucket::Take(int64_t now_us, uint32_t wanted) {
  Outcome outcome;
  const auto ceiling = static_cast<double>(Ceiling(now_us));
  double earned = std::max(earned_us_, static_cast<double>(now_us));
  for (uint32_t i = 0; i < wanted; ++i) {
    const double next = earned + UsEach();
    if (next > ceiling + kRoundingUs) break;
    earned = next;
    if (next <= static_cast<double>(mark_us_)) {
      earned_us_ = next;
      ++outcome.granted;
    } else {
      ++outcome.unrecorded;
    }
  }
  const double idle_from = std::max(earned_us_, static_cast<double>(now_us));
  const double wait = idle_from + UsEach() - ceiling;
  outcome.next_us =
      now_us + static_cast<int64_t>(std::ceil(std::max(0.0, wait)));
  return outcome;
}

// The mark may lie beyond what can be granted now: recording it takes time, and
// what can be granted moves on meanwhile.
int64_t RateBucket::MarkFor(int64_t now_us, uint32_t wanted) const {
  const double base = std::max(earned_us_, static_cast<double>(now_us));
  const double mark =
      base + wanted * UsEach() + static_cast<double>(kMarkAheadUs);
  return std::max(mark_us_, static_cast<int64_t>(std::ceil(mark)));
}

void RateBucket::Recorded(int64_t mark_us) {
  mark_us_ = std::max(mark_us_, mark_us);
}

}  // namespace pimento
