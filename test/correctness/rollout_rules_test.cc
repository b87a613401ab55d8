// Orders that follow each other, are removed or make no sense, and reports that
// cannot be true.
#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "platform/object_codec.h"
#include "src/rollout_evidence.h"
#include "src/rollout_plan.h"
#include "src/rollout_share.h"

namespace pimento {
namespace {

using Versions = std::vector<std::string>;

RolloutObject ObjectOf(RolloutState state, RolloutStep step, double share) {
  return {.revision = 1,
          .order = {.service = "talk", .target = "v2", .over_ms = 20'000},
          .status = {.state = state,
                     .target = "v2",
                     .step = step,
                     .share = share,
                     .old_versions = {"v1"}}};
}

std::vector<VersionSide> Sides(const VersionRule& rule,
                               const Versions& versions) {
  std::vector<VersionedUpstream> upstreams;
  for (size_t i = 0; i < versions.size(); ++i)
    upstreams.push_back({versions[i], i});
  return SidesOf(rule, upstreams);
}

using Sidelist = std::vector<VersionSide>;
constexpr auto kAny = VersionSide::kAny;
constexpr auto kOld = VersionSide::kOld;
constexpr auto kTarget = VersionSide::kTarget;
constexpr auto kExcluded = VersionSide::kExcluded;

}  // namespace

TEST_CASE("a version that is neither old nor target gets nothing") {
  const auto canary =
      ObjectOf(RolloutState::kRunning, RolloutStep::kCanary, 0.05);
  CHECK(Sides(RuleFor(canary, false), {"v1", "v2", "v3"}) ==
        Sidelist{kOld, kTarget, kExcluded});
  // A view that is too old: nothing for a version that is being tried.
  CHECK(Sides(RuleFor(canary, true), {"v1", "v2", "v3"}) ==
        Sidelist{kAny, kExcluded, kExcluded});
  // From the last step on, the old upstreams may stop at any time.
  const auto all = ObjectOf(RolloutState::kRunning, RolloutStep::kAll, 1);
  for (const bool stale : {false, true})
    CHECK(Sides(RuleFor(all, stale), {"v1", "v2", "v3"}) ==
          Sidelist{kExcluded, kAny, kExcluded});
  const auto back = ObjectOf(RolloutState::kRolledBack, RolloutStep::kHalf, 0);
  CHECK(Sides(RuleFor(back, false), {"v1", "v2", "v3"}) ==
        Sidelist{kAny, kExcluded, kAny});
  // Not even where nothing else is left.
  CHECK(Sides(RuleFor(back, false), {"v2"}) == Sidelist{kExcluded});
}

TEST_CASE("an order that was only read gives the target nothing") {
  RolloutObject read{.revision = 1,
                     .order = {.service = "talk", .target = "v2"}};
  CHECK(Sides(RuleFor(read, false), {"v1", "v2"}) == Sidelist{kAny, kExcluded});
  // The service runs the target already.
  CHECK(Sides(RuleFor(read, false), {"v2"}) == Sidelist{kAny});
}

TEST_CASE("an order that is removed halfway leaves traffic as before") {
  const auto half = ObjectOf(RolloutState::kRunning, RolloutStep::kHalf, 0.5);
  const VersionRule after = RuleAfterRemoval(RuleFor(half, false));
  CHECK(Sides(after, {"v1", "v2", "v3"}) == Sidelist{kAny, kExcluded, kAny});
  CHECK(Sides(after, {"v2"}) == Sidelist{kAny});
  const auto done = ObjectOf(RolloutState::kCompleted, RolloutStep::kAll, 1);
  CHECK(Sides(RuleAfterRemoval(RuleFor(done, false)), {"v1", "v2", "v3"}) ==
        Sidelist{kExcluded, kAny, kAny});
}

TEST_CASE("an order after another one") {
  const RolloutOrder next{.service = "talk", .target = "v3", .over_ms = 1'000};
  const auto old_of = [&](RolloutState state) {
    return OldVersions(next, ObjectOf(state, RolloutStep::kHalf, 0.5).status,
                       {"v1", "v2", "v3"});
  };
  CHECK(old_of(RolloutState::kRunning) == Versions{"v1"});
  CHECK(old_of(RolloutState::kCompleted) == Versions{"v2"});
  CHECK(old_of(RolloutState::kRolledBack) == Versions{"v1"});
  // Until the new order is recorded.
  for (const auto& [state, expected] :
       {std::pair(RolloutState::kRunning, Sidelist{kAny, kExcluded, kExcluded}),
        std::pair(RolloutState::kCompleted,
                  Sidelist{kExcluded, kAny, kExcluded}),
        std::pair(RolloutState::kRolledBack,
                  Sidelist{kAny, kExcluded, kExcluded})}) {
    RolloutObject object = ObjectOf(state, RolloutStep::kHalf, 0.5);
    object.order = next;
    CAPTURE(Name(state));
    CHECK(Sides(RuleFor(object, false), {"v1", "v2", "v3"}) == expected);
  }
}

TEST_CASE("orders that cannot be carried out say so") {
  for (const char* spec :
       {"null", "{}", "[1]", R"({"service":"talk","target":"v2"})",
        R"({"service":"talk","target":"v2","over_s":0})",
        R"({"service":"talk","target":"v2","over_s":-3})",
        R"({"service":"talk","target":"v2","over_s":1e300})",
        R"({"service":"talk","target":"v2","over_s":"9"})",
        R"({"service":"talk","target":7,"over_s":9})",
        R"({"service":"other","target":"v2","over_s":9})"}) {
    CAPTURE(spec);
    const auto order =
        platform::DecodeRollout("talk", boost::json::parse(spec));
    CHECK_FALSE(order.error.empty());
    const auto next = PlanRollout({.order = order}, {});
    REQUIRE(next.has_value());
    CHECK(next->state == RolloutState::kRolledBack);
    CHECK(next->reason == order.error);
  }
  const auto order = platform::DecodeRollout(
      "talk",
      boost::json::parse(R"({"service":"talk","target":"v2","over_s":9.5})"));
  CHECK(order.error.empty());
  CHECK(order.over_ms == 9'500);
}

TEST_CASE("a record is read as it was written") {
  const RolloutStatus status{.state = RolloutState::kRunning,
                             .target = "v2",
                             .step = RolloutStep::kPart,
                             .share = 0.2,
                             .old_versions = {"v1", "v0"},
                             .elapsed_ms = 1'234,
                             .decided_by = "a",
                             .reason = "b"};
  const auto read =
      platform::DecodeRolloutStatus(platform::EncodeRolloutStatus(status));
  CHECK(read.state == status.state);
  CHECK(read.target == status.target);
  CHECK(read.step == status.step);
  CHECK(read.share == status.share);
  CHECK(read.old_versions == status.old_versions);
  CHECK(read.elapsed_ms == status.elapsed_ms);
  CHECK(read.decided_by == status.decided_by);
  CHECK(read.reason == status.reason);
  for (const char* text :
       {"null", "7", "[]", R"({"state":4,"share":"x","from":7})",
        R"({"share":-7,"elapsed_ms":-1,"from":[1,null]})"}) {
    const auto odd = platform::DecodeRolloutStatus(boost::json::parse(text));
    CHECK(odd.state == RolloutState::kRequested);
    CHECK(odd.share == 0);
    CHECK(odd.elapsed_ms == 0);
  }
}

TEST_CASE("reports that cannot be true, and senders that start anew") {
  RolloutEvidence evidence;
  evidence.set_versions(2, {1});
  const VersionSample good{
      .version = 2, .route = 5, .answers = 10, .failures = 1};
  evidence.OnReport("a", 1, {good});
  evidence.OnReport("a", 1, {good});  // repeated
  CHECK(evidence.target_answers() == 10);
  VersionSample odd = good;
  odd.answers = 9;  // an older message
  evidence.OnReport("a", 1, {odd});
  odd = {.version = 2, .route = 5, .answers = 20, .failures = 21};
  evidence.OnReport("a", 1, {odd});
  odd = {.version = 2, .route = 5, .answers = -20, .failures = -21};
  evidence.OnReport("a", 1, {odd});
  odd = {.version = 2, .route = 5, .answers = int64_t{1} << 40, .failures = 1};
  evidence.OnReport("a", 1, {odd});
  odd = {.version = 9, .route = 5, .answers = 100};  // another version
  evidence.OnReport("a", 1, {odd});
  CHECK(evidence.target_answers() == 10);
  CHECK(evidence.answers() == 10);
  CHECK(evidence.dropped() == 3);
  evidence.OnReport("a", 2, {{.version = 2, .route = 5, .answers = 3}});
  CHECK(evidence.target_answers() == 13);
  // A datagram of the first start that arrives late, and one after it.
  evidence.OnReport("a", 1, {good});
  evidence.OnReport("a", 2, {{.version = 2, .route = 5, .answers = 3}});
  CHECK(evidence.target_answers() == 13);
}

}  // namespace pimento
