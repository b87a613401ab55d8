// Queues of calls that wait for a slot of an upstream.
//
// Two policies share one interface, so that a run under one can be compared
// with a run under the other:
//
//   fair   picks the team with the fewest tokens served, divided by its weight,
//          and within the team the program with the least attained service,
//          with ageing; programs that are late already come last
//   fifo   first in, first out; the baseline
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

// One call that waits for a slot.
struct WaitingCall {
  uint64_t ticket = 0;
  // Scheduler host that sent the call, and the boot number of its process.
  std::string host;
  uint64_t boot = 0;
  std::string team;
  std::string program;
  double weight = 1;
  // Expected cost, tokens.
  double cost = 1;
  // Tokens served to the program so far.
  double attained = 0;
  int64_t arrived_ms = 0;
  // Time after which the sender no longer needs the slot.
  int64_t wait_deadline_ms = 0;
  // Time by which the program should finish; 0 when not stated.
  int64_t finish_by_ms = 0;
};

class FairQueue {
 public:
  virtual ~FairQueue() = default;
  virtual void Push(WaitingCall call) = 0;
  // Removes the next call and charges its expected cost to its team; nullopt
  // when the queue is empty.
  virtual std::optional<WaitingCall> Pop(int64_t now_ms) = 0;
  // Replaces the charge made by Pop() with the actual cost of the call, tokens.
  virtual void Settle(const std::string& team, double weight, double charged,
                      double actual) = 0;
  virtual size_t size() const = 0;
  // Removes and returns the calls for which `should_remove(call, context)` is
  // true.
  virtual std::vector<WaitingCall> Remove(
      bool (*should_remove)(const WaitingCall&, const void*),
      const void* context) = 0;
};

enum class QueuePolicy { kFair, kFifo };

std::unique_ptr<FairQueue> MakeQueue(QueuePolicy policy);
// Returns nullopt when the name is neither "fair" nor "fifo".
std::optional<QueuePolicy> QueuePolicyFromName(const std::string& name);

}  // namespace pimento
