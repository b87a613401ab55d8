// pimento-entry: serves callers over HTTP and forwards their requests to the
// owners of the programs' shards.
#include <unistd.h>

#include <thread>

#include "src/caller_routes.h"
#include "src/entry_forwarder.h"
#include "src/http_server.h"
#include "src/log.h"
#include "src/main/program_main.h"
#include "src/metrics.h"
#include "src/peer_client.h"
#include "src/rpc_loop.h"
#include "src/settings.h"
#include "src/worker_thread.h"

namespace {

using namespace pimento;

// Maximum number of tasks that wait for each thread.
constexpr size_t kRingCapacity = 4'096;
constexpr int64_t kStopPollIntervalMs = 20;
// Lets connections that were just opened send their request.
constexpr int64_t kStopGraceMs = 500;

void SleepFor(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// Serves until a stop signal arrives, then waits up to the settings' stop limit
// for open requests to finish.
void Serve(const EntrySettings& settings, const sigset_t& stop_signals) {
  Metrics metrics;
  Supervisor supervisor("entry");
  WorkerThread& callers = supervisor.Add("callers", kRingCapacity);
  RpcLoop rpc(kRingCapacity);
  PeerClient peers(rpc, metrics);
  EntryForwarder forwarder(callers.io(), peers, metrics, settings);
  CallerRoutes routes(callers.io(), forwarder, metrics, settings.host);
  HttpServer server(
      callers.io(), "callers", settings.limits,
      [&routes](const HttpRequest& request, HttpResponder& responder) {
        return routes.Handle(request, responder);
      });
  routes.set_server_metrics([&server] { return server.MetricsText(); });
  rpc.Start();
  server.Listen(settings.http_address);
  forwarder.Start([&routes] { routes.AbortRequestsOfWithdrawnKeys(); });
  supervisor.Start();
  Log("entry").Info() << "The entry of host " << settings.host << " listens on "
                      << settings.http_address << ".";
  WaitForStopSignal(stop_signals);
  Log("entry").Info() << "Graceful shutdown started.";
  server.Drain();
  SleepFor(kStopGraceMs);
  for (int64_t waited = 0;
       server.active_requests() > 0 && waited < settings.stop_limit_ms;
       waited += kStopPollIntervalMs) {
    SleepFor(kStopPollIntervalMs);
  }
  Log("entry").Info() << "The entry stops.";
  supervisor.Stop();
  rpc.Stop();
  // Skips destructors: suspended coroutines still refer to objects of threads
  // that have ended.
  _exit(kExitDone);
}

}  // namespace

int main(int argc, char** argv) {
  const sigset_t stop_signals = BlockStopSignals();
  return RunDaemon(
      argc, argv, "pimento-entry", "Serves callers over HTTP for one host.",
      [](const std::string& path) { ReadEntrySettings(path); },
      [&stop_signals](const std::string& path) {
        const EntrySettings settings = ReadEntrySettings(path);
        SetUpLogging(settings.log.level, settings.log.format, settings.host);
        Serve(settings, stop_signals);
      });
}
