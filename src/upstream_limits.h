// Limits that upstreams name in their answers: the requests a second that one
// accepts from all gateways together. Kept by the gateway that owns the limit,
// for all of them (SharedRates).
//
// Load pattern: some upstreams of a service name a limit far below what they
// get, often less than one request a second for each gateway. A token bucket
// holds their requests to that rate; what it denies goes to other upstreams.
//
//   limit 8 a second      8 a second, at most 4 at once
//   limit 0               none
#pragma once

#include <cstdint>
#include <unordered_map>

namespace pimento {

class UpstreamLimits {
 public:
  struct Ask {
    // Hash of the upstream's id.
    uint64_t upstream = 0;
    // The limit that the upstream named to the gateway that asks.
    double per_second = 0;
    // Tokens that a granted request takes.
    double charge = 1;
  };

  // Grants one request and returns 0, or returns the time after which a retry
  // may be granted, milliseconds. A new bucket starts empty: an owner before
  // may have granted its tokens.
  int64_t TryAcquire(const Ask& ask, int64_t now_ms);
  // Takes a request that another gateway has granted.
  void OnGrantedElsewhere(const Ask& ask, int64_t now_ms);

 private:
  struct Bucket {
    double tokens = 0;
    int64_t last_refill_ms = 0;
  };
  // The bucket of the ask's upstream with the tokens accrued until now.
  Bucket& RefilledBucket(const Ask& ask, int64_t now_ms);
  void ForgetIdle(int64_t now_ms);

  std::unordered_map<uint64_t, Bucket> buckets_;
};

}  // namespace pimento
