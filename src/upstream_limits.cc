#include "src/upstream_limits.h"

#include <algorithm>
#include <cmath>

namespace pimento {
namespace {

constexpr double kMsPerSecond = 1'000;
// A bucket holds this many requests and what its limit accrues in this time, so
// that requests which arrive together find some.
constexpr double kMinBurst = 2;
constexpr double kBurstSeconds = 0.25;
// Bounds the debt from grants elsewhere, which may be reported twice.
constexpr double kMaxDebtSeconds = 0.5;
// Retry time for a limit of zero, and the longest one.
constexpr int64_t kMaxRetryMs = 1'000;
// Buckets that were not asked for this long are dropped once there are many.
constexpr int64_t kIdleMs = 10'000;
constexpr size_t kMaxBuckets = 1'024;

}  // namespace

UpstreamLimits::Bucket& UpstreamLimits::RefilledBucket(const Ask& ask,
                                                       int64_t now_ms) {
  if (buckets_.size() > kMaxBuckets) ForgetIdle(now_ms);
  const auto [it, added] = buckets_.try_emplace(ask.upstream);
  Bucket& bucket = it->second;
  if (added) bucket.last_refill_ms = now_ms;
  const double rate = ask.per_second;
  const auto elapsed_ms = static_cast<double>(now_ms - bucket.last_refill_ms);
  bucket.last_refill_ms = now_ms;
  bucket.tokens = std::min(bucket.tokens + elapsed_ms * rate / kMsPerSecond,
                           kMinBurst + rate * kBurstSeconds);
  return bucket;
}

int64_t UpstreamLimits::TryAcquire(const Ask& ask, int64_t now_ms) {
  if (ask.per_second <= 0) return kMaxRetryMs;
  Bucket& bucket = RefilledBucket(ask, now_ms);
  if (bucket.tokens >= 1) {
    bucket.tokens -= ask.charge;
    return 0;
  }
  const double wait_ms = (1 - bucket.tokens) * kMsPerSecond / ask.per_second;
  return std::clamp<int64_t>(static_cast<int64_t>(std::ceil(wait_ms)), 1,
                             kMaxRetryMs);
}

void UpstreamLimits::OnGrantedElsewhere(const Ask& ask, int64_t now_ms) {
  Bucket& bucket = RefilledBucket(ask, now_ms);
  const double most_debt = ask.per_second * kMaxDebtSeconds;
  bucket.tokens = std::max(bucket.tokens - ask.charge, -most_debt);
}

void UpstreamLimits::ForgetIdle(int64_t now_ms) {
  std::erase_if(buckets_, [now_ms](const auto& item) {
    return item.second.last_refill_ms < now_ms - kIdleMs;
  });
}

}  // namespace pimento
