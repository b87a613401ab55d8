// Placement of a call while calls are spread over the upstreams of a service;
// see slot_share.h.
//
// Load pattern: turns of one program come in at any of many gateways, and no
// gateway knows where the turns before ran. The prompt grows with each turn and
// is read again by each upstream that has not kept it, which delays all that
// runs there. All gateways select the same upstream for a program by its hash
// (rendezvous hashing), and leave it when it is expected to answer later than
// others.
#include <algorithm>

#include "src/upstream_table.h"

namespace pimento {
namespace {

// Larger than any expected latency.
constexpr double kNotConsideredMs = 1e9;

int64_t PromptTokens(const PlacementInput& input) {
  int64_t tokens = 0;
  for (const PromptPart& part : *input.prompt) tokens += part.tokens;
  return tokens;
}

// The same for all turns of a program and for its sub-agents: the prompt of a
// turn begins with a part that other programs share, then its own.
uint64_t ProgramKey(const PlacementInput& input) {
  if (input.prompt == nullptr || input.prompt->empty()) return input.call_hash;
  return input.prompt->size() > 1 ? (*input.prompt)[1].id
                                  : input.prompt->front().id;
}

}  // namespace

SlotUse UpstreamTable::UseOf(const std::string& service) const {
  const auto spec = services_.find(service);
  const bool has_cold_rate =
      spec != services_.end() && spec->second.cold_per_second > 0;
  SlotUse use{.gateways = gateways_, .has_cold_rate = has_cold_rate};
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service != service || !InService(upstream)) continue;
    use.slots += upstream.entry.slots;
    use.own += upstream.in_flight;
    use.peers += upstream.peers_in_flight;
  }
  return use;
}

const UpstreamTable::Upstream* UpstreamTable::PromptHolder(
    const PlacementInput& input, int64_t now_ms) const {
  const uint64_t program = ProgramKey(input);
  const Upstream* holder = nullptr;
  uint64_t highest = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (!Usable(upstream, input, now_ms)) continue;
    if (id == input.prompt_holder) return &upstream;
    const uint64_t rank = DrawHash(program, upstream.hash);
    if (holder != nullptr && rank <= highest) continue;
    holder = &upstream;
    highest = rank;
  }
  return holder;
}

double UpstreamTable::SpreadCost(const Upstream& upstream,
                                 const PlacementInput& input, bool holds_prompt,
                                 bool considered) const {
  if (!considered) {
    return kNotConsideredMs +
           static_cast<double>(DrawHash(input.call_hash, upstream.hash) >> 32);
  }
  const double expected_ms = ExpectedMs(upstream, input);
  if (input.prompt == nullptr) return expected_ms;
  const int64_t unread = PromptTokens(input) - CachedTokens(upstream, input);
  const auto pace = pace_.PaceOf(upstream.service, upstream.process);
  const double read_ms = static_cast<double>(unread) / pace.read_tokens_per_ms;
  const int64_t running = std::min(
      upstream.in_flight + upstream.peers_in_flight, upstream.entry.slots);
  // Reading delays the call and all that runs.
  return holds_prompt ? expected_ms - read_ms
                      : expected_ms + read_ms * static_cast<double>(running);
}

}  // namespace pimento
