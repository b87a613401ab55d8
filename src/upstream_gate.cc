#include "src/upstream_gate.h"

#include <algorithm>
#include <utility>

namespace pimento {
namespace {

// Maximum delay from the end of an answer at the upstream until the gate learns
// of it. Calls granted within this time before the report count as unproven.
constexpr int64_t kMaxReportDelayMs = 20;

// One run of a host's process.
struct HostBoot {
  const std::string* host;
  uint64_t boot;
};

bool BelongsTo(const WaitingCall& call, const void* context) {
  const auto* host_boot = static_cast<const HostBoot*>(context);
  return call.host == *host_boot->host && call.boot <= host_boot->boot;
}

bool WaitExpired(const WaitingCall& call, const void* context) {
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

UpstreamGate::EnqueueResult UpstreamGate::Enqueue(WaitingCall call,
                                                  size_t max_queue) {
  if (leaving_) return EnqueueResult::kLeaving;
  if (queue_->size() >= std::min(max_queue, options_.queue_limit)) {
    return EnqueueResult::kQueueFull;
  }
  queue_->Push(std::move(call));
  return EnqueueResult::kQueued;
}

std::vector<WaitingCall> UpstreamGate::GrantWaiting(int64_t now_ms) {
  std::vector<WaitingCall> granted;
  while (!leaving_ && slots_.size() < window_.Limit(now_ms) &&
         UnprovenSlots() < options_.window.cold_window) {
    std::optional<WaitingCall> call = queue_->Pop(now_ms);
    if (!call) break;
    AddInFlight(*call, now_ms);
    granted.push_back(std::move(*call));
  }
  return granted;
}

void UpstreamGate::AddInFlight(WaitingCall call, int64_t now_ms) {
  const uint64_t ticket = call.ticket;
  slots_[ticket] =
      Slot{.call = std::move(call),
           .granted_ms = now_ms,
           .expires_at_ms = now_ms + options_.max_slot_lifetime_ms};
}

void UpstreamGate::OnCallEnded(const SlotResult& result, int64_t now_ms) {
  const auto it = slots_.find(result.ticket);
  if (it != slots_.end()) {
    const WaitingCall& call = it->second.call;
    queue_->Settle(call.team, call.weight, call.cost, result.tokens);
    slots_.erase(it);
  }
  if (result.cold_sign) window_.OnFailure(now_ms);
  if (!result.succeeded) return;
  if (window_.ProvesWarm(result.pace_ms)) {
    known_warm_until_ms_ = now_ms - kMaxReportDelayMs;
  }
  window_.OnSuccess(now_ms, result.pace_ms);
}

size_t UpstreamGate::UnprovenSlots() const {
  return static_cast<size_t>(
      std::count_if(slots_.begin(), slots_.end(), [this](const auto& entry) {
        return entry.second.granted_ms >= known_warm_until_ms_;
      }));
}

bool UpstreamGate::CancelWaiting(uint64_t ticket) {
  queue_->Remove(HasTicket, &ticket);
  return !slots_.contains(ticket);
}

void UpstreamGate::DropHost(const std::string& host, uint64_t boot,
                            int64_t now_ms) {
  const HostBoot host_boot{.host = &host, .boot = boot};
  queue_->Remove(BelongsTo, &host_boot);
  const bool cold = window_.IsCold(now_ms);
  for (auto it = slots_.begin(); it != slots_.end();) {
    const bool dropped = BelongsTo(it->second.call, &host_boot);
    if (dropped && cold) it->second.orphaned = true;
    it = dropped && !cold ? slots_.erase(it) : std::next(it);
  }
}

std::vector<WaitingCall> UpstreamGate::Expire(int64_t now_ms) {
  std::erase_if(slots_, [&](const auto& entry) {
    return entry.second.expires_at_ms <= now_ms;
  });
  if (!window_.IsCold(now_ms)) {
    std::erase_if(slots_,
                  [](const auto& entry) { return entry.second.orphaned; });
  }
  return queue_->Remove(WaitExpired, &now_ms);
}

void UpstreamGate::set_options(const GateOptions& options) {
  options_.window = options.window;
  options_.queue_limit = options.queue_limit;
  options_.max_slot_lifetime_ms = options.max_slot_lifetime_ms;
  window_.set_options(options.window);
}

GateLoad UpstreamGate::Load(int64_t now_ms) const {
  return {.in_flight = static_cast<uint32_t>(slots_.size()),
          .limit = leaving_ ? 0 : window_.Limit(now_ms),
          .queued = static_cast<uint32_t>(queue_->size())};
}

}  // namespace pimento
