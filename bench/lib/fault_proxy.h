// A TCP proxy on loopback that injects link faults: it delays bytes, drops them
// in one or both directions, refuses or resets connections. Runs on a thread of
// its own.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace pimento::testbed {

enum class LinkFault : uint8_t {
  kNone,
  kDelayed,  // each chunk is forwarded 150 ms late
  kSilent,   // bytes are accepted and dropped in both directions
  kOneWay,   // bytes are forwarded to the target only, answers are dropped
  kRefused,  // new connections are closed at once, open ones are unaffected
  kCount,    // number of faults
};

// One link. The current fault applies to open and new connections; a connection
// that has dropped bytes in a direction forwards nothing more in it, even after
// the fault ends, since TCP has no gaps.
class FaultProxy {
 public:
  // Listens on `listen` and forwards connections to `target`.
  FaultProxy(const std::string& listen, const std::string& target);
  ~FaultProxy();

  // Thread-safe, as is ResetAll.
  void SetFault(LinkFault fault);
  // Closes all open connections with a TCP reset.
  void ResetAll();
  // From now on all connections together carry so many bytes a second in each
  // direction, each a few milliseconds late; 0: no limit. Thread-safe.
  void SetRate(int64_t bytes_per_s);
  // Bytes that were forwarded from the target so far. Thread-safe.
  uint64_t bytes_from_target() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace pimento::testbed
