#include "src/rollout_plan.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pimento {
namespace {

// Time reserved for the step kAll, in which the store may be away for some
// seconds, and for the steps between the canary and it.
constexpr double kMinFinishMs = 6'000;
constexpr double kMaxFinishMs = 8'000;
constexpr double kUsualFinishShare = 0.2;
constexpr double kMaxFinishShare = 0.45;
constexpr double kMaxGrowthMs = 2'400;
constexpr double kGrowthShare = 0.12;
// The first step takes this share of the order's time.
constexpr double kFirstShare = 0.12;
// Of the time for growth, the part before the step kHalf.
constexpr double kPartOfGrowth = 2.0 / 3;

// Shares of requests: in parts of expose_share, then in parts of all.
constexpr double kFirstOfExposure = 0.2;
constexpr double kCanaryOfExposure = 0.5;
constexpr double kPartShare = 0.2;
constexpr double kHalfShare = 0.5;
// Part of bad_exposure that the canary may use up in addition.
constexpr double kSpareExposure = 0.6;
// The canary's share is written anew when it should be this much lower or
// higher.
constexpr double kCanaryLower = 0.8;
constexpr double kCanaryHigher = 2;
// Traffic is unknown before this time.
constexpr int64_t kMinTrafficMs = 800;
// A step is held at least for so long, also when the schedule is late.
constexpr int64_t kMinStepMs = 500;
// An upstream's entry may be missing for a moment.
constexpr int64_t kMissingMs = 2'000;
constexpr int64_t kMissingInLastStepMs = 500;
// The step kAll is held so long, since only then the target bears the whole
// load and can still be taken back.
constexpr double kMaxHoldAllMs = 1'500;
constexpr double kHoldAllShare = 0.1;
// Without any upstream of the target by this share of the time, the order is
// given up.
constexpr double kWaitShare = 0.6;
// With calls left on the old upstreams, the order is completed so long before
// its time is over.
constexpr int64_t kLastMomentMs = 700;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

double CanaryShare(const RolloutView& view, const RolloutPlanOptions& options) {
  double share = kCanaryOfExposure * options.expose_share;
  if (view.elapsed_ms < kMinTrafficMs) return share;
  // Requests until the time limit, if they go on as until now.
  const double expected = std::max(1.0, static_cast<double>(view.answers)) *
                          static_cast<double>(view.order.over_ms) /
                          static_cast<double>(view.elapsed_ms);
  share += kSpareExposure * options.bad_exposure / expected;
  return std::min(share, kHalfShare);
}

double ShareOf(RolloutStep step, const RolloutView& view,
               const RolloutPlanOptions& options) {
  const double canary = CanaryShare(view, options);
  switch (step) {
    case RolloutStep::kFirst:
      return kFirstOfExposure * options.expose_share;
    case RolloutStep::kCanary:
      return canary;
    case RolloutStep::kPart:
      return std::max(kPartShare, canary);
    case RolloutStep::kHalf:
      return kHalfShare;
    case RolloutStep::kAll:
      return 1;
    default:
      return 0;
  }
}

RolloutStatus Next(const RolloutView& view, const RolloutPlanOptions& options) {
  RolloutStatus next = view.status;
  next.target = view.order.target;
  next.elapsed_ms = view.elapsed_ms;
  next.decided_by = options.host;
  next.reason.clear();
  return next;
}

RolloutStatus TakeBack(const RolloutView& view,
                       const RolloutPlanOptions& options, std::string reason) {
  RolloutStatus next = Next(view, options);
  next.state = RolloutState::kRolledBack;
  next.share = 0;
  next.reason = std::move(reason);
  return next;
}

RolloutStatus Begin(const RolloutView& view,
                    const RolloutPlanOptions& options) {
  RolloutStatus next = Next(view, options);
  next.state = RolloutState::kRunning;
  next.step = RolloutStep::kWaiting;
  next.share = 0;
  next.old_versions = OldVersions(view.order, view.status, view.versions);
  if (!view.service_known) next.reason = "unknown service";
  return next;
}

std::string Describe(const VersionComparison& found) {
  return std::string(Name(found.fault)) + ": target " +
         std::to_string(found.target_bad) + " of " +
         std::to_string(found.target_answers) + ", before " +
         std::to_string(found.old_bad) + " of " +
         std::to_string(found.old_answers);
}

// Why the target is to be taken back; empty if it is not.
std::string ReasonToTakeBack(const RolloutView& view) {
  const RolloutStatus& status = view.status;
  if (view.comparison.fault != VersionFault::kNone) {
    return Describe(view.comparison);
  }
  if (status.step == RolloutStep::kWaiting) {
    const auto limit_ms = static_cast<int64_t>(
        kWaitShare * static_cast<double>(view.order.over_ms));
    return view.target_missing_ms > 0 && view.elapsed_ms > limit_ms
               ? "no upstream runs the target"
               : "";
  }
  const int64_t missing_ms =
      status.step == RolloutStep::kAll ? kMissingInLastStepMs : kMissingMs;
  return view.target_missing_ms > missing_ms ? "the target's upstreams are gone"
                                             : "";
}

bool MayComplete(const RolloutView& view) {
  const auto hold_ms = static_cast<int64_t>(std::min(
      kMaxHoldAllMs, kHoldAllShare * static_cast<double>(view.order.over_ms)));
  const bool nothing_to_compare = view.status.old_versions.empty();
  if (!view.everyone_follows) return false;
  if (!nothing_to_compare && view.in_step_ms < hold_ms) return false;
  return view.old_in_flight == 0 ||
         view.elapsed_ms >= view.order.over_ms - kLastMomentMs;
}

}  // namespace

std::string_view Name(RolloutStep step) {
  constexpr std::array<std::string_view,
                       static_cast<size_t>(RolloutStep::kCount)>
      kNames = {"waiting", "first", "canary", "part", "half", "all"};
  return kNames[static_cast<size_t>(step)];
}

std::string_view Name(RolloutState state) {
  constexpr std::array<std::string_view, 4> kNames = {
      "requested", "running", "completed", "rolled_back"};
  return kNames[static_cast<size_t>(state)];
}

int64_t StepStartMs(RolloutStep step, int64_t over_ms) {
  const auto over = static_cast<double>(over_ms);
  const double finish = std::min(
      kMaxFinishShare * over,
      std::clamp(kUsualFinishShare * over, kMinFinishMs, kMaxFinishMs));
  const double all = over - finish;
  const double growth = std::min(kMaxGrowthMs, kGrowthShare * over);
  double start = 0;
  switch (step) {
    case RolloutStep::kCanary:
      start = kFirstShare * over;
      break;
    case RolloutStep::kPart:
      start = all - growth;
      break;
    case RolloutStep::kHalf:
      start = all - growth * (1 - kPartOfGrowth);
      break;
    case RolloutStep::kAll:
      start = all;
      break;
    default:
      break;
  }
  return static_cast<int64_t>(start);
}

std::vector<std::string> OldVersions(const RolloutOrder& order,
                                     const RolloutStatus& earlier,
                                     const std::vector<std::string>& versions) {
  std::vector<std::string> old;
  const bool superseded =
      !earlier.target.empty() && earlier.target != order.target;
  for (const std::string& version : versions) {
    if (version == order.target) continue;
    const bool replaced = Contains(earlier.old_versions, version);
    if (superseded && earlier.state == RolloutState::kCompleted && replaced) {
      continue;
    }
    if (superseded && earlier.state == RolloutState::kRunning && !replaced) {
      continue;
    }
    if (superseded && earlier.state == RolloutState::kRolledBack &&
        version == earlier.target) {
      continue;
    }
    old.push_back(version);
  }
  return old;
}

std::optional<RolloutStatus> PlanRollout(const RolloutView& view,
                                         const RolloutPlanOptions& options) {
  const RolloutStatus& status = view.status;
  const bool recorded = status.target == view.order.target;
  const bool over = status.state == RolloutState::kCompleted ||
                    status.state == RolloutState::kRolledBack;
  if (recorded && over) return std::nullopt;
  if (!view.order.error.empty()) {
    return TakeBack(view, options, view.order.error);
  }
  if (!recorded || status.state == RolloutState::kRequested) {
    return Begin(view, options);
  }
  std::string reason = ReasonToTakeBack(view);
  if (!reason.empty()) return TakeBack(view, options, std::move(reason));

  RolloutStatus next = Next(view, options);
  if (status.step == RolloutStep::kAll) {
    if (!MayComplete(view)) return std::nullopt;
    next.state = RolloutState::kCompleted;
    return next;
  }
  if (view.target_missing_ms > 0) return std::nullopt;
  // With nothing beside the target there is nothing to compare it with.
  const bool alone =
      status.old_versions.empty() || view.old_missing_ms > kMissingMs;
  const auto following =
      alone ? RolloutStep::kAll
            : static_cast<RolloutStep>(static_cast<int>(status.step) + 1);
  const bool due =
      alone || (view.elapsed_ms >= StepStartMs(following, view.order.over_ms) &&
                view.in_step_ms >=
                    (status.step == RolloutStep::kWaiting ? 0 : kMinStepMs));
  if (due) {
    next.step = following;
    next.share = ShareOf(following, view, options);
    if (alone) next.reason = "no other version is in service";
    return next;
  }
  if (status.step != RolloutStep::kCanary || view.in_step_ms < kMinStepMs) {
    return std::nullopt;
  }
  const double share = CanaryShare(view, options);
  if (share > kCanaryLower * status.share &&
      share < kCanaryHigher * status.share) {
    return std::nullopt;
  }
  next.share = share;
  return next;
}

}  // namespace pimento
