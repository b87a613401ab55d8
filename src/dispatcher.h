// Assigns calls to upstreams: immediately while one has capacity, otherwise
// from a queue ordered by priority.
//
// Load pattern: for seconds there are more calls than the upstreams have
// capacity for, from callers that retry as soon as they are refused. Upstreams
// admit in order of arrival and have no priorities, so calls are queued here
// rather than there: by priority, and within a priority fairly among teams. A
// call that is not expected to be assigned before its deadline is refused on
// arrival, with the time after which a retry is expected to succeed. A queued
// call is refused as soon as no upstream is left that could ever serve it, as
// when all upstreams of its service are leaving.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/boot_clock.h"
#include "src/fair_queue.h"
#include "src/metrics.h"
#include "src/reason.h"
#include "src/stop_token.h"
#include "src/upstream_table.h"

namespace pimento {

struct DispatchRequest {
  PlacementInput input = {};
  std::string request_id = {};
  std::string team = {};
  std::string program = {};
  // 0 is the highest priority.
  int priority = 0;
  // Priority of the call's kind, whatever team it is from.
  int route_priority = 0;
  // The call leaves the queue at this time; steady clock, milliseconds.
  int64_t wait_deadline_ms = 0;
  // True for a call that was accepted before and had its upstream withdrawn: it
  // is not refused for the length of the queue.
  bool accepted = false;
};

class Dispatcher {
 public:
  Dispatcher(boost::asio::io_context& io, UpstreamTable& table,
             Metrics& metrics);

  // Waits until an upstream has capacity for the call and reserves it. Each
  // success must be followed by Release(). Throws Refusal with
  // RunState::kNotRun.
  boost::asio::awaitable<UpstreamEntry> Acquire(DispatchRequest request,
                                                StopToken& token);
  // Reserves an upstream for the second try of a call that is running
  // elsewhere; empty when none is to spare or calls of the service are queued.
  // Each success must be followed by Release().
  std::optional<UpstreamEntry> AcquireSpare(const PlacementInput& input);
  // Returns the capacity reserved on upstream `id` and dispatches queued calls.
  void Release(const std::string& id, const CallResult& result);
  // Returns the capacity reserved on upstream `id` for a call that is not sent.
  void Withdraw(const std::string& id);
  // The same, since the upstream's limit is used up until `until_ms`.
  void WithdrawUntil(const std::string& id, int64_t until_ms);
  // Assigns queued calls to upstreams. Release() does so itself; call this when
  // capacity may have become available for another reason.
  void DispatchQueued();
  // Number of queued calls.
  size_t waiting() const;
  // True when no call of a more urgent kind came for the service lately.
  bool MostUrgent(const std::string& service, int route_priority) const;

 private:
  struct Waiter {
    DispatchRequest request;
    // Cancelled to wake the waiting call.
    boost::asio::steady_timer wakeup;
    std::optional<UpstreamEntry> granted;
    // True once no upstream is left that may serve the call.
    bool unservable = false;
  };
  // Queued calls of one service, by priority.
  struct ServiceQueues {
    std::map<int, std::unique_ptr<FairQueue>> queues;
    size_t size = 0;
  };
  // Dispatches queued calls periodically while any call waits.
  boost::asio::awaitable<void> RunDispatchLoop();
  // Assigns queued calls until no upstream has capacity for the next one.
  void ServeQueues(const std::string& service, ServiceQueues& service_queues);
  // Reserves an upstream for `waiter` if one has capacity.
  UpstreamTable::Verdict TryGrant(Waiter& waiter);
  // Number of queued calls with the same or a higher priority.
  size_t QueuedAhead(const std::string& service, int priority) const;

  boost::asio::io_context& io_;
  UpstreamTable& table_;
  Metrics& metrics_;
  // Removes a call that gave up waiting.
  void Forget(const std::string& service, int priority, uint64_t ticket);

  std::map<std::string, ServiceQueues> queues_by_service_;
  // Time of the last call, by service and priority of its kind.
  std::map<std::string, std::map<int, int64_t>> last_call_ms_;
  // Keyed by WaitingCall::ticket.
  std::map<uint64_t, std::shared_ptr<Waiter>> waiters_;
  uint64_t next_ticket_ = 1;
  bool dispatch_loop_running_ = false;
};

}  // namespace pimento
