#include "src/team_quota.h"

#include <algorithm>
#include <cmath>

namespace pimento {
namespace {

constexpr double kMsPerSecond = 1'000;

}  // namespace

void TeamQuota::set_teams(const DesiredState& state, int64_t now_ms) {
  std::unordered_map<std::string, Bucket> buckets;
  for (const TeamSpec& team : state.teams()) {
    if (team.rate_per_second <= 0) continue;
    const auto old = buckets_.find(team.name);
    Bucket bucket = old == buckets_.end() ? Bucket{} : old->second;
    // What was admitted before this gateway started is not known: its buckets
    // start empty. A team that is new to a running one has its burst.
    if (old == buckets_.end() && started_) bucket.tokens = team.burst;
    if (old == buckets_.end()) bucket.filled_ms = now_ms;
    bucket.rate = team.rate_per_second;
    bucket.burst = team.burst;
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
    buckets[team.name] = bucket;
  }
  buckets_ = std::move(buckets);
  started_ = true;
}

void TeamQuota::set_fleet(int64_t gateways, int64_t heard) {
  share_ = std::clamp(static_cast<double>(heard) /
                          static_cast<double>(std::max<int64_t>(1, gateways)),
                      0.0, 1.0);
}

void TeamQuota::Fill(Bucket& bucket, int64_t now_ms) const {
  const auto passed = static_cast<double>(now_ms - bucket.filled_ms);
  bucket.filled_ms = now_ms;
  bucket.tokens += passed * bucket.rate * share_ / kMsPerSecond;
  bucket.tokens = std::min(bucket.tokens, std::max(1.0, bucket.burst * share_));
}

int64_t TeamQuota::Take(const std::string& team, int64_t now_ms) {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return 0;
  Bucket& bucket = it->second;
  Fill(bucket, now_ms);
  if (bucket.tokens < 1) {
    const double per_ms = std::max(1e-6, bucket.rate * share_ / kMsPerSecond);
    return std::max<int64_t>(
        1, static_cast<int64_t>(std::ceil((1 - bucket.tokens) / per_ms)));
  }
  bucket.tokens -= 1;
  ++admitted_[team];
  return 0;
}

void TeamQuota::Return(const std::string& team) {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return;
  it->second.tokens += 1;
  --admitted_[team];
}

void TeamQuota::Spent(const std::string& team, int64_t count) {
  const auto it = buckets_.find(team);
  if (it != buckets_.end()) it->second.tokens -= static_cast<double>(count);
}

}  // namespace pimento
