#include "src/upstream_choice.h"

#include <algorithm>
#include <vector>

namespace pimento {
namespace {

// Queue length, as a share of the window, above which waiting costs more than
// recomputing the prompt prefix on another upstream.
constexpr double kMaxAffinityQueueShare = 0.5;
// At most this many upstreams are compared; a random sample if there are more.
constexpr size_t kMaxCandidates = 16;

// Upstreams of the service that accept calls and have not failed this one.
std::vector<std::string> UsableUpstreams(const ChoiceInput& input) {
  std::vector<std::string> names;
  for (const auto& [name, upstream] : input.document->upstreams) {
    const bool ours =
        upstream.service == input.service && input.document->Usable(upstream);
    if (ours && !input.failed.contains(name)) names.push_back(name);
  }
  return names;
}

// Calls in flight and queued, relative to the window.
double RelativeLoad(const GateLoad& load) {
  return static_cast<double>(load.in_flight + load.queued) /
         std::max(1U, load.limit);
}

class AffinityChoice final : public UpstreamChoice {
 public:
  explicit AffinityChoice(uint64_t seed) : random_(seed) {}

  std::string Choose(const ChoiceInput& input) override {
    std::vector<std::string> names = UsableUpstreams(input);
    if (names.empty()) return "";
    const bool known =
        std::find(names.begin(), names.end(), input.last) != names.end();
    if (known && QueueIsShort(input.load(input.last))) return input.last;
    std::shuffle(names.begin(), names.end(), random_);
    if (names.size() > kMaxCandidates) names.resize(kMaxCandidates);
    return *std::min_element(names.begin(), names.end(),
                             [&](const std::string& a, const std::string& b) {
                               return RelativeLoad(input.load(a)) <
                                      RelativeLoad(input.load(b));
                             });
  }

 private:
  static bool QueueIsShort(const GateLoad& load) {
    return load.queued <= std::max(1.0, kMaxAffinityQueueShare * load.limit);
  }

  std::mt19937_64 random_;
};

class RoundRobinChoice final : public UpstreamChoice {
 public:
  std::string Choose(const ChoiceInput& input) override {
    const std::vector<std::string> names = UsableUpstreams(input);
    return names.empty() ? "" : names[next_++ % names.size()];
  }

 private:
  size_t next_ = 0;
};

}  // namespace

std::unique_ptr<UpstreamChoice> MakeChoice(ChoicePolicy policy, uint64_t seed) {
  if (policy == ChoicePolicy::kRoundRobin) {
    return std::make_unique<RoundRobinChoice>();
  }
  return std::make_unique<AffinityChoice>(seed);
}

ChoicePolicy ChoicePolicyFromName(const std::string& name) {
  return name == "round-robin" ? ChoicePolicy::kRoundRobin
                               : ChoicePolicy::kAffinity;
}

}  // namespace pimento
