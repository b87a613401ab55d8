// pimento-scheduler: owns and holds shards, admits and dispatches calls.
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
        // What coroutines still hold belongs to threads that are gone.
        _exit(kExitDone);
      });
}
