// A TCP proxy on loopback that delays, silences, cuts one way or resets the
// connections that pass it. Runs on a thread of its own.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace pimento::testbed {

enum class LinkFault : uint8_t {
  kNone,
  kDelayed,  // bytes pass 150 ms late
  kSilent,   // bytes are taken and passed on neither way, now or later
  kOneWay,   // bytes pass towards the target only
  kRefused,  // new connections are closed at once
  kCount,
};

class FaultProxy {
 public:
  // Listens on `listen` and passes connections to `target`.
  FaultProxy(const std::string& listen, const std::string& target);
  ~FaultProxy();

  void Set(LinkFault fault);
  // Resets all open connections.
  void ResetAll();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace pimento::testbed
