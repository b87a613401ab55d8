// The main job, for real: six hosts in three zones serve agent programs of many
// turns, with a sub-agent and a tool call that must not repeat, while one host
// is killed. Prints each program's answer, its latency, and what was refused
// and retried.
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "bench/lib/agent_caller.h"
#include "bench/lib/test_fleet.h"
#include "src/worker_thread.h"

namespace {

using namespace pimento;
using testbed::AgentCaller;
using testbed::CallOutcome;
using testbed::TestFleet;

constexpr int kPrograms = 6;
constexpr int kTurns = 10;
constexpr int kOrderTurn = 6;
constexpr int kKillAfterTurn = 4;
constexpr uint64_t kTokens = 40;
constexpr int kToolPauseMs = 30;

std::mutex output_mutex;

void Say(const std::string& text) {
  const std::lock_guard lock(output_mutex);
  std::cout << text << std::endl;
}

struct Job {
  int number = 0;
  std::string program;
  std::string last_answer;
  double took_ms = 0;
  int turns = 0;
  std::string failure;
  std::map<std::string, int> refusals;
  int connection_failures = 0;
};

// One program: ten turns, a sub-agent on the third, an order on the sixth.
void RunJob(const TestFleet& fleet, Job& job, std::atomic<int>& turns_done) {
  std::vector<std::string> addresses;
  for (const std::string& host : fleet.hosts())
    addresses.push_back(fleet.Entry(host));
  AgentCaller caller(addresses,
                     job.number % 2 == 0 ? "key-quilters" : "key-skips");
  const int64_t started_ms = NowMs();
  job.program = caller.Create("demo-" + std::to_string(job.number));
  for (int turn = 1; turn <= kTurns && job.failure.empty(); ++turn) {
    CallOutcome outcome;
    const auto sequence = static_cast<uint32_t>(turn);
    if (turn == kOrderTurn) {
      outcome = caller.Call(job.program, sequence, "desk", "{\"deposit\":25}",
                            0, "/charge");
    } else {
      outcome =
          caller.Call(job.program, sequence, "chat",
                      "turn " + std::to_string(turn) + " of a quilt", kTokens);
    }
    if (!outcome.ok()) {
      job.failure = std::to_string(outcome.status) + " " + outcome.reason;
      break;
    }
    job.last_answer = outcome.output;
    ++job.turns;
    ++turns_done;
    if (turn == 3) {
      const std::string child =
          caller.Create("demo-" + std::to_string(job.number) + "-sub",
                        R"({"parent":")" + job.program +
                            R"(","budget":{"calls":2,"tokens":200}})");
      const CallOutcome sub =
          caller.Call(child, 1, "chat", "draft a pattern brief", kTokens);
      if (!sub.ok()) job.failure = "sub-agent: " + sub.reason;
      caller.End(child);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kToolPauseMs));
  }
  caller.End(job.program);
  job.took_ms = static_cast<double>(NowMs() - started_ms);
  job.refusals = caller.refusals();
  job.connection_failures = caller.connection_failures();
}

void Report(const TestFleet& fleet, const std::vector<Job>& jobs,
            const std::string& killed) {
  std::map<std::string, int> refusals;
  int connection_failures = 0;
  for (const Job& job : jobs) {
    Say("program " + job.program + ": " + std::to_string(job.turns) + " of " +
        std::to_string(kTurns) + " turns in " +
        std::to_string(static_cast<int>(job.took_ms)) + " ms" +
        (job.failure.empty() ? "" : ", failed: " + job.failure) +
        "\n  last answer: " + job.last_answer.substr(0, 60) + "...");
    for (const auto& [reason, count] : job.refusals) refusals[reason] += count;
    connection_failures += job.connection_failures;
  }
  Say("host killed on the way: " + killed);
  Say("connections that failed and were retried by callers: " +
      std::to_string(connection_failures));
  for (const auto& [reason, count] : refusals) {
    Say("refused: " + reason + " " + std::to_string(count));
  }
  const std::vector<std::string> reasons = {"not_owner", "owner_changing",
                                            "owner_unreachable", "fenced",
                                            "record_not_counted"};
  for (const std::string& reason : reasons) {
    const double count = fleet.CounterSum(
        "pimento_retried_total{reason=\"" + reason + "\"}", true);
    if (count > 0) {
      Say("retried inside: " + reason + " " +
          std::to_string(static_cast<int>(count)));
    }
  }
  int64_t most = 0;
  int64_t orders = 0;
  const auto executions = boost::json::parse(
      testbed::Ask(fleet.Upstream("s1"), "GET", "/executions").body);
  for (const auto& [operation, count] :
       executions.at("operations").as_object()) {
    most = std::max(most, count.to_number<int64_t>());
    ++orders;
  }
  Say("orders run: " + std::to_string(orders) +
      ", most runs of one order: " + std::to_string(most));
}

int RunDemo(int argc, char** argv) {
  cxxopts::Options options("demo", "Runs the main job on a fleet on loopback.");
  options.add_options()(
      "programs", "folder of the built programs",
      cxxopts::value<std::string>()->default_value("build/bin"))(
      "work", "folder for settings and logs",
      cxxopts::value<std::string>()->default_value("build/demo"))(
      "log", "level of the logs",
      cxxopts::value<std::string>()->default_value("info"))("help",
                                                            "show this text");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  const std::string work = arguments["work"].as<std::string>();
  std::filesystem::remove_all(work);
  TestFleet fleet({.bin_dir = arguments["programs"].as<std::string>(),
                   .work_dir = work,
                   .log_level = arguments["log"].as<std::string>()});
  Say("starting six hosts in three zones, three engines, two services and a "
      "platform");
  fleet.Start();
  Say("ready; running " + std::to_string(kPrograms) + " programs of " +
      std::to_string(kTurns) + " turns");
  std::vector<Job> jobs(kPrograms);
  std::atomic<int> turns_done{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < kPrograms; ++i) {
    jobs[i].number = i;
    threads.emplace_back([&fleet, &jobs, &turns_done, i] {
      RunJob(fleet, jobs[i], turns_done);
    });
  }
  while (turns_done < kPrograms * kKillAfterTurn) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  std::string killed;
  for (const Job& job : jobs) {
    if (killed.empty() && !job.program.empty())
      killed = fleet.OwnerOf(job.program);
  }
  fleet.KillHost(killed);
  Say("killed " + killed + ", which owned program " + jobs[0].program);
  for (std::thread& thread : threads) thread.join();
  Report(fleet, jobs, killed);
  bool ok = true;
  for (const Job& job : jobs)
    ok = ok && job.failure.empty() && job.turns == kTurns;
  Say(ok ? "every program finished in order" : "a program did not finish");
  return ok ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  // The fleet's destructor stops what was started, also when something fails.
  try {
    return RunDemo(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "demo: " << e.what() << "\n";
    return 1;
  }
}
