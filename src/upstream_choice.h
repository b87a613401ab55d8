// Selects the upstream for a call.
//
// Each policy is a strategy object, so that it can be compared with the
// baseline (round-robin) in one run:
//
//   affinity     stays with the program's last upstream, which may have the
//                prompt prefix cached, until the queue there is long; otherwise
//                the least loaded one
//   round-robin  each usable upstream in turn
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "src/document.h"
#include "src/upstream_gate.h"

namespace pimento {

struct ChoiceInput {
  const Document* document = nullptr;
  std::string service;
  // The upstream that served the program last: it may have the program's prompt
  // prefix cached.
  std::string last;
  // Upstreams on which this call has already failed.
  std::set<std::string> failed;
  // Last known load of an upstream; all zeros if there is none.
  std::function<GateLoad(const std::string&)> load;
};

class UpstreamChoice {
 public:
  virtual ~UpstreamChoice() = default;
  // Returns the name of the upstream, or "" if none is usable.
  virtual std::string Choose(const ChoiceInput& input) = 0;
};

enum class ChoicePolicy { kAffinity, kRoundRobin };

std::unique_ptr<UpstreamChoice> MakeChoice(ChoicePolicy policy, uint64_t seed);
// Parses "affinity" or "round-robin"; any other name means affinity.
ChoicePolicy ChoicePolicyFromName(const std::string& name);

}  // namespace pimento
