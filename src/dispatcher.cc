#include "src/dispatcher.h"

#include <algorithm>
#include <utility>

#include "src/background_loop.h"
#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using Verdict = UpstreamTable::Verdict;

// Interval at which queued calls are dispatched. Capacity also becomes
// available with time alone: sends leave the one-second rate window, and an
// avoided upstream may be tried again.
constexpr milliseconds kDispatchInterval{15};
constexpr int64_t kMinRetryAfterMs = 100;
constexpr int64_t kNoUpstreamRetryAfterMs = 300;
// Queue cost, in tokens, of a call that states no output tokens.
constexpr double kDefaultCost = 20;

// A priority counts as used for this long after its last call.
constexpr int64_t kUrgentCallsMs = 60'000;

bool HasTicket(const WaitingCall& call, const void* ticket) {
  return call.ticket == *static_cast<const uint64_t*>(ticket);
}

[[noreturn]] void RefuseUnservable(const std::string& service) {
  throw Refusal(Reason::kNoUpstream, RunState::kNotRun,
                "No upstream of service " + service + " is available.",
                kNoUpstreamRetryAfterMs);
}

}  // namespace

Dispatcher::Dispatcher(asio::io_context& io, UpstreamTable& table,
                       Metrics& metrics)
    : io_(io), table_(table), metrics_(metrics) {}

size_t Dispatcher::QueuedAhead(const std::string& service, int priority) const {
  const auto it = queues_by_service_.find(service);
  if (it == queues_by_service_.end()) return 0;
  size_t ahead = 0;
  for (const auto& [rank, queue] : it->second.queues) {
    if (rank <= priority) ahead += queue->size();
  }
  return ahead;
}

UpstreamTable::Verdict Dispatcher::TryGrant(Waiter& waiter) {
  const int64_t now_ms = SteadyMs();
  PlacementInput& input = waiter.request.input;
  auto choice = table_.Choose(input, now_ms);
  // A version that is tried takes no call that would have to wait for it.
  if (choice.verdict != Verdict::kChosen &&
      input.version_side == VersionSide::kTarget) {
    input.version_side = VersionSide::kOld;
    choice = table_.Choose(input, now_ms);
  }
  if (choice.verdict != Verdict::kChosen) return choice.verdict;
  table_.OnCallStarted(choice.upstream.id, waiter.request.input, now_ms);
  waiter.granted = choice.upstream;
  return choice.verdict;
}

asio::awaitable<UpstreamEntry> Dispatcher::Acquire(DispatchRequest request,
                                                   StopToken& token) {
  const int64_t arrived_ms = SteadyMs();
  const std::string service = request.input.service;
  const int priority = request.priority;
  last_call_ms_[service][request.route_priority] = arrived_ms;
  request.input.call_hash = HashName(request.request_id);
  auto waiter = std::make_shared<Waiter>(Waiter{
      std::move(request),
      asio::steady_timer(io_, steady_clock::time_point::max()), std::nullopt});
  const size_t ahead = QueuedAhead(service, priority);
  if (ahead == 0) {
    const Verdict verdict = TryGrant(*waiter);
    if (verdict == Verdict::kChosen) co_return *waiter->granted;
    if (verdict == Verdict::kNone) RefuseUnservable(service);
  }
  const int64_t expected_ms = table_.ExpectedWaitMs(service, ahead + 1);
  const int64_t left_ms = waiter->request.wait_deadline_ms - arrived_ms;
  if (expected_ms >= left_ms && !waiter->request.accepted)
    throw Refusal(
        Reason::kQueueFull, RunState::kNotRun,
        std::to_string(ahead) + " calls are queued ahead of this one.",
        std::max(kMinRetryAfterMs, expected_ms - left_ms));
  const uint64_t ticket = next_ticket_++;
  waiters_[ticket] = waiter;
  ServiceQueues& service_queues = queues_by_service_[service];
  auto& queue = service_queues.queues[priority];
  if (!queue) queue = MakeQueue(QueuePolicy::kFair);
  WaitingCall call;
  call.ticket = ticket;
  call.team = waiter->request.team;
  call.program = waiter->request.program;
  call.cost = waiter->request.input.output_tokens > 0
                  ? static_cast<double>(waiter->request.input.output_tokens)
                  : kDefaultCost;
  call.arrived_ms = arrived_ms;
  call.wait_deadline_ms = waiter->request.wait_deadline_ms;
  if (waiter->request.input.program_left_ms)
    call.finish_by_ms = arrived_ms + *waiter->request.input.program_left_ms;
  queue->Push(std::move(call));
  EventLine(Event::kCallQueued)
      .Text("request", waiter->request.request_id)
      .Text("service", service)
      .Number("priority", priority)
      .Number("ahead", static_cast<int64_t>(ahead))
      .Number("expected_ms", expected_ms);
  if (!dispatch_loop_running_) {
    dispatch_loop_running_ = true;
    KeepRunning(io_, "dispatch", [this] { return RunDispatchLoop(); });
  }
  token.set_on_stop([waiter] { waiter->wakeup.cancel(); });
  waiter->wakeup.expires_after(milliseconds(left_ms));
  boost::system::error_code ignored;  // granted, stopped or timed out
  if (!waiter->granted && !token.stopped())
    co_await waiter->wakeup.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  token.clear_on_stop();
  waiters_.erase(ticket);
  metrics_.Observe(Latency::kQueueWait,
                   static_cast<double>(SteadyMs() - arrived_ms));
  if (waiter->granted) co_return *waiter->granted;
  if (waiter->unservable) RefuseUnservable(service);
  Forget(service, priority, ticket);
  throw Refusal(Reason::kQueueTimeout, RunState::kNotRun,
                "No upstream had capacity before the deadline.",
                kMinRetryAfterMs);
}

std::optional<UpstreamEntry> Dispatcher::AcquireSpare(
    const PlacementInput& input) {
  for (const auto& [ticket, waiter] : waiters_) {
    if (waiter->request.input.service == input.service) return std::nullopt;
  }
  const int64_t now_ms = SteadyMs();
  const auto spare = table_.ChooseSpare(input, now_ms);
  if (spare) table_.OnCallStarted(spare->id, input, now_ms);
  return spare;
}

void Dispatcher::Forget(const std::string& service, int priority,
                        uint64_t ticket) {
  queues_by_service_[service].queues[priority]->Remove(HasTicket, &ticket);
}

bool Dispatcher::MostUrgent(const std::string& service,
                            int route_priority) const {
  const auto it = last_call_ms_.find(service);
  if (it == last_call_ms_.end()) return true;
  const int64_t since_ms = SteadyMs() - kUrgentCallsMs;
  return std::none_of(
      it->second.begin(), it->second.end(), [&](const auto& last) {
        return last.first < route_priority && last.second >= since_ms;
      });
}

void Dispatcher::ServeQueues(const std::string& /*service*/,
                             ServiceQueues& service_queues) {
  for (auto& [priority, queue] : service_queues.queues) {
    for (;;) {
      auto call = queue->Pop(SteadyMs());
      if (!call) break;
      const auto it = waiters_.find(call->ticket);
      if (it == waiters_.end() || it->second->granted || it->second->unservable)
        continue;
      const Verdict verdict = TryGrant(*it->second);
      if (verdict == Verdict::kChosen) {
        it->second->wakeup.cancel();
        continue;
      }
      // Undo the charge made by Pop().
      queue->Settle(call->team, call->weight, call->cost, 0);
      if (verdict == Verdict::kNone) {
        it->second->unservable = true;
        it->second->wakeup.cancel();
        continue;
      }
      queue->Push(std::move(*call));
      return;
    }
  }
}

void Dispatcher::DispatchQueued() {
  for (auto& [service, service_queues] : queues_by_service_)
    ServeQueues(service, service_queues);
}

void Dispatcher::Release(const std::string& id, const CallResult& result) {
  table_.OnCallFinished(id, result, SteadyMs());
  DispatchQueued();
}

void Dispatcher::Withdraw(const std::string& id) {
  table_.OnCallWithdrawn(id);
  DispatchQueued();
}

void Dispatcher::WithdrawUntil(const std::string& id, int64_t until_ms) {
  table_.OnLimitReached(id, until_ms);
  Withdraw(id);
}

size_t Dispatcher::waiting() const { return waiters_.size(); }

asio::awaitable<void> Dispatcher::RunDispatchLoop() {
  while (!waiters_.empty()) {
    asio::steady_timer timer(io_, kDispatchInterval);
    co_await timer.async_wait(asio::use_awaitable);
    DispatchQueued();
  }
  dispatch_loop_running_ = false;
}

}  // namespace pimento
