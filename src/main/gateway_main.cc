// pimento-gateway: serves callers on one host of the users' platform.
#include "src/background_loop.h"
#include "src/gateway_server.h"
#include "src/main/platform_main.h"

namespace {

using namespace pimento;

constexpr const char* kName = "pimento-gateway";

void Serve(const platform::BootSettings& settings) {
  boost::asio::io_context io(1);
  Metrics metrics;
  GatewayState state(io, settings, metrics);
  GatewayServer server(state);
  server.Listen();
  EndStartPart(StartPart::kPorts);
  state.Start();
  std::string stop_signal;
  const auto stop = [&](const std::string& signal) {
    stop_signal = signal;
    server.Drain([&io] { io.stop(); });
  };
  KeepRunning(io, "signals", [&io, stop] { return ServeSignals(io, stop); });
  RunToTheEnd(io, kName, stop_signal);
}

}  // namespace

int main(int argc, char** argv) {
  return pimento::RunOnPlatform(
      argc, argv, kName, "Serves callers on one host of the platform.", Serve);
}
