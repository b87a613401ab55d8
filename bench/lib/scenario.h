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
// Each line is a command; '#' begins a comment. A line that fails ends the
// scenario with an error that names it. docs/SCENARIOS.md lists the commands.
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

class Scenario {
 public:
  // `programs` is the folder of the binaries, `work` one for logs and settings.
  Scenario(std::string programs, std::string work);
  ~Scenario();

  // Runs the file. Returns "" or what failed, with the line.
  std::string Run(const std::string& path);
  // What `say` lines and sessions wrote, with volatile parts masked.
  const std::string& transcript() const { return transcript_; }
  // Figures that the scenario reports, in order.
  const std::vector<std::string>& figures() const { return figures_; }

 private:
  using Words = std::vector<std::string>;
  using Command = void (Scenario::*)(const Words&);
  static const std::map<std::string, Command> kCommands;
  static const std::map<std::string, Command> kExpectations;

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

  // Calls that an engine has started.
  int64_t Started(const std::string& engine) const;

  std::string HostFrom(const std::string& word) const;
  std::string Mask(std::string text) const;
  // Polls `holds` until it is true or `limit_ms` is over.
  bool Until(int64_t limit_ms, const std::function<bool()>& holds) const;

  std::string programs_;
  std::string work_;
  uint32_t shards_ = 8;
  std::unique_ptr<TestFleet> fleet_;
  std::unique_ptr<Load> load_;
  std::unique_ptr<SingleOrders> orders_;
  // Variables: $P in a line is replaced.
  std::map<std::string, std::string> variables_;
  Answer last_;
  TestFleet::Output control_;
  struct BackgroundRequest;
  std::unique_ptr<BackgroundRequest> background_;
  struct FloodResult {
    int granted = 0;
    int refused = 0;
    double seconds = 0;
    // Arrival times of grants, seconds.
    std::vector<double> times;
  };
  FloodResult flood_;
  // Calls that engines had started at a `mark`.
  std::map<std::string, int64_t> marks_;
  std::string transcript_;
  std::vector<std::string> figures_;
};

}  // namespace pimento::testbed
