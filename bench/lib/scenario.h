// A small line-based language for scenarios on a real fleet.
//
//   fleet engines=2 services=2
//   load programs=6 turns=8            programs in the background
//   after turns 12                     waits for progress, not for time
//   kill owner-of-load
//   finish load
//   expect finished
//   expect histories
//   expect orders once
//
// Each line is a command; '#' starts a comment. The first command that fails
// ends the scenario with an error that names its line. docs/SCENARIOS.md lists
// the commands. The methods below are named after their commands.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/lib/agent_caller.h"
#include "bench/lib/load.h"
#include "bench/lib/test_fleet.h"

namespace pimento::testbed {

// Runs one scenario file on a fleet that its `fleet` command starts.
class Scenario {
 public:
  // `bin_dir` holds the executables. Logs and settings go to `work_dir`, which
  // the `fleet` command deletes and creates again.
  Scenario(std::string bin_dir, std::string work_dir);
  ~Scenario();

  // Runs the file at `path`. Returns "", or an error with file and line number.
  std::string Run(const std::string& path);
  // Output of the `say`, `request` and `control` commands. Values that differ
  // between runs, such as program ids and ports, are masked.
  const std::string& transcript() const { return transcript_; }
  // Measurements of the scenario for the test log, in the order they were
  // taken.
  const std::vector<std::string>& figures() const { return figures_; }

 private:
  // The words of a command line; the first is the command itself.
  using Words = std::vector<std::string>;
  using Command = void (Scenario::*)(const Words&);
  static const std::map<std::string, Command> kCommands;
  static const std::map<std::string, Command> kExpectations;

  // Runs one line; throws std::runtime_error when it fails.
  void Execute(const std::string& line);
  void Fleet(const Words& words);
  void StartLoad(const Words& words);
  void After(const Words& words);
  void Finish(const Words& words);
  void Orders(const Words& words);
  void Kill(const Words& words);
  void Freeze(const Words& words);
  void Thaw(const Words& words);
  void Cut(const Words& words);
  void Mend(const Words& words);
  void Stop(const Words& words);
  void Start(const Words& words);
  void Faults(const Words& words);
  void Control(const Words& words);
  void Change(const Words& words);
  void Wait(const Words& words);
  void Expect(const Words& words);
  void Request(const Words& words);
  void StartRequest(const Words& words);
  void Say(const Words& words);
  void Flood(const Words& words);
  void Note(const Words& words);
  void Mark(const Words& words);

  // The `expect` commands; each throws when the expectation does not hold.
  void ExpectFinished(const Words& words);
  void ExpectHistories(const Words& words);
  void ExpectOrders(const Words& words);
  void ExpectSessions(const Words& words);
  void ExpectRefused(const Words& words);
  void ExpectCut(const Words& words);
  void ExpectSlowest(const Words& words);
  void ExpectKeys(const Words& words);
  void ExpectSingle(const Words& words);
  void ExpectMost(const Words& words);
  void ExpectCounter(const Words& words);
  void ExpectGeneration(const Words& words);
  void ExpectStatus(const Words& words);
  void ExpectRequestEnds(const Words& words);
  void ExpectFlood(const Words& words);
  void ExpectQuiet(const Words& words);

  // Number of calls that the engine has started so far.
  int64_t StartedCalls(const std::string& engine) const;

  // Resolves a host word of a command, such as "owner-of:PROGRAM", to a host.
  std::string ResolveHost(const std::string& word) const;
  // Replaces values that differ between runs by placeholders.
  std::string Mask(std::string text) const;
  // Polls `condition` until it is true. Returns false after `timeout_ms`.
  bool PollUntil(int64_t timeout_ms,
                 const std::function<bool()>& condition) const;

  std::string bin_dir_;
  std::string work_dir_;
  uint32_t shards_ = 8;
  std::unique_ptr<TestFleet> fleet_;
  std::unique_ptr<Load> load_;
  std::unique_ptr<SingleOrders> orders_;
  // Variables by name: "$NAME" in a line is replaced by the value.
  std::map<std::string, std::string> variables_;
  // Answer to the last `request`.
  Answer last_answer_;
  // Output of the last pimentoctl run.
  TestFleet::Output control_output_;
  struct BackgroundRequest;
  // Request started by `begin`.
  std::unique_ptr<BackgroundRequest> background_request_;
  struct FloodResult {
    int granted = 0;
    int refused = 0;
    double seconds = 0;
    // Arrival times of granted calls, in seconds.
    std::vector<double> times;
  };
  FloodResult flood_;
  // Calls that each engine had started at its last `mark`.
  std::map<std::string, int64_t> marks_;
  std::string transcript_;
  std::vector<std::string> figures_;
};

}  // namespace pimento::testbed
