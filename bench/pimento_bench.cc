// pimento-bench: runs the real daemons on loopback under a workload that is
// determined by a seed, alternately with each of two policies, and compares the
// results. Or measures the cost of the system itself.
//
//   build/bin/pimento-bench --what queue     fair or first come, first served
//   build/bin/pimento-bench --what choice    affinity or round robin
//   build/bin/pimento-bench --what cost      latency and CPU time of a call
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <numeric>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

#include "bench/lib/agent_caller.h"
#include "bench/lib/load.h"
#include "bench/lib/test_fleet.h"
#include "src/document.h"
#include "src/worker_thread.h"

namespace {

using namespace pimento;
using namespace pimento::testbed;
namespace json = boost::json;

constexpr int kSmallTeams = 7;
// Longest time that one call is retried for.
constexpr double kRetryLimitSeconds = 60;

// Results of one run of the workload with one policy.
struct RunResult {
  std::string policy;
  // Program latency in milliseconds, by team.
  std::map<std::string, std::vector<double>> latency;
  double wasted_tokens = 0;
  // Share of the prompt tokens that the engines had cached.
  double cached_share = 0;
  // Calls refused as "rate_limited".
  int refused_within_rate = 0;
  // Programs that failed.
  int failures = 0;
  double seconds = 0;
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<size_t>(q * static_cast<double>(values.size() - 1) + 0.5);
  return values[index];
}

std::string TeamSections() {
  std::string text;
  const auto section = [&text](const std::string& name, int rate, int burst) {
    text += "[team " + name + "]\nrate = " + std::to_string(rate) +
            "/s\nburst = " + std::to_string(burst) +
            "\nkeys = " + KeyDigest("key-" + name) +
            "\nservices = chat, desk, info\n";
  };
  section("large", 400, 400);
  for (int i = 0; i < kSmallTeams; ++i)
    section("small" + std::to_string(i), 50, 50);
  return text;
}

// The fleet that both policies run on.
FleetOptions BaseFleetOptions(const std::string& bin_dir,
                              const std::string& work_dir) {
  FleetOptions options;
  options.bin_dir = bin_dir;
  options.work_dir = work_dir;
  options.engines = 4;
  options.services = 2;
  options.teams = TeamSections();
  options.engine_window = 4;
  options.engine_cold_window = 2;
  options.engine_cold_start = "300ms";
  options.engine_faults =
      R"({"cold_ms":200,"token_ms":3,"prefill_tokens_per_ms":4,"cache_tokens":40000})";
  options.log_level = "warn";
  return options;
}

// The result that the workload's threads add to, guarded by `mutex`.
struct SharedResult {
  std::mutex mutex;
  RunResult result;
};

// Runs one program. Its number of turns is drawn from `seed`, so the system
// does not know it in advance.
void RunProgram(const std::vector<std::string>& entries,
                const std::string& team, int number, uint64_t seed,
                bool long_program, SharedResult& shared) {
  std::mt19937_64 random(seed);
  AgentCaller caller(entries, "key-" + team);
  caller.set_retry_limit_ms(static_cast<int64_t>(kRetryLimitSeconds * 1000));
  const int64_t started_us = NowUs();
  const std::string name =
      team + "-" + std::to_string(number) + "-" + std::to_string(started_us);
  const std::string program = caller.Create(name);
  const int turns = long_program ? 8 + static_cast<int>(random() % 8)
                                 : 2 + static_cast<int>(random() % 5);
  bool failed = program.empty();
  for (int turn = 1; turn <= turns && !failed; ++turn) {
    const uint64_t tokens = (long_program ? 40 : 10) + random() % 20;
    const std::string input(100 + random() % 300,
                            static_cast<char>('a' + random() % 26));
    failed =
        !caller
             .Call(program, static_cast<uint32_t>(turn), "chat", input, tokens)
             .ok();
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 30));
  }
  caller.End(program);
  const double took_ms = static_cast<double>(NowUs() - started_us) / 1000;
  const std::lock_guard lock(shared.mutex);
  shared.result.latency[team].push_back(took_ms);
  shared.result.failures += failed ? 1 : 0;
  const auto& refusals = caller.refusals();
  const auto it = refusals.find("rate_limited");
  if (it != refusals.end()) shared.result.refused_within_rate += it->second;
}

// Starts a fleet, runs the whole workload on it and returns the result.
RunResult RunOnce(const FleetOptions& options, const std::string& policy,
                  uint64_t seed) {
  std::filesystem::remove_all(options.work_dir);
  TestFleet fleet(options);
  fleet.Start();
  std::vector<std::string> entries;
  for (const std::string& host : fleet.hosts())
    entries.push_back(fleet.Entry(host));
  SharedResult shared;
  shared.result.policy = policy;
  std::vector<std::thread> threads;
  const int64_t started_ms = NowMs();
  // The large team runs 24 long programs at once. Each small team runs three
  // short programs one after the other, in two threads.
  for (int i = 0; i < 24; ++i) {
    threads.emplace_back([&, i] {
      RunProgram(entries, "large", i, seed * 1000 + static_cast<uint64_t>(i),
                 true, shared);
    });
  }
  for (int team = 0; team < kSmallTeams; ++team) {
    for (int thread = 0; thread < 2; ++thread) {
      threads.emplace_back([&, team, thread] {
        for (int i = 0; i < 3; ++i) {
          const int number = thread * 10 + i;
          RunProgram(entries, "small" + std::to_string(team), number,
                     seed * 7919 + static_cast<uint64_t>(team * 100 + number),
                     false, shared);
        }
      });
    }
  }
  for (std::thread& thread : threads) thread.join();
  shared.result.seconds = static_cast<double>(NowMs() - started_ms) / 1000;
  shared.result.wasted_tokens =
      fleet.CounterSum("pimento_tokens_wasted_total", false);
  double cached = 0;
  double prefilled = 0;
  for (const std::string& name : fleet.upstreams()) {
    if (name.front() != 'e') continue;
    const json::value load =
        json::parse(Ask(fleet.Upstream(name), "GET", "/load").body);
    cached += load.at("cached").to_number<double>();
    prefilled += load.at("prefilled").to_number<double>();
  }
  shared.result.cached_share = cached / std::max(1.0, cached + prefilled);
  return shared.result;
}

// Program latencies in milliseconds.
struct Summary {
  // Over the programs of all teams.
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  // Highest mean of a small team, and mean of the large team.
  double worst_small_mean = 0;
  double large_mean = 0;
};

Summary Summarize(const RunResult& run) {
  std::vector<double> all;
  Summary summary;
  for (const auto& [team, latency] : run.latency) {
    all.insert(all.end(), latency.begin(), latency.end());
    const double mean = std::accumulate(latency.begin(), latency.end(), 0.0) /
                        static_cast<double>(latency.size());
    if (team == "large") {
      summary.large_mean = mean;
    } else {
      summary.worst_small_mean = std::max(summary.worst_small_mean, mean);
    }
  }
  summary.p50 = Quantile(all, 0.5);
  summary.p95 = Quantile(all, 0.95);
  summary.p99 = Quantile(all, 0.99);
  return summary;
}

json::object ToJson(const RunResult& run) {
  const Summary s = Summarize(run);
  return {{"policy", run.policy},
          {"program_p50_ms", s.p50},
          {"program_p95_ms", s.p95},
          {"program_p99_ms", s.p99},
          {"worst_small_team_mean_ms", s.worst_small_mean},
          {"large_team_mean_ms", s.large_mean},
          {"wasted_tokens", run.wasted_tokens},
          {"cached_share", run.cached_share},
          {"refused_within_rate", run.refused_within_rate},
          {"failures", run.failures},
          {"seconds", run.seconds}};
}

// An SVG bar chart of one field, with two bars for each round.
std::string Plot(const json::array& runs, const char* field,
                 const std::string& title) {
  double max_value = 1;
  for (const json::value& run : runs)
    max_value = std::max(max_value, run.at(field).to_number<double>());
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"520\" height=\""
      << 40 + 26 * runs.size()
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n<text x=\"8\" "
      << "y=\"18\">" << title << "</text>\n";
  for (size_t i = 0; i < runs.size(); ++i) {
    const double value = runs[i].at(field).to_number<double>();
    const size_t y = 30 + 26 * i;
    svg << "<text x=\"8\" y=\"" << y + 14 << "\">"
        << runs[i].at("policy").as_string().c_str()
        << "</text><rect x=\"110\" y=\"" << y << "\" height=\"18\" width=\""
        << 330 * value / max_value << "\" fill=\""
        << (i % 2 == 0 ? "#3b6ea5" : "#c0703a") << "\"/><text x=\""
        << 116 + 330 * value / max_value << "\" y=\"" << y + 14 << "\">"
        << std::lround(value) << "</text>\n";
  }
  svg << "</svg>\n";
  return svg.str();
}

// Runs both policies `rounds` times, alternately. Prints the results and their
// ratios, and writes them to `out`.json and `out`.svg.
void Compare(const FleetOptions& base, const std::string& what, int rounds,
             uint64_t seed, const std::string& out) {
  const bool queue = what == "queue";
  const std::vector<std::string> policies =
      queue ? std::vector<std::string>{"fair", "fifo"}
            : std::vector<std::string>{"affinity", "round-robin"};
  json::array runs;
  for (int round = 0; round < rounds; ++round) {
    for (const std::string& policy : policies) {
      FleetOptions options = base;
      (queue ? options.queue_policy : options.choice_policy) = policy;
      runs.push_back(ToJson(
          RunOnce(options, policy, seed + static_cast<uint64_t>(round))));
      std::cout << json::serialize(runs.back()) << std::endl;
    }
  }
  std::cout << "\nratio " << policies[0] << " / " << policies[1]
            << ", pair by pair:\n";
  for (const char* field :
       {"program_p50_ms", "program_p95_ms", "worst_small_team_mean_ms",
        "large_team_mean_ms", "cached_share", "seconds"}) {
    std::cout << "  " << field << ":";
    for (size_t i = 0; i + 1 < runs.size(); i += 2) {
      const double a = runs[i].at(field).to_number<double>();
      const double b = runs[i + 1].at(field).to_number<double>();
      std::printf(" %.2f", b == 0 ? 0 : a / b);
    }
    std::cout << std::endl;
  }
  std::ofstream(out + ".json") << json::serialize(runs);
  std::ofstream(out + ".svg")
      << Plot(runs, "worst_small_team_mean_ms",
              "worst small team, mean program latency, ms");
}

// CPU time, user and system, that a process has used.
double CpuSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int i = 3; i <= 15 && fields >> field; ++i) {
    if (i == 14 || i == 15) ticks += std::stod(field);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// CPU time that all schedulers and entries have used.
double FleetCpuSeconds(TestFleet& fleet) {
  double seconds = 0;
  for (const std::string& host : fleet.hosts()) {
    seconds += CpuSeconds(fleet.processes().Pid(host + "-scheduler"));
    seconds += CpuSeconds(fleet.processes().Pid(host + "-entry"));
  }
  return seconds;
}

// Measures latency and CPU time of accepted, replayed and refused calls. The
// CPU time of the idle fleet is subtracted.
void MeasureCost(FleetOptions options) {
  std::filesystem::remove_all(options.work_dir);
  options.teams = "[team quilters]\nrate = 10000/s\nburst = 10000\nkeys = " +
                  KeyDigest("key-quilters") +
                  "\nservices = desk, info, chat\n" +
                  "[team skips]\nrate = 0.02/s\nburst = 1\nkeys = " +
                  KeyDigest("key-skips") + "\nservices = desk, info, chat\n";
  options.engine_window = 64;
  options.engine_cold_window = 64;
  TestFleet fleet(options);
  fleet.Start();
  fleet.SetFaults("s1", R"({"delay_ms":0})");
  constexpr int kCalls = 1'000;
  const auto timed = [](const std::function<void(int)>& call) {
    std::vector<double> each;
    for (int i = 0; i < kCalls; ++i) {
      const int64_t start_us = NowUs();
      call(i);
      each.push_back(static_cast<double>(NowUs() - start_us) / 1000);
    }
    return each;
  };
  const std::vector<double> direct =
      timed([&](int) { Ask(fleet.Upstream("s1"), "POST", "/charge", "{}"); });
  const double idle_before = FleetCpuSeconds(fleet);
  const int64_t idle_start_ms = NowMs();
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const double idle_rate =
      (FleetCpuSeconds(fleet) - idle_before) /
      (static_cast<double>(NowMs() - idle_start_ms) / 1000);
  const auto through = [&](const std::string& team, const std::string& prefix,
                           bool same) {
    const double cpu = FleetCpuSeconds(fleet);
    const int64_t start_ms = NowMs();
    const std::vector<double> each = timed([&](int i) {
      const std::string key = prefix + (same ? "" : std::to_string(i));
      Ask(fleet.Entry("h1"), "POST", "/v1/services/desk/charge", "{}",
          {{"Authorization", "Bearer key-" + team}, {"Idempotency-Key", key}});
    });
    const double seconds = static_cast<double>(NowMs() - start_ms) / 1000;
    const double spent = FleetCpuSeconds(fleet) - cpu - idle_rate * seconds;
    return std::pair(each, spent * 1e6 / kCalls);
  };
  const auto [accepted, accepted_us] = through("quilters", "a-", false);
  const auto [replayed, replayed_us] = through("quilters", "r", true);
  // Uses up the burst, so that every later call is refused.
  through("skips", "w", true);
  const auto [refused, refused_us] = through("skips", "s", true);
  const json::object figures = {
      {"direct_p50_ms", Quantile(direct, 0.5)},
      {"accepted_p50_ms", Quantile(accepted, 0.5)},
      {"accepted_p95_ms", Quantile(accepted, 0.95)},
      {"added_p50_ms", Quantile(accepted, 0.5) - Quantile(direct, 0.5)},
      {"accepted_cpu_us", accepted_us},
      {"replayed_p50_ms", Quantile(replayed, 0.5)},
      {"refused_p50_ms", Quantile(refused, 0.5)},
      {"cached_refusals",
       fleet.CounterSum("pimento_cached_refusals_total", true)},
      {"replayed_cpu_us", replayed_us},
      {"refused_cpu_us", refused_us},
      {"refused_to_accepted_cpu", refused_us / accepted_us},
      {"idle_cpu_percent_a_host",
       idle_rate * 100 / static_cast<double>(fleet.hosts().size())}};
  std::cout << json::serialize(figures) << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options(
      "pimento-bench",
      "Compares policies, or measures costs, with a fleet on loopback.");
  options.add_options()("what", "queue, choice or cost",
                        cxxopts::value<std::string>()->default_value("queue"))(
      "rounds", "pairs of runs", cxxopts::value<int>()->default_value("2"))(
      "seed", "seed of the workload",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "programs", "folder of the executables",
      cxxopts::value<std::string>()->default_value("build/bin"))(
      "out", "path of the result files, without extension",
      cxxopts::value<std::string>()->default_value("build/bench"))(
      "help", "show this text");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  try {
    const FleetOptions base = BaseFleetOptions(
        arguments["programs"].as<std::string>(), "build/bench-fleet");
    const std::string what = arguments["what"].as<std::string>();
    if (what == "cost") {
      MeasureCost(base);
    } else {
      Compare(base, what, arguments["rounds"].as<int>(),
              arguments["seed"].as<uint64_t>(),
              arguments["out"].as<std::string>());
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "pimento-bench: " << e.what() << "\n";
    return 1;
  }
}
