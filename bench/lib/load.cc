// Sends the load and compares its answers with the fleet's records.
#include "bench/lib/load.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>

#include "src/placement.h"
#include "src/program_ledger.h"
#include "src/worker_thread.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;

// HTTP addresses of all entries of the fleet.
std::vector<std::string> Entries(const TestFleet& fleet) {
  std::vector<std::string> all;
  for (const std::string& host : fleet.hosts())
    all.push_back(fleet.Entry(host));
  return all;
}

}  // namespace

std::map<std::string, int64_t> Executions(const TestFleet& fleet) {
  std::map<std::string, int64_t> all;
  for (const std::string& name : fleet.upstreams()) {
    if (name.front() != 's') continue;
    const Answer answer = Ask(fleet.Upstream(name), "GET", "/executions");
    if (answer.status != 200) continue;
    const json::value executions = json::parse(answer.body);
    for (const auto& [operation, count] :
         executions.at("operations").as_object()) {
      all[std::string(operation)] += count.to_number<int64_t>();
    }
  }
  return all;
}

int64_t HeldSessions(const TestFleet& fleet) {
  int64_t held = 0;
  for (const std::string& name : fleet.upstreams()) {
    if (name.front() != 'e') continue;
    const Answer answer = Ask(fleet.Upstream(name), "GET", "/load");
    if (answer.status != 200) continue;
    held += json::parse(answer.body).at("sessions").to_number<int64_t>();
  }
  return held;
}

Load::Load(const TestFleet& fleet, LoadOptions options)
    : fleet_(fleet), options_(std::move(options)), runs_(options_.programs) {}

Load::~Load() { Finish(); }

void Load::Start() {
  for (size_t i = 0; i < runs_.size(); ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

void Load::Finish() {
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void Load::Run(size_t index) {
  ProgramRun& run = runs_[index];
  run.team = options_.teams[index % options_.teams.size()];
  AgentCaller caller(Entries(fleet_), "key-" + run.team);
  caller.set_retry_limit_ms(options_.retry_limit_ms);
  const int64_t started_ms = NowMs();
  // The idempotency key must differ between loads: an equal one would return a
  // program of an earlier load.
  const std::string name =
      "load-" + std::to_string(reinterpret_cast<uintptr_t>(this)) + "-" +
      std::to_string(started_ms) + "-" + std::to_string(index);
  run.program = caller.Create(name);
  if (run.program.empty()) run.failure = "The program was not created.";
  for (int turn = 1; turn <= options_.turns && run.failure.empty(); ++turn) {
    const bool order =
        options_.order_every > 0 && turn % options_.order_every == 0;
    const std::string input = name + " turn " + std::to_string(turn);
    const auto sequence = static_cast<uint32_t>(turn);
    const CallOutcome outcome =
        order ? caller.Call(run.program, sequence, "desk", input, 0, "/charge")
              : caller.Call(run.program, sequence, "chat", input,
                            options_.tokens);
    run.worst_call_ms = std::max(run.worst_call_ms, outcome.duration_ms);
    const bool unknown = outcome.reason == "outcome_unknown";
    if (!outcome.ok() && !unknown) {
      run.failure = "turn " + std::to_string(turn) + ": " +
                    std::to_string(outcome.status) + " " + outcome.reason;
      break;
    }
    run.unknown += unknown ? 1 : 0;
    run.inputs.push_back(input);
    run.outputs.push_back(unknown ? "" : outcome.output);
    ++turns_done_;
    // The end of the history is lost, so the program cannot go on.
    if (unknown && !order) break;
    if (turn == 2 && options_.sub_agents) {
      const std::string child = caller.Create(
          name + "-sub", R"({"parent":")" + run.program +
                             R"(","budget":{"calls":1,"tokens":100}})");
      const CallOutcome sub =
          caller.Call(child, 1, "chat", input, options_.tokens);
      if (!sub.ok()) run.failure = "sub-agent: " + sub.reason;
      if (options_.end_programs) caller.End(child);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(options_.pause_ms));
  }
  if (options_.end_programs && !run.program.empty()) caller.End(run.program);
  run.duration_ms = static_cast<double>(NowMs() - started_ms);
  run.refusals = caller.refusals();
  run.connection_failures = caller.connection_failures();
  run.lost_connections = caller.lost_connections();
}

std::string Load::CheckFinished() const {
  for (const ProgramRun& run : runs_) {
    if (!run.failure.empty()) return run.program + " failed: " + run.failure;
    const bool complete =
        run.outputs.size() == static_cast<size_t>(options_.turns);
    if (!complete && run.unknown == 0) {
      return run.program + " made " + std::to_string(run.outputs.size()) +
             " turns of " + std::to_string(options_.turns);
    }
  }
  return "";
}

std::string Load::CheckHistories() const {
  for (const ProgramRun& run : runs_) {
    AgentCaller caller(Entries(fleet_), "key-" + run.team);
    const CallOutcome history = caller.History(run.program);
    if (!history.ok())
      return run.program + ": the history was refused: " + history.reason;
    const json::value view = json::parse(history.output);
    const json::array& calls = view.at("calls").as_array();
    if (calls.size() != run.outputs.size()) {
      return run.program + ": " + std::to_string(calls.size()) +
             " calls in the history, but " +
             std::to_string(run.outputs.size()) + " were answered";
    }
    for (size_t i = 0; i < calls.size(); ++i) {
      const bool unknown = calls[i].at("state").as_string() == "unknown";
      const bool same =
          calls[i].at("input").as_string() == run.inputs[i] &&
          (unknown || calls[i].at("output").as_string() == run.outputs[i]);
      if (!same)
        return run.program + ": call " + std::to_string(i + 1) + " differs";
    }
  }
  return "";
}

int Load::Refused() const {
  int refused = 0;
  for (const ProgramRun& run : runs_) {
    for (const auto& [reason, count] : run.refusals) refused += count;
  }
  return refused;
}

int Load::LostConnections() const {
  int lost = 0;
  for (const ProgramRun& run : runs_) lost += run.lost_connections;
  return lost;
}

int Load::Unknown() const {
  int unknown = 0;
  for (const ProgramRun& run : runs_) unknown += run.unknown;
  return unknown;
}

SingleOrders::SingleOrders(const TestFleet& fleet, int count, int parallel,
                           uint32_t shards)
    : fleet_(fleet), parallel_(parallel), shards_(shards), orders_(count) {}

SingleOrders::~SingleOrders() { Finish(); }

void SingleOrders::Start() {
  for (int i = 0; i < parallel_; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

void SingleOrders::Finish() {
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void SingleOrders::Run(int worker) {
  const std::vector<std::string> entries = Entries(fleet_);
  for (int index = next_++; index < static_cast<int>(orders_.size());
       index = next_++) {
    Order& order = orders_[index];
    const std::string key =
        "single-" + std::to_string(NowUs()) + "-" + std::to_string(index);
    const std::string unique = "quilters/service/desk/" + key;
    order.operation = ProgramId(ShardOf(unique, shards_), unique) + "/1";
    const Answer answer = Ask(
        entries[static_cast<size_t>(index + worker) % entries.size()], "POST",
        "/v1/services/desk/charge", "{\"deposit\":1}",
        {{"Authorization", "Bearer key-quilters"}, {"Idempotency-Key", key}});
    order.status = answer.status;
    boost::system::error_code error;
    const json::value body = json::parse(answer.body, error);
    const bool refused =
        !error && body.is_object() && body.as_object().contains("error");
    if (refused) order.run = body.at("error").at("run").as_string().c_str();
    answered_ += answer.status == 200 ? 1 : 0;
    not_run_ += order.run == "not_run" ? 1 : 0;
    unknown_ += order.run == "unknown" ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

std::string SingleOrders::Check() const {
  const std::map<std::string, int64_t> executions = Executions(fleet_);
  for (const Order& order : orders_) {
    const auto it = executions.find(order.operation);
    const int64_t runs = it == executions.end() ? 0 : it->second;
    const std::string error = "The order " + order.operation + " ran " +
                              std::to_string(runs) +
                              " times and was answered " +
                              std::to_string(order.status) + " " + order.run;
    if (runs > 1) return error;
    if (order.run == "not_run" && runs != 0) return error;
    if (order.status == 200 && runs != 1) return error;
  }
  return "";
}

}  // namespace pimento::testbed
