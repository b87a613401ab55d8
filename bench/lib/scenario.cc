// Commands and expectations of the scenario language.
#include "bench/lib/scenario.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "src/placement.h"
#include "src/program_ledger.h"
#include "src/worker_thread.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;

// Timeout for conditions that a command waits for.
constexpr int64_t kPollTimeoutMs = 40'000;

[[noreturn]] void Fail(const std::string& message) {
  throw std::runtime_error(message);
}

// Splits a line into words; a quoted word may contain spaces. Stops at '#'.
std::vector<std::string> Split(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  std::string word;
  while (in >> std::ws && !in.eof()) {
    if (in.peek() == '#') break;
    if (in.peek() == '"') {
      in >> std::quoted(word);
    } else {
      in >> word;
    }
    words.push_back(word);
  }
  return words;
}

// Value of the "name=value" word among `words`, or `fallback`.
std::string Option(const std::vector<std::string>& words,
                   const std::string& name, const std::string& fallback) {
  for (const std::string& word : words) {
    if (word.starts_with(name + "=")) return word.substr(name.size() + 1);
  }
  return fallback;
}

int IntOption(const std::vector<std::string>& words, const std::string& name,
              int fallback) {
  return std::stoi(Option(words, name, std::to_string(fallback)));
}

void Pause(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

}  // namespace

struct Scenario::BackgroundRequest {
  std::thread thread;
  std::atomic<bool> done{false};
  Answer answer;
  int64_t started_ms = 0;
  int64_t ended_ms = 0;
  ~BackgroundRequest() {
    if (thread.joinable()) thread.join();
  }
};

const std::map<std::string, Scenario::Command> Scenario::kCommands = {
    {"fleet", &Scenario::Fleet},
    {"load", &Scenario::StartLoad},
    {"after", &Scenario::After},
    {"finish", &Scenario::Finish},
    {"orders", &Scenario::Orders},
    {"kill", &Scenario::Kill},
    {"freeze", &Scenario::Freeze},
    {"thaw", &Scenario::Thaw},
    {"cut", &Scenario::Cut},
    {"mend", &Scenario::Mend},
    {"stop", &Scenario::Stop},
    {"start", &Scenario::Start},
    {"faults", &Scenario::Faults},
    {"control", &Scenario::Control},
    {"change", &Scenario::Change},
    {"wait", &Scenario::Wait},
    {"expect", &Scenario::Expect},
    {"request", &Scenario::Request},
    {"begin", &Scenario::StartRequest},
    {"say", &Scenario::Say},
    {"flood", &Scenario::Flood},
    {"note", &Scenario::Note},
    {"mark", &Scenario::Mark},
};

const std::map<std::string, Scenario::Command> Scenario::kExpectations = {
    {"finished", &Scenario::ExpectFinished},
    {"histories", &Scenario::ExpectHistories},
    {"orders", &Scenario::ExpectOrders},
    {"sessions", &Scenario::ExpectSessions},
    {"refused", &Scenario::ExpectRefused},
    {"keys", &Scenario::ExpectKeys},
    {"single", &Scenario::ExpectSingle},
    {"most", &Scenario::ExpectMost},
    {"counter", &Scenario::ExpectCounter},
    {"generation", &Scenario::ExpectGeneration},
    {"status", &Scenario::ExpectStatus},
    {"ends", &Scenario::ExpectRequestEnds},
    {"flood", &Scenario::ExpectFlood},
    {"cut", &Scenario::ExpectCut},
    {"slowest", &Scenario::ExpectSlowest},
    {"quiet", &Scenario::ExpectQuiet},
};

Scenario::Scenario(std::string bin_dir, std::string work_dir)
    : bin_dir_(std::move(bin_dir)), work_dir_(std::move(work_dir)) {}

Scenario::~Scenario() = default;

std::string Scenario::Run(const std::string& path) {
  std::ifstream in(path);
  if (!in) return "Cannot read the scenario file " + path;
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    try {
      Execute(line);
    } catch (const std::exception& e) {
      return path + ":" + std::to_string(number) + ": " + line + ": " +
             e.what();
    }
  }
  return "";
}

void Scenario::Execute(const std::string& line) {
  std::string text = line;
  for (const auto& [name, value] : variables_) {
    for (size_t at = text.find("$" + name); at != std::string::npos;
         at = text.find("$" + name)) {
      text.replace(at, name.size() + 1, value);
    }
  }
  const Words words = Split(text);
  if (words.empty()) return;
  const auto command = kCommands.find(words.front());
  if (command == kCommands.end())
    Fail("There is no command \"" + words.front() + "\".");
  (this->*command->second)(words);
}

void Scenario::Fleet(const Words& words) {
  std::filesystem::remove_all(work_dir_);
  FleetOptions options;
  options.bin_dir = bin_dir_;
  options.work_dir = work_dir_;
  options.hosts = IntOption(words, "hosts", 6);
  options.engines = IntOption(words, "engines", 2);
  options.services = IntOption(words, "services", 2);
  options.shards = shards_;
  options.fencing = Option(words, "fencing", "honoured") == "honoured";
  options.engine_window = IntOption(words, "window", 8);
  options.engine_cold_window = IntOption(words, "cold_window", 2);
  options.engine_cold_start = Option(words, "cold_start", "500ms");
  options.engine_faults = Option(words, "engine_faults", options.engine_faults);
  options.idempotent_orders =
      Option(words, "idempotent_orders", "false") == "true";
  options.replace_hold = Option(words, "replace_hold", "2s");
  options.rebalance_after = Option(words, "rebalance_after", "4s");
  options.log_level = Option(words, "log", "info");
  fleet_ = std::make_unique<TestFleet>(options);
  fleet_->Start();
}

void Scenario::StartLoad(const Words& words) {
  LoadOptions options;
  options.programs = IntOption(words, "programs", 6);
  options.turns = IntOption(words, "turns", 8);
  options.order_every = IntOption(words, "order_every", 4);
  options.tokens = static_cast<uint64_t>(IntOption(words, "tokens", 16));
  options.pause_ms = IntOption(words, "pause", 10);
  options.sub_agents = Option(words, "sub_agents", "true") == "true";
  options.end_programs = Option(words, "end", "true") == "true";
  load_ = std::make_unique<Load>(*fleet_, options);
  load_->Start();
}

void Scenario::After(const Words& words) {
  const int turns = std::stoi(words.at(2));
  if (!PollUntil(kPollTimeoutMs, [&] { return load_->turns_done() >= turns; }))
    Fail("The load has answered " + std::to_string(load_->turns_done()) +
         " turns, not " + std::to_string(turns) + ".");
}

void Scenario::Finish(const Words& words) {
  if (words.at(1) == "load") load_->Finish();
  if (words.at(1) == "orders") orders_->Finish();
}

void Scenario::Orders(const Words& words) {
  orders_ =
      std::make_unique<SingleOrders>(*fleet_, IntOption(words, "count", 60),
                                     IntOption(words, "parallel", 4), shards_);
  orders_->Start();
}

// "owner-of:PROGRAM" is the owner of a program's shard, "owner-of-team:TEAM"
// that of a team's rate bucket, "gate-of:UPSTREAM" that of an upstream's gate
// and "owner-of-load" that of the load's first program. Anything else is a host
// name.
std::string Scenario::ResolveHost(const std::string& word) const {
  if (word == "owner-of-load") {
    std::string owner;
    PollUntil(kPollTimeoutMs, [&] {
      for (const ProgramRun& run : load_->runs()) {
        if (owner.empty() && !run.program.empty())
          owner = fleet_->OwnerOf(run.program);
      }
      return !owner.empty();
    });
    return owner;
  }
  if (word.starts_with("owner-of-team:")) {
    const uint32_t shard = ShardOf("team/" + word.substr(14), shards_);
    return fleet_->OwnerOf(ProgramId(shard, "any"));
  }
  if (word.starts_with("gate-of:")) {
    const uint32_t shard = ShardOf("upstream/" + word.substr(8), shards_);
    return fleet_->OwnerOf(ProgramId(shard, "any"));
  }
  if (word.starts_with("owner-of:")) return fleet_->OwnerOf(word.substr(9));
  return word;
}

void Scenario::Kill(const Words& words) {
  variables_["VICTIM"] = ResolveHost(words.at(1));
  fleet_->KillHost(variables_["VICTIM"]);
}

void Scenario::Freeze(const Words& words) {
  variables_["VICTIM"] = ResolveHost(words.at(1));
  fleet_->FreezeHost(variables_["VICTIM"]);
}

void Scenario::Thaw(const Words& words) {
  fleet_->ThawHost(ResolveHost(words.at(1)));
}

// cut HOST from OTHER...   ("all" for every other host)
void Scenario::Cut(const Words& words) {
  const std::string host = ResolveHost(words.at(1));
  variables_["VICTIM"] = host;
  std::vector<std::string> others(words.begin() + 3, words.end());
  if (!others.empty() && others.front() == "all") {
    others.erase(others.begin());
    for (const std::string& other : fleet_->hosts()) {
      if (other != host) others.push_back(other);
    }
  }
  fleet_->Cut(host, others);
}

void Scenario::Mend(const Words& words) {
  fleet_->Cut(ResolveHost(words.at(1)), {});
}

void Scenario::Stop(const Words& words) {
  variables_["VICTIM"] = ResolveHost(words.at(1));
  const int64_t started_ms = NowMs();
  if (!fleet_->StopHost(variables_["VICTIM"]))
    Fail("The planned stop did not end with exit code 0.");
  figures_.push_back("planned stop of a host took " +
                     std::to_string(NowMs() - started_ms) + " ms");
}

void Scenario::Start(const Words& words) {
  fleet_->StartHost(ResolveHost(words.at(1)));
}

// faults NAME JSON   ("engines" for all engines): sets fault switches.
void Scenario::Faults(const Words& words) {
  if (words.at(1) != "engines") {
    fleet_->SetFaults(words.at(1), words.at(2));
    return;
  }
  for (const std::string& name : fleet_->upstreams()) {
    if (name.front() == 'e') fleet_->SetFaults(name, words.at(2));
  }
}

void Scenario::Control(const Words& words) {
  control_output_ =
      fleet_->RunPimentoctl(Words(words.begin() + 1, words.end()));
  transcript_ += "$ pimentoctl";
  for (size_t i = 1; i < words.size(); ++i) transcript_ += " " + words[i];
  transcript_ += "\n" + Mask(control_output_.text) + "exit code " +
                 std::to_string(control_output_.code) + "\n";
}

// change "FROM" "TO": edits the document and applies it.
void Scenario::Change(const Words& words) {
  control_output_ = fleet_->ApplyChange(words.at(1), words.at(2));
  if (control_output_.code != 0) Fail(control_output_.text);
}

// wait ready HOSTS | wait settled | wait MILLISECONDS
void Scenario::Wait(const Words& words) {
  if (words.at(1) == "settled") {
    // The gauges are up to a second old, so wait until they show the change
    // before this command.
    const auto settled = [this] {
      return fleet_->CounterSum("pimento_shards_short", false) == 0 &&
             fleet_->CounterSum("pimento_shards_owned", false) >= shards_;
    };
    Pause(2'500);
    if (!PollUntil(kPollTimeoutMs, settled))
      Fail("Some shards have no owner or too few members.");
    return;
  }
  if (words.at(1) != "ready") {
    Pause(std::stoi(words.at(1)));
    return;
  }
  if (!fleet_->WaitReady(std::stoul(words.at(2)), kPollTimeoutMs))
    Fail("The fleet is not ready.");
}

// request HOST METHOD TARGET KEY [BODY] [save=NAME:FIELD] [header=NAME:VALUE]
void Scenario::Request(const Words& words) {
  std::map<std::string, std::string> headers;
  const std::string key = words.at(4);
  if (key != "-") headers["Authorization"] = "Bearer " + key;
  std::string body;
  std::string save;
  for (size_t i = 5; i < words.size(); ++i) {
    if (words[i].starts_with("save=")) {
      save = words[i].substr(5);
    } else if (words[i].starts_with("header=")) {
      const std::string header = words[i].substr(7);
      headers[header.substr(0, header.find(':'))] =
          header.substr(header.find(':') + 1);
    } else if (!words[i].starts_with("until=")) {
      body = words[i];
    }
  }
  const std::string address = fleet_->Entry(ResolveHost(words.at(1)));
  // until=STATUS:MS repeats the request until it is answered with STATUS, for
  // MS milliseconds at most.
  const std::string until = Option(words, "until", "0:0");
  const int wanted = std::stoi(until);
  PollUntil(std::stoll(until.substr(until.find(':') + 1)), [&] {
    last_answer_ = Ask(address, words.at(2), words.at(3), body, headers);
    return wanted == 0 || last_answer_.status == wanted;
  });
  transcript_ += "> " + words[2] + " " + Mask(words[3]) +
                 (body.empty() ? "" : " " + Mask(body)) + "\n< " +
                 std::to_string(last_answer_.status) + " " +
                 Mask(last_answer_.body) + "\n";
  if (save.empty()) return;
  const std::string field = save.substr(save.find(':') + 1);
  variables_[save.substr(0, save.find(':'))] =
      json::parse(last_answer_.body).at(field).as_string().c_str();
}

// begin HOST METHOD TARGET KEY BODY: a request in the background.
void Scenario::StartRequest(const Words& words) {
  background_request_ = std::make_unique<BackgroundRequest>();
  const std::string address = fleet_->Entry(ResolveHost(words.at(1)));
  background_request_->started_ms = NowMs();
  background_request_->thread = std::thread([this, address, words] {
    background_request_->answer =
        Ask(address, words.at(2), words.at(3), words.at(5),
            {{"Authorization", "Bearer " + words.at(4)}}, 60'000);
    background_request_->ended_ms = NowMs();
    background_request_->done = true;
  });
}

void Scenario::Say(const Words& words) {
  for (size_t i = 1; i < words.size(); ++i)
    transcript_ += (i > 1 ? " " : "") + words[i];
  transcript_ += "\n";
}

// note: adds the counts of the load and the single orders to the figures.
void Scenario::Note(const Words&) {
  if (load_) {
    double worst = 0;
    std::map<std::string, int> refusals;
    for (const ProgramRun& run : load_->runs()) {
      worst = std::max(worst, run.worst_call_ms);
      for (const auto& [reason, count] : run.refusals)
        refusals[reason] += count;
    }
    std::string text = "refused " + std::to_string(load_->Refused());
    for (const auto& [reason, count] : refusals) {
      text += " (" + reason + " " + std::to_string(count) + ")";
    }
    figures_.push_back(text + ", unknown " + std::to_string(load_->Unknown()) +
                       ", cut " + std::to_string(load_->LostConnections()) +
                       ", slowest call " +
                       std::to_string(static_cast<int>(worst)) + " ms");
  }
  if (orders_) {
    figures_.push_back("single orders: " + std::to_string(orders_->answered()) +
                       " answered, " + std::to_string(orders_->not_run()) +
                       " not run, " + std::to_string(orders_->unknown()) +
                       " unknown");
  }
}

int64_t Scenario::StartedCalls(const std::string& engine) const {
  const std::string body = Ask(fleet_->Upstream(engine), "GET", "/load").body;
  return json::parse(body).at("started").to_number<int64_t>();
}

// mark ENGINE: records how many calls it has started.
void Scenario::Mark(const Words& words) {
  marks_[words.at(1)] = StartedCalls(words.at(1));
}

// expect quiet ENGINE: it has started none since the mark.
void Scenario::ExpectQuiet(const Words& words) {
  const int64_t more = StartedCalls(words.at(2)) - marks_.at(words.at(2));
  if (more != 0) {
    Fail(words[2] + " started " + std::to_string(more) +
         " calls since the mark.");
  }
}

// flood TEAM seconds=S [kill=HOST]: small calls to the "desk" service through
// all hosts at once, one caller a host, each call at once after the last and
// with an idempotency key of its own. kill=HOST kills the host halfway.
void Scenario::Flood(const Words& words) {
  const std::string team = words.at(1);
  const double seconds = std::stod(Option(words, "seconds", "2"));
  const int64_t start_us = NowUs();
  const auto until_us = start_us + static_cast<int64_t>(seconds * 1e6);
  std::mutex mutex;
  FloodResult result;
  std::vector<std::thread> threads;
  for (const std::string& host : fleet_->hosts()) {
    const std::string address = fleet_->Entry(host);
    threads.emplace_back([&, address, host] {
      for (int i = 0; NowUs() < until_us; ++i) {
        const std::string key = "flood-" + host + "-" + std::to_string(NowUs());
        const Answer answer = Ask(
            address, "POST", "/v1/services/desk/flood", "{}",
            {{"Authorization", "Bearer key-" + team}, {"Idempotency-Key", key}},
            5'000);
        const std::lock_guard lock(mutex);
        if (answer.status == 200) {
          ++result.granted;
        } else {
          ++result.refused;
        }
      }
    });
  }
  const std::string victim = Option(words, "kill", "");
  if (!victim.empty()) {
    Pause(static_cast<int64_t>(seconds * 500));
    fleet_->KillHost(ResolveHost(victim));
  }
  for (std::thread& thread : threads) thread.join();
  result.seconds = static_cast<double>(NowUs() - start_us) / 1e6;
  flood_ = result;
  figures_.push_back("flood of " + team + ": " +
                     std::to_string(result.granted) + " granted, " +
                     std::to_string(result.refused) + " refused in " +
                     std::to_string(result.seconds) + " s");
}

void Scenario::Expect(const Words& words) {
  const auto expectation = kExpectations.find(words.at(1));
  if (expectation == kExpectations.end())
    Fail("There is no expectation \"" + words.at(1) + "\".");
  (this->*expectation->second)(words);
}

void Scenario::ExpectFinished(const Words&) {
  const std::string error = load_->CheckFinished();
  if (!error.empty()) Fail(error);
}

void Scenario::ExpectHistories(const Words&) {
  const std::string error = load_->CheckHistories();
  if (!error.empty()) Fail(error);
}

// expect orders once: no plain service ran an operation twice.
void Scenario::ExpectOrders(const Words&) {
  for (const auto& [operation, runs] : Executions(*fleet_)) {
    if (runs > 1)
      Fail("The operation " + operation + " ran " + std::to_string(runs) +
           " times.");
  }
}

// expect sessions 0 within MILLISECONDS
void Scenario::ExpectSessions(const Words& words) {
  const int64_t wanted = std::stoll(words.at(2));
  int64_t held = 0;
  const bool reached = PollUntil(std::stoll(words.at(4)), [&] {
    held = HeldSessions(*fleet_);
    return held == wanted;
  });
  if (!reached) Fail("The engines hold " + std::to_string(held) + " sessions.");
}

// expect refused N: refusals that the load has had.
void Scenario::ExpectRefused(const Words& words) {
  if (load_->Refused() == std::stoi(words.at(2))) return;
  std::string reasons;
  for (const ProgramRun& run : load_->runs()) {
    for (const auto& [reason, count] : run.refusals) {
      reasons += " " + reason + "=" + std::to_string(count);
    }
  }
  Fail(std::to_string(load_->Refused()) +
       " calls of the load were refused:" + reasons);
}

// expect cut N: connections of the load that broke after a request was sent.
void Scenario::ExpectCut(const Words& words) {
  if (load_->LostConnections() != std::stoi(words.at(2))) {
    Fail(std::to_string(load_->LostConnections()) +
         " connections broke after a request was sent.");
  }
}

// expect slowest MILLISECONDS: no call of the load took longer, retries
// included.
void Scenario::ExpectSlowest(const Words& words) {
  const double limit_ms = std::stod(words.at(2));
  for (const ProgramRun& run : load_->runs()) {
    if (run.worst_call_ms > limit_ms) {
      Fail("A call of program " + run.program + " took " +
           std::to_string(static_cast<int>(run.worst_call_ms)) + " ms.");
    }
  }
}

// expect keys N: requests with a caller's key that plain services have seen.
void Scenario::ExpectKeys(const Words& words) {
  int64_t seen = 0;
  for (const std::string& name : fleet_->upstreams()) {
    if (name.front() != 's') continue;
    seen += json::parse(Ask(fleet_->Upstream(name), "GET", "/executions").body)
                .at("keys_seen")
                .to_number<int64_t>();
  }
  if (seen != std::stoll(words.at(2)))
    Fail(std::to_string(seen) + " requests to plain services carried a key.");
}

// expect single: the answers to `orders` agree with what the services ran.
void Scenario::ExpectSingle(const Words&) {
  const std::string error = orders_->Check();
  if (!error.empty()) Fail(error);
}

// expect most ENGINE FIELD <= N: a field of the engine's load report.
void Scenario::ExpectMost(const Words& words) {
  const std::string body =
      Ask(fleet_->Upstream(words.at(2)), "GET", "/load").body;
  const int64_t value = json::parse(body).at(words.at(3)).to_number<int64_t>();
  if (value > std::stoll(words.at(5)))
    Fail(words[3] + " of " + words[2] + " is " + std::to_string(value) + ".");
}

// expect counter NAME >= N   (or <=): the sum over all schedulers and entries.
void Scenario::ExpectCounter(const Words& words) {
  const double value = fleet_->CounterSum(words.at(2), false) +
                       fleet_->CounterSum(words.at(2), true);
  const double bound = std::stod(words.at(4));
  const bool holds = words.at(3) == ">=" ? value >= bound : value <= bound;
  if (!holds) Fail(words[2] + " is " + std::to_string(value) + ".");
}

// expect generation N within MILLISECONDS on HOST...: each of these hosts
// reaches the configuration generation.
void Scenario::ExpectGeneration(const Words& words) {
  const uint64_t wanted = std::stoull(words.at(2));
  for (size_t i = 6; i < words.size(); ++i) {
    uint64_t seen = 0;
    const bool reached = PollUntil(std::stoll(words.at(4)), [&] {
      const Answer answer =
          Ask(fleet_->Admin(words[i]), "GET", "/status", "", {}, 500);
      if (answer.status != 200) return false;
      seen = json::parse(answer.body).at("generation").to_number<uint64_t>();
      return seen == wanted;
    });
    if (!reached)
      Fail(words[i] + " is at generation " + std::to_string(seen) + ".");
  }
}

// expect status N [TEXT]: the status of the last request's answer, and a text
// that its body contains.
void Scenario::ExpectStatus(const Words& words) {
  const bool status = last_answer_.status == std::stoi(words.at(2));
  const bool text = words.size() < 4 ||
                    last_answer_.body.find(words.at(3)) != std::string::npos;
  if (!status || !text)
    Fail("The last answer was " + std::to_string(last_answer_.status) + " " +
         last_answer_.body);
}

// expect ends within MILLISECONDS whole|cut: whether the background request got
// its complete event stream.
void Scenario::ExpectRequestEnds(const Words& words) {
  const bool ended = PollUntil(std::stoll(words.at(3)), [&] {
    return background_request_->done.load();
  });
  if (!ended) Fail("The background request is still open.");
  const bool whole =
      background_request_->answer.status == 200 &&
      background_request_->answer.body.find("event: done") != std::string::npos;
  if (words.at(4) == "whole" && !whole)
    Fail("The answer is not complete: " + background_request_->answer.body);
  if (words.at(4) == "cut" && whole)
    Fail("The background request got a complete answer.");
}

// expect flood rate=R burst=B: the last flood was granted rate * time + burst
// calls at most, and at least half of rate * time.
void Scenario::ExpectFlood(const Words& words) {
  const double rate = IntOption(words, "rate", 1);
  const double burst = IntOption(words, "burst", 1);
  const double limit = rate * flood_.seconds + burst;
  if (flood_.granted > limit) {
    Fail(std::to_string(flood_.granted) + " calls were granted, more than " +
         std::to_string(limit) + ".");
  }
  // The flood must not cost the team its own rate.
  if (flood_.granted < rate * flood_.seconds / 2) {
    Fail("Only " + std::to_string(flood_.granted) + " calls were granted.");
  }
}

bool Scenario::PollUntil(int64_t timeout_ms,
                         const std::function<bool()>& condition) const {
  const int64_t deadline_ms = NowMs() + timeout_ms;
  while (!condition()) {
    if (NowMs() >= deadline_ms) return false;
    Pause(25);
  }
  return true;
}

std::string Scenario::Mask(std::string text) const {
  text = std::regex_replace(text, std::regex("[0-9a-f]{4}-[0-9a-f]{16}"),
                            "PROGRAM");
  text =
      std::regex_replace(text, std::regex("127\\.0\\.0\\.1:[0-9]+"), "ADDRESS");
  text = std::regex_replace(text, std::regex("[0-9]+ ms"), "N ms");
  text = std::regex_replace(text, std::regex("\"retry_after_ms\":[0-9]+"),
                            "\"retry_after_ms\":N");
  text =
      std::regex_replace(text, std::regex("after_ms\":[0-9]+"), "after_ms\":N");
  text = std::regex_replace(text, std::regex("owns [0-9]+ shards"),
                            "owns N shards");
  text = std::regex_replace(text, std::regex("build/[a-z_/]+/"), "WORK/");
  return text;
}

}  // namespace pimento::testbed
