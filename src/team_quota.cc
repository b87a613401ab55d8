#include "src/team_quota.h"

#include <algorithm>
#include <cmath>

#include "src/name_hash.h"

namespace pimento {
namespace {

constexpr double kMsPerSecond = 1'000;
// Prior for the requests per program, until enough programs of a team were
// seen. It weighs as much as kPriorPrograms observed programs.
constexpr double kPriorRequestsPerProgram = 12;
constexpr double kPriorPrograms = 6;
// A program whose budget is spent is admitted only while this fraction of the
// burst remains for other programs.
constexpr double kReservedForOthers = 0.5;
// All gateways together admit at most this fraction of the burst between two of
// their reports, and only while the rest remains.
constexpr double kUnreportedFraction = 0.5;
// The recent counts of a team are halved when they reach this many programs.
constexpr double kMaxRecentPrograms = 60;

}  // namespace

void TeamQuota::set_teams(const DesiredState& state, int64_t now_ms) {
  std::unordered_map<std::string, Bucket> buckets;
  for (const TeamSpec& team : state.teams()) {
    if (team.rate_per_second <= 0) continue;
    const auto old = buckets_.find(team.name);
    Bucket bucket = old == buckets_.end() ? Bucket{} : old->second;
    // What the fleet admitted before this gateway started is unknown, so the
    // buckets of a new gateway start empty. A team that is added later starts
    // with its full burst.
    if (old == buckets_.end() && initialized_) {
      bucket.tokens = team.burst;
      bucket.start_tokens = team.burst;
    }
    if (old == buckets_.end()) {
      bucket.last_refill_ms = now_ms;
    } else {
      Refill(bucket, now_ms);
    }
    bucket.rate = team.rate_per_second;
    bucket.burst = team.burst;
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
    bucket.start_tokens = std::min(bucket.start_tokens, bucket.burst);
    buckets[team.name] = bucket;
  }
  buckets_ = std::move(buckets);
  names_.clear();
  for (const auto& [team, bucket] : buckets_) names_[HashName(team)] = team;
  initialized_ = true;
}

void TeamQuota::set_gateway_counts(int64_t total, int64_t reachable,
                                   int64_t now_ms) {
  gateways_ = std::max<int64_t>(1, total);
  const double share = std::clamp(
      static_cast<double>(reachable) / static_cast<double>(gateways_), 0.0,
      1.0);
  if (share == share_) return;
  const double lost_share = std::max(0.0, share_ - share);
  for (auto& [team, bucket] : buckets_) {
    Refill(bucket, now_ms);
    bucket.tokens -= lost_share * bucket.burst;
    bucket.start_tokens -= lost_share * bucket.burst;
  }
  share_ = share;
}

void TeamQuota::Refill(Bucket& bucket, int64_t now_ms) const {
  const auto elapsed_ms = static_cast<double>(now_ms - bucket.last_refill_ms);
  bucket.last_refill_ms = now_ms;
  const double added = elapsed_ms * bucket.rate * share_ / kMsPerSecond;
  const double limit = std::max(1.0, bucket.burst * share_);
  bucket.tokens = std::min(bucket.tokens + added, limit);
  bucket.start_tokens = std::min(bucket.start_tokens + added, limit);
}

double TeamQuota::RequestsPerProgram(const Bucket& bucket) {
  return (bucket.recent_admitted + kPriorRequestsPerProgram * kPriorPrograms) /
         (bucket.recent_started + kPriorPrograms);
}

void TeamQuota::UpdateRecent(Bucket& bucket, const AdmissionCounts& delta) {
  bucket.recent_admitted += static_cast<double>(delta.admitted);
  bucket.recent_started += static_cast<double>(delta.started);
  if (bucket.recent_started < kMaxRecentPrograms) return;
  bucket.recent_admitted /= 2;
  bucket.recent_started /= 2;
}

ProgramStatus TeamQuota::StatusOf(const ProgramFacts& facts) {
  if (facts.spent) return ProgramStatus::kBudgetSpent;
  const bool starts = !facts.known && facts.may_be_first_request;
  return starts ? ProgramStatus::kNewProgram : ProgramStatus::kRunningProgram;
}

int64_t TeamQuota::ReserveRetryDelay(const std::string& team, int64_t gateways,
                                     int64_t now_ms) {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return 0;
  Bucket& bucket = it->second;
  const double interval_ms = kMsPerSecond * static_cast<double>(gateways) /
                             std::max(1e-3, bucket.rate * share_);
  const double now = static_cast<double>(now_ms);
  const double debt_ms = std::max(0.0, -bucket.tokens) * kMsPerSecond /
                         std::max(1e-3, bucket.rate * share_);
  bucket.last_retry_ms =
      std::max(bucket.last_retry_ms, now + debt_ms) + interval_ms;
  return static_cast<int64_t>(std::ceil(bucket.last_retry_ms - now));
}

int64_t TeamQuota::TryAcquire(const std::string& team, ProgramStatus status,
                              int64_t now_ms) {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return 0;
  Bucket& bucket = it->second;
  Refill(bucket, now_ms);
  const bool starts = status == ProgramStatus::kNewProgram;
  double missing = 1 - bucket.tokens;
  if (starts) missing = std::max(missing, 1 - bucket.start_tokens);
  if (status == ProgramStatus::kBudgetSpent) {
    missing += kReservedForOthers * bucket.burst * share_;
  }
  if (missing > 0) {
    const double per_ms = std::max(1e-6, bucket.rate * share_ / kMsPerSecond);
    return std::max<int64_t>(1,
                             static_cast<int64_t>(std::ceil(missing / per_ms)));
  }
  Charge(team, bucket, starts);
  return 0;
}

void TeamQuota::Charge(const std::string& team, Bucket& bucket, bool starts) {
  AdmissionCounts& usage = local_usage_[team];
  bucket.tokens -= 1;
  ++usage.admitted;
  if (starts) {
    bucket.start_tokens -= RequestsPerProgram(bucket);
    ++usage.started;
  }
  UpdateRecent(bucket, {.admitted = 1, .started = starts ? 1 : 0});
}

bool TeamQuota::TryAcquireUnreported(const std::string& team,
                                     ProgramStatus status, int64_t now_ms) {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return true;
  if (status == ProgramStatus::kBudgetSpent) return false;
  Bucket& bucket = it->second;
  Refill(bucket, now_ms);
  const bool starts = status == ProgramStatus::kNewProgram;
  const double all = kUnreportedFraction * bucket.burst * share_;
  const double own = all / static_cast<double>(gateways_);
  const double rest = bucket.burst * share_ - all;
  if (static_cast<double>(bucket.unreported + 1) > own) return false;
  if (bucket.tokens - 1 < rest) return false;
  if (starts && bucket.start_tokens < rest) return false;
  ++bucket.unreported;
  Charge(team, bucket, starts);
  return true;
}

void TeamQuota::ChargeElsewhere(const std::string& team) {
  const auto it = buckets_.find(team);
  if (it != buckets_.end()) it->second.tokens -= 1;
}

void TeamQuota::OnUsageReported() {
  for (auto& [team, bucket] : buckets_) bucket.unreported = 0;
}

std::optional<TeamQuota::Level> TeamQuota::level(
    const std::string& team) const {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return std::nullopt;
  const Bucket& bucket = it->second;
  return Level{
      .rate = bucket.rate, .burst = bucket.burst, .tokens = bucket.tokens};
}

void TeamQuota::Refund(const std::string& team, int64_t now_ms) {
  const auto it = buckets_.find(team);
  if (it == buckets_.end()) return;
  Refill(it->second, now_ms);
  it->second.tokens += 1;
  UpdateRecent(it->second, {.admitted = -1});
  --local_usage_[team].admitted;
}

std::string TeamQuota::NameOf(uint64_t team_hash) const {
  const auto it = names_.find(team_hash);
  return it == names_.end() ? "" : it->second;
}

void TeamQuota::AddPeerUsage(uint64_t team_hash, const AdmissionCounts& delta,
                             int64_t now_ms) {
  const auto name = names_.find(team_hash);
  if (name == names_.end()) return;
  const auto it = buckets_.find(name->second);
  if (it == buckets_.end()) return;
  Bucket& bucket = it->second;
  Refill(bucket, now_ms);
  bucket.tokens -= static_cast<double>(delta.admitted);
  bucket.start_tokens -=
      static_cast<double>(delta.started) * RequestsPerProgram(bucket);
  UpdateRecent(bucket, delta);
}

}  // namespace pimento
