// The order in which waiting calls get an upstream's slots.
//
// Two policies share one interface, so that each run can be measured against
// the other: `fair` (among teams by tokens served over weight, within a team by
// least attained service of the program, with ageing) and `fifo`, the baseline.
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
  std::string host;  // the scheduler host that asks
  uint64_t boot = 0;
  std::string team;
  std::string program;
  double weight = 1;
  // Tokens that the call is expected to cost.
  double cost = 1;
  // Tokens that the program has been served so far.
  double attained = 0;
  int64_t arrived_ms = 0;
  // After this time nobody waits for the slot any more.
  int64_t give_up_ms = 0;
};

class FairQueue {
 public:
  virtual ~FairQueue() = default;
  virtual void Push(WaitingCall call) = 0;
  virtual std::optional<WaitingCall> Pop(int64_t now_ms) = 0;
  // Corrects the charge made at Pop once the true cost is known.
  virtual void Settle(const std::string& team, double weight, double charged,
                      double actual) = 0;
  virtual size_t size() const = 0;
  // Removes and returns calls for which `leaves` is true.
  virtual std::vector<WaitingCall> Remove(bool (*leaves)(const WaitingCall&,
                                                         const void*),
                                          const void* context) = 0;
};

enum class QueuePolicy { kFair, kFifo };

std::unique_ptr<FairQueue> MakeQueue(QueuePolicy policy);
std::optional<QueuePolicy> QueuePolicyFromName(const std::string& name);

}  // namespace pimento
