#include "src/dispatcher.h"

#include <algorithm>
#include <utility>

#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Places also free up by time: a second's sends lapse, an avoided upstream may
// be tried again.
constexpr milliseconds kTick{15};
constexpr int64_t kLeastRetryAfterMs = 100;
constexpr int64_t kNoUpstreamRetryMs = 300;
constexpr double kPlainCost = 20;

}  // namespace

Dispatcher::Dispatcher(asio::io_context& io, UpstreamTable& table,
                       Metrics& metrics)
    : io_(io), table_(table), metrics_(metrics) {}

size_t Dispatcher::Ahead(const std::string& service, int priority) const {
  const auto it = lines_.find(service);
  if (it == lines_.end()) return 0;
  size_t ahead = 0;
  for (const auto& [rank, queue] : it->second.queues) {
    if (rank <= priority) ahead += queue->size();
  }
  return ahead;
}

bool Dispatcher::Grant(Waiter& waiter) {
  const int64_t now_ms = SteadyMs();
  const auto choice = table_.Choose(waiter.request.input, now_ms);
  if (choice.verdict != UpstreamTable::Verdict::kChosen) return false;
  table_.OnCallStarted(choice.upstream.id, waiter.request.input, now_ms);
  waiter.granted = choice.upstream;
  return true;
}

asio::awaitable<UpstreamEntry> Dispatcher::Acquire(PlaceRequest request,
                                                   StopToken& token) {
  const int64_t arrived_ms = SteadyMs();
  const std::string service = request.input.service;
  const int priority = request.priority;
  auto waiter = std::make_shared<Waiter>(Waiter{
      std::move(request),
      asio::steady_timer(io_, steady_clock::time_point::max()), std::nullopt});
  const size_t ahead = Ahead(service, priority);
  if (ahead == 0) {
    if (Grant(*waiter)) co_return *waiter->granted;
    const auto choice = table_.Choose(waiter->request.input, arrived_ms);
    if (choice.verdict == UpstreamTable::Verdict::kNone)
      throw Refusal(Reason::kNoUpstream, RunState::kNotRun,
                    "No upstream of " + service + " may be used.",
                    kNoUpstreamRetryMs);
  }
  const int64_t expected_ms = table_.ExpectedWaitMs(service, ahead + 1);
  const int64_t left_ms = waiter->request.wait_deadline_ms - arrived_ms;
  if (expected_ms >= left_ms)
    throw Refusal(Reason::kQueueFull, RunState::kNotRun,
                  std::to_string(ahead) + " calls wait before this one.",
                  std::max(kLeastRetryAfterMs, expected_ms - left_ms));
  const uint64_t ticket = next_ticket_++;
  waiters_[ticket] = waiter;
  Line& line = lines_[service];
  auto& queue = line.queues[priority];
  if (!queue) queue = MakeQueue(QueuePolicy::kFair);
  WaitingCall call;
  call.ticket = ticket;
  call.team = waiter->request.team;
  call.program = waiter->request.program;
  call.cost = waiter->request.input.output_tokens > 0
                  ? static_cast<double>(waiter->request.input.output_tokens)
                  : kPlainCost;
  call.arrived_ms = arrived_ms;
  call.wait_deadline_ms = waiter->request.wait_deadline_ms;
  queue->Push(std::move(call));
  EventLine(Event::kCallQueued)
      .Text("request", waiter->request.request_id)
      .Text("service", service)
      .Number("priority", priority)
      .Number("ahead", static_cast<int64_t>(ahead))
      .Number("expected_ms", expected_ms);
  if (!ticking_) {
    ticking_ = true;
    asio::co_spawn(io_, Tick(), asio::detached);
  }
  token.set_on_stop([waiter] { waiter->bell.cancel(); });
  waiter->bell.expires_after(milliseconds(left_ms));
  boost::system::error_code ignored;  // granted, stopped or out of time
  if (!waiter->granted && !token.stopped())
    co_await waiter->bell.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  token.clear_on_stop();
  waiters_.erase(ticket);
  metrics_.Observe(Latency::kQueueWait,
                   static_cast<double>(SteadyMs() - arrived_ms));
  if (waiter->granted) co_return *waiter->granted;
  throw Refusal(Reason::kQueueTimeout, RunState::kNotRun,
                "No place became free in time.", kLeastRetryAfterMs);
}

void Dispatcher::Serve(const std::string& /*service*/, Line& line) {
  for (auto& [priority, queue] : line.queues) {
    for (;;) {
      auto call = queue->Pop(SteadyMs());
      if (!call) break;
      const auto it = waiters_.find(call->ticket);
      if (it == waiters_.end() || it->second->granted) continue;
      if (Grant(*it->second)) {
        it->second->bell.cancel();
        continue;
      }
      // Back to its place: the charge of the pop is undone.
      queue->Settle(call->team, call->weight, call->cost, 0);
      queue->Push(std::move(*call));
      return;
    }
  }
}

void Dispatcher::Poke() {
  for (auto& [service, line] : lines_) Serve(service, line);
}

void Dispatcher::Release(const std::string& id, const CallResult& result) {
  table_.OnCallFinished(id, result, SteadyMs());
  Poke();
}

size_t Dispatcher::waiting() const { return waiters_.size(); }

asio::awaitable<void> Dispatcher::Tick() {
  while (!waiters_.empty()) {
    asio::steady_timer timer(io_, kTick);
    co_await timer.async_wait(asio::use_awaitable);
    Poke();
  }
  ticking_ = false;
}

}  // namespace pimento
