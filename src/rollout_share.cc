#include "src/rollout_share.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "src/name_hash.h"

namespace pimento {
namespace {

// Upstreams of the target that are used at least: one may be faulty by itself.
constexpr size_t kMinTargetUpstreams = 2;
// Shares are told apart in steps of a ten-thousandth.
constexpr uint64_t kShareSteps = 10'000;

// The rule while nothing is recorded of the order: the target gets nothing, and
// the others what an earlier order of the service has left them.
VersionRule RuleBefore(const RolloutObject& object) {
  const RolloutStatus& earlier = object.status;
  VersionRule rule{.target = object.order.target,
                   .others_allowed = true,
                   .target_as_last_resort = true};
  switch (earlier.state) {
    case RolloutState::kRequested:
      break;
    case RolloutState::kRunning:
      rule.others_allowed = earlier.old_versions.empty();
      rule.old_versions.insert(earlier.old_versions.begin(),
                               earlier.old_versions.end());
      break;
    case RolloutState::kCompleted:
      rule.excluded.insert(earlier.old_versions.begin(),
                           earlier.old_versions.end());
      break;
    case RolloutState::kRolledBack:
      rule.excluded.insert(earlier.target);
      break;
  }
  return rule;
}

}  // namespace

VersionRule RuleFor(const RolloutObject& object, bool stale) {
  const RolloutStatus& status = object.status;
  if (status.target != object.order.target) return RuleBefore(object);
  VersionRule rule{.target = object.order.target};
  rule.old_versions.insert(status.old_versions.begin(),
                           status.old_versions.end());
  switch (status.state) {
    case RolloutState::kRequested:
      return RuleBefore(object);
    case RolloutState::kRunning:
      if (status.step == RolloutStep::kAll) {
        rule.old_allowed = false;
        rule.target_allowed = true;
        rule.share = 1;
      } else if (!stale) {
        rule.share = status.share;
        rule.target_allowed = status.share > 0;
      }
      rule.target_as_last_resort = rule.old_versions.empty();
      break;
    case RolloutState::kCompleted:
      rule.others_allowed = true;
      rule.old_allowed = false;
      rule.target_allowed = true;
      rule.share = 1;
      break;
    case RolloutState::kRolledBack:
      rule.others_allowed = true;
      // Nothing speaks against the target of an order that cannot be carried
      // out.
      rule.target_as_last_resort = !object.order.error.empty();
      break;
  }
  return rule;
}

VersionRule RuleAfterRemoval(const VersionRule& last) {
  VersionRule rule = last;
  rule.others_allowed = true;
  // Only a completed order leaves others beside the target in service.
  const bool completed = last.others_allowed && last.target_allowed;
  if (completed) return rule;
  rule.old_allowed = true;
  rule.target_allowed = false;
  rule.target_as_last_resort = true;
  rule.share = 0;
  return rule;
}

std::vector<VersionSide> SidesOf(const VersionRule& rule,
                                 const std::vector<VersionedUpstream>& all) {
  const auto allowed = [&](const VersionedUpstream& upstream) {
    if (upstream.version == rule.target) return rule.target_allowed;
    if (rule.excluded.count(upstream.version) > 0) return false;
    if (rule.old_versions.count(upstream.version) > 0) return rule.old_allowed;
    return rule.others_allowed;
  };
  const bool any_allowed = std::any_of(all.begin(), all.end(), allowed);
  const bool last_resort = rule.target_as_last_resort && !any_allowed;
  std::vector<std::pair<uint64_t, size_t>> targets;
  std::vector<VersionSide> sides(all.size(), VersionSide::kExcluded);
  const bool divided = rule.target_allowed && rule.old_allowed;
  for (size_t i = 0; i < all.size(); ++i) {
    const bool target = all[i].version == rule.target;
    if (target && divided) targets.emplace_back(all[i].hash, i);
    if (allowed(all[i]) || (target && last_resort)) {
      sides[i] = divided ? VersionSide::kOld : VersionSide::kAny;
    }
  }
  std::sort(targets.begin(), targets.end());
  const auto wanted = static_cast<size_t>(
      std::ceil(rule.share * static_cast<double>(targets.size())));
  const size_t used = std::max(kMinTargetUpstreams, wanted);
  for (size_t i = 0; i < targets.size(); ++i) {
    sides[targets[i].second] =
        i < used ? VersionSide::kTarget : VersionSide::kExcluded;
  }
  return sides;
}

bool MayUse(VersionSide upstream, VersionSide call) {
  switch (upstream) {
    case VersionSide::kAny:
      return true;
    case VersionSide::kOld:
      return call != VersionSide::kTarget;
    case VersionSide::kTarget:
      return call == VersionSide::kTarget;
    case VersionSide::kExcluded:
      return false;
  }
  return false;
}

VersionSide SideOfCall(const VersionRule& rule, const std::string& key) {
  if (!rule.target_allowed) return VersionSide::kOld;
  const auto steps = static_cast<uint64_t>(
      std::lround(rule.share * static_cast<double>(kShareSteps)));
  // Salted, since other choices hash the same keys.
  const uint64_t draw = HashName(rule.target + "/" + key) % kShareSteps;
  return draw < steps ? VersionSide::kTarget : VersionSide::kOld;
}

}  // namespace pimento
