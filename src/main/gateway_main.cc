// pimento-gateway: serves callers on one host of the users' platform.
#include "src/gateway_server.h"
#include "src/main/platform_main.h"

namespace {

using namespace pimento;

void Serve(const platform::BootSettings& settings) {
  boost::asio::io_context io(1);
  Metrics metrics;
  GatewayState state(io, settings, metrics);
  GatewayServer server(state);
  server.Listen();
  state.Start();
  boost::asio::co_spawn(
      io, ServeSignals(io, [&] { server.Drain([&io] { io.stop(); }); }),
      boost::asio::detached);
  io.run();
  FlushEventLog();
  // Skips destructors, since suspended coroutines still refer to local objects.
  _exit(kExitDone);
}

}  // namespace

int main(int argc, char** argv) {
  return pimento::RunOnPlatform(argc, argv, "pimento-gateway",
                                "Serves callers on one host of the platform.",
                                Serve);
}
