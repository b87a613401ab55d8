// pimento-scheduler: owns shards and holds replicas of others, admits calls and
// dispatches them to upstreams.
#include <unistd.h>

#include "src/log.h"
#include "src/main/program_main.h"
#include "src/scheduler_node.h"

int main(int argc, char** argv) {
  using namespace pimento;
  const sigset_t stop_signals = BlockStopSignals();
  return RunDaemon(
      argc, argv, "pimento-scheduler", "Schedules agent programs for one host.",
      [](const std::string& path) { ReadSchedulerSettings(path); },
      [&stop_signals](const std::string& path) {
        const SchedulerSettings settings = ReadSchedulerSettings(path);
        SetUpLogging(settings.log.level, settings.log.format, settings.host);
        SchedulerNode node(settings);
        node.Start();
        WaitForStopSignal(stop_signals);
        node.Stop();
        // Skips destructors: suspended coroutines still refer to the
        // io_contexts of threads that have ended.
        _exit(kExitDone);
      });
}
