// Chooses the upstream for a call. Policies are strategy objects, so that each
// can be measured against the baseline in one run.
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
  // The upstream that served the program last: it may hold its prefix.
  std::string last;
  // Upstreams that failed this call already.
  std::set<std::string> failed;
  // Latest load hint of an upstream; zeros where none is known.
  std::function<GateLoad(const std::string&)> load;
};

class UpstreamChoice {
 public:
  virtual ~UpstreamChoice() = default;
  // Returns the upstream's name, or "" when none may be used.
  virtual std::string Choose(const ChoiceInput& input) = 0;
};

enum class ChoicePolicy { kAffinity, kRoundRobin };

std::unique_ptr<UpstreamChoice> MakeChoice(ChoicePolicy policy, uint64_t seed);
// "affinity" or "round-robin"; anything else is the former.
ChoicePolicy ChoicePolicyFromName(const std::string& name);

}  // namespace pimento
