// An operator's order to move a service to another version, and what the system
// has recorded about it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimento {

enum class RolloutState : uint8_t {
  // Nothing is recorded yet.
  kRequested,
  kRunning,
  kCompleted,
  kRolledBack,
};

// How far a running order is; the share of requests grows with each step.
enum class RolloutStep : uint8_t {
  // No upstream of the target is there yet.
  kWaiting,
  kFirst,
  // Held for as long as the order's time allows.
  kCanary,
  kPart,
  kHalf,
  // Everything goes to the target; the old upstreams empty.
  kAll,
  kCount,
};

// The name of `step` in the recorded status, in logs and in metrics.
std::string_view Name(RolloutStep step);
std::string_view Name(RolloutState state);

struct RolloutOrder {
  std::string service = {};
  std::string target = {};
  int64_t over_ms = 0;
  // Why the order cannot be carried out; empty for a valid one.
  std::string error = {};
};

struct RolloutStatus {
  RolloutState state = RolloutState::kRequested;
  std::string target = {};
  RolloutStep step = RolloutStep::kWaiting;
  // Share of the service's requests that the target gets.
  double share = 0;
  // The versions that were in service when the order came.
  std::vector<std::string> old_versions = {};
  // Time from the order to this record.
  int64_t elapsed_ms = 0;
  // The host that decided, and why.
  std::string decided_by = {};
  std::string reason = {};
};

// An order as it stands in the store.
struct RolloutObject {
  uint64_t revision = 0;
  RolloutOrder order = {};
  RolloutStatus status = {};
};

}  // namespace pimento
