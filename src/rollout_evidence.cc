#include "src/rollout_evidence.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pimento {
namespace {

// Windows, in ticks; the whole time is compared too.
constexpr std::array<size_t, 2> kWindowTicks = {8, 24};
// More cannot have been answered since the last report.
constexpr int64_t kMaxAnswersPerReport = 1'000'000;
// Hosts and routes that are kept at most; further routes are taken together.
constexpr size_t kMaxHosts = 4'096;
constexpr size_t kMaxRoutes = 200;
constexpr uint64_t kOtherRoutes = 1;
// The entry of RouteCounts for all routes together.
constexpr uint64_t kAllRoutes = 0;
constexpr size_t kMaxCountersOfHost = 1'024;

// How unlikely a difference must be, in standard deviations.
constexpr double kMinDeviations = 3.5;
// The old versions' rate is taken to be this many deviations higher than seen.
constexpr double kOldDeviations = 1.5;
// The old versions' rate is taken to be no lower.
constexpr double kMinOldRate = 0.004;
// Fewer bad answers, or failures in fewer moments, say nothing.
constexpr int64_t kMinBad = 4;
constexpr int64_t kMinFailingTicks = 3;
// What is slow must be so many buckets, a factor of two, beyond the old
// versions' times.
constexpr size_t kSlowerBuckets = 2;
constexpr int64_t kMinTimedAnswers = 10;
// Over all routes, a time is slow that at most this share of old answers reach.
constexpr double kFewOldAnswers = 0.06;
// Smaller differences of the rates do not count.
constexpr double kMinFailureExcess = 0.03;
constexpr double kMinSlowExcess = 0.06;
// With fewer answers of the old versions in a window, the whole time counts.
constexpr int64_t kMinOldAnswers = 30;

// The highest rate of bad answers that the old versions may have.
double OldRate(int64_t bad, int64_t answers) {
  const double count = static_cast<double>(answers) + 2;
  const double rate = (static_cast<double>(bad) + 0.5) / count;
  const double deviation = std::sqrt(rate * (1 - std::min(rate, 1.0)) / count);
  return std::clamp(rate + kOldDeviations * deviation, kMinOldRate, 0.999);
}

bool Exceeds(int64_t bad, int64_t answers, double old_rate, double excess) {
  if (bad < kMinBad || answers <= 0) return false;
  const auto count = static_cast<double>(answers);
  const double rate = static_cast<double>(bad) / count;
  const double deviation = std::sqrt(count * old_rate * (1 - old_rate));
  const double surplus = static_cast<double>(bad) - count * old_rate;
  return rate >= old_rate + excess && surplus >= kMinDeviations * deviation;
}

int64_t TailFrom(const AnswerCounts& counts, size_t bucket) {
  int64_t sum = 0;
  for (size_t i = bucket; i < kTimeBuckets; ++i) sum += counts.times[i];
  return sum;
}

VersionComparison CompareFailures(const AnswerCounts& target,
                                  const AnswerCounts& old) {
  VersionComparison found{.target_answers = target.answers,
                          .target_bad = target.failures,
                          .old_answers = old.answers,
                          .old_bad = old.failures};
  if (target.failing_ticks >= kMinFailingTicks &&
      Exceeds(target.failures, target.answers,
              OldRate(old.failures, old.answers), kMinFailureExcess)) {
    found.fault = VersionFault::kFailures;
  }
  return found;
}

// Looks for a time that few old answers reach while many of the target take
// twice as long.
VersionComparison CompareTimes(const AnswerCounts& target,
                               const AnswerCounts& old) {
  const int64_t answers = TailFrom(target, 0);
  const int64_t old_answers = TailFrom(old, 0);
  if (answers < kMinTimedAnswers || old_answers < kMinOldAnswers) return {};
  for (size_t b = 0; b + kSlowerBuckets < kTimeBuckets; ++b) {
    const int64_t bad = TailFrom(target, b + kSlowerBuckets);
    const int64_t old_bad = TailFrom(old, b);
    if (Exceeds(bad, answers, OldRate(old_bad, old_answers), kMinSlowExcess)) {
      return {.fault = VersionFault::kSlow,
              .target_answers = answers,
              .target_bad = bad,
              .old_answers = old_answers,
              .old_bad = old_bad};
    }
  }
  return {};
}

// The same over all routes: on each, slow is what few old answers are. Counts
// the old ones as the rate that they may have.
class AllRoutesTimes {
 public:
  void Add(const AnswerCounts& target, const AnswerCounts& old) {
    const int64_t old_answers = TailFrom(old, 0);
    if (old_answers < kMinOldAnswers) return;
    for (size_t b = 0; b + kSlowerBuckets < kTimeBuckets; ++b) {
      const int64_t old_bad = TailFrom(old, b);
      const double rate = OldRate(old_bad, old_answers);
      if (rate > kFewOldAnswers) continue;
      const int64_t answers = TailFrom(target, 0);
      sum_.target_answers += answers;
      sum_.target_bad += TailFrom(target, b + kSlowerBuckets);
      sum_.old_answers += old_answers;
      sum_.old_bad += old_bad;
      expected_ += rate * static_cast<double>(answers);
      return;
    }
  }
  VersionComparison Compare() const {
    if (sum_.target_answers < kMinTimedAnswers) return {};
    const double rate = expected_ / static_cast<double>(sum_.target_answers);
    if (!Exceeds(sum_.target_bad, sum_.target_answers, rate, kMinSlowExcess)) {
      return {};
    }
    VersionComparison found = sum_;
    found.fault = VersionFault::kSlow;
    return found;
  }

 private:
  VersionComparison sum_;
  double expected_ = 0;
};

// True if `sample` cannot be what a gateway counted.
bool Absurd(const VersionSample& sample) {
  if (sample.answers < 0 || sample.failures < 0 ||
      sample.failures > sample.answers) {
    return true;
  }
  int64_t timed = 0;
  for (const int64_t count : sample.times) {
    if (count < 0 || count > sample.answers) return true;
    timed += count;
  }
  return timed > sample.answers;
}

RouteCounts Difference(const RouteCounts& now, const RouteCounts& before) {
  RouteCounts difference = now;
  for (const auto& [route, counts] : before) {
    VersionCounts& left = difference[route];
    left.old_versions.Subtract(counts.old_versions);
    left.target.Subtract(counts.target);
  }
  return difference;
}

}  // namespace

void AnswerCounts::Add(const AnswerCounts& other) {
  answers += other.answers;
  failures += other.failures;
  failing_ticks += other.failing_ticks;
  for (size_t i = 0; i < kTimeBuckets; ++i) times[i] += other.times[i];
}

void AnswerCounts::Subtract(const AnswerCounts& other) {
  answers -= other.answers;
  failures -= other.failures;
  failing_ticks -= other.failing_ticks;
  for (size_t i = 0; i < kTimeBuckets; ++i) times[i] -= other.times[i];
}

size_t TimeBucket(double ms) {
  if (!(ms > 1)) return 0;
  const double bucket = 2 * std::log2(ms);
  return static_cast<size_t>(
      std::min(bucket, static_cast<double>(kTimeBuckets - 1)));
}

std::string_view Name(VersionFault fault) {
  constexpr std::array<std::string_view, 3> kNames = {"none", "failures",
                                                      "slow"};
  return kNames[static_cast<size_t>(fault)];
}

VersionComparison CompareVersions(const RouteCounts& window,
                                  const RouteCounts& whole) {
  AllRoutesTimes all_times;
  for (const auto& [route, counts] : window) {
    AnswerCounts old = counts.old_versions;
    const auto before = whole.find(route);
    if (old.answers < kMinOldAnswers && before != whole.end()) {
      old = before->second.old_versions;
    }
    VersionComparison found = CompareFailures(counts.target, old);
    if (found.fault == VersionFault::kNone && route != kAllRoutes) {
      found = CompareTimes(counts.target, old);
      all_times.Add(counts.target, old);
    }
    found.route = route;
    if (found.fault != VersionFault::kNone) return found;
  }
  return all_times.Compare();
}

void RolloutEvidence::set_versions(uint64_t target,
                                   std::set<uint64_t> old_versions) {
  target_ = target;
  old_versions_ = std::move(old_versions);
}

void RolloutEvidence::OnReport(const std::string& host, uint64_t boot,
                               const std::vector<VersionSample>& samples) {
  if (hosts_.count(host) == 0 && hosts_.size() >= kMaxHosts) return;
  Reported& reported = hosts_[host];
  // A datagram of the process before, which arrived late.
  if (boot < reported.boot) return;
  if (reported.boot != boot) reported = {.boot = boot};
  for (const VersionSample& sample : samples) {
    const bool target = sample.version == target_;
    if (!target && old_versions_.count(sample.version) == 0) continue;
    if (Absurd(sample)) {
      ++dropped_;
      continue;
    }
    AnswerCounts counts{.answers = sample.answers,
                        .failures = sample.failures,
                        .times = sample.times};
    const std::pair key(sample.version, sample.route);
    if (reported.counts.size() >= kMaxCountersOfHost &&
        reported.counts.count(key) == 0) {
      continue;
    }
    AnswerCounts& last = reported.counts[key];
    AnswerCounts increase = counts;
    increase.Subtract(last);
    // An older message that arrives late.
    if (increase.answers < 0 || increase.failures < 0) continue;
    if (increase.answers > kMaxAnswersPerReport) {
      ++dropped_;
      continue;
    }
    last = counts;
    const bool kept =
        whole_.count(sample.route) > 0 || whole_.size() < kMaxRoutes;
    for (const uint64_t route :
         {kAllRoutes, kept ? sample.route : kOtherRoutes}) {
      VersionCounts& sum = whole_[route];
      (target ? sum.target : sum.old_versions).Add(increase);
    }
  }
}

void RolloutEvidence::Tick() {
  if (!history_.empty()) {
    const RouteCounts& before = history_.back();
    for (auto& [route, counts] : whole_) {
      const auto it = before.find(route);
      const VersionCounts none;
      const VersionCounts& old = it == before.end() ? none : it->second;
      if (counts.target.failures > old.target.failures) {
        ++counts.target.failing_ticks;
      }
      if (counts.old_versions.failures > old.old_versions.failures) {
        ++counts.old_versions.failing_ticks;
      }
    }
  }
  history_.push_back(whole_);
  while (history_.size() > kWindowTicks.back() + 1) history_.pop_front();
}

VersionComparison RolloutEvidence::Compare() const {
  for (const size_t ticks : kWindowTicks) {
    if (history_.size() <= ticks) continue;
    const RouteCounts& before = history_[history_.size() - 1 - ticks];
    const auto found = CompareVersions(Difference(whole_, before), whole_);
    if (found.fault != VersionFault::kNone) return found;
  }
  return CompareVersions(whole_, whole_);
}

int64_t RolloutEvidence::answers() const {
  const auto all = whole_.find(kAllRoutes);
  return all == whole_.end()
             ? 0
             : all->second.target.answers + all->second.old_versions.answers;
}

int64_t RolloutEvidence::target_answers() const {
  const auto all = whole_.find(kAllRoutes);
  return all == whole_.end() ? 0 : all->second.target.answers;
}

}  // namespace pimento
