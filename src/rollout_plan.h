// Decides what happens next to an order that moves a service to another
// version: a larger share, back to the old version, or done.
//
// Load pattern: the new version may turn out bad at any time, and may get no
// more than a tenth of the requests that reach the service between the order
// and its time limit, unless it is good. So the share stays below a tenth for
// as long as the time limit allows and then grows to everything in a few short
// steps, each only while the version is as good as the old one beside it.
// Where little traffic comes, the share is larger, as far as the bound on the
// number of requests allows.
//
//   over 20 s     first   2%   until  2.4 s
//                 canary  5%   until 11.6 s
//                 part   20%   until 13.2 s
//                 half   50%   until 14.0 s
//                 all   100%   until every gateway has moved and no call is
//                 left
//                              on the old upstreams: completed
//   at any step   the target fails more or is slower: rolled_back
//
// Load pattern on completion: the old upstreams stop at once. It is written
// only when every gateway in contact sends nothing to them, and those out of
// contact have had no usable configuration for a while.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/rollout_evidence.h"
#include "src/rollout_order.h"

namespace pimento {

struct RolloutPlanOptions {
  // Share of all requests, and number beyond it, that a bad version may get.
  double expose_share = 0.1;
  double bad_exposure = 50;
  // Name of this host, recorded with its decisions.
  std::string host = {};
};

struct RolloutView {
  RolloutOrder order = {};
  // As last read.
  RolloutStatus status = {};
  // Since the order, and since the status was read.
  int64_t elapsed_ms = 0;
  int64_t in_step_ms = 0;
  VersionComparison comparison = {};
  // Answers of the service since the order.
  int64_t answers = 0;
  // Versions of the upstreams that are in service.
  std::vector<std::string> versions = {};
  // For how long no upstream of the target, or of the old versions, has been in
  // service; 0 while there is one.
  int64_t target_missing_ms = 0;
  int64_t old_missing_ms = 0;
  // True if the operators' configuration names the service.
  bool service_known = true;
  // True if every gateway that may send has read this status.
  bool everyone_follows = false;
  // Calls in flight on the old versions, from all gateways in contact.
  int64_t old_in_flight = 0;
};

// The next record; empty if there is nothing to write now.
std::optional<RolloutStatus> PlanRollout(const RolloutView& view,
                                         const RolloutPlanOptions& options);

// When a step begins at the earliest, since the order.
int64_t StepStartMs(RolloutStep step, int64_t over_ms);

// The versions that the order replaces, of those in service, given what is
// recorded of an earlier order of the service.
std::vector<std::string> OldVersions(const RolloutOrder& order,
                                     const RolloutStatus& earlier,
                                     const std::vector<std::string>& versions);

}  // namespace pimento
