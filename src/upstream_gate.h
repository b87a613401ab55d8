// Admission control for one upstream: the window, the queue and the slots in
// use.
//
// The gate runs on the owner of the upstream's shard, and all calls to the
// upstream pass through it. A scheduler acquires a slot before it dispatches a
// call and releases it afterwards. The slots of a dead host are freed without a
// release: at once while the upstream is warm, and otherwise when it is warm
// again or the slot reaches its maximum lifetime, because the dead host's call
// may still be running on the cold upstream.
//
// An upstream may become cold before the gate notices; it then aborts its
// running calls. A complete answer near the fastest known pace proves that the
// upstream was warm until then. Calls granted before that answer are aborted if
// the upstream becomes cold later, so only calls granted since then can run on
// a cold upstream. The gate keeps those at or below the cold window:
//
//   cold window 2, window 6, 6 calls queued
//   t = 0 ms     2 granted
//   t = 200 ms   a complete answer; 2 more granted beside the one still running
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/admission_window.h"
#include "src/fair_queue.h"

namespace pimento {

struct GateOptions {
  WindowOptions window;
  QueuePolicy policy = QueuePolicy::kFair;
  size_t queue_limit = 256;
  // Maximum lifetime of a slot: the time limit of calls to the upstream.
  int64_t max_slot_lifetime_ms = 60'000;
};

// Outcome of a call that held a slot.
struct SlotResult {
  uint64_t ticket = 0;
  bool succeeded = false;
  // True if the upstream refused the call, broke the connection or timed out,
  // which indicates a cold start.
  bool cold_sign = false;
  // Actual cost, tokens.
  double tokens = 0;
  // As in AdmissionWindow::OnSuccess().
  double pace_ms = 0;
};

// Load of an upstream, as its gate reports it with each grant. Other hosts use
// it as a hint until it is stale.
struct GateLoad {
  uint32_t in_flight = 0;
  uint32_t limit = 0;
  uint32_t queued = 0;
};

class UpstreamGate {
 public:
  UpstreamGate(GateOptions options, int64_t now_ms);

  enum class EnqueueResult { kQueued, kQueueFull, kLeaving };
  // Queues `call`; the next GrantWaiting() may grant it.
  EnqueueResult Enqueue(WaitingCall call, size_t max_queue);
  // Grants as many waiting calls as the window allows, in policy order.
  std::vector<WaitingCall> GrantWaiting(int64_t now_ms);
  // Frees the slot, if it is still held, and updates the window.
  void OnCallEnded(const SlotResult& result, int64_t now_ms);
  // Adds a call that is in flight, whatever the window: one granted here, or
  // one that a previous owner admitted.
  void AddInFlight(WaitingCall call, int64_t now_ms);
  // Removes a call from the queue. Returns false if the call holds a slot,
  // which it keeps.
  bool CancelWaiting(uint64_t ticket);
  // Handles the death or restart of a host, for its runs up to boot number
  // `boot`: removes its queued calls and frees its slots, or marks the slots as
  // orphaned while the upstream is cold.
  void DropHost(const std::string& host, uint64_t boot, int64_t now_ms);
  // Frees slots past their lifetime, and orphaned ones once the upstream is
  // warm. Removes and returns queued calls past their deadline.
  std::vector<WaitingCall> Expire(int64_t now_ms);

  void set_leaving(bool leaving) { leaving_ = leaving; }
  void set_options(const GateOptions& options);
  bool leaving() const { return leaving_; }
  GateLoad Load(int64_t now_ms) const;
  const AdmissionWindow& window() const { return window_; }

 private:
  // Number of slots granted since the upstream was last proven warm. All these
  // calls would run on a cold upstream if it had become cold without notice.
  size_t UnprovenSlots() const;

  struct Slot {
    WaitingCall call;
    int64_t granted_ms = 0;
    int64_t expires_at_ms = 0;
    // The host died while the upstream was cold; the call may still be running.
    bool orphaned = false;
  };

  GateOptions options_;
  AdmissionWindow window_;
  std::unique_ptr<FairQueue> queue_;
  // Calls in flight by ticket. A grant never takes them above the window's
  // limit.
  std::map<uint64_t, Slot> slots_;
  // Latest time at which the upstream is known to have been warm.
  int64_t known_warm_until_ms_ = 0;
  // The upstream is being drained or removed: nothing is queued or granted.
  bool leaving_ = false;
};

}  // namespace pimento
