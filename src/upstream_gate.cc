#include "src/upstream_gate.h"

#include <algorithm>
#include <utility>

namespace pimento {
namespace {

// Longest way of an answer's end from the upstream to the gate.
constexpr int64_t kTellingMs = 20;

struct HostRun {
  const std::string* host;
  uint64_t boot;
};

bool BelongsTo(const WaitingCall& call, const void* context) {
  const auto* run = static_cast<const HostRun*>(context);
  return call.host == *run->host && call.boot <= run->boot;
}

bool GaveUp(const WaitingCall& call, const void* context) {
  return call.wait_deadline_ms <= *static_cast<const int64_t*>(context);
}

bool HasTicket(const WaitingCall& call, const void* context) {
  return call.ticket == *static_cast<const uint64_t*>(context);
}

}  // namespace

UpstreamGate::UpstreamGate(GateOptions options, int64_t now_ms)
    : options_(options),
      window_(options.window, now_ms),
      queue_(MakeQueue(options.policy)) {}

UpstreamGate::Answer UpstreamGate::Ask(WaitingCall call, size_t max_queue) {
  if (leaving_) return Answer::kLeaving;
  if (queue_->size() >= std::min(max_queue, options_.queue_limit)) {
    return Answer::kQueueFull;
  }
  queue_->Push(std::move(call));
  return Answer::kQueued;
}

std::vector<WaitingCall> UpstreamGate::Release(int64_t now_ms) {
  std::vector<WaitingCall> granted;
  while (!leaving_ && slots_.size() < window_.Limit(now_ms) &&
         Unproved() < options_.window.cold_window) {
    std::optional<WaitingCall> call = queue_->Pop(now_ms);
    if (!call) break;
    Adopt(*call, now_ms);
    granted.push_back(std::move(*call));
  }
  return granted;
}

void UpstreamGate::Adopt(WaitingCall call, int64_t now_ms) {
  const uint64_t ticket = call.ticket;
  slots_[ticket] = Slot{.call = std::move(call),
                        .granted_ms = now_ms,
                        .lapses_ms = now_ms + options_.slot_life_ms};
}

void UpstreamGate::Done(const SlotResult& result, int64_t now_ms) {
  const auto it = slots_.find(result.ticket);
  if (it != slots_.end()) {
    const WaitingCall& call = it->second.call;
    queue_->Settle(call.team, call.weight, call.cost, result.tokens);
    slots_.erase(it);
  }
  if (result.cold_sign) window_.Failed(now_ms);
  if (!result.succeeded) return;
  if (window_.ProvesWarm(result.pace_ms)) warm_until_ms_ = now_ms - kTellingMs;
  window_.Succeeded(now_ms, result.pace_ms);
}

size_t UpstreamGate::Unproved() const {
  return static_cast<size_t>(
      std::count_if(slots_.begin(), slots_.end(), [this](const auto& entry) {
        return entry.second.granted_ms >= warm_until_ms_;
      }));
}

bool UpstreamGate::Abandon(uint64_t ticket) {
  queue_->Remove(HasTicket, &ticket);
  return !slots_.contains(ticket);
}

void UpstreamGate::DropHost(const std::string& host, uint64_t boot,
                            int64_t now_ms) {
  const HostRun run{.host = &host, .boot = boot};
  queue_->Remove(BelongsTo, &run);
  const bool cold = window_.Cold(now_ms);
  for (auto it = slots_.begin(); it != slots_.end();) {
    const bool dropped = BelongsTo(it->second.call, &run);
    if (dropped && cold) it->second.orphan = true;
    it = dropped && !cold ? slots_.erase(it) : std::next(it);
  }
}

std::vector<WaitingCall> UpstreamGate::Expire(int64_t now_ms) {
  std::erase_if(slots_, [&](const auto& entry) {
    return entry.second.lapses_ms <= now_ms;
  });
  if (!window_.Cold(now_ms)) {
    std::erase_if(slots_,
                  [](const auto& entry) { return entry.second.orphan; });
  }
  return queue_->Remove(GaveUp, &now_ms);
}

void UpstreamGate::set_options(const GateOptions& options) {
  options_.window = options.window;
  options_.queue_limit = options.queue_limit;
  options_.slot_life_ms = options.slot_life_ms;
  window_.set_options(options.window);
}

GateLoad UpstreamGate::Load(int64_t now_ms) const {
  return {.in_flight = static_cast<uint32_t>(slots_.size()),
          .limit = leaving_ ? 0 : window_.Limit(now_ms),
          .queued = static_cast<uint32_t>(queue_->size())};
}

}  // namespace pimento
