// A team's rate and burst, across all hosts together.
//
// The bucket keeps one number: the time at which all that was granted will have
// been earned (the theoretical arrival time of the generic cell rate
// algorithm). A grant moves it forward by 1/rate; a grant that would move it
// further than burst/rate past now is refused. So no window of time T sees more
// than rate * T + burst grants.
//
// A new owner must not grant the same burst twice. It starts from the recorded
// mark, which the old owner moved ahead of its grants, with witnesses, before
// handing them out:
//
//   recorded mark 10.50 s, granted up to 10.20 s, owner dies
//   new owner starts at 10.50 s: 0.30 s worth of rate is lost, none given twice
#pragma once

#include <cstdint>

namespace pimento {

struct RateLimit {
  double per_second = 1;
  double burst = 1;
};

// How far ahead of its grants an owner records its mark, microseconds.
inline constexpr int64_t kMarkAheadUs = 250'000;

class RateBucket {
 public:
  // `mark_us` is the recorded mark, or 0 for a team that never had a grant.
  RateBucket(RateLimit limit, int64_t mark_us);

  struct Outcome {
    uint32_t granted = 0;
    // Grants that wait only for a mark to be recorded.
    uint32_t unrecorded = 0;
    // Earliest time at which one more can be granted, microseconds.
    int64_t next_us = 0;
  };
  // Grants up to `wanted` at `now_us`.
  Outcome Take(int64_t now_us, uint32_t wanted);

  // The mark to record so that `wanted` more can be granted.
  int64_t MarkFor(int64_t now_us, uint32_t wanted) const;
  // Tells the bucket that witnesses hold `mark_us`.
  void Recorded(int64_t mark_us);

  void set_limit(RateLimit limit) { limit_ = limit; }
  int64_t mark_us() const { return mark_us_; }

 private:
  double UsEach() const { return 1e6 / limit_.per_second; }
  int64_t Ceiling(int64_t now_us) const;

  RateLimit limit_;
  // Time by which all grants will be earned. Never above `mark_us_`.
  double earned_us_;
  // Highest mark that witnesses hold.
  int64_t mark_us_;
};

}  // namespace pimento
