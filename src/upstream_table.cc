#include "src/upstream_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/call_cost.h"
#include "src/cold_share.h"

namespace pimento {
namespace {

constexpr int64_t kSecondMs = 1'000;
// Cost of a failed call, weighted by the recent failure rate.
constexpr double kFailureCostMs = 800;
constexpr double kOtherZoneCostMs = 2;
// Share of a service's slots that may be taken while second tries are sent.
constexpr double kMaxSpareLoad = 0.7;
// Weight of a new sample in the moving average of failures.
constexpr double kSampleWeight = 0.1;
// Backoff starts at this many consecutive failures and doubles with each
// further one.
constexpr int kFailuresBeforeBackoff = 2;
constexpr int64_t kInitialBackoffMs = 300;
constexpr int64_t kMaxBackoffMs = 3'000;
// Above this number of prefixes of one upstream, those unused for kPrefixTtlMs
// are dropped.
constexpr size_t kMaxPrefixes = 4'096;
constexpr int64_t kPrefixTtlMs = 60'000;
// An upstream that turned a call away gets none for this time.
constexpr int64_t kTurnedAwayPauseMs = 300;
// Bounds the memory: above this number, younger ones are dropped as well.
constexpr size_t kPrefixesHeld = 8'192;

uint64_t CombineHash(uint64_t hash, uint64_t value) {
  const uint64_t pair[2] = {hash, value};
  return XXH3_64bits(pair, sizeof pair);
}

uint64_t PromptHash(const std::vector<PromptPart>* prompt) {
  uint64_t hash = 0;
  if (prompt == nullptr) return hash;
  for (const PromptPart& part : *prompt) hash = CombineHash(hash, part.id);
  return hash;
}

// The same for all calls that continue one conversation: the part that follows
// the one which many share. Calls without a prompt continue none.
uint64_t SessionOf(const std::vector<PromptPart>* prompt, int64_t now_ms) {
  if (prompt == nullptr || prompt->empty()) {
    return static_cast<uint64_t>(now_ms);
  }
  return (*prompt)[std::min<size_t>(1, prompt->size() - 1)].id;
}

int64_t PromptTokens(const std::vector<PromptPart>* prompt) {
  int64_t tokens = 0;
  if (prompt == nullptr) return tokens;
  for (const PromptPart& part : *prompt) tokens += part.tokens;
  return tokens;
}

// Events that the call may make.
double EventsOf(const PlacementInput& input) {
  if (input.output_tokens <= 0) return 1;
  return static_cast<double>(input.output_tokens) /
         static_cast<double>(std::max<int64_t>(1, input.tokens_per_event));
}

// Drops what was unused for kPrefixTtlMs, and for ever shorter times while
// there is more than kPrefixesHeld.
template <class Prefixes>
void DropOldPrefixes(Prefixes& prefixes, int64_t now_ms) {
  for (int64_t unused_ms = kPrefixTtlMs;; unused_ms /= 2) {
    std::erase_if(prefixes, [&](const auto& prefix) {
      return prefix.second < now_ms - unused_ms;
    });
    if (prefixes.size() <= kPrefixesHeld) return;
    if (unused_ms == 0) break;
  }
  prefixes.clear();
}

}  // namespace

UpstreamTable::UpstreamTable(UpstreamTableOptions options)
    : options_(std::move(options)) {}

bool UpstreamTable::Put(const UpstreamEntry& entry, int64_t /*now_ms*/) {
  Upstream& upstream = upstreams_[entry.id];
  const UpstreamEntry before = upstream.entry;
  // Restarted under the same id: its prompt cache is empty and the averages no
  // longer apply. Calls in flight and recent sends still count against it.
  if (!before.id.empty() && before.started_at_ms != entry.started_at_ms) {
    const int64_t in_flight = upstream.in_flight;
    const auto recent_sends = upstream.recent_sends;
    pace_.RemoveProcess(upstream.process);
    upstream = Upstream{};
    upstream.in_flight = in_flight;
    upstream.recent_sends = recent_sends;
  }
  if (before.address != entry.address) upstream.misdirected = false;
  upstream.entry = entry;
  upstream.hash = HashName(entry.id);
  // Until the rules are applied again, a new version is not known to be
  // allowed.
  if (before.version != entry.version &&
      version_rules_.count(entry.service) > 0) {
    upstream.side = VersionSide::kExcluded;
  }
  upstream.service = HashName(entry.service);
  const uint64_t process = LeavingProcesses::HashOf(entry);
  if (upstream.process != process) pace_.RemoveProcess(upstream.process);
  upstream.process = process;
  pace_.AddProcess(upstream.service, process);
  return before.id.empty() || before.leaving != entry.leaving ||
         before.address != entry.address ||
         before.started_at_ms != entry.started_at_ms;
}

bool UpstreamTable::Remove(const std::string& id) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) return false;
  pace_.RemoveProcess(it->second.process);
  upstreams_.erase(it);
  return true;
}

void UpstreamTable::set_drained_zones(std::set<std::string> zones) {
  drained_zones_ = std::move(zones);
}

void UpstreamTable::set_version_rules(
    std::map<std::string, VersionRule> rules) {
  if (rules.empty() && version_rules_.empty()) return;
  version_rules_ = std::move(rules);
  ApplyVersionRules();
}

void UpstreamTable::ApplyVersionRules() {
  std::map<std::string, std::vector<Upstream*>> ruled;
  for (auto& [id, upstream] : upstreams_) {
    const bool has_rule = version_rules_.count(upstream.entry.service) > 0;
    if (has_rule && Running(upstream)) {
      ruled[upstream.entry.service].push_back(&upstream);
    } else {
      upstream.side = VersionSide::kAny;
    }
  }
  for (const auto& [service, upstreams] : ruled) {
    std::vector<VersionedUpstream> versions;
    for (const Upstream* upstream : upstreams) {
      versions.push_back({upstream->entry.version, upstream->hash});
    }
    const auto sides = SidesOf(version_rules_.at(service), versions);
    for (size_t i = 0; i < sides.size(); ++i) upstreams[i]->side = sides[i];
  }
}

ServiceVersions UpstreamTable::VersionsOf(const std::string& service) const {
  ServiceVersions versions;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service != service) continue;
    versions.in_flight[upstream.entry.version] += upstream.in_flight;
    if (Running(upstream)) versions.in_service.insert(upstream.entry.version);
  }
  return versions;
}

void UpstreamTable::set_services(const DesiredState& state) {
  services_.clear();
  for (const ServiceSpec& service : state.services()) {
    services_[service.name] = service;
  }
}

void UpstreamTable::set_peer_load(
    const std::unordered_map<uint64_t, UpstreamLoad>& load) {
  for (auto& [id, upstream] : upstreams_) {
    const auto it = load.find(upstream.hash);
    upstream.peers_in_flight = it == load.end() ? 0 : it->second.in_flight;
  }
}

std::optional<int64_t> UpstreamTable::MaxSendsPerSecond(
    const Upstream& upstream) const {
  const auto it = services_.find(upstream.entry.service);
  if (it == services_.end() || it->second.cold_per_second <= 0) {
    return std::nullopt;
  }
  return ColdShare({.capacity_per_second =
                        it->second.cold_per_second * options_.cold_factor +
                        options_.cold_slack,
                    .gateways = gateways_,
                    .gateway_index = std::min(gateway_index_, gateways_ - 1),
                    .upstream_hash = upstream.hash});
}

bool UpstreamTable::HasShare(const std::string& service) const {
  return std::any_of(
      upstreams_.begin(), upstreams_.end(), [&](const auto& item) {
        return item.second.entry.service == service &&
               !item.second.misdirected && !IsLeaving(item.second) &&
               MaxSendsPerSecond(item.second) != 0;
      });
}

bool UpstreamTable::IsLeaving(const Upstream& upstream) const {
  return upstream.entry.leaving || leaving_.Contains(upstream.process);
}

bool UpstreamTable::Running(const Upstream& upstream) const {
  return !IsLeaving(upstream) && !upstream.misdirected &&
         drained_zones_.count(upstream.entry.zone) == 0;
}

bool UpstreamTable::InService(const Upstream& upstream) const {
  return Running(upstream) && upstream.side != VersionSide::kExcluded;
}

bool UpstreamTable::MayReceive(const UpstreamEntry& entry) const {
  const auto it = upstreams_.find(entry.id);
  return it != upstreams_.end() && it->second.entry.address == entry.address &&
         it->second.entry.started_at_ms == entry.started_at_ms &&
         InService(it->second);
}

bool UpstreamTable::ExpectedToRun(const UpstreamEntry& entry) const {
  const auto it = upstreams_.find(entry.id);
  return it != upstreams_.end() && !IsLeaving(it->second) &&
         it->second.side != VersionSide::kExcluded &&
         !leaving_.Contains(LeavingProcesses::HashOf(entry));
}

bool UpstreamTable::Usable(const Upstream& upstream,
                           const PlacementInput& input, int64_t now_ms) const {
  const UpstreamEntry& entry = upstream.entry;
  return entry.service == input.service && InService(upstream) &&
         MayUse(upstream.side, input.version_side) &&
         input.tried.count(entry.id) == 0 &&
         upstream.backoff_until_ms <= now_ms;
}

bool UpstreamTable::HasCapacity(const Upstream& upstream,
                                const PlacementInput& input, bool spread,
                                int64_t now_ms) const {
  if (input.prompt_tokens > 0 && upstream.turned_away_ms > 0 &&
      now_ms < upstream.turned_away_ms + kTurnedAwayPauseMs) {
    return false;
  }
  const int64_t load = upstream.in_flight + upstream.peers_in_flight;
  const int64_t most =
      spread ? CallsPerUpstream(upstream.entry.slots) : upstream.entry.slots;
  if (load >= most) return false;
  if (upstream.limit_reached_until_ms > now_ms) return false;
  auto max_sends = MaxSendsPerSecond(upstream);
  if (!max_sends) return true;
  // A gateway without a share of any upstream of the service sends at one call
  // a second, so that a service with few upstreams is reachable from every
  // gateway.
  if (*max_sends == 0 && !HasShare(upstream.entry.service)) max_sends = 1;
  const auto recent =
      std::count_if(upstream.recent_sends.begin(), upstream.recent_sends.end(),
                    [now_ms](int64_t at) { return at > now_ms - kSecondMs; });
  return recent < *max_sends;
}

int64_t UpstreamTable::CachedTokens(const Upstream& upstream,
                                    const PlacementInput& input) const {
  if (input.prompt == nullptr) return 0;
  const bool holds_prompt =
      !input.prompt_holder.empty() && input.prompt_holder == upstream.entry.id;
  uint64_t hash = 0;
  int64_t cached = 0;
  for (size_t i = 0; i < input.prompt->size(); ++i) {
    const PromptPart& part = (*input.prompt)[i];
    hash = CombineHash(hash, part.id);
    // The holder has every part but the last one, which is new in this call.
    const bool last = i + 1 == input.prompt->size();
    if (upstream.prefixes.count(hash) == 0 && (!holds_prompt || last)) break;
    cached += part.tokens;
  }
  return cached;
}

double UpstreamTable::ExpectedMs(const Upstream& upstream,
                                 const PlacementInput& input) const {
  const auto pace = pace_.PaceOf(upstream.service, upstream.process);
  const double expected_ms =
      ExpectedCallMs({.read_tokens = PromptTokens(input.prompt) -
                                     CachedTokens(upstream, input),
                      .events = EventsOf(input),
                      .load = upstream.in_flight + upstream.peers_in_flight,
                      .slots = upstream.entry.slots,
                      .pace = pace});
  const double zone_ms =
      upstream.entry.zone == options_.zone ? 0 : kOtherZoneCostMs;
  return expected_ms + kFailureCostMs * upstream.failure_rate + zone_ms;
}

double UpstreamTable::RandomizedMs(const Upstream& upstream,
                                   const PlacementInput& input,
                                   int64_t now_ms) const {
  const auto pace = pace_.PaceOf(upstream.service, upstream.process);
  const uint64_t order =
      CombineHash(CombineHash(upstream.hash, SessionOf(input.prompt, now_ms)),
                  static_cast<uint64_t>(gateway_index_));
  return ExpectedMs(upstream, input) +
         SpreadMs(order, gateways_, pace.service_event_ms * EventsOf(input));
}

UpstreamTable::Choice UpstreamTable::Choose(const PlacementInput& input,
                                            int64_t now_ms) const {
  Choice choice;
  double best_cost = 0;
  const Upstream* soonest = nullptr;
  const Upstream* chosen = nullptr;
  const SlotUse use =
      input.prompt_tokens > 0 ? UseOf(input.service) : SlotUse{};
  const bool spread = MustSpread(use);
  const bool has_share = !spread || use.own < SlotShare(use);
  const bool busy = spread && IsBusy(use);
  const auto upstreams = static_cast<int64_t>(usable(input.service));
  const Upstream* holder = spread ? PromptHolder(input, now_ms) : nullptr;
  for (const auto& [id, upstream] : upstreams_) {
    if (!Usable(upstream, input, now_ms)) {
      // When every upstream is in backoff, the one whose backoff ends first is
      // used.
      const bool only_backoff =
          upstream.backoff_until_ms > now_ms &&
          Usable(upstream, input, upstream.backoff_until_ms);
      if (only_backoff &&
          (soonest == nullptr ||
           upstream.backoff_until_ms < soonest->backoff_until_ms)) {
        soonest = &upstream;
      }
      continue;
    }
    const bool considered = !spread || &upstream == holder ||
                            IsCandidate({.call = input.call_hash,
                                         .upstream = upstream.hash,
                                         .upstreams = upstreams,
                                         .now_ms = now_ms});
    const bool waits = busy && !considered;
    if (!has_share || waits || !HasCapacity(upstream, input, spread, now_ms)) {
      choice.verdict = Verdict::kFull;
      continue;
    }
    const double cost =
        spread ? SpreadCost(upstream, input, &upstream == holder, considered)
               : RandomizedMs(upstream, input, now_ms);
    if (chosen == nullptr || cost < best_cost) {
      chosen = &upstream;
      best_cost = cost;
    }
  }
  if (chosen == nullptr && choice.verdict == Verdict::kNone &&
      soonest != nullptr) {
    if (has_share && HasCapacity(*soonest, input, spread, now_ms)) {
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

bool UpstreamTable::IsSpare(const Upstream& upstream,
                            const PlacementInput& input, int64_t now_ms) const {
  return Usable(upstream, input, now_ms) &&
         HasCapacity(upstream, input, false, now_ms) &&
         upstream.in_flight + upstream.peers_in_flight < upstream.entry.slots &&
         upstream.entry.cold_left_ms == 0 && !upstream.named_limit &&
         upstream.consecutive_failures == 0;
}

std::optional<UpstreamEntry> UpstreamTable::ChooseSpare(
    const PlacementInput& input, int64_t now_ms) const {
  int64_t slots = 0;
  int64_t in_flight = 0;
  double best_ms = 0;
  const Upstream* chosen = nullptr;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service != input.service || !InService(upstream)) {
      continue;
    }
    slots += upstream.entry.slots;
    in_flight += upstream.in_flight + upstream.peers_in_flight;
    if (!IsSpare(upstream, input, now_ms)) continue;
    const double expected_ms = RandomizedMs(upstream, input, now_ms);
    if (chosen == nullptr || expected_ms < best_ms) {
      chosen = &upstream;
      best_ms = expected_ms;
    }
  }
  const double most = kMaxSpareLoad * static_cast<double>(slots);
  if (chosen == nullptr || static_cast<double>(in_flight) > most) {
    return std::nullopt;
  }
  return chosen->entry;
}

void UpstreamTable::OnCallStarted(const std::string& id,
                                  const PlacementInput& input, int64_t now_ms) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) return;
  Upstream& upstream = it->second;
  ++upstream.in_flight;
  while (!upstream.recent_sends.empty() &&
         upstream.recent_sends.front() <= now_ms - kSecondMs) {
    upstream.recent_sends.pop_front();
  }
  upstream.recent_sends.push_back(now_ms);
  if (input.prompt == nullptr) return;
  upstream.reading[PromptHash(input.prompt)] =
      PromptTokens(input.prompt) - CachedTokens(upstream, input);
  if (upstream.prefixes.size() > kMaxPrefixes) {
    DropOldPrefixes(upstream.prefixes, now_ms);
  }
  uint64_t hash = 0;
  for (const PromptPart& part : *input.prompt) {
    hash = CombineHash(hash, part.id);
    upstream.prefixes[hash] = now_ms;
  }
}

void UpstreamTable::OnCallWithdrawn(const std::string& id) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) return;
  Upstream& upstream = it->second;
  upstream.in_flight = std::max<int64_t>(0, upstream.in_flight - 1);
  if (upstream.recent_sends.empty()) return;
  const int64_t started_ms = upstream.recent_sends.back();
  upstream.recent_sends.pop_back();
  std::erase_if(upstream.prefixes, [started_ms](const auto& prefix) {
    return prefix.second == started_ms;
  });
}

void UpstreamTable::OnCallFinished(const std::string& id,
                                   const CallResult& result, int64_t now_ms) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) return;
  Upstream& upstream = it->second;
  upstream.in_flight = std::max<int64_t>(0, upstream.in_flight - 1);
  const auto reading = upstream.reading.find(PromptHash(result.prompt));
  const int64_t read_tokens =
      reading == upstream.reading.end() ? 0 : reading->second;
  if (reading != upstream.reading.end()) upstream.reading.erase(reading);
  if (upstream.in_flight == 0) upstream.reading.clear();
  if (result.outcome == CallOutcome::kAbandoned) return;
  if (result.outcome == CallOutcome::kServed) {
    if (result.success) {
      pace_.OnServed({.service = upstream.service,
                      .process = upstream.process,
                      .read_tokens = read_tokens,
                      .events = result.events,
                      .duration_ms = result.duration_ms,
                      .first_event_ms = result.first_event_ms},
                     now_ms);
    }
    upstream.failure_rate *= 1 - kSampleWeight;
    upstream.consecutive_failures = 0;
    upstream.backoff_until_ms = 0;
    return;
  }
  if (result.outcome == CallOutcome::kRefused) upstream.turned_away_ms = now_ms;
  if (result.outcome == CallOutcome::kFailed) {
    upstream.failure_rate += kSampleWeight * (1 - upstream.failure_rate);
  }
  ++upstream.consecutive_failures;
  const int doublings = upstream.consecutive_failures - kFailuresBeforeBackoff;
  if (doublings < 0) return;
  const int64_t backoff_ms = std::min<int64_t>(
      kMaxBackoffMs, kInitialBackoffMs << std::min(doublings, 8));
  upstream.backoff_until_ms = now_ms + backoff_ms;
}

void UpstreamTable::OnMisdirected(const std::string& id) {
  const auto it = upstreams_.find(id);
  if (it != upstreams_.end()) it->second.misdirected = true;
}

bool UpstreamTable::OnLeavingStated(const UpstreamEntry& entry) {
  return leaving_.AddStated(LeavingProcesses::HashOf(entry));
}

std::string UpstreamTable::OnPeerReportsLeaving(uint64_t process) {
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.process != process) continue;
    return leaving_.AddReported(process) ? id : "";
  }
  return {};
}

std::vector<uint64_t> UpstreamTable::LeavingToReport() const {
  std::vector<uint64_t> processes;
  if (leaving_.empty()) return processes;
  for (const auto& [id, upstream] : upstreams_) {
    if (!upstream.entry.leaving && leaving_.StatedHere(upstream.process)) {
      processes.push_back(upstream.process);
    }
  }
  return processes;
}

void UpstreamTable::SweepLeaving(int64_t now_ms) {
  if (leaving_.empty()) return;
  std::set<uint64_t> present;
  for (const auto& [id, upstream] : upstreams_) {
    present.insert(upstream.process);
  }
  leaving_.Sweep(present, now_ms);
}

bool UpstreamTable::set_named_limit(const std::string& id,
                                    std::optional<double> per_second) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end() || it->second.named_limit == per_second) {
    return false;
  }
  it->second.named_limit = per_second;
  it->second.limit_reached_until_ms = 0;
  return true;
}

void UpstreamTable::OnLimitReached(const std::string& id, int64_t until_ms) {
  const auto it = upstreams_.find(id);
  if (it != upstreams_.end()) it->second.limit_reached_until_ms = until_ms;
}

std::optional<double> UpstreamTable::named_limit(const std::string& id) const {
  const auto it = upstreams_.find(id);
  return it == upstreams_.end() ? std::nullopt : it->second.named_limit;
}

int64_t UpstreamTable::ExpectedWaitMs(const std::string& service,
                                      size_t waiting) const {
  // Slots that become free each millisecond.
  double slots_per_ms = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service != service || IsLeaving(upstream)) continue;
    const double event_ms =
        pace_.PaceOf(upstream.service, upstream.process).event_ms;
    // Events of a typical stream.
    constexpr double kTypicalEvents = 6;
    const auto spec = services_.find(service);
    const bool streams =
        spec != services_.end() && spec->second.tokens_per_event > 1;
    const double work_ms = streams ? event_ms * kTypicalEvents : event_ms;
    slots_per_ms += static_cast<double>(upstream.entry.slots) / work_ms;
  }
  if (slots_per_ms == 0) return kSecondMs;
  // Other gateways are assumed to have as many calls waiting for the same
  // slots.
  const double ahead =
      static_cast<double>(waiting) * static_cast<double>(gateways_);
  return static_cast<int64_t>(ahead / slots_per_ms);
}

size_t UpstreamTable::usable(const std::string& service) const {
  return static_cast<size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const auto& item) {
        return item.second.entry.service == service && InService(item.second);
      }));
}

std::vector<std::pair<std::string, UpstreamPace::Pace>>
UpstreamTable::MeasuredPaces() const {
  std::vector<std::pair<std::string, UpstreamPace::Pace>> paces;
  for (const auto& [id, upstream] : upstreams_) {
    if (pace_.Measured(upstream.process)) {
      paces.emplace_back(id, pace_.PaceOf(upstream.service, upstream.process));
    }
  }
  return paces;
}

std::vector<UpstreamLoad> UpstreamTable::LocalLoad() const {
  std::vector<UpstreamLoad> load;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.in_flight > 0) {
      load.push_back(
          {.upstream = upstream.hash, .in_flight = upstream.in_flight});
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
