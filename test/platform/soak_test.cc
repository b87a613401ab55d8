// A randomized soak: the real programs as processes, faults from outside them,
// and the promises of the pages checked from what callers and upstreams see.
//
// PIMENTO_SOAK_SEEDS=50 and PIMENTO_SOAK_FIRST=1000 run seeds 1000 to 1049;
// without them the regression seeds and a short run are played. Logs of a seed
// that failed stay in build/platform/soak.
#include <doctest/doctest.h>
#include <signal.h>

#include <array>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "bench/lib/platform_fleet.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;
using Random = std::mt19937_64;
using Clock = std::chrono::steady_clock;

constexpr int kGateways = 3;
constexpr int kArchives = 3;
constexpr int kTalkers = 3;
constexpr int kDesks = 2;
constexpr int kCallers = 4;
constexpr int64_t kFaultsMs = 6'000;
constexpr int64_t kRecoverMs = 12'000;
constexpr int64_t kTokensPerEvent = 12;
constexpr int64_t kMostOfTurn = 60;
// A replacement needs this long before another disk may go.
constexpr int64_t kCatchUpMs = 4'500;

void Pause(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// What callers know of one request.
struct Sent {
  std::string kind;  // "turn", "charge"
  std::string expected_body;
  int status = 0;
  bool whole = false;
};

// What callers and upstreams saw, and what of it breaks a promise.
class Witness {
 public:
  void Note(const std::string& id, Sent sent) {
    const std::lock_guard lock(mutex_);
    sent_[id] = std::move(sent);
  }
  void Broken(const std::string& what) {
    const std::lock_guard lock(mutex_);
    if (broken_.size() < 10) broken_.push_back(what);
  }
  void Check(const json::array& runs) {
    std::map<std::string, int> count;
    for (const auto& run : runs) {
      const std::string id(run.at("id").as_string());
      ++count[id];
      const auto it = sent_.find(id);
      if (it == sent_.end()) {
        Broken("request " + id + " ran and no caller sent it");
        continue;
      }
      if (run.at("body").as_string() != it->second.expected_body)
        Broken("request " + id + " ran with another body");
      if (run.at("team").as_string() != "quilters" ||
          !run.at("key").as_string().empty())
        Broken("request " + id + " ran for another team, or with a key");
    }
    for (const auto& [id, sent] : sent_) {
      if (count[id] > 1)
        Broken("request " + id + " ran " + std::to_string(count[id]) +
               " times");
      const bool denied =
          sent.status == 503 || sent.status == 429 || sent.status == 402;
      if (denied && count[id] > 0)
        Broken("request " + id + " ran and was answered " +
               std::to_string(sent.status));
    }
  }
  size_t Served() const {
    size_t served = 0;
    for (const auto& [id, sent] : sent_) served += sent.whole ? 1 : 0;
    return served;
  }
  const std::vector<std::string>& broken() const { return broken_; }

 private:
  std::mutex mutex_;
  std::map<std::string, Sent> sent_;
  std::vector<std::string> broken_;
};

std::string DataOf(const std::string& stream) {
  std::string data;
  std::istringstream in(stream);
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("data: ")) data += line.substr(6) + "\n";
  return data;
}

// A kept turn, and what the next one must find before its own input.
struct Kept {
  std::string id;
  std::string chain;
};

// One caller: programs of a few turns with charges between them.
class SoakCaller {
 public:
  SoakCaller(PlatformFleet& fleet, Witness& witness, int number, uint64_t seed)
      : fleet_(fleet), witness_(witness), number_(number), random_(seed) {}

  void Run(const std::function<bool()>& over) {
    while (!over()) Program(over);
  }
  // Continues from each turn kept so far; all must be found.
  void CheckKept() {
    const std::vector<Kept> all = kept_;
    for (const Kept& kept : all) {
      const auto end = Clock::now() + std::chrono::milliseconds(kRecoverMs);
      int status = 503;
      while (status != 200 && Clock::now() < end) {
        Kept from = kept;
        status = Turn("late" + std::to_string(++next_), from, 100'000);
        if (status != 200) Pause(100);
      }
      if (status != 200)
        witness_.Broken("kept turn " + kept.id +
                        " was not found again: " + std::to_string(status));
    }
  }

 private:
  std::string NextId() {
    return "c" + std::to_string(number_) + "-" + std::to_string(++next_);
  }

  void Program(const std::function<bool()>& over) {
    const std::string program = NextId();
    const int64_t budget = 120 + static_cast<int64_t>(random_() % 300);
    int64_t tokens = 0;
    Kept from;
    for (int turn = 0; turn < 6 && !over(); ++turn) {
      tokens_ = 0;
      const int status = Turn(program, from, budget);
      tokens += tokens_;
      if (tokens > budget + kMostOfTurn)
        witness_.Broken("program " + program + " got " +
                        std::to_string(tokens) + " tokens of " +
                        std::to_string(budget));
      if (status == 402) return;
      if (status == 200) Charge();
      if (status != 200) Pause(40);
    }
  }

  // Returns the status; `from` becomes the turn when it was answered whole.
  int Turn(const std::string& program, Kept& from, int64_t budget) {
    const std::string id = NextId();
    const std::string input = "in " + id + "\n";
    const auto call = fleet_.TurnRequest(id, program, from.id, input, budget);
    const auto answer = fleet_.Call(AnyGateway(), call);
    witness_.Note(id, {"turn", from.chain + input, answer.status,
                       answer.complete && answer.status == 200});
    const std::string data = DataOf(answer.body);
    if (answer.status == 200)
      tokens_ = kTokensPerEvent * std::count(data.begin(), data.end(), '\n');
    if (answer.status == 404)
      witness_.Broken("turn " + from.id + " was denied");
    if (answer.status != 200) return answer.status;
    if (!answer.complete) return 0;
    if (std::count(data.begin(), data.end(), '\n') != 4)
      witness_.Broken("turn " + id + " was whole with " +
                      std::to_string(data.size()) + " bytes");
    from = {id, from.chain + input + data};
    kept_.push_back(from);
    return 200;
  }

  void Charge() {
    const std::string id = NextId();
    const auto answer =
        fleet_.Call(AnyGateway(), fleet_.PlainRequest(id, false));
    witness_.Note(id, {"charge", "", answer.status,
                       answer.complete && answer.status == 200});
    if (answer.status == 200 && answer.complete && answer.body != "done " + id)
      witness_.Broken("charge " + id + " got the answer " + answer.body);
  }

  int AnyGateway() { return static_cast<int>(random_() % kGateways); }

  PlatformFleet& fleet_;
  Witness& witness_;
  int number_;
  Random random_;
  int next_ = 0;
  int64_t tokens_ = 0;
  std::vector<Kept> kept_;
};

// Draws faults, one after the other and overlapping, and heals them.
class FaultMaker {
 public:
  FaultMaker(PlatformFleet& fleet, uint64_t seed)
      : fleet_(fleet), random_(seed) {}

  void Run() {
    const auto end = Clock::now() + std::chrono::milliseconds(kFaultsMs);
    while (Clock::now() < end) {
      Pause(100 + static_cast<int64_t>(random_() % 700));
      (this->*kFaults[random_() % kFaults.size()])();
      HealDue(Clock::now());
    }
    HealDue(Clock::time_point::max());
  }
  const std::string& story() const { return story_; }

 private:
  using Fault = void (FaultMaker::*)();

  std::string AnyHost() {
    return random_() % 2 == 0
               ? "gateway-" + std::to_string(random_() % kGateways)
               : "archive-" + std::to_string(random_() % kArchives);
  }
  std::string AnyUpstream() {
    return random_() % 2 == 0 ? "talk-" + std::to_string(random_() % kTalkers)
                              : "desk-" + std::to_string(random_() % kDesks);
  }
  void Later(int64_t most_ms, std::function<void()> heal) {
    const auto due =
        Clock::now() + std::chrono::milliseconds(200 + random_() % most_ms);
    healing_.emplace_back(due, std::move(heal));
  }
  void HealDue(Clock::time_point now) {
    std::erase_if(healing_, [now](auto& item) {
      if (item.first > now) return false;
      item.second();
      return true;
    });
  }
  void Tell(const std::string& what) { story_ += what + "; "; }
  bool Take(const std::string& host) { return taken_.insert(host).second; }

  void KillHost() {
    const std::string host = AnyHost();
    if (!Take(host)) return;
    Tell("kill " + host);
    fleet_.processes().Kill(host);
    Later(1'500, [this, host] {
      fleet_.StartHost(host, false);
      taken_.erase(host);
    });
  }
  void StopHost() {
    const std::string host = AnyHost();
    if (!Take(host)) return;
    Tell("stop " + host);
    fleet_.processes().Signal(host, SIGTERM);
    Later(4'500, [this, host] {
      fleet_.processes().Kill(host);
      fleet_.StartHost(host, false);
      taken_.erase(host);
    });
  }
  void FreezeHost() {
    const std::string host = AnyHost();
    if (!Take(host)) return;
    Tell("freeze " + host);
    fleet_.processes().Freeze(host);
    Later(2'500, [this, host] {
      fleet_.processes().Thaw(host);
      taken_.erase(host);
    });
  }
  void WipeHost() {
    const std::string host = "archive-" + std::to_string(random_() % kArchives);
    // One disk at a time, and none while another host with a disk is down.
    const bool calm =
        last_disturbed_ + std::chrono::milliseconds(kCatchUpMs) < Clock::now();
    if (!calm || !taken_.empty() || !Take(host)) return;
    last_disturbed_ = Clock::now();
    Tell("wipe " + host);
    fleet_.processes().Kill(host);
    fleet_.WipeDisk(host);
    fleet_.StartHost(host, false);
    Later(static_cast<int64_t>(kCatchUpMs),
          [this, host] { taken_.erase(host); });
  }
  void KillAllArchives() {
    if (!taken_.empty()) return;
    Tell("kill all archives");
    for (int i = 0; i < kArchives; ++i)
      fleet_.processes().Kill("archive-" + std::to_string(i));
    for (int i = 0; i < kArchives; ++i)
      fleet_.StartHost("archive-" + std::to_string(i), false);
  }
  void BreakLink() {
    const std::string name = random_() % 2 == 0 ? AnyHost() : AnyUpstream();
    const auto fault = static_cast<LinkFault>(
        1 + random_() % (static_cast<int>(LinkFault::kCount) - 1));
    Tell("link of " + name + " " + std::to_string(static_cast<int>(fault)));
    fleet_.LinkOf(name).SetFault(fault);
    Later(2'500,
          [this, name] { fleet_.LinkOf(name).SetFault(LinkFault::kNone); });
  }
  void ResetLinks() {
    const std::string name = AnyUpstream();
    Tell("reset " + name);
    fleet_.LinkOf(name).ResetAll();
  }
  void SpoilUpstream() {
    const std::string name = AnyUpstream();
    Tell("spoil " + name);
    fleet_.SetFaults(name, R"({"lose_answers":2,"cut_after":2,"shed":3})");
  }
  void LoseStoreAnswers() {
    Tell("store loses answers");
    fleet_.SetFaults("store",
                     R"({"lose_answers":2,"lose_before":1,"late_ms":900})");
  }
  void StopStore() {
    Tell("store down");
    fleet_.SetFaults("store", R"({"down":true})");
    Later(2'500, [this] { fleet_.SetFaults("store", R"({"down":false})"); });
  }

  static constexpr std::array<Fault, 10> kFaults = {
      &FaultMaker::KillHost,         &FaultMaker::StopHost,
      &FaultMaker::FreezeHost,       &FaultMaker::WipeHost,
      &FaultMaker::KillAllArchives,  &FaultMaker::BreakLink,
      &FaultMaker::ResetLinks,       &FaultMaker::SpoilUpstream,
      &FaultMaker::LoseStoreAnswers, &FaultMaker::StopStore};

  PlatformFleet& fleet_;
  Random random_;
  std::vector<std::pair<Clock::time_point, std::function<void()>>> healing_;
  std::set<std::string> taken_;
  Clock::time_point last_disturbed_ = Clock::now();
  std::string story_;
};

json::array AllRuns(PlatformFleet& fleet) {
  json::array all;
  for (const auto& [kind, count] :
       std::map<std::string, int>{{"talk", kTalkers}, {"desk", kDesks}}) {
    for (int i = 0; i < count; ++i) {
      const auto runs = json::parse(fleet.Runs(kind + "-" + std::to_string(i)));
      for (const auto& run : runs.as_array()) all.push_back(run);
    }
  }
  return all;
}

void RunSeed(uint64_t seed) {
  PlatformFleet fleet("build/bin",
                      "build/platform/soak/" + std::to_string(seed),
                      {.gateways = kGateways,
                       .archives = kArchives,
                       .streaming_upstreams = kTalkers,
                       .plain_upstreams = kDesks,
                       .proxied = true});
  Witness witness;
  FaultMaker faults(fleet, seed);
  std::atomic<bool> over{false};
  std::vector<std::unique_ptr<SoakCaller>> callers;
  std::vector<std::thread> threads;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<SoakCaller>(
        fleet, witness, i, seed * 1'000 + static_cast<uint64_t>(i)));
    threads.emplace_back(
        [&, i] { callers[i]->Run([&over] { return over.load(); }); });
  }
  faults.Run();
  over = true;
  for (auto& thread : threads) thread.join();
  for (auto& caller : callers) caller->CheckKept();
  witness.Check(AllRuns(fleet));
  CAPTURE(seed);
  CAPTURE(faults.story());
  MESSAGE("seed " << seed << ": served whole " << witness.Served());
  for (const std::string& broken : witness.broken()) FAIL_CHECK(broken);
  CHECK(witness.Served() > 20);
}

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace

// Seeds that failed once: 1, all members took no record for 12 s (open); 2003,
// the proxy left a hole in a stream that it had silenced (mended there).
TEST_CASE("the seeds that failed once pass") { RunSeed(2003); }

TEST_CASE("the promises hold while faults come in series and overlap") {
  const uint64_t first = FromEnvironment("PIMENTO_SOAK_FIRST", 1);
  const uint64_t seeds = FromEnvironment("PIMENTO_SOAK_SEEDS", 3);
  for (uint64_t seed = first; seed < first + seeds; ++seed) RunSeed(seed);
}

}  // namespace pimento::testbed
