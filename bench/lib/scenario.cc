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

constexpr int64_t kLongMs = 40'000;

[[noreturn]] void Fail(const std::string& what) {
  throw std::runtime_error(what);
}

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

// "programs=6" among `words`, or `fallback`.
std::string Option(const std::vector<std::string>& words,
                   const std::string& name, const std::string& fallback) {
  for (const std::string& word : words) {
    if (word.starts_with(name + "=")) return word.substr(name.size() + 1);
  }
  return fallback;
}

int Number(const std::vector<std::string>& words, const std::string& name,
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

Scenario::Scenario(std::string programs, std::string work)
    : programs_(std::move(programs)), work_(std::move(work)) {}

Scenario::~Scenario() = default;

std::string Scenario::Run(const std::string& path) {
  std::ifstream in(path);
  if (!in) return "cannot read " + path;
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
  if (command == kCommands.end()) Fail("this command is not known");
  (this->*command->second)(words);
}

void Scenario::Fleet(const Words& words) {
  std::filesystem::remove_all(work_);
  FleetOptions options;
  options.programs = programs_;
  options.work_folder = work_;
  options.hosts = Number(words, "hosts", 6);
  options.engines = Number(words, "engines", 2);
  options.services = Number(words, "services", 2);
  options.shards = shards_;
  options.fencing = Option(words, "fencing", "honoured") == "honoured";
  options.engine_window = Number(words, "window", 8);
  options.engine_cold_window = Number(words, "cold_window", 2);
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
  options.programs = Number(words, "programs", 6);
  options.turns = Number(words, "turns", 8);
  options.order_every = Number(words, "order_every", 4);
  options.tokens = static_cast<uint64_t>(Number(words, "tokens", 16));
  options.pause_ms = Number(words, "pause", 10);
  options.sub_agents = Option(words, "sub_agents", "true") == "true";
  options.end_programs = Option(words, "end", "true") == "true";
  load_ = std::make_unique<Load>(*fleet_, options);
  load_->Start();
}

void Scenario::After(const Words& words) {
  const int turns = std::stoi(words.at(2));
  if (!Until(kLongMs, [&] { return load_->turns_done() >= turns; }))
    Fail("no progress");
}

void Scenario::Finish(const Words& words) {
  if (words.at(1) == "load") load_->Finish();
  if (words.at(1) == "orders") orders_->Finish();
}

void Scenario::Orders(const Words& words) {
  orders_ =
      std::make_unique<SingleOrders>(*fleet_, Number(words, "count", 60),
                                     Number(words, "parallel", 4), shards_);
  orders_->Start();
}

// "owner-of:PROGRAM" names the owner of a program, "owner-of-team:TEAM" that of
// a team's bucket, "gate-of:UPSTREAM" that of an upstream's gate,
// "owner-of-load" that of the load's first program, anything else is a host.
std::string Scenario::HostFrom(const std::string& word) const {
  if (word == "owner-of-load") {
    std::string owner;
    Until(kLongMs, [&] {
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
  variables_["VICTIM"] = HostFrom(words.at(1));
  fleet_->KillHost(variables_["VICTIM"]);
}

void Scenario::Freeze(const Words& words) {
  variables_["VICTIM"] = HostFrom(words.at(1));
  fleet_->FreezeHost(variables_["VICTIM"]);
}

void Scenario::Thaw(const Words& words) {
  fleet_->ThawHost(HostFrom(words.at(1)));
}

// cut HOST from OTHER...   ("all" for every other host)
void Scenario::Cut(const Words& words) {
  const std::string host = HostFrom(words.at(1));
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
  fleet_->Cut(HostFrom(words.at(1)), {});
}

void Scenario::Stop(const Words& words) {
  variables_["VICTIM"] = HostFrom(words.at(1));
  const int64_t started_ms = NowMs();
  if (!fleet_->StopHost(variables_["VICTIM"]))
    Fail("the planned stop did not end with code 0");
  figures_.push_back("planned stop of a host took " +
                     std::to_string(NowMs() - started_ms) + " ms");
}

void Scenario::Start(const Words& words) {
  fleet_->StartHost(HostFrom(words.at(1)));
}

// faults NAME JSON   ("engines" for all engines)
void Scenario::Faults(const Words& words) {
  if (words.at(1) != "engines") {
    fleet_->Faults(words.at(1), words.at(2));
    return;
  }
  for (const std::string& name : fleet_->upstreams()) {
    if (name.front() == 'e') fleet_->Faults(name, words.at(2));
  }
}

void Scenario::Control(const Words& words) {
  control_ = fleet_->Control(Words(words.begin() + 1, words.end()));
  transcript_ += "$ pimentoctl";
  for (size_t i = 1; i < words.size(); ++i) transcript_ += " " + words[i];
  transcript_ += "\n" + Mask(control_.text) + "exit code " +
                 std::to_string(control_.code) + "\n";
}

// change "FROM" "TO": edits the document and applies it.
void Scenario::Change(const Words& words) {
  control_ = fleet_->ApplyChange(words.at(1), words.at(2));
  if (control_.code != 0) Fail(control_.text);
}

// wait ready HOSTS | wait settled | wait MILLISECONDS
void Scenario::Wait(const Words& words) {
  if (words.at(1) == "settled") {
    // Each gauge is a second old at most; two looks apart make sure.
    const auto settled = [this] {
      return fleet_->CounterSum("pimento_shards_short", false) == 0 &&
             fleet_->CounterSum("pimento_shards_owned", false) >= shards_;
    };
    Pause(2'500);
    if (!Until(kLongMs, settled)) Fail("shards are short of members");
    return;
  }
  if (words.at(1) != "ready") {
    Pause(std::stoi(words.at(1)));
    return;
  }
  if (!fleet_->WaitReady(std::stoul(words.at(2)), kLongMs))
    Fail("the fleet is not ready");
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
  const std::string address = fleet_->Entry(HostFrom(words.at(1)));
  // until=STATUS:MS repeats the request until it is answered so, or time is
  // over.
  const std::string until = Option(words, "until", "0:0");
  const int wanted = std::stoi(until);
  Until(std::stoll(until.substr(until.find(':') + 1)), [&] {
    last_ = Ask(address, words.at(2), words.at(3), body, headers);
    return wanted == 0 || last_.status == wanted;
  });
  transcript_ += "> " + words[2] + " " + Mask(words[3]) +
                 (body.empty() ? "" : " " + Mask(body)) + "\n< " +
                 std::to_string(last_.status) + " " + Mask(last_.body) + "\n";
  if (save.empty()) return;
  const std::string field = save.substr(save.find(':') + 1);
  variables_[save.substr(0, save.find(':'))] =
      json::parse(last_.body).at(field).as_string().c_str();
}

// begin HOST METHOD TARGET KEY BODY: a request in the background.
void Scenario::StartRequest(const Words& words) {
  background_ = std::make_unique<BackgroundRequest>();
  const std::string address = fleet_->Entry(HostFrom(words.at(1)));
  background_->started_ms = NowMs();
  background_->thread = std::thread([this, address, words] {
    background_->answer =
        Ask(address, words.at(2), words.at(3), words.at(5),
            {{"Authorization", "Bearer " + words.at(4)}}, 60'000);
    background_->ended_ms = NowMs();
    background_->done = true;
  });
}

void Scenario::Say(const Words& words) {
  for (size_t i = 1; i < words.size(); ++i)
    transcript_ += (i > 1 ? " " : "") + words[i];
  transcript_ += "\n";
}

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
                       ", cut " + std::to_string(load_->Cut()) +
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

int64_t Scenario::Started(const std::string& engine) const {
  const std::string body = Ask(fleet_->Upstream(engine), "GET", "/load").body;
  return json::parse(body).at("started").to_number<int64_t>();
}

// mark ENGINE: remembers how many calls it has started.
void Scenario::Mark(const Words& words) {
  marks_[words.at(1)] = Started(words.at(1));
}

// expect quiet ENGINE: it has started none since the mark.
void Scenario::ExpectQuiet(const Words& words) {
  const int64_t more = Started(words.at(2)) - marks_.at(words.at(2));
  if (more != 0) Fail(words[2] + " started " + std::to_string(more) + " calls");
}

// flood TEAM seconds=S [kill=HOST]: small calls to the info service from all
// hosts at once, as fast as the callers can, each with a key of its own.
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
    fleet_->KillHost(HostFrom(victim));
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
  if (expectation == kExpectations.end()) Fail("this expectation is not known");
  (this->*expectation->second)(words);
}

void Scenario::ExpectFinished(const Words&) {
  const std::string wrong = load_->CheckFinished();
  if (!wrong.empty()) Fail(wrong);
}

void Scenario::ExpectHistories(const Words&) {
  const std::string wrong = load_->CheckHistories();
  if (!wrong.empty()) Fail(wrong);
}

// expect orders once
void Scenario::ExpectOrders(const Words&) {
  for (const auto& [operation, runs] : Executions(*fleet_)) {
    if (runs > 1) Fail(operation + " ran " + std::to_string(runs) + " times");
  }
}

// expect sessions 0 within MILLISECONDS
void Scenario::ExpectSessions(const Words& words) {
  const int64_t wanted = std::stoll(words.at(2));
  int64_t held = 0;
  const bool reached = Until(std::stoll(words.at(4)), [&] {
    held = HeldSessions(*fleet_);
    return held == wanted;
  });
  if (!reached) Fail("engines hold " + std::to_string(held) + " sessions");
}

// expect refused 0
void Scenario::ExpectRefused(const Words& words) {
  if (load_->Refused() == std::stoi(words.at(2))) return;
  std::string reasons;
  for (const ProgramRun& run : load_->runs()) {
    for (const auto& [reason, count] : run.refusals) {
      reasons += " " + reason + "=" + std::to_string(count);
    }
  }
  Fail(std::to_string(load_->Refused()) + " calls were refused:" + reasons);
}

// expect cut 0: connections that broke after a request had gone out.
void Scenario::ExpectCut(const Words& words) {
  if (load_->Cut() != std::stoi(words.at(2))) {
    Fail(std::to_string(load_->Cut()) + " requests were cut");
  }
}

// expect slowest MILLISECONDS: no call of the load took longer, tries included.
void Scenario::ExpectSlowest(const Words& words) {
  const double most_ms = std::stod(words.at(2));
  for (const ProgramRun& run : load_->runs()) {
    if (run.worst_call_ms > most_ms) {
      Fail("a call of " + run.program + " took " +
           std::to_string(static_cast<int>(run.worst_call_ms)) + " ms");
    }
  }
}

// expect keys 0: no upstream saw a caller's key.
void Scenario::ExpectKeys(const Words& words) {
  int64_t seen = 0;
  for (const std::string& name : fleet_->upstreams()) {
    if (name.front() != 's') continue;
    seen += json::parse(Ask(fleet_->Upstream(name), "GET", "/executions").body)
                .at("keys_seen")
                .to_number<int64_t>();
  }
  if (seen != std::stoll(words.at(2)))
    Fail(std::to_string(seen) + " requests carried a key");
}

void Scenario::ExpectSingle(const Words&) {
  const std::string wrong = orders_->Check();
  if (!wrong.empty()) Fail(wrong);
}

// expect most UPSTREAM FIELD <= N: a figure of an engine's load.
void Scenario::ExpectMost(const Words& words) {
  const std::string body =
      Ask(fleet_->Upstream(words.at(2)), "GET", "/load").body;
  const int64_t value = json::parse(body).at(words.at(3)).to_number<int64_t>();
  if (value > std::stoll(words.at(5)))
    Fail(words[3] + " is " + std::to_string(value));
}

// expect counter NAME >= N   (schedulers, then entries)
void Scenario::ExpectCounter(const Words& words) {
  const double value = fleet_->CounterSum(words.at(2), false) +
                       fleet_->CounterSum(words.at(2), true);
  const double bound = std::stod(words.at(4));
  const bool holds = words.at(3) == ">=" ? value >= bound : value <= bound;
  if (!holds) Fail(words[2] + " is " + std::to_string(value));
}

// expect generation N within MILLISECONDS on HOST...: on live hosts named,
// never lower.
void Scenario::ExpectGeneration(const Words& words) {
  const uint64_t wanted = std::stoull(words.at(2));
  for (size_t i = 6; i < words.size(); ++i) {
    uint64_t seen = 0;
    const bool reached = Until(std::stoll(words.at(4)), [&] {
      const Answer answer =
          Ask(fleet_->Admin(words[i]), "GET", "/status", "", {}, 500);
      if (answer.status != 200) return false;
      seen = json::parse(answer.body).at("generation").to_number<uint64_t>();
      return seen == wanted;
    });
    if (!reached) Fail(words[i] + " is at generation " + std::to_string(seen));
  }
}

// expect status N [TEXT]: of the last request.
void Scenario::ExpectStatus(const Words& words) {
  const bool status = last_.status == std::stoi(words.at(2));
  const bool text =
      words.size() < 4 || last_.body.find(words.at(3)) != std::string::npos;
  if (!status || !text)
    Fail("answered " + std::to_string(last_.status) + " " + last_.body);
}

// expect ends within MILLISECONDS [whole|cut]: the background request.
void Scenario::ExpectRequestEnds(const Words& words) {
  const bool ended =
      Until(std::stoll(words.at(3)), [&] { return background_->done.load(); });
  if (!ended) Fail("the request is still open");
  const bool whole =
      background_->answer.status == 200 &&
      background_->answer.body.find("event: done") != std::string::npos;
  if (words.at(4) == "whole" && !whole)
    Fail("the answer is not whole: " + background_->answer.body);
  if (words.at(4) == "cut" && whole) Fail("the request was not cut");
}

// expect flood rate=R burst=B: never more than rate * time + burst.
void Scenario::ExpectFlood(const Words& words) {
  const double rate = Number(words, "rate", 1);
  const double burst = Number(words, "burst", 1);
  const double most = rate * flood_.seconds + burst;
  if (flood_.granted > most) {
    Fail(std::to_string(flood_.granted) + " granted, at most " +
         std::to_string(most) + " allowed");
  }
  // A flooding team gets most of what is its own, too.
  if (flood_.granted < rate * flood_.seconds / 2) {
    Fail("only " + std::to_string(flood_.granted) + " granted");
  }
}

bool Scenario::Until(int64_t limit_ms,
                     const std::function<bool()>& holds) const {
  const int64_t deadline_ms = NowMs() + limit_ms;
  while (!holds()) {
    if (NowMs() >= deadline_ms) return false;
    Pause(25);
  }
  return true;
}

// Replaces what differs between runs: program names, times, ports.
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
