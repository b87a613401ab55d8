// Upstreams that come back after a crash: model servers as processes, each of
// which is started again some time after it has ended, at the same address and
// under the same id in the store, as a new process. Its entry in the store is
// written once the process answers and the store takes it.
//
//   UpstreamKeeper keeper(fleet, {.dir = "build/platform/x", .back_ms = 800});
//   keeper.Start("talk-10", R"({"crash_stage":1})");
//   keeper.Crash("talk-10");
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/process_set.h"

namespace pimento::testbed {

class UpstreamKeeper {
 public:
  struct Options {
    std::string bin_dir = "build/bin";
    // Where the logs go; the folder of the fleet.
    std::string dir = {};
    // Time from the end of a process to its next start.
    int64_t back_ms = 1'000;
  };
  // One request that an upstream began to run.
  struct Run {
    std::string upstream = {};
    // Which start of the upstream it was, from 1.
    int64_t born = 0;
    std::string id = {};
    std::string path = {};
    bool deadly = false;
    // Steady clock.
    int64_t at_ms = 0;
  };
  // `fleet` must outlive the keeper.
  UpstreamKeeper(PlatformFleet& fleet, Options options);
  ~UpstreamKeeper();
  UpstreamKeeper(const UpstreamKeeper&) = delete;
  UpstreamKeeper& operator=(const UpstreamKeeper&) = delete;

  // Starts upstream `name`, "talk-N" or "desk-N", and registers it. `switches`
  // are those of the model server, which every later start gets as well.
  void Start(const std::string& name, const std::string& switches);
  // Kills the process with SIGKILL; it comes back like after a crash.
  void Crash(const std::string& name);

  // Ends of processes so far, by themselves and by Crash().
  int ends() const { return ends_; }
  // Those of them that were caused by Crash().
  int crashed_by_test() const { return crashed_by_test_; }
  // Upstreams that run now.
  size_t running();
  // What all upstreams began to run, by time.
  std::vector<Run> Runs() const;

 private:
  struct Upstream {
    std::string address = {};
    std::string switches = {};
    int id = 0;
    int64_t born = 0;
    // When the process is to be started again; 0 while it runs.
    int64_t back_at_ms = 0;
    // False while the store has the entry of an earlier start.
    bool registered = false;
  };
  void Keep();
  // All are called with the lock.
  void Launch(const std::string& name, Upstream& upstream);
  void Register(const std::string& name, Upstream& upstream);
  void NoteEnd(Upstream& upstream);
  std::string LogFile(const std::string& name) const;

  PlatformFleet& fleet_;
  Options options_;
  mutable std::mutex mutex_;
  std::map<std::string, Upstream> upstreams_;
  ProcessSet processes_;
  std::atomic<int> ends_ = 0;
  std::atomic<int> crashed_by_test_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace pimento::testbed
