// Acquires and releases slots of upstreams.
//
// The owner of an upstream's shard runs the upstream's gate (see
// upstream_gate.h). The other hosts ask the owner for a slot before a call and
// report the outcome afterwards. A new owner first asks all live hosts for
// their calls in flight, so that these and the calls it grants together stay
// within the window. A host that it cannot reach is skipped: the calls in
// flight there are not counted, so the total can exceed the window until they
// end.
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

  // Describes the call that needs a slot.
  struct AcquireParams {
    std::string team;
    std::string program;
    // Expected cost, tokens.
    double cost = 1;
    // Tokens served to the program so far.
    double attained = 0;
    // Maximum wait for the slot.
    int64_t patience_ms = 10'000;
    // Refused if at least this many calls are queued already.
    uint32_t max_queue = 256;
  };
  // Waits for a slot of `upstream` and returns its ticket. Throws Refusal if
  // none is granted; nothing was sent to the upstream then.
  Async<uint64_t> Acquire(std::string upstream, AcquireParams params);
  // Releases the slot and reports how the call ended; retries if the owner is
  // unreachable. Never throws.
  Async<void> Release(SlotDone done);

  // Handlers of requests from other hosts. OnSlot() waits until the slot is
  // granted. Both throw Refusal(kNotOwner) if this host does not own the shard.
  Async<SlotReply> OnSlot(SlotRequest request);
  Async<bool> OnDone(SlotDone done);
  // Slots of `upstream` that are granted to this host.
  std::vector<SlotRequest> InFlight(const std::string& upstream) const;

  // Load of an upstream from the last reply of its gate; all zeros if there is
  // none or it is stale.
  GateLoad CachedLoad(const std::string& upstream) const;
  // Drops the gates of a shard that this host no longer owns.
  void DropShard(uint32_t shard);

 private:
  struct GateEntry {
    uint32_t shard = 0;
    std::unique_ptr<UpstreamGate> gate;
    // False until the live hosts were asked for their calls in flight; nothing
    // is granted before.
    bool ready = false;
    // Notified when slots were granted.
    AsyncCondition granted;
    // Tickets that were granted and whose request has not been answered yet.
    std::map<uint64_t, bool> admitted;
  };
  struct LoadSample {
    GateLoad load;
    int64_t at_ms = 0;
  };

  Async<std::shared_ptr<GateEntry>> FindOrCreateGate(std::string upstream);
  Async<void> CollectInFlight(std::shared_ptr<GateEntry> entry,
                              std::string upstream);
  void GrantFreeSlots(GateEntry& entry, const std::string& upstream);
  Async<void> TickLoop();
  GateOptions OptionsFor(const std::string& upstream) const;
  void CacheLoad(const std::string& upstream, const SlotReply& reply);

  SchedulerContext& context_;
  ShardHost& shards_;
  QueuePolicy policy_;
  std::map<std::string, std::shared_ptr<GateEntry>> gates_;
  // Slots granted to this host, by upstream and ticket.
  std::map<std::string, std::map<uint64_t, SlotRequest>> granted_slots_;
  std::map<std::string, LoadSample> loads_;
  uint64_t next_ticket_ = 1;
};

}  // namespace pimento
