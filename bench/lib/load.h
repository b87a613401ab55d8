// Load on a test fleet: agent programs and single orders in the background. The
// answers are recorded, so that histories and the services' execution counters
// can be compared with them afterwards.
//
// An "order" is a call with a side effect (POST /charge): the system must run
// it at most once.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "bench/lib/agent_caller.h"
#include "bench/lib/test_fleet.h"

namespace pimento::testbed {

struct LoadOptions {
  int programs = 6;
  int turns = 8;
  // Every `order_every`-th turn of a program is an order; 0 for none.
  int order_every = 4;
  // Token limit of each call to an engine.
  uint64_t tokens = 16;
  // Pause between the turns of a program.
  int pause_ms = 10;
  // Whether each program starts a sub-agent with one call after its second
  // turn.
  bool sub_agents = true;
  // Whether programs are ended after their last turn.
  bool end_programs = true;
  // Programs are dealt to these teams in turn.
  std::vector<std::string> teams = {"quilters", "skips"};
  // Longest time that one call is retried for.
  int64_t retry_limit_ms = 40'000;
};

// One agent program and the answers that it got.
struct ProgramRun {
  // Program id, empty until the program is created.
  std::string program;
  std::string team;
  // Input and output of each answered turn; the output of a turn with unknown
  // outcome is "".
  std::vector<std::string> inputs;
  std::vector<std::string> outputs;
  // Turns that were answered "outcome_unknown".
  int unknown = 0;
  // Why the program stopped early, or "".
  std::string failure;
  double duration_ms = 0;
  // Longest call, retries included.
  double worst_call_ms = 0;
  // Refusals by reason.
  std::map<std::string, int> refusals;
  int connection_failures = 0;
  // Connections that broke after a request was sent.
  int lost_connections = 0;
};

// Runs `programs` agent programs, each on a thread of its own.
class Load {
 public:
  Load(const TestFleet& fleet, LoadOptions options);
  ~Load();

  void Start();
  // Waits until all programs have finished.
  void Finish();
  // Turns answered so far, over all programs.
  int turns_done() const { return turns_done_; }
  const std::vector<ProgramRun>& runs() const { return runs_; }

  // The checks return an error message, or "" when they pass.
  // Every program made all its turns, or lost one to an unknown outcome.
  std::string CheckFinished() const;
  // Histories read back equal the recorded answers byte for byte.
  std::string CheckHistories() const;
  // Sums over all programs of refusals, turns with unknown outcome and lost
  // connections.
  int Refused() const;
  int Unknown() const;
  int LostConnections() const;

 private:
  void Run(size_t index);

  const TestFleet& fleet_;
  LoadOptions options_;
  std::vector<ProgramRun> runs_;
  std::vector<std::thread> threads_;
  std::atomic<int> turns_done_{0};
};

// Orders that are sent once each, without retries, so that every answer can be
// checked against the services' execution counters.
class SingleOrders {
 public:
  SingleOrders(const TestFleet& fleet, int count, int parallel,
               uint32_t shards);
  ~SingleOrders();
  void Start();
  void Finish();
  // Returns "" when every answer agrees with the executions of the services, or
  // the first order that does not: run twice, run though answered "not_run", or
  // not run though answered 200.
  std::string Check() const;
  // Orders answered 200, "not_run" and "unknown".
  int answered() const { return answered_; }
  int not_run() const { return not_run_; }
  int unknown() const { return unknown_; }

 private:
  struct Order {
    // Operation id, as the services count it.
    std::string operation;
    int status = 0;
    // Field "run" of a refusal.
    std::string run;
  };
  void Run(int worker);

  const TestFleet& fleet_;
  int parallel_;
  uint32_t shards_;
  std::vector<Order> orders_;
  std::vector<std::thread> threads_;
  // Index of the next order to send.
  std::atomic<int> next_{0};
  std::atomic<int> answered_{0};
  std::atomic<int> not_run_{0};
  std::atomic<int> unknown_{0};
};

// Executions by operation id, summed over all plain services.
std::map<std::string, int64_t> Executions(const TestFleet& fleet);

// Sessions that the engines hold memory for, summed over all engines.
int64_t HeldSessions(const TestFleet& fleet);

}  // namespace pimento::testbed
