// Hands out the slots of upstreams.
//
// On the owner of an upstream's shard: keeps the gate. Elsewhere: asks that
// owner for a slot, and tells it how the call ended. A new owner first learns
// from all live hosts what they have in flight, so that it never admits beyond
// the window what a former owner has admitted already.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/async_condition.h"
#include "src/peer_messages.h"
#include "src/scheduler_context.h"
#include "src/shard_host.h"
#include "src/upstream_gate.h"

namespace pimento {

class SlotBroker {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  SlotBroker(SchedulerContext& context, ShardHost& shards, QueuePolicy policy);
  void Start();

  // What a call needs to say for a slot.
  struct AcquireParams {
    std::string team;
    std::string program;
    double cost = 1;
    double attained = 0;
    int64_t patience_ms = 10'000;
    uint32_t max_queue = 256;
  };
  // Waits for a slot of `upstream` and returns its ticket. Throws Refusal; then
  // nothing was sent to the upstream.
  Async<uint64_t> Acquire(std::string upstream, AcquireParams want);
  // Gives the slot back. Never throws.
  Async<void> Release(SlotDone done);

  // Serve other hosts; throw Refusal(kNotOwner).
  Async<SlotReply> OnSlot(SlotRequest request);
  Async<bool> OnDone(SlotDone done);
  std::vector<SlotRequest> InFlight(const std::string& upstream) const;

  // Latest hint about an upstream's load, or a neutral one when it is old.
  GateLoad CachedLoad(const std::string& upstream) const;
  void DropShard(uint32_t shard);

 private:
  struct Gate {
    uint32_t shard = 0;
    std::unique_ptr<UpstreamGate> gate;
    // False until the live hosts have told what they have in flight.
    bool ready = false;
    AsyncCondition granted;
    std::map<uint64_t, bool> admitted;
  };
  struct LoadHint {
    GateLoad load;
    int64_t at_ms = 0;
  };

  Async<std::shared_ptr<Gate>> GateOf(std::string upstream);
  Async<void> LearnInFlight(std::shared_ptr<Gate> gate, std::string upstream);
  void Pump(Gate& gate, const std::string& upstream);
  Async<void> TickLoop();
  GateOptions OptionsFor(const std::string& upstream) const;
  void NoteLoad(const std::string& upstream, const SlotReply& reply);

  SchedulerContext& context_;
  ShardHost& shards_;
  QueuePolicy policy_;
  std::map<std::string, std::shared_ptr<Gate>> gates_;
  // Slots that this host holds or waits for, by upstream and ticket.
  std::map<std::string, std::map<uint64_t, SlotRequest>> held_;
  std::map<std::string, LoadHint> hints_;
  uint64_t next_ticket_ = 1;
};

}  // namespace pimento
