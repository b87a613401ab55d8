#include "src/upstream_choice.h"

#include <algorithm>
#include <vector>

namespace pimento {
namespace {

// A queue longer than this share of the window costs more than computing a
// prefix again elsewhere.
constexpr double kGiveUpAffinity = 0.5;
// With more upstreams than this, a few random ones are compared instead of all.
constexpr size_t kCompareAll = 16;

std::vector<std::string> Usable(const ChoiceInput& input) {
  std::vector<std::string> names;
  for (const auto& [name, upstream] : input.document->upstreams) {
    const bool ours =
        upstream.service == input.service && input.document->Usable(upstream);
    if (ours && !input.failed.contains(name)) names.push_back(name);
  }
  return names;
}

double Pressure(const GateLoad& load) {
  return static_cast<double>(load.in_flight + load.queued) /
         std::max(1U, load.limit);
}

class AffinityChoice final : public UpstreamChoice {
 public:
  explicit AffinityChoice(uint64_t seed) : random_(seed) {}

  std::string Choose(const ChoiceInput& input) override {
    std::vector<std::string> names = Usable(input);
    if (names.empty()) return "";
    const bool known =
        std::find(names.begin(), names.end(), input.last) != names.end();
    if (known && Worthwhile(input.load(input.last))) return input.last;
    std::shuffle(names.begin(), names.end(), random_);
    if (names.size() > kCompareAll) names.resize(kCompareAll);
    return *std::min_element(names.begin(), names.end(),
                             [&](const std::string& a, const std::string& b) {
                               return Pressure(input.load(a)) <
                                      Pressure(input.load(b));
                             });
  }

 private:
  static bool Worthwhile(const GateLoad& load) {
    return load.queued <= std::max(1.0, kGiveUpAffinity * load.limit);
  }

  std::mt19937_64 random_;
};

class RoundRobinChoice final : public UpstreamChoice {
 public:
  std::string Choose(const ChoiceInput& input) override {
    const std::vector<std::string> names = Usable(input);
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
