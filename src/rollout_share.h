// Which upstreams of a service may get calls while the service is moved to
// another version, and which version a call goes to.
//
// Load pattern: two versions of a service run side by side, the newer one
// possibly bad. A fixed share of programs goes to the newer one, so that a
// program's turns stay with the version that has its prompt cached. At a small
// share only a few of the newer upstreams are used, each as loaded as an older
// one, so that a version that is bad under load shows it early.
//
//   share 0.05, 45 upstreams of the target   3 of them are used; 5% of programs
//                                            go there, the others do not
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "src/rollout_order.h"

namespace pimento {

enum class VersionSide : uint8_t {
  // An upstream that every call may use; a call that may use the old versions
  // only, where versions differ.
  kAny,
  kOld,
  kTarget,
  // An upstream that gets no calls.
  kExcluded,
};

// What a gateway applies to the upstreams of one service.
struct VersionRule {
  std::string target = {};
  std::set<std::string> old_versions = {};
  // Versions that an earlier order of the service left out of service.
  std::set<std::string> excluded = {};
  // True if versions that are neither may be used.
  bool others_allowed = false;
  bool old_allowed = true;
  bool target_allowed = false;
  // True if the target is used when no other upstream is in service.
  bool target_as_last_resort = false;
  // Share of calls that go to the target.
  double share = 0;

  bool operator==(const VersionRule&) const = default;
};

// The rule for an order as a gateway has read it. `stale`: the gateway does not
// know the newest state of the order, so a target that is being tried may have
// been taken back.
VersionRule RuleFor(const RolloutObject& object, bool stale);
// The rule after an order was removed from the store, given the last rule.
VersionRule RuleAfterRemoval(const VersionRule& last);

// An upstream of the service that is in service.
struct VersionedUpstream {
  std::string version = {};
  // HashName() of its id.
  uint64_t hash = 0;
};
// The side of each of `upstreams`, in the same order.
std::vector<VersionSide> SidesOf(const VersionRule& rule,
                                 const std::vector<VersionedUpstream>& all);

// True if a call of side `call` may use an upstream of side `upstream`.
bool MayUse(VersionSide upstream, VersionSide call);
// The side of a call. `key` is the same for all calls of a program.
VersionSide SideOfCall(const VersionRule& rule, const std::string& key);

}  // namespace pimento
