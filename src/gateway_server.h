// The addresses on which a gateway serves: callers, the directory, readiness
// and metrics.
#pragma once

#include <memory>
#include <vector>

#include "platform/store_mirror.h"
#include "src/caller_connection.h"
#include "src/gateway_state.h"

namespace pimento {

class GatewayServer {
 public:
  explicit GatewayServer(GatewayState& state);

  // Throws TransportError when an address cannot be listened on.
  void Listen();
  // Begins a planned stop. `on_done` is called once it is over.
  void Drain(std::function<void()> on_done);

 private:
  boost::asio::awaitable<void> ServeInternal(const CallerRequest& request,
                                             ResponseWriter& answer);
  // Answers another gateway from this one's mirror of the store's objects.
  boost::asio::awaitable<void> ServeMirror(platform::MirrorCall call,
                                           ResponseWriter& answer);
  boost::asio::awaitable<void> WaitForDrain(std::function<void()> on_done);

  GatewayState& state_;
  CallerServer callers_;
  // Directory, readiness and metrics.
  CallerServer internal_;
};

}  // namespace pimento
