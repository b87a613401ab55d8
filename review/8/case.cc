// A conversation goes on while the three storage machines are stopped and
// started in turn. Long after that, all of its turns are refused.
#include "../lab-2/lab.h"

using namespace lab;

namespace {

constexpr double kRetainS = 8;
// One turn each kPaceMs, well inside retain_s of the one before.
constexpr int64_t kPaceMs = 2'000;
constexpr int64_t kDownMs = 2'500;
// From the return of a machine to the stop of the next one; catch_up_s is 4.5.
constexpr int64_t kBetweenMs = 6'500;
constexpr int64_t kLengthMs = 88'000;
// "no unplanned disruption from stability_window_ms before"; the stops are
// planned, and end long before.
constexpr int64_t kCalmAfterMs = 10'000;

struct Tries {
  int turns = 0, reached = 0;
};

}  // namespace

int main() {
  RunCase([] {
    auto& fleet = *new Fleet({.retain_s = kRetainS});
    const int64_t start = NowMs();
    std::atomic<int64_t> rolled_at{Trouble() ? int64_t{1} << 60 : start + 28'000};
    std::atomic<bool> stop{false};
    // Other programs begin all the while: first turns.
    std::mutex mutex;
    std::vector<std::pair<int64_t, bool>> first_turns;
    std::thread others([&] {
      for (int i = 0; !stop; ++i) {
        const std::string id = "first" + std::to_string(i) + "-" + std::to_string(getpid());
        fleet.Turn(id, "p" + id, "", "alba", "hello", 5'000);
        {
          std::lock_guard lock(mutex);
          first_turns.push_back({NowMs(), fleet.RanAnywhere(id)});
        }
        SleepMs(500);
      }
    });
    // The operator stops and starts the storage machines in turn.
    std::thread operator_thread([&] {
      if (!Trouble()) return;
      SleepMs(5'000);
      for (int i = 0; i < 3; ++i) {
        const std::string host = Fleet::Archive(i);
        REC("SIGTERM to %s", host.c_str());
        fleet.Signal(host, SIGTERM);
        fleet.WaitForEnd(host);
        REC("%s has ended", host.c_str());
        SleepMs(kDownMs);
        fleet.StartHost(host, false);
        REC("%s is started again, with its disk", host.c_str());
        if (i < 2) SleepMs(kBetweenMs);
      }
      rolled_at = NowMs();
      // It started the processes: it stays as long as they do.
      while (!stop) SleepMs(50);
    });
    std::string previous;
    int64_t answered_at = 0;
    Tries calm;
    int failed_tries = 0, number = 0;
    std::string failed_on;
    int64_t failed_since = 0;
    bool broken = false;
    int turns_answered = 0;
    while (NowMs() - start < kLengthMs && !broken) {
      const int64_t began = NowMs();
      const std::string id = "turn" + std::to_string(++number) + "-" + std::to_string(getpid());
      const int64_t left = kLengthMs + 20'000 - (NowMs() - start);
      const Answer answer =
          fleet.Turn(id, "conversation", previous, "alba", "input " + std::to_string(number), left);
      const bool ran = fleet.RanAnywhere(id);
      REC("turn %s after %s: status %d, %s, %s; previous answered %.1f s ago", id.c_str(),
          previous.empty() ? "none" : previous.c_str(), answer.status,
          answer.complete ? "whole" : "broken", ran ? "reached an engine" : "reached no engine",
          answered_at ? (NowMs() - answered_at) / 1000.0 : 0.0);
      if (Whole(answer)) {
        previous = id;
        answered_at = NowMs();
        failed_tries = 0;
        ++turns_answered;
        SleepMs(kPaceMs - (NowMs() - began));
        continue;
      }
      // Counted: tries that reach no engine, of a turn that names one which was
      // answered whole less than retain_s ago, in calm.
      const bool kept = answered_at > 0 && NowMs() - answered_at < kRetainS * 1000;
      const bool in_calm = NowMs() > rolled_at + kCalmAfterMs;
      if (!ran && kept && in_calm) {
        if (failed_tries == 0) failed_since = NowMs();
        ++failed_tries;
      }
      if (failed_tries >= 5) {
        std::lock_guard lock(mutex);
        int all = 0, reached = 0;
        for (const auto& [at, ok] : first_turns)
          if (at > failed_since - 1'000) {
            ++all;
            reached += ok;
          }
        REC("five tries reached no engine; of %d first turns meanwhile %d reached one; "
            "engines: %d of 192 slots in use",
            all, reached,
            fleet.talk[0]->in_progress + fleet.talk[1]->in_progress + fleet.talk[2]->in_progress);
        broken = all > 0 && reached * 10 >= all * 9;
        failed_tries = 0;
      }
      SleepMs(300);
    }
    REC("%d turns of the conversation were answered whole", turns_answered);
    stop = true;
    others.join();
    operator_thread.join();
    if (!broken && turns_answered < 20) return 2;
    return broken ? 1 : 0;
  });
}
