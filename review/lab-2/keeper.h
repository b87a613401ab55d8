// The part of the platform that starts processes again and kills those that use
// more memory than their machine has.
#pragma once

#include <array>

#include "lab.h"

namespace lab {

constexpr int64_t kMemoryKb = 130 * 1024;  // limits.memory_mb of the archives

// What the platform does: it starts a process that has ended again, after a
// short delay, and kills one that uses more memory than its machine has.
class Keeper {
 public:
  explicit Keeper(Fleet& fleet) : fleet_(fleet) {
    std::thread([this] { Run(); }).detach();
  }
  std::atomic<int> over_limit{0};
  std::atomic<int64_t> peak_kb{0};
  // Times that each archive was killed for its memory.
  std::array<std::atomic<int>, 3> killed{};
  // A disk is lost: the process ends, and comes back for_s later.
  void LoseDisk(int archive, int64_t for_ms) {
    wipe_for_ms_[archive] = for_ms;
    while (wipe_for_ms_[archive] != 0) SleepMs(10);
  }
  // All archives are killed at the same moment, and are back for_s later.
  void KillAll(int64_t for_ms) {
    kill_all_for_ms_ = for_ms;
    while (kill_all_for_ms_ != 0) SleepMs(10);
  }

 private:
  void Run() {
    while (!fleet_.stopping()) {
      if (kill_all_for_ms_ != 0) {
        for (int i = 0; i < 3; ++i) fleet_.Signal(Fleet::Archive(i), SIGKILL);
        for (int i = 0; i < 3; ++i) {
          fleet_.WaitForEnd(Fleet::Archive(i));
          start_at_ms_[i] = NowMs() + kill_all_for_ms_;
        }
        REC("all archives are killed, their disks stay");
        kill_all_for_ms_ = 0;
      }
      for (int i = 0; i < 3; ++i) {
        const std::string host = Fleet::Archive(i);
        if (wipe_for_ms_[i] != 0) {
          fleet_.Signal(host, SIGKILL);
          fleet_.WaitForEnd(host);
          fleet_.Wipe(host);
          start_at_ms_[i] = NowMs() + wipe_for_ms_[i];
          REC("%s loses its disk", host.c_str());
          wipe_for_ms_[i] = 0;
        }
        if (start_at_ms_[i] != 0) {
          if (NowMs() < start_at_ms_[i]) continue;
          fleet_.StartHost(host, false);
          REC("%s is started", host.c_str());
          start_at_ms_[i] = 0;
        }
        const int64_t kb = fleet_.StatusKb(host, "VmRSS");
        if (kb > peak_kb) peak_kb = kb;
        if (kb > kMemoryKb) {
          REC("%s uses %lld KB, its machine has %lld KB: killed", host.c_str(),
              static_cast<long long>(kb), static_cast<long long>(kMemoryKb));
          fleet_.Signal(host, SIGKILL);
          fleet_.WaitForEnd(host);
          ++over_limit;
          ++killed[static_cast<size_t>(i)];
          start_at_ms_[i] = NowMs() + 500;
        } else if (fleet_.Ended(host) && !fleet_.stopping()) {
          REC("%s has ended by itself", host.c_str());
          start_at_ms_[i] = NowMs() + 500;
        }
      }
      SleepMs(1);
    }
  }
  Fleet& fleet_;
  std::atomic<int64_t> kill_all_for_ms_{0};
  std::array<std::atomic<int64_t>, 3> wipe_for_ms_{};
  std::array<int64_t, 3> start_at_ms_{};
};

}  // namespace lab
