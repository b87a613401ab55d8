// Agent programs in the background, with what each of them was answered, so
// that histories and execution counters can be compared with it afterwards.
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
  // Every so many turns the call is an order that must not repeat; 0 for none.
  int order_every = 4;
  uint64_t tokens = 16;
  int pause_ms = 10;
  // A sub-agent with one call after the second turn.
  bool sub_agents = true;
  bool end_programs = true;
  std::vector<std::string> teams = {"quilters", "skips"};
  int64_t limit_ms = 40'000;
};

struct ProgramRun {
  std::string program;
  std::string team;
  std::vector<std::string> inputs;
  std::vector<std::string> outputs;
  // Turns whose outcome was told as unknown.
  int unknown = 0;
  std::string failure;
  double took_ms = 0;
  double worst_call_ms = 0;
  std::map<std::string, int> refusals;
  int connection_failures = 0;
  int cut = 0;
};

class Load {
 public:
  Load(const TestFleet& fleet, LoadOptions options);
  ~Load();

  void Start();
  void Finish();
  // Turns answered so far, over all programs.
  int turns_done() const { return turns_done_; }
  const std::vector<ProgramRun>& runs() const { return runs_; }

  // Each returns what is wrong, or "".
  std::string CheckFinished() const;
  // Histories read back equal what was answered, byte for byte.
  std::string CheckHistories() const;
  int Refused() const;
  int Unknown() const;
  int Cut() const;

 private:
  void Run(size_t index);

  const TestFleet& fleet_;
  LoadOptions options_;
  std::vector<ProgramRun> runs_;
  std::vector<std::thread> threads_;
  std::atomic<int> turns_done_{0};
};

// Orders that are tried once each, so that what was said of them can be checked
// against the service's own counter.
class SingleOrders {
 public:
  SingleOrders(const TestFleet& fleet, int count, int parallel,
               uint32_t shards);
  ~SingleOrders();
  void Start();
  void Finish();
  // "" when every answer agrees with the executions of the services.
  std::string Check() const;
  int answered() const { return answered_; }
  int not_run() const { return not_run_; }
  int unknown() const { return unknown_; }

 private:
  struct Order {
    std::string operation;
    int status = 0;
    std::string run;
  };
  void Run(int worker);

  const TestFleet& fleet_;
  int parallel_;
  uint32_t shards_;
  std::vector<Order> orders_;
  std::vector<std::thread> threads_;
  std::atomic<int> next_{0};
  std::atomic<int> answered_{0};
  std::atomic<int> not_run_{0};
  std::atomic<int> unknown_{0};
};

// Executions of each operation, over all plain services.
std::map<std::string, int64_t> Executions(const TestFleet& fleet);

// Sessions that the engines hold memory for.
int64_t HeldSessions(const TestFleet& fleet);

}  // namespace pimento::testbed
