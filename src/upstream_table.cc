#include "src/upstream_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/cold_share.h"

namespace pimento {
namespace {

constexpr int64_t kSecondMs = 1'000;
// An engine reads about this many prompt tokens each millisecond.
constexpr double kReadTokensPerMs = 150;
// Until an upstream has been seen at work.
constexpr double kUnknownPaceMs = 30;
// How much one more call in flight slows the others, as a share of their work.
constexpr double kCrowding = 0.02;
// A call beyond the upstream's places waits for one to free up.
constexpr double kWaitShare = 0.5;
constexpr double kFailureCostMs = 800;
constexpr double kOtherZoneCostMs = 2;
constexpr double kAverageWeight = 0.1;
constexpr int kFailuresToAvoid = 2;
constexpr int64_t kFirstAvoidMs = 300;
constexpr int64_t kMostAvoidMs = 3'000;
constexpr size_t kMostPrefixes = 4'096;
constexpr int64_t kPrefixLifeMs = 60'000;

uint64_t Mix(uint64_t hash, uint64_t value) {
  const uint64_t pair[2] = {hash, value};
  return XXH3_64bits(pair, sizeof pair);
}

void Average(double& average, double value) {
  average = average == 0 ? value : average + kAverageWeight * (value - average);
}

}  // namespace

UpstreamTable::UpstreamTable(UpstreamTableOptions options)
    : options_(std::move(options)) {}

bool UpstreamTable::Put(const UpstreamEntry& entry, int64_t /*now_ms*/) {
  Upstream& upstream = upstreams_[entry.id];
  const UpstreamEntry before = upstream.entry;
  // Born anew under its old id: it holds and knows nothing of before.
  if (!before.id.empty() && before.born_ms != entry.born_ms) {
    const int64_t in_flight = upstream.in_flight;
    const auto sends = upstream.sends;
    upstream = Upstream{};
    upstream.in_flight = in_flight;
    upstream.sends = sends;
  }
  if (before.address != entry.address) upstream.gone = false;
  upstream.entry = entry;
  upstream.hash = HashOf(entry.id);
  return before.id.empty() || before.leaving != entry.leaving ||
         before.address != entry.address || before.born_ms != entry.born_ms;
}

bool UpstreamTable::Remove(const std::string& id) {
  return upstreams_.erase(id) > 0;
}

void UpstreamTable::set_drained_zones(std::set<std::string> zones) {
  drained_zones_ = std::move(zones);
}

void UpstreamTable::set_services(const DesiredState& state) {
  services_.clear();
  for (const ServiceSpec& service : state.services()) {
    services_[service.name] = service;
  }
}

void UpstreamTable::set_others_load(
    std::unordered_map<uint64_t, int64_t> load) {
  for (auto& [id, upstream] : upstreams_) {
    const auto it = load.find(upstream.hash);
    upstream.others_in_flight = it == load.end() ? 0 : it->second;
  }
}

std::optional<int64_t> UpstreamTable::SendsPerSecond(
    const Upstream& upstream) const {
  const auto it = services_.find(upstream.entry.service);
  if (it == services_.end() || it->second.cold_per_second <= 0) {
    return std::nullopt;
  }
  return ColdShare({.bears = it->second.cold_per_second * options_.cold_factor +
                             options_.cold_slack,
                    .gateways = gateways_,
                    .position = std::min(position_, gateways_ - 1),
                    .upstream_hash = upstream.hash});
}

bool UpstreamTable::HasShare(const std::string& service) const {
  return std::any_of(
      upstreams_.begin(), upstreams_.end(), [&](const auto& item) {
        return item.second.entry.service == service && !item.second.gone &&
               !item.second.entry.leaving && SendsPerSecond(item.second) != 0;
      });
}

bool UpstreamTable::Usable(const Upstream& upstream,
                           const PlacementInput& input, int64_t now_ms) const {
  const UpstreamEntry& entry = upstream.entry;
  return entry.service == input.service && !entry.leaving && !upstream.gone &&
         drained_zones_.count(entry.zone) == 0 &&
         input.tried.count(entry.id) == 0 && upstream.avoid_until_ms <= now_ms;
}

bool UpstreamTable::HasPlace(const Upstream& upstream, int64_t now_ms) const {
  const int64_t load = upstream.in_flight + upstream.others_in_flight;
  if (load >= upstream.entry.slots) return false;
  auto most = SendsPerSecond(upstream);
  if (!most) return true;
  // A service whose few upstreams are all left to others is served all the
  // same.
  if (*most == 0 && !HasShare(upstream.entry.service)) most = 1;
  const auto recent =
      std::count_if(upstream.sends.begin(), upstream.sends.end(),
                    [now_ms](int64_t at) { return at > now_ms - kSecondMs; });
  return recent < *most;
}

int64_t UpstreamTable::KeptTokens(const Upstream& upstream,
                                  const PlacementInput& input) const {
  if (input.prompt == nullptr) return 0;
  const bool held =
      !input.held_at.empty() && input.held_at == upstream.entry.id;
  uint64_t hash = 0;
  int64_t kept = 0;
  for (size_t i = 0; i < input.prompt->size(); ++i) {
    const PromptPart& part = (*input.prompt)[i];
    hash = Mix(hash, part.id);
    const bool last = i + 1 == input.prompt->size();
    if (upstream.prefixes.count(hash) == 0 && (!held || last)) break;
    kept += part.tokens;
  }
  return kept;
}

double UpstreamTable::Expected(const Upstream& upstream,
                               const PlacementInput& input) const {
  int64_t prompt = 0;
  if (input.prompt != nullptr) {
    for (const PromptPart& part : *input.prompt) prompt += part.tokens;
  }
  const double reading =
      static_cast<double>(prompt - KeptTokens(upstream, input)) /
      kReadTokensPerMs;
  const double pace = upstream.pace_ms > 0 ? upstream.pace_ms : kUnknownPaceMs;
  const double steps = input.output_tokens > 0
                           ? static_cast<double>(input.output_tokens) /
                                 static_cast<double>(std::max<int64_t>(
                                     1, input.tokens_per_event))
                           : 1;
  const double work = pace * steps;
  const auto load =
      static_cast<double>(upstream.in_flight + upstream.others_in_flight);
  const double beyond =
      std::max(0.0, load + 1 - static_cast<double>(upstream.entry.slots));
  const double zone =
      upstream.entry.zone == options_.zone ? 0 : kOtherZoneCostMs;
  return reading + work * (1 + kCrowding * load + kWaitShare * beyond) +
         kFailureCostMs * upstream.failure_rate + zone;
}

UpstreamTable::Choice UpstreamTable::Choose(const PlacementInput& input,
                                            int64_t now_ms) const {
  Choice choice;
  double best = 0;
  const Upstream* soonest = nullptr;
  const Upstream* chosen = nullptr;
  for (const auto& [id, upstream] : upstreams_) {
    if (!Usable(upstream, input, now_ms)) {
      // Where all are avoided, the one whose time ends first is tried.
      const bool only_avoided =
          upstream.avoid_until_ms > now_ms &&
          Usable(upstream, input, upstream.avoid_until_ms);
      if (only_avoided && (soonest == nullptr ||
                           upstream.avoid_until_ms < soonest->avoid_until_ms)) {
        soonest = &upstream;
      }
      continue;
    }
    if (!HasPlace(upstream, now_ms)) {
      choice.verdict = Verdict::kFull;
      continue;
    }
    const double expected = Expected(upstream, input);
    if (chosen == nullptr || expected < best) {
      chosen = &upstream;
      best = expected;
    }
  }
  if (chosen == nullptr && choice.verdict == Verdict::kNone &&
      soonest != nullptr) {
    if (HasPlace(*soonest, now_ms)) {
      chosen = soonest;
    } else {
      choice.verdict = Verdict::kFull;
    }
  }
  if (chosen == nullptr) return choice;
  choice.verdict = Verdict::kChosen;
  choice.upstream = chosen->entry;
  return choice;
}

void UpstreamTable::Started(const std::string& id, const PlacementInput& input,
                            int64_t now_ms) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) return;
  Upstream& upstream = it->second;
  ++upstream.in_flight;
  while (!upstream.sends.empty() &&
         upstream.sends.front() <= now_ms - kSecondMs) {
    upstream.sends.pop_front();
  }
  upstream.sends.push_back(now_ms);
  if (input.prompt == nullptr) return;
  if (upstream.prefixes.size() > kMostPrefixes) {
    std::erase_if(upstream.prefixes, [now_ms](const auto& prefix) {
      return prefix.second < now_ms - kPrefixLifeMs;
    });
  }
  uint64_t hash = 0;
  for (const PromptPart& part : *input.prompt) {
    hash = Mix(hash, part.id);
    upstream.prefixes[hash] = now_ms;
  }
}

void UpstreamTable::Finished(const std::string& id, const CallResult& result,
                             int64_t now_ms) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) return;
  Upstream& upstream = it->second;
  upstream.in_flight = std::max<int64_t>(0, upstream.in_flight - 1);
  if (result.outcome == CallOutcome::kAbandoned) return;
  if (result.outcome == CallOutcome::kServed) {
    const auto steps = static_cast<double>(std::max<int64_t>(1, result.events));
    Average(upstream.pace_ms, static_cast<double>(result.duration_ms) / steps);
    upstream.failure_rate *= 1 - kAverageWeight;
    upstream.failures_in_a_row = 0;
    upstream.avoid_until_ms = 0;
    return;
  }
  if (result.outcome == CallOutcome::kFailed) {
    upstream.failure_rate += kAverageWeight * (1 - upstream.failure_rate);
  }
  ++upstream.failures_in_a_row;
  const int beyond = upstream.failures_in_a_row - kFailuresToAvoid;
  if (beyond < 0) return;
  const int64_t avoid =
      std::min<int64_t>(kMostAvoidMs, kFirstAvoidMs << std::min(beyond, 8));
  upstream.avoid_until_ms = now_ms + avoid;
}

void UpstreamTable::Misdirected(const std::string& id) {
  const auto it = upstreams_.find(id);
  if (it != upstreams_.end()) it->second.gone = true;
}

int64_t UpstreamTable::ExpectedWaitMs(const std::string& service,
                                      size_t waiting) const {
  double places_per_ms = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service != service || upstream.entry.leaving) continue;
    const double pace =
        upstream.pace_ms > 0 ? upstream.pace_ms : kUnknownPaceMs;
    constexpr double kUsualEvents = 6;
    const auto spec = services_.find(service);
    const bool streams =
        spec != services_.end() && spec->second.tokens_per_event > 1;
    const double work = streams ? pace * kUsualEvents : pace;
    places_per_ms += static_cast<double>(upstream.entry.slots) / work;
  }
  if (places_per_ms == 0) return kSecondMs;
  // Other gateways' calls wait for the same places.
  const double ahead =
      static_cast<double>(waiting) * static_cast<double>(gateways_);
  return static_cast<int64_t>(ahead / places_per_ms);
}

size_t UpstreamTable::usable(const std::string& service) const {
  return static_cast<size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const auto& item) {
        const UpstreamEntry& entry = item.second.entry;
        return entry.service == service && !entry.leaving &&
               !item.second.gone && drained_zones_.count(entry.zone) == 0;
      }));
}

std::vector<std::pair<uint64_t, int64_t>> UpstreamTable::OwnLoad() const {
  std::vector<std::pair<uint64_t, int64_t>> load;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.in_flight > 0) {
      load.emplace_back(upstream.hash, upstream.in_flight);
    }
  }
  return load;
}

std::vector<std::string> UpstreamTable::ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, upstream] : upstreams_) ids.push_back(id);
  return ids;
}

}  // namespace pimento
