// Listens on the addresses of a gateway: one for callers' requests, and
// internal ones for the directory, readiness, metrics and mirrored store
// objects. Each address has places of its own, so that clients of one cannot
// shut out those of another.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform/store_mirror.h"
#include "src/byte_broker.h"
#include "src/caller_connection.h"
#include "src/gateway_state.h"

namespace pimento {

class GatewayServer {
 public:
  explicit GatewayServer(GatewayState& state);

  // Throws TransportError when it cannot listen on an address.
  void Listen();
  // Starts a graceful shutdown. Calls `on_done` once it is complete.
  void Drain(std::function<void()> on_done);

 private:
  // Listens on `address` for internal requests, unless it is empty or another
  // internal listener has it.
  void ListenInternal(const std::string& listener, const std::string& address,
                      size_t max_connections);
  std::string MetricsText() const;
  boost::asio::awaitable<void> ServeInternal(const CallerRequest& request,
                                             ResponseWriter& response);
  // Serves another gateway from this gateway's mirror of the store.
  boost::asio::awaitable<void> ServeMirror(platform::MirrorCall call,
                                           ResponseWriter& response);
  boost::asio::awaitable<void> WaitForDrain(std::function<void()> on_done);

  GatewayState& state_;
  // What all connections of this process hold.
  ByteBroker broker_;
  CallerServer callers_;
  // By address. All serve the directory, readiness, metrics and mirrored store
  // objects.
  std::map<std::string, CallerServer> internal_;
};

}  // namespace pimento
