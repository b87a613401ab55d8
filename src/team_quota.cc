#include "src/team_quota.h"

#include <algorithm>
#include <cmath>

#include "src/name_hash.h"

namespace pimento {
namespace {

constexpr double kMsPerSecond = 1'000;
// Until enough programs of a team were seen.
constexpr double kUsualNeed = 12;
constexpr double kUsualWeight = 6;
// A program whose budget is spent is admitted while this part of the burst is
// left for others.
constexpr double kLeftOver = 0.5;
// With less than this part of its burst left a team is tight.
constexpr double kTightShare = 0.75;
// Programs after which what is known of a team's need counts half.
constexpr double kMostRemembered = 60;

}  // namespace

void TeamQuota::set_teams(const DesiredState& state, int64_t now_ms) {
  std::unordered_map<std::string, Bucket> buckets;
  for (const TeamSpec& team : state.teams()) {
    if (team.rate_per_second <= 0) continue;
    const auto old = buckets_.find(team.name);
    Bucket bucket = old == buckets_.end() ? Bucket{} : old->second;
    // What was admitted before this gateway started is not known: its buckets
    // start empty. A team that is new to a running one has its burst.
    if (old == buckets_.end() && started_) {
      bucket.tokens = team.burst;
      bucket.claims = team.burst;
    }
    if (old == buckets_.end()) bucket.filled_ms = now_ms;
    bucket.rate = team.rate_per_second;
    bucket.burst = team.burst;
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
    bucket.claims = std::min(bucket.claims, bucket.burst);
    buckets[team.name] = bucket;
  }
  buckets_ = std::move(buckets);
  names_.clear();
  for (const auto& [team, bucket] : buckets_) names_[HashOf(team)] = team;
  started_ = true;
}

void TeamQuota::set_fleet(int64_t gateways, int64_t heard) {
  heard_ = std::max<int64_t>(1, heard);
  share_ = std::clamp(static_cast<double>(heard) /
                          static_cast<double>(std::max<int64_t>(1, gateways)),
                      0.0, 1.0);
}

void TeamQuota::Fill(Bucket& bucket, int64_t now_ms) const {
  const auto passed = static_cast<double>(now_ms - bucket.filled_ms);
  bucket.filled_ms = now_ms;
  const double more = passed * bucket.rate * share_ / kMsPerSecond;
  const double most = std::max(1.0, bucket.burst * share_);
  bucket.tokens = std::min(bucket.tokens + more, most);
  bucket.claims = std::min(bucket.claims + more, most);
}

double TeamQuota::Need(const Bucket& bucket) {
  return (bucket.recent_admitted + kUsualNeed * kUsualWeight) /
         (bucket.recent_started + kUsualWeight);
}

void TeamQuota::Count(Bucket& bucket, const Use& more) {
  bucket.recent_admitted += static_cast<double>(more.admitted);
  bucket.recent_started += static_cast<double>(more.started);
  if (bucket.recent_started < kMostRemembered) return;
  bucket.recent_admitted /= 2;
  bucket.recent_started /= 2;
}

ProgramStanding TeamQuota::StandingOf(const ProgramFacts& facts) {
  if (facts.spent) return ProgramStanding::kSpent;
  const bool starts = !facts.known && facts.may_be_start;
  return starts ? ProgramStanding::kStarts : ProgramStanding::kRuns;
}

int64_t TeamQuota::TakePlace(const std::string& team, int64_t now_ms) {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return 0;
  Bucket& bucket = it->second;
  // This gateway's part of the rate.
  const double each_ms = kMsPerSecond * static_cast<double>(heard_) /
                         std::max(1e-3, bucket.rate * share_);
  const double now = static_cast<double>(now_ms);
  const double debt_ms = std::max(0.0, -bucket.tokens) * kMsPerSecond /
                         std::max(1e-3, bucket.rate * share_);
  bucket.last_place_ms =
      std::max(bucket.last_place_ms, now + debt_ms) + each_ms;
  return static_cast<int64_t>(std::ceil(bucket.last_place_ms - now));
}

int64_t TeamQuota::Take(const std::string& team, ProgramStanding standing,
                        int64_t now_ms) {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return 0;
  Bucket& bucket = it->second;
  Fill(bucket, now_ms);
  const bool starts = standing == ProgramStanding::kStarts;
  double lacking = 1 - bucket.tokens;
  if (starts) lacking = std::max(lacking, 1 - bucket.claims);
  if (standing == ProgramStanding::kSpent) {
    lacking += kLeftOver * bucket.burst * share_;
  }
  if (lacking > 0) {
    const double per_ms = std::max(1e-6, bucket.rate * share_ / kMsPerSecond);
    return std::max<int64_t>(1,
                             static_cast<int64_t>(std::ceil(lacking / per_ms)));
  }
  Use& used = used_[team];
  bucket.tokens -= 1;
  ++used.admitted;
  if (starts) {
    bucket.claims -= Need(bucket);
    ++used.started;
  }
  Count(bucket, {.admitted = 1, .started = starts ? 1 : 0});
  return 0;
}

bool TeamQuota::Tight(const std::string& team) const {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return false;
  return it->second.tokens < kTightShare * it->second.burst * share_;
}

void TeamQuota::Return(const std::string& team) {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return;
  it->second.tokens += 1;
  Count(it->second, {.admitted = -1});
  --used_[team].admitted;
}

void TeamQuota::Spent(uint64_t team_hash, const Use& more) {
  const auto name = names_.find(team_hash);
  if (name == names_.end()) return;
  const auto it = buckets_.find(name->second);
  if (it == buckets_.end()) return;
  Bucket& bucket = it->second;
  bucket.tokens -= static_cast<double>(more.admitted);
  bucket.claims -= static_cast<double>(more.started) * Need(bucket);
  Count(bucket, more);
}

}  // namespace pimento
