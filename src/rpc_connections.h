// The connections at the RPC listener of a scheduler: how many are open, what
// their messages hold, and which gives way.
//
// Load: connections that nobody controls. The RPC library takes any number of
// them, and memory for a message of 64 MiB as soon as its first bytes announce
// it; 60 messages that stop short take what 60 messages take. Here each message
// is on one account before it is read, calls that are not answered yet count,
// and a connection that is idle or has stalled gives way to a new one.
//
// Used on the RPC thread only.
#pragma once

#include <capnp/capability.h>
#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "src/byte_account.h"
#include "src/connection_places.h"

namespace pimento {

// What one connection has asked for. Shared with the calls in progress on it,
// which may end after it was closed.
class RpcConnectionUse {
 public:
  virtual ~RpcConnectionUse() = default;
  // A call of `bytes` has begun, or was answered.
  virtual void BeginCall(uint64_t bytes) = 0;
  virtual void EndCall(uint64_t bytes) = 0;
};

class RpcConnections : private kj::TaskSet::ErrorHandler {
 public:
  struct Options {
    size_t max_connections = 4'096;
    // Bytes that all messages together may hold; also of one message.
    uint64_t budget = 64 * 1024 * 1024;
    // A message that has not arrived after this time, or for which there was no
    // room meanwhile, ends its connection; milliseconds.
    int64_t message_ms = 10'000;
  };
  // Makes the interface that a new connection gets.
  using MakeInterface = std::function<capnp::Capability::Client(
      std::shared_ptr<RpcConnectionUse>)>;

  RpcConnections(kj::Timer& timer, Options options, MakeInterface make);
  ~RpcConnections() noexcept;

  // Accepts connections until the promise is dropped.
  kj::Promise<void> Listen(kj::ConnectionReceiver& receiver);
  // Open connections, bytes held and closed connections, Prometheus text.
  std::string MetricsText() const;

 private:
  class Connection;
  class CountedStream;
  friend class Connection;
  friend class CountedStream;

  // Gives the new connection a place, at the cost of another one if need be.
  kj::Promise<void> Accept(kj::Own<kj::AsyncIoStream> stream, int64_t until_ms);
  // Closes a connection once the present event was handled.
  void CloseSoon(ConnectionPlaces::Id id);
  // Waits until `take` has found the room that `holder` needs, and closes
  // others for it. Fails at `until_ms`.
  kj::Promise<void> WaitForRoom(ByteAccount::HolderId holder,
                                std::function<bool()> take, int64_t until_ms);
  void CloseForRoom(ByteAccount::HolderId asking);
  void taskFailed(kj::Exception&& exception) override;

  kj::Timer& timer_;
  Options options_;
  MakeInterface make_;
  ConnectionPlaces places_;
  ByteAccount account_;
  std::unordered_map<ConnectionPlaces::Id, std::shared_ptr<Connection>>
      connections_;
  uint64_t gave_way_ = 0;
  uint64_t refused_ = 0;
  uint64_t short_of_memory_ = 0;
  // End connections that were closed. Declared last: they use what is above.
  kj::TaskSet closing_;
};

}  // namespace pimento
