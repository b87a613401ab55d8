#include "src/rollout_director.h"

#include <algorithm>
#include <utility>

#include "src/name_hash.h"

namespace pimento {
namespace {

// Hosts that get all reports.
constexpr size_t kDeciders = 3;
// The second host takes a bad version back so long after the first should have,
// the third after twice the time.
constexpr int64_t kStandInDelayMs = 500;
// Reports are repeated, since messages may be lost.
constexpr int64_t kRepeatMs = 1'000;
// Minimum time between reports about bad answers.
constexpr int64_t kUrgentSpacingMs = 50;
// Time for a gateway that is not in contact with this one to read the store.
constexpr int64_t kReadByAllMs = 1'000;
// A view that was too old counts as too old for so long after.
constexpr int64_t kStaleHoldMs = 1'000;
// The hosts are ranked anew after this time.
constexpr int64_t kRankIntervalMs = 200;
// Bounds the memory for one order.
constexpr size_t kMaxCounters = 200;
constexpr size_t kMaxFollowers = 4'096;

// Counters of an earlier order of the service do not match those of this one.
uint64_t VersionHash(const RolloutOrder& order, const std::string& version) {
  return HashName(order.target + "/" + version);
}

bool Has(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

RolloutDirector::RolloutDirector(RolloutDirectorOptions options)
    : options_(std::move(options)) {}

bool RolloutDirector::IsRunning(const Order& order) const {
  const RolloutStatus& status = order.object.status;
  const bool recorded = status.target == order.object.order.target;
  return !recorded || status.state == RolloutState::kRequested ||
         status.state == RolloutState::kRunning;
}

bool RolloutDirector::running() const {
  return std::any_of(orders_.begin(), orders_.end(), [this](const auto& item) {
    return IsRunning(item.second);
  });
}

void RolloutDirector::SetStatus(Order& order, const RolloutObject& object,
                                int64_t now_ms) {
  if (object.revision != order.object.revision) {
    order.status_read_ms = now_ms;
    order.write_pending_until_ms = 0;
    order.changed = true;
  }
  order.object = object;
  const RolloutStatus& status = object.status;
  if (status.target != object.order.target) return;
  order.ordered_ms = std::min(order.ordered_ms, now_ms - status.elapsed_ms);
  std::set<uint64_t> old_versions;
  for (const std::string& version : status.old_versions) {
    old_versions.insert(VersionHash(object.order, version));
  }
  order.evidence.set_versions(VersionHash(object.order, object.order.target),
                              std::move(old_versions));
}

std::vector<RolloutNote> RolloutDirector::OnObjects(
    const std::map<std::string, RolloutObject>& objects, int64_t now_ms) {
  std::vector<RolloutNote> notes;
  for (auto it = orders_.begin(); it != orders_.end();) {
    if (objects.count(it->first) > 0) {
      ++it;
      continue;
    }
    if (IsRunning(it->second)) {
      notes.push_back({it->first, "removed while it was running"});
    }
    removed_[it->first] = RuleAfterRemoval(RuleFor(it->second.object, false));
    it = orders_.erase(it);
  }
  for (const auto& [service, object] : objects) {
    removed_.erase(service);
    auto it = orders_.find(service);
    const bool anew = it != orders_.end() &&
                      it->second.object.order.target != object.order.target;
    if (anew && IsRunning(it->second)) {
      notes.push_back({service, "replaced by another while it was running"});
    }
    if (anew) orders_.erase(it);
    if (anew || it == orders_.end()) {
      it = orders_.emplace(service, Order{}).first;
      it->second.ordered_ms = now_ms;
      it->second.status_read_ms = now_ms;
      it->second.target_seen_ms = now_ms;
      it->second.old_seen_ms = now_ms;
      if (!object.order.error.empty()) {
        notes.push_back({service, object.order.error});
      }
    }
    SetStatus(it->second, object, now_ms);
  }
  return notes;
}

void RolloutDirector::OnViewAge(int64_t age_ms, int64_t now_ms) {
  if (age_ms > options_.max_view_age_ms) {
    stale_until_ms_ = now_ms + kStaleHoldMs;
  }
  stale_ = now_ms < stale_until_ms_;
}

std::map<std::string, VersionRule> RolloutDirector::Rules() const {
  std::map<std::string, VersionRule> rules = removed_;
  for (const auto& [service, order] : orders_) {
    rules[service] = RuleFor(order.object, stale_);
  }
  return rules;
}

void RolloutDirector::Sweep(
    const std::map<std::string, std::vector<std::string>>& versions) {
  std::erase_if(removed_, [&](const auto& item) {
    const auto it = versions.find(item.first);
    if (it == versions.end()) return true;
    const VersionRule& rule = item.second;
    const bool target_left =
        !rule.target_allowed && Has(it->second, rule.target);
    const bool old_left =
        !rule.old_allowed &&
        std::any_of(rule.old_versions.begin(), rule.old_versions.end(),
                    [&](const auto& old) { return Has(it->second, old); });
    return !target_left && !old_left;
  });
}

void RolloutDirector::OnAnswer(const std::string& service,
                               const std::string& version,
                               const std::string& route,
                               const VersionAnswer& answer) {
  const auto it = orders_.find(service);
  if (it == orders_.end() || !IsRunning(it->second)) return;
  Order& order = it->second;
  const std::pair key(version, route);
  if (order.counters.size() >= kMaxCounters && order.counters.count(key) == 0) {
    return;
  }
  VersionSample& counter = order.counters[key];
  ++counter.answers;
  counter.total_ms += answer.duration_ms;
  if (answer.failed) ++counter.failures;
  if (answer.unit_ms) ++counter.times[TimeBucket(*answer.unit_ms)];
  order.changed = true;
  if (answer.failed && version == order.object.order.target) {
    order.urgent = true;
  }
}

std::vector<VersionSample> RolloutDirector::Samples(const Order& order) const {
  std::vector<VersionSample> samples;
  const RolloutStatus& status = order.object.status;
  for (const auto& [key, counter] : order.counters) {
    if (key.first != order.object.order.target &&
        !Has(status.old_versions, key.first)) {
      continue;
    }
    VersionSample sample = counter;
    sample.service = HashName(order.object.order.service);
    sample.version = VersionHash(order.object.order, key.first);
    sample.route = HashName(key.second);
    samples.push_back(sample);
  }
  return samples;
}

void RolloutDirector::OnReport(const std::string& host, uint64_t boot,
                               const std::vector<VersionSample>& samples,
                               const std::vector<VersionStep>& steps,
                               int64_t /*now_ms*/) {
  for (auto& [service, order] : orders_) {
    const uint64_t hash = HashName(service);
    std::vector<VersionSample> own;
    for (const VersionSample& sample : samples) {
      if (sample.service == hash) own.push_back(sample);
    }
    if (!own.empty()) order.evidence.OnReport(host, boot, own);
    for (const VersionStep& step : steps) {
      if (step.service != hash) continue;
      if (order.followers.count(host) == 0 &&
          order.followers.size() >= kMaxFollowers) {
        continue;
      }
      Follower& follower = order.followers[host];
      // An older message that arrives late.
      if (boot < follower.boot) continue;
      if (follower.boot == boot && step.revision < follower.revision) continue;
      follower = {.boot = boot,
                  .revision = step.revision,
                  .old_in_flight = std::max<int64_t>(0, step.old_in_flight)};
    }
  }
}

int RolloutDirector::RankOf(const Order& order) const {
  const auto it = std::find(order.deciders.begin(), order.deciders.end(),
                            options_.plan.host);
  return it == order.deciders.end()
             ? -1
             : static_cast<int>(it - order.deciders.begin());
}

bool RolloutDirector::EveryoneFollows(const Order& order,
                                      const RolloutFleet& fleet,
                                      int64_t now_ms) const {
  const bool time_to_read = now_ms - order.status_read_ms >= kReadByAllMs;
  return std::all_of(
      fleet.silent_ms.begin(), fleet.silent_ms.end(), [&](const auto& peer) {
        if (peer.first == options_.plan.host) return true;
        const auto it = order.followers.find(peer.first);
        if (it != order.followers.end() &&
            it->second.revision >= order.object.revision) {
          return true;
        }
        return time_to_read && peer.second >= options_.out_of_contact_ms;
      });
}

RolloutView RolloutDirector::ViewOf(Order& order, const RolloutFleet& fleet,
                                    const ServiceUpstreams& upstreams,
                                    int64_t now_ms) const {
  const RolloutStatus& status = order.object.status;
  if (Has(upstreams.versions, order.object.order.target)) {
    order.target_seen_ms = now_ms;
  }
  for (const std::string& version : status.old_versions) {
    if (Has(upstreams.versions, version)) order.old_seen_ms = now_ms;
  }
  RolloutView view{
      .order = order.object.order,
      .status = status,
      .elapsed_ms = now_ms - order.ordered_ms,
      .in_step_ms = now_ms - order.status_read_ms,
      .answers = order.evidence.answers(),
      .versions = upstreams.versions,
      .target_missing_ms = now_ms - order.target_seen_ms,
      .old_missing_ms = now_ms - order.old_seen_ms,
      .service_known = upstreams.service_known,
      .everyone_follows = EveryoneFollows(order, fleet, now_ms),
      .old_in_flight = order.old_in_flight,
  };
  for (const auto& [host, follower] : order.followers) {
    if (fleet.silent_ms.count(host) > 0) {
      view.old_in_flight += follower.old_in_flight;
    }
  }
  return view;
}

void RolloutDirector::RankHosts(const RolloutFleet& fleet, int64_t now_ms) {
  const bool rank_anew = now_ms - last_ranked_ms_ >= kRankIntervalMs;
  if (rank_anew) {
    last_ranked_ms_ = now_ms;
    ranking_.set_hosts(fleet.ready_hosts);
  }
  for (auto& [service, order] : orders_) {
    if (!rank_anew && !order.deciders.empty()) continue;
    order.deciders =
        ranking_.Ranked(HashName("rollout/" + service), kDeciders, now_ms);
  }
}

void RolloutDirector::CountOldCalls(Order& order,
                                    const ServiceUpstreams& upstreams) {
  int64_t old_in_flight = 0;
  for (const std::string& version : order.object.status.old_versions) {
    const auto calls = upstreams.in_flight.find(version);
    if (calls != upstreams.in_flight.end()) old_in_flight += calls->second;
  }
  if (old_in_flight != order.old_in_flight) order.changed = true;
  order.old_in_flight = old_in_flight;
}

void RolloutDirector::CompareAt(Order& order, int64_t now_ms) {
  if (now_ms - order.last_tick_ms < RolloutEvidence::kTickMs) return;
  order.last_tick_ms = now_ms;
  order.evidence.OnReport(options_.plan.host, options_.boot, Samples(order));
  order.evidence.Tick();
  order.comparison = order.evidence.Compare();
  const bool fault = order.comparison.fault != VersionFault::kNone;
  if (!fault) order.bad_since_ms = -1;
  if (fault && order.bad_since_ms < 0) order.bad_since_ms = now_ms;
}

std::optional<RolloutWrite> RolloutDirector::Decide(
    Order& order, const RolloutFleet& fleet, const ServiceUpstreams& upstreams,
    int64_t now_ms) {
  const int rank = RankOf(order);
  if (rank < 0) return std::nullopt;
  CompareAt(order, now_ms);
  RolloutView view = ViewOf(order, fleet, upstreams, now_ms);
  view.comparison = order.comparison;
  if (now_ms < order.write_pending_until_ms) return std::nullopt;
  const bool waits = order.bad_since_ms < 0 ||
                     now_ms - order.bad_since_ms < rank * kStandInDelayMs;
  if (rank > 0 && waits) return std::nullopt;
  auto next = PlanRollout(view, options_.plan);
  if (!next) return std::nullopt;
  if (rank > 0 && next->state != RolloutState::kRolledBack) return std::nullopt;
  return RolloutWrite{.service = order.object.order.service,
                      .revision = order.object.revision,
                      .status = std::move(*next),
                      .comparison = view.comparison,
                      .answers = view.answers,
                      .target_answers = order.evidence.target_answers(),
                      .old_in_flight = view.old_in_flight};
}

std::vector<RolloutWrite> RolloutDirector::Plan(
    const RolloutFleet& fleet,
    const std::map<std::string, ServiceUpstreams>& upstreams, int64_t now_ms) {
  std::vector<RolloutWrite> writes;
  if (!running()) return writes;
  RankHosts(fleet, now_ms);
  for (auto& [service, order] : orders_) {
    if (!IsRunning(order)) continue;
    const auto found = upstreams.find(service);
    const ServiceUpstreams none{.service_known = false};
    const ServiceUpstreams& own =
        found == upstreams.end() ? none : found->second;
    CountOldCalls(order, own);
    if (auto write = Decide(order, fleet, own, now_ms)) {
      writes.push_back(std::move(*write));
    }
  }
  return writes;
}

void RolloutDirector::OnWritten(const std::string& service, int64_t until_ms) {
  const auto it = orders_.find(service);
  if (it != orders_.end()) it->second.write_pending_until_ms = until_ms;
}

std::vector<RolloutReport> RolloutDirector::Reports(int64_t interval_ms,
                                                    int64_t now_ms) {
  std::vector<RolloutReport> reports;
  for (auto& [service, order] : orders_) {
    if (!IsRunning(order)) continue;
    const int64_t since_ms = now_ms - order.last_report_ms;
    const int64_t due_ms = order.urgent    ? kUrgentSpacingMs
                           : order.changed ? interval_ms
                                           : kRepeatMs;
    if (since_ms < due_ms) continue;
    order.last_report_ms = now_ms;
    order.urgent = false;
    order.changed = false;
    RolloutReport report{.samples = Samples(order)};
    for (const std::string& host : order.deciders) {
      if (host != options_.plan.host) report.to.push_back(host);
    }
    report.steps.push_back({.service = HashName(service),
                            .revision = order.object.revision,
                            .old_in_flight = order.old_in_flight});
    if (!report.to.empty()) reports.push_back(std::move(report));
  }
  return reports;
}

std::map<std::string, RolloutObject> RolloutDirector::Objects() const {
  std::map<std::string, RolloutObject> objects;
  for (const auto& [service, order] : orders_) objects[service] = order.object;
  return objects;
}

int64_t RolloutDirector::dropped_reports() const {
  int64_t sum = 0;
  for (const auto& [service, order] : orders_) sum += order.evidence.dropped();
  return sum;
}

}  // namespace pimento
