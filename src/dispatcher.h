// Gives calls their upstream: at once while there is a place, and in order of
// urgency when all are full.
//
// Load pattern: more calls than places for seconds, from callers that retry as
// soon as they are refused. Upstreams admit in order of arrival and know no
// priorities, so calls wait here, ordered by priority and among teams by the
// fair queue, and not there. A call that cannot be served within its time is
// refused when it comes, with the time after which a retry would find a place.
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

struct PlaceRequest {
  PlacementInput input = {};
  std::string request_id = {};
  std::string team = {};
  std::string program = {};
  // 0 is the most urgent.
  int priority = 0;
  // After this time a place is of no use; steady clock, milliseconds.
  int64_t wait_deadline_ms = 0;
};

class Dispatcher {
 public:
  Dispatcher(boost::asio::io_context& io, UpstreamTable& table,
             Metrics& metrics);

  // Waits for a place and takes it. Throws Refusal, not run.
  boost::asio::awaitable<UpstreamEntry> Acquire(PlaceRequest request,
                                                StopToken& token);
  void Release(const std::string& id, const CallResult& result);
  // Places may have become free for other reasons than Release().
  void Poke();
  size_t waiting() const;

 private:
  struct Waiter {
    PlaceRequest request;
    boost::asio::steady_timer bell;
    std::optional<UpstreamEntry> granted;
  };
  // Calls of one service that wait, by priority.
  struct Line {
    std::map<int, std::unique_ptr<FairQueue>> queues;
    size_t size = 0;
  };
  boost::asio::awaitable<void> Tick();
  void Serve(const std::string& service, Line& line);
  bool Grant(Waiter& waiter);
  size_t Ahead(const std::string& service, int priority) const;

  boost::asio::io_context& io_;
  UpstreamTable& table_;
  Metrics& metrics_;
  std::map<std::string, Line> lines_;
  std::map<uint64_t, std::shared_ptr<Waiter>> waiters_;
  uint64_t next_ticket_ = 1;
  bool ticking_ = false;
};

}  // namespace pimento
