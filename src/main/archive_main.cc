// pimento-archive: stores turns and token reservations on the disk of one host.
#include "platform/wire_names.h"
#include "src/archive_node.h"
#include "src/background_loop.h"
#include "src/main/platform_main.h"

namespace {

using namespace pimento;

constexpr const char* kName = "pimento-archive";
constexpr size_t kDiskQueueCapacity = 1'024;

void Serve(const platform::BootSettings& settings) {
  boost::asio::io_context io(1);
  Supervisor supervisor("archive");
  WorkerThread& disk = supervisor.Add("disk", kDiskQueueCapacity);
  ConnectionPool pool(io.get_executor());
  platform::StoreClient store(pool, settings.store_address);
  ArchiveNode node(
      io, disk, store, pool,
      {.host = settings.host,
       .zone = settings.zone,
       .address = settings.ip + ":" + std::to_string(settings.first_port),
       .metrics_address =
           settings.ip + ":" + std::string(platform::kMetricsPort),
       .data_dir = settings.data_dir,
       .first_start = settings.first_start,
       .tolerated_losses = settings.tolerated_losses,
       .revoke_ms = settings.revoke_ms,
       .memory_mb = settings.memory_mb,
       .max_fds = settings.max_fds});
  supervisor.Start();
  node.Start();
  std::string stop_signal;
  const auto stop = [&](const std::string& signal) {
    stop_signal = signal;
    EventLine(Event::kStopped).Text("program", kName);
    io.stop();
  };
  KeepRunning(io, "signals", [&io, stop] { return ServeSignals(io, stop); });
  boost::asio::post(io, [] { EndStartPart(StartPart::kReady); });
  RunToTheEnd(io, kName, stop_signal);
}

}  // namespace

int main(int argc, char** argv) {
  return pimento::RunOnPlatform(
      argc, argv, kName,
      "Stores turns and token reservations on the disk of one host.", Serve);
}
