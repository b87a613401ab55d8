// A rate limit of a team over all hosts together, kept by the host that owns
// it.
//
// The bucket implements the generic cell rate algorithm. Its state is one
// number, the theoretical arrival time (TAT). Each grant moves it forward by
// 1/rate; a grant that would move it more than burst/rate past the current time
// is refused. So any window of length T has at most rate * T + burst grants.
//
// A new owner must not grant the same burst again. Before it hands out grants,
// an owner replicates a mark, a time that the TAT may not pass. A new owner
// starts with the replicated mark as its TAT:
//
//   mark at 10.50 s, TAT at 10.20 s when the owner dies
//   new owner starts at 10.50 s: 0.30 s worth of rate is lost, and no grant is
//   given twice
#pragma once

#include <cstdint>

namespace pimento {

// Grants a second, and the number that may be granted at once.
struct RateLimit {
  double per_second = 1;
  double burst = 1;
};

// How far ahead of its grants an owner places the mark, microseconds.
inline constexpr int64_t kMarkAheadUs = 250'000;

class RateBucket {
 public:
  // `mark_us` is the replicated mark, or 0 for a team that never had a grant.
  RateBucket(RateLimit limit, int64_t mark_us);

  struct Outcome {
    uint32_t granted = 0;
    // Requested grants within the rate that need a later mark first.
    uint32_t unrecorded = 0;
    // Earliest time at which one more can be granted, microseconds.
    int64_t next_us = 0;
  };
  // Grants up to `wanted` at `now_us`.
  Outcome TryAcquire(int64_t now_us, uint32_t wanted);

  // The mark to replicate so that `wanted` more can be granted.
  int64_t MarkFor(int64_t now_us, uint32_t wanted) const;
  // Call when the replicas hold `mark_us`.
  void OnMarkRecorded(int64_t mark_us);

  void set_limit(RateLimit limit) { limit_ = limit; }
  int64_t mark_us() const { return mark_us_; }

 private:
  // Interval between grants at the limit.
  double IntervalUs() const { return 1e6 / limit_.per_second; }
  // Latest allowed TAT.
  int64_t MaxTatUs(int64_t now_us) const;

  RateLimit limit_;
  // Theoretical arrival time. Never above `mark_us_`.
  double tat_us_;
  // Highest mark that the replicas hold.
  int64_t mark_us_;
};

}  // namespace pimento
