// Requests that were in flight on upstreams when those crashed: which are
// refused, for how long, and what gateways learn of each other about them.
#include "src/crash_suspects.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/request_fingerprint.h"

namespace pimento {
namespace {

constexpr int64_t kMinuteMs = 60'000;
constexpr int64_t kHourMs = 3'600'000;
// For how long a request is refused after three crashes.
constexpr int64_t kThirdHoldMs = 4 * kMinuteMs;
// The platform's stability window: later sends of a request that has crashed
// three upstreams are counted, and three are allowed.
constexpr int64_t kStabilityWindowMs = 3'000;
constexpr int kAllowedSends = 3;
constexpr int kAllowedCrashes = 3;

RequestFingerprints Body(const std::string& body) {
  return FingerprintsOf("/v1/stream", "key", body);
}

// A prompt that begins like all others and ends with `end`.
RequestFingerprints LongBody(const std::string& end) {
  return Body(std::string(2'000, 'p') + end);
}

// A request that shares its beginning with no other one.
RequestFingerprints Distinct(uint64_t number) {
  return {.exact = 2 * number + 1'000, .leading = 2 * number + 1'001};
}

// Passes one message from `from` to `to`.
void Exchange(CrashSuspects& from, CrashSuspects& to, int64_t now_ms) {
  for (const CrashReport& report : from.NextGossipBatch(now_ms))
    to.OnPeerReport(report, now_ms);
}

bool Reports(const std::vector<CrashReport>& batch, uint64_t request) {
  return std::any_of(batch.begin(), batch.end(), [&](const CrashReport& item) {
    return item.request == request;
  });
}

struct FleetOptions {
  int gateways = 6;
  int engines = 24;
  uint64_t seed = 1;
  bool gossip = true;
  // Callers that send the deadly request, each again and again.
  int deadly_callers = 1;
  // How far it gets before the engine crashes.
  RunStage deadly_stage = RunStage::kBegun;
  // Every so often an engine crashes by itself; 0 for never.
  int64_t own_crash_every_ms = 0;
  // The same engine each time, as soon as it is back, or any one.
  bool same_engine = false;
  double innocent_per_second = 60;
  // All requests begin alike, the deadly one too.
  bool alike = false;
  int64_t longest_run_ms = 2'000;
  // Part of the messages that are lost, and that arrive twice.
  double lost = 0.05;
  double repeated = 0.1;
  int64_t most_delay_ms = 40;
};

// Gateways, engines and callers on one simulated clock. Callers send what broke
// off, or was refused, again at any gateway.
class Fleet {
 public:
  explicit Fleet(FleetOptions options)
      : options_(options), random_(options.seed) {
    for (int i = 0; i < options.gateways; ++i) Start(gateways_.emplace_back());
    engines_.resize(static_cast<size_t>(options.engines));
    for (int i = 0; i < options.deadly_callers; ++i)
      At(1'000 + Between(50, 400), [this] { Call(Deadly()); });
    if (options.own_crash_every_ms > 0)
      At(options.own_crash_every_ms, [this] { CrashAny(); });
  }

  void Run(int64_t for_ms) {
    double due = 0;
    for (const int64_t end = now_ms_ + for_ms; now_ms_ < end; ++now_ms_) {
      RunEvents();
      for (due += options_.innocent_per_second / 1'000; due >= 1; --due) {
        ++innocents_;
        Call(Innocent());
      }
      SendRegularMessages();
      if (now_ms_ % 1'000 == 0) SweepAll();
    }
  }
  // What is under way ends; no caller begins anything new.
  void EndTraffic() { options_.innocent_per_second = 0; }

  // A gateway ends with all that it knows, and starts again later.
  void Restart(size_t index, int64_t down_ms) {
    gateways_[index].up = false;
    At(down_ms, [this, index] { Start(gateways_[index]); });
  }
  // Nothing reaches or leaves the gateway but what callers and engines send.
  void CutOff(size_t index, int64_t for_ms) {
    gateways_[index].cut = true;
    At(for_ms, [this, index] { gateways_[index].cut = false; });
  }

  // Engines that the deadly request crashed.
  int crashes() const { return static_cast<int>(crashed_ms_.size()); }
  // When it crashed the third one.
  int64_t third_crash_ms() const { return crashed_ms_.at(2); }
  // Sends of the deadly request later than the stability window after it
  // crashed the third engine, by gateways that are not cut off; those that have
  // just started, or are just back, count.
  int late_sends() const {
    if (crashes() < kAllowedCrashes) return 0;
    return static_cast<int>(
        std::count_if(sends_.begin(), sends_.end(), [&](const SentDeadly& s) {
          return s.in_touch && s.at_ms > third_crash_ms() + kStabilityWindowMs;
        }));
  }
  int innocents() const { return innocents_; }
  int served() const { return served_; }
  // Innocent requests that were refused at least once, and the longest time for
  // which one was to be refused.
  size_t refused() const { return refused_.size(); }
  int64_t longest_refusal_ms() const { return longest_refusal_ms_; }
  // Innocent requests that some gateway still refuses, or suspects.
  int still_refused() const {
    return CountInnocents([this](const CrashSuspects& suspects,
                                 const RequestFingerprints& request) {
      return suspects.RefusedForMs(request, now_ms_) > 0;
    });
  }
  int still_suspect() const {
    return CountInnocents(
        [](const CrashSuspects& suspects, const RequestFingerprints& request) {
          return suspects.Crashes(request) > 0;
        });
  }

 private:
  struct Gateway {
    std::unique_ptr<CrashSuspects> suspects;
    bool up = false;
    bool cut = false;
    bool news_posted = false;
    // Counts starts: what an earlier process had in flight is gone.
    int starts = 0;
  };
  struct Request {
    RequestFingerprints prints;
    bool deadly = false;
    int64_t run_ms = 0;
    int attempts_left = 0;
  };
  struct Running {
    Request request;
    size_t gateway = 0;
    int gateway_starts = 0;
    RunStage stage = RunStage::kSent;
  };
  struct Engine {
    bool up = true;
    uint64_t starts = 0;
    std::map<int, Running> running;
  };
  struct SentDeadly {
    int64_t at_ms = 0;
    bool in_touch = false;
  };
  using Batch = std::shared_ptr<const std::vector<CrashReport>>;
  static constexpr uint64_t kLeading = 2;
  static constexpr size_t kMaxRunning = 16;
  static constexpr int64_t kEngineDownMs = 3'000;
  static constexpr int kAttempts = 2;

  template <class Condition>
  int CountInnocents(Condition condition) const {
    int count = 0;
    for (int i = 0; i < innocents_; ++i) {
      const RequestFingerprints request = PrintsOf(i);
      count += std::any_of(gateways_.begin(), gateways_.end(),
                           [&](const Gateway& gateway) {
                             return condition(*gateway.suspects, request);
                           });
    }
    return count;
  }

  int64_t Between(int64_t from, int64_t to) {
    return std::uniform_int_distribution<int64_t>(from, to)(random_);
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  void At(int64_t delay_ms, std::function<void()> event) {
    events_[now_ms_ + delay_ms].push_back(std::move(event));
  }
  void RunEvents() {
    while (!events_.empty() && events_.begin()->first <= now_ms_) {
      const auto events = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      for (const auto& event : events) event();
    }
  }

  void Start(Gateway& gateway) {
    gateway.suspects = std::make_unique<CrashSuspects>(CrashSuspectOptions{});
    gateway.up = true;
    ++gateway.starts;
  }
  void SweepAll() {
    for (Gateway& gateway : gateways_) gateway.suspects->Sweep(now_ms_);
  }

  Request Deadly() const {
    return {.prints = {.exact = 1, .leading = kLeading}, .deadly = true};
  }
  Request Innocent() {
    return {.prints = PrintsOf(innocents_ - 1),
            .run_ms = Between(50, options_.longest_run_ms)};
  }
  RequestFingerprints PrintsOf(int innocent) const {
    RequestFingerprints prints = Distinct(static_cast<uint64_t>(innocent));
    if (options_.alike) prints.leading = kLeading;
    return prints;
  }

  // A caller sends the request to any gateway that is up.
  void Call(Request request) {
    request.attempts_left = kAttempts;
    const auto index = static_cast<size_t>(Between(0, options_.gateways - 1));
    if (!gateways_[index].up) return CallAgain(request);
    Offer(index, request);
  }
  void CallAgain(const Request& request) {
    At(Between(50, 400), [this, request] { Call(request); });
  }

  // A gateway sends the request to an engine with a free place, or refuses it.
  void Offer(size_t index, Request request) {
    Gateway& gateway = gateways_[index];
    const int64_t refused_ms =
        gateway.suspects->RefusedForMs(request.prints, now_ms_);
    if (refused_ms > 0) NoteRefusal(request, refused_ms);
    const size_t engine = ChooseEngine();
    if (refused_ms > 0 || engine == engines_.size() ||
        request.attempts_left == 0)
      return CallAgain(request);
    --request.attempts_left;
    if (request.deadly) sends_.push_back({now_ms_, !gateway.cut});
    const int id = ++next_id_;
    engines_[engine].running[id] = {request, index, gateway.starts};
    const uint64_t starts = engines_[engine].starts;
    if (request.deadly) {
      Later(engine, starts, id, 2,
            [stage = options_.deadly_stage](Running& r) { r.stage = stage; });
      Later(engine, starts, id, Between(105, 200), [this, engine](Running&) {
        crashed_ms_.push_back(now_ms_);
        Crash(engine);
      });
      return;
    }
    Later(engine, starts, id, 2, [](Running& r) { r.stage = kBegun; });
    Later(engine, starts, id, 2 + Between(20, 150),
          [](Running& r) { r.stage = RunStage::kProducing; });
    Later(engine, starts, id, 3 + request.run_ms,
          [this, engine, id](Running&) { Serve(engine, id); });
  }
  static constexpr RunStage kBegun = RunStage::kBegun;

  // Runs `event` later, if the request still runs on that engine process.
  void Later(size_t engine, uint64_t starts, int id, int64_t delay_ms,
             std::function<void(Running&)> event) {
    At(delay_ms, [this, engine, starts, id, event = std::move(event)] {
      const auto it = engines_[engine].running.find(id);
      if (engines_[engine].starts != starts ||
          it == engines_[engine].running.end())
        return;
      event(it->second);
    });
  }

  void NoteRefusal(const Request& request, int64_t refused_ms) {
    if (request.deadly) return;
    refused_.insert(request.prints.exact);
    longest_refusal_ms_ = std::max(longest_refusal_ms_, refused_ms);
  }

  size_t ChooseEngine() {
    std::vector<size_t> free;
    for (size_t i = 0; i < engines_.size(); ++i)
      if (engines_[i].up && engines_[i].running.size() < kMaxRunning)
        free.push_back(i);
    if (free.empty()) return engines_.size();
    return free[static_cast<size_t>(
        Between(0, static_cast<int64_t>(free.size()) - 1))];
  }

  void Serve(size_t engine, int id) {
    const Running done = engines_[engine].running.at(id);
    engines_[engine].running.erase(id);
    ++served_;
    Gateway& gateway = gateways_[done.gateway];
    if (!gateway.up || gateway.starts != done.gateway_starts) return;
    if (gateway.suspects->OnServed(done.request.prints)) PostNews(done.gateway);
  }

  void CrashAny() {
    const size_t engine = options_.same_engine ? 0 : ChooseEngine();
    if (engine < engines_.size() && engines_[engine].up) Crash(engine);
    At(options_.own_crash_every_ms, [this] { CrashAny(); });
  }

  void Crash(size_t index) {
    Engine& engine = engines_[index];
    engine.up = false;
    const uint64_t process =
        (static_cast<uint64_t>(index) << 32) | engine.starts;
    const auto broken = std::move(engine.running);
    engine.running.clear();
    ++engine.starts;
    for (const auto& [id, running] : broken)
      At(Between(1, 8),
         [this, running = running, process] { OnBrokenOff(running, process); });
    At(kEngineDownMs, [this, index] { engines_[index].up = true; });
  }

  void OnBrokenOff(const Running& running, uint64_t process) {
    Gateway& gateway = gateways_[running.gateway];
    if (!gateway.up || gateway.starts != running.gateway_starts)
      return CallAgain(running.request);
    if (gateway.suspects->OnCrash(running.request.prints, process,
                                  running.stage, now_ms_))
      PostNews(running.gateway);
    Offer(running.gateway, running.request);
  }

  // As GatewayState::SendCrashNews().
  void PostNews(size_t index) {
    if (gateways_[index].news_posted) return;
    gateways_[index].news_posted = true;
    At(0, [this, index] {
      gateways_[index].news_posted = false;
      SendToAll(index);
    });
  }
  // As GatewayPeers::interval().
  int64_t IntervalMs() const {
    return std::max<int64_t>(100, 1'000 * (options_.gateways - 1) / 120);
  }
  void SendRegularMessages() {
    for (size_t i = 0; i < gateways_.size(); ++i)
      if ((now_ms_ + static_cast<int64_t>(i) * 37) % IntervalMs() == 0)
        SendToAll(i);
  }
  void SendToAll(size_t from) {
    if (!gateways_[from].up || !options_.gossip) return;
    const auto batch = std::make_shared<const std::vector<CrashReport>>(
        gateways_[from].suspects->NextGossipBatch(now_ms_));
    if (batch->empty() || gateways_[from].cut) return;
    for (size_t to = 0; to < gateways_.size(); ++to) {
      if (to == from || Chance(options_.lost)) continue;
      Deliver(to, batch);
      if (Chance(options_.repeated)) Deliver(to, batch);
    }
  }
  void Deliver(size_t to, const Batch& batch) {
    At(Between(1, options_.most_delay_ms), [this, to, batch] {
      if (!gateways_[to].up || gateways_[to].cut) return;
      for (const CrashReport& report : *batch)
        gateways_[to].suspects->OnPeerReport(report, now_ms_);
    });
  }

  FleetOptions options_;
  std::vector<Gateway> gateways_;
  std::vector<Engine> engines_;
  std::map<int64_t, std::vector<std::function<void()>>> events_;
  std::mt19937_64 random_;
  std::vector<SentDeadly> sends_;
  std::vector<int64_t> crashed_ms_;
  std::set<uint64_t> refused_;
  int64_t longest_refusal_ms_ = 0;
  int64_t now_ms_ = 0;
  int next_id_ = 0;
  int innocents_ = 0;
  int served_ = 0;
};

int EnginesOf(int gateways) { return std::min(200, std::max(24, gateways)); }

}  // namespace

TEST_CASE("a request is refused once two upstreams crashed as it began") {
  CrashSuspects suspects({});
  const RequestFingerprints request = Body("deadly");
  CHECK(suspects.OnCrash(request, 1, RunStage::kBegun, 1'000));
  CHECK(suspects.RefusedForMs(request, 1'000) == 0);
  CHECK(suspects.OnCrash(request, 2, RunStage::kBegun, 2'000));
  CHECK(suspects.Crashes(request) == 2);
  CHECK(suspects.RefusedForMs(request, 2'000) == kMinuteMs);
  CHECK(suspects.RefusedForMs(request, 61'999) == 1);
  CHECK(suspects.RefusedForMs(request, 62'000) == 0);
  // Four times as long with each crash after a hold, at most an hour.
  CHECK(suspects.OnCrash(request, 3, RunStage::kBegun, 62'500));
  CHECK(suspects.RefusedForMs(request, 62'500) == kThirdHoldMs);
  CHECK(suspects.RefusedForMs(request, 62'500 + kThirdHoldMs) == 0);
  CHECK(suspects.OnCrash(request, 4, RunStage::kBegun, 400'000));
  CHECK(suspects.RefusedForMs(request, 400'000) == 4 * kThirdHoldMs);
  for (uint64_t process = 5; process < 20; ++process) {
    CHECK(suspects.OnCrash(request, process, RunStage::kBegun, 500'000));
    CHECK(suspects.RefusedForMs(request, 500'000) == kHourMs);
  }
  CHECK(suspects.RefusedForMs(Body("another"), 62'500) == 0);
}

TEST_CASE("requests that waited, or produced output, weigh less") {
  for (const RunStage stage : {RunStage::kSent, RunStage::kProducing}) {
    CrashSuspects suspects({});
    suspects.OnCrash(Body("a"), 1, stage, 0);
    suspects.OnCrash(Body("a"), 2, stage, 0);
    CHECK(suspects.RefusedForMs(Body("a"), 0) == 0);
    suspects.OnCrash(Body("a"), 3, stage, 0);
    CHECK(suspects.RefusedForMs(Body("a"), 0) == kThirdHoldMs);
  }
}

TEST_CASE("one crash counts once, at the stage that weighs most") {
  CrashSuspects suspects({});
  CHECK(suspects.OnCrash(Body("a"), 1, RunStage::kSent, 0));
  // Another copy of the request on the same upstream.
  CHECK(suspects.OnCrash(Body("a"), 1, RunStage::kBegun, 5));
  CHECK(!suspects.OnCrash(Body("a"), 1, RunStage::kBegun, 6));
  CHECK(!suspects.OnCrash(Body("a"), 1, RunStage::kProducing, 7));
  CHECK(suspects.Crashes(Body("a")) == 1);
  CHECK(suspects.RefusedForMs(Body("a"), 7) == 0);
  suspects.OnCrash(Body("a"), 2, RunStage::kBegun, 8);
  CHECK(suspects.RefusedForMs(Body("a"), 8) == kMinuteMs);
}

TEST_CASE("a request that ran to its end is clear of all crashes before") {
  CrashSuspects suspects({});
  suspects.OnCrash(Body("a"), 1, RunStage::kBegun, 0);
  CHECK(suspects.OnServed(Body("a")));
  CHECK(!suspects.OnServed(Body("a")));
  CHECK(suspects.Crashes(Body("a")) == 0);
  // Late and repeated reports of the crash that it is clear of.
  const uint64_t request = Body("a").exact;
  CHECK(!suspects.OnPeerReport({request, 1, 2, 10}, 100));
  CHECK(!suspects.OnPeerReport({request, 1, kClearedWeight, 10}, 100));
  CHECK(!suspects.OnCrash(Body("a"), 1, RunStage::kBegun, 100));
  CHECK(suspects.Crashes(Body("a")) == 0);
  // For some seconds no crash counts; after them new ones count from zero.
  for (uint64_t process = 2; process < 6; ++process) {
    CHECK(!suspects.OnCrash(Body("a"), process, RunStage::kBegun, 200));
  }
  CHECK(suspects.RefusedForMs(Body("a"), 200) == 0);
  suspects.Sweep(5'000);
  suspects.Sweep(10'000);
  suspects.OnCrash(Body("a"), 7, RunStage::kBegun, 10'200);
  CHECK(suspects.RefusedForMs(Body("a"), 10'200) == 0);
  suspects.OnCrash(Body("a"), 8, RunStage::kBegun, 10'300);
  CHECK(suspects.RefusedForMs(Body("a"), 10'300) == kMinuteMs);
}

TEST_CASE("a crash that is heard of after its clearance does not count") {
  CrashSuspects suspects({});
  CHECK(suspects.OnPeerReport({7, 1, kClearedWeight, 50}, 100));
  CHECK(!suspects.OnPeerReport({7, 1, 2, 50}, 120));
  CHECK(suspects.Crashes({.exact = 7, .leading = 7}) == 0);
}

TEST_CASE("reports without weight or from the future are no news") {
  CrashSuspects suspects({});
  CHECK(!suspects.OnPeerReport({7, 1, 0, 50}, 100));
  CHECK(!suspects.OnPeerReport({7, 1, 2, -1}, 100));
  CHECK(suspects.empty());
}

TEST_CASE("one success counts for all requests with a common or empty body") {
  for (const std::string body : {"", "{}", "ping"}) {
    CrashSuspects suspects({});
    suspects.OnCrash(Body(body), 1, RunStage::kBegun, 0);
    suspects.OnServed(Body(body));
    suspects.OnCrash(Body(body), 2, RunStage::kBegun, 10);
    suspects.OnServed(Body(body));
    suspects.OnCrash(Body(body), 3, RunStage::kBegun, 20);
    CHECK(suspects.RefusedForMs(Body(body), 20) == 0);
    // Another caller's, or another path's, is another request.
    CHECK(Body(body).exact != FingerprintsOf("/v1/stream", "k2", body).exact);
    CHECK(Body(body).exact != FingerprintsOf("/v1/other", "key", body).exact);
  }
}

TEST_CASE("a body shorter than the leading part is one request, no group") {
  CHECK(Body("short").exact == Body("short").leading);
  CHECK(Body(std::string(1'024, 'p')).exact ==
        Body(std::string(1'024, 'p')).leading);
  CHECK(Body(std::string(1'024, 'p')).exact == LongBody("x").leading);
  CrashSuspects suspects({});
  suspects.OnCrash(Body("short"), 1, RunStage::kBegun, 0);
  CHECK(suspects.size() == 1);
  // One crash must not count twice.
  CHECK(suspects.RefusedForMs(Body("short"), 0) == 0);
  CHECK(suspects.Crashes(Body("short")) == 1);
}

TEST_CASE("later turns of a deadly prompt are refused, those served clear it") {
  CrashSuspects suspects({});
  suspects.OnCrash(LongBody("turn 1"), 1, RunStage::kBegun, 0);
  suspects.OnCrash(LongBody("turn 2"), 2, RunStage::kBegun, 0);
  CHECK(suspects.RefusedForMs(LongBody("turn 3"), 0) == kMinuteMs);
  CHECK(suspects.RefusedForMs(Body("unlike"), 0) == 0);
  CHECK(suspects.OnServed(LongBody("turn 4")));
  CHECK(suspects.RefusedForMs(LongBody("turn 3"), 0) == 0);
  // One of the group alone is to blame: the others' successes do not clear it.
  suspects.OnCrash(LongBody("turn 1"), 3, RunStage::kBegun, 0);
  suspects.OnServed(LongBody("turn 4"));
  CHECK(suspects.RefusedForMs(LongBody("turn 1"), 0) == kMinuteMs);
  CHECK(suspects.RefusedForMs(LongBody("turn 3"), 0) == 0);
}

TEST_CASE("what is over is forgotten and not revived by an old report") {
  CrashSuspects suspects({});
  suspects.OnCrash(Body("a"), 1, RunStage::kBegun, 0);
  suspects.Sweep(599'999);
  CHECK(suspects.size() == 1);
  suspects.Sweep(600'000);
  CHECK(suspects.empty());
  CHECK(!suspects.OnPeerReport({Body("a").exact, 1, 2, kHourMs}, kHourMs));
  CHECK(suspects.empty());
  for (uint64_t process = 1; process <= 3; ++process)
    suspects.OnCrash(Body("b"), process, RunStage::kBegun, 0);
  // Remembered beyond its hold, so that its next crash is the fourth.
  suspects.Sweep(kThirdHoldMs + 599'999);
  CHECK(suspects.size() == 1);
  suspects.Sweep(kThirdHoldMs + 600'000);
  CHECK(suspects.empty());
}

TEST_CASE("two gateways do not keep a suspicion that is over alive") {
  CrashSuspects first({});
  CrashSuspects second({});
  first.OnCrash(Body("a"), 1, RunStage::kBegun, 0);
  Exchange(first, second, 20);
  REQUIRE(second.size() == 1);
  int news = 0;
  // Each forgets it at its own second; messages every 100 ms.
  for (int64_t now_ms = 590'000; now_ms < 620'000; now_ms += 50) {
    if (now_ms % 1'000 == 0) first.Sweep(now_ms);
    if (now_ms % 1'000 == 500) second.Sweep(now_ms);
    if (now_ms % 100 == 0) Exchange(first, second, now_ms);
    if (now_ms % 100 != 50) continue;
    for (const CrashReport& report : second.NextGossipBatch(now_ms))
      news += first.OnPeerReport(report, now_ms);
  }
  CHECK(first.empty());
  CHECK(second.empty());
  // One that was under way when the first forgot it.
  CHECK(news <= 1);
}

TEST_CASE("memory is bounded, and the harmless do not push out the refused") {
  CrashSuspects suspects({});
  const RequestFingerprints twice = Body("crashed two");
  const RequestFingerprints thrice = Body("crashed three");
  for (uint64_t process = 1; process <= 2; ++process)
    suspects.OnCrash(twice, process, RunStage::kBegun, 0);
  for (uint64_t process = 1; process <= 3; ++process)
    suspects.OnCrash(thrice, process, RunStage::kBegun, 0);
  size_t largest = 0;
  for (uint64_t i = 0; i < 20'000; ++i) {
    const auto now_ms = static_cast<int64_t>(i);
    suspects.OnCrash(Distinct(i), 10, RunStage::kProducing, now_ms);
    if (i % 2 == 0) suspects.OnServed(Distinct(i));
    largest = std::max(largest, suspects.size());
  }
  CHECK(largest <= 4'096);
  CHECK(suspects.RefusedForMs(thrice, 20'000) == kThirdHoldMs - 20'000);
  CHECK(suspects.RefusedForMs(twice, 20'000) == kMinuteMs - 20'000);
}

TEST_CASE("a crash is in the next message, however many repeats are due") {
  CrashSuspects suspects({});
  // Three upstreams with 16 requests each crash at once.
  for (uint64_t i = 0; i < 48; ++i)
    suspects.OnCrash(Distinct(i), i / 16, RunStage::kProducing, 0);
  suspects.NextGossipBatch(0);
  suspects.NextGossipBatch(0);
  suspects.OnCrash(Body("deadly"), 9, RunStage::kBegun, 50);
  CHECK(Reports(suspects.NextGossipBatch(50), Body("deadly").exact));
}

TEST_CASE("new reports are sent four times, and all again in turn") {
  CrashSuspects suspects({});
  for (uint64_t i = 0; i < 20; ++i)
    suspects.OnCrash(Distinct(i), 1, RunStage::kBegun, 0);
  for (int i = 0; i < 4; ++i) CHECK(suspects.NextGossipBatch(0).size() >= 40);
  std::set<uint64_t> seen;
  for (int i = 0; i < 20; ++i) {
    const auto batch = suspects.NextGossipBatch(0);
    CHECK(batch.size() == 2);
    for (const CrashReport& report : batch) seen.insert(report.request);
  }
  CHECK(seen.size() == 40);
}

TEST_CASE("a gateway that has just started learns soon what is refused") {
  for (const int gateways : {6, 83, 820}) {
    // What its peers know: one request that is refused, and the others that
    // were in flight at 50 crashes with it.
    CrashSuspects peer({});
    const RequestFingerprints deadly = Distinct(700);
    for (uint64_t process = 1; process <= 3; ++process)
      peer.OnCrash(deadly, process, RunStage::kBegun, 0);
    for (uint64_t i = 0; i < 700; ++i)
      peer.OnCrash(Distinct(2 * i), 10, RunStage::kProducing, 0);
    while (peer.NextGossipBatch(0).size() > 64) continue;
    for (int i = 0; i < 100; ++i) peer.NextGossipBatch(0);
    // Each peer is somewhere else in its round.
    std::mt19937 random(3);
    std::vector<CrashSuspects> peers(
        static_cast<size_t>(std::min(gateways - 1, 119)), peer);
    for (CrashSuspects& item : peers)
      for (auto skip = random() % 700; skip > 0; --skip)
        item.NextGossipBatch(0);
    CrashSuspects started({});
    // Messages a second that a gateway receives.
    const int per_second = std::min(120, 10 * (gateways - 1));
    int64_t learned_ms = 0;
    for (int i = 0; started.RefusedForMs(deadly, 1'000) == 0; ++i) {
      REQUIRE(i < 100'000);
      Exchange(peers[static_cast<size_t>(i) % peers.size()], started, 1'000);
      learned_ms = 1'000 * (i + 1) / per_second;
    }
    MESSAGE(gateways << " gateways: known after " << learned_ms << " ms");
    CHECK(learned_ms <= kStabilityWindowMs);
  }
}

TEST_CASE("a request that comes again anywhere crashes three engines at most") {
  for (const int gateways : {6, 83, 820}) {
    const uint64_t seeds = gateways == 820 ? 2 : 8;
    int most_crashes = 0;
    size_t refused = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      Fleet fleet(
          {.gateways = gateways, .engines = EnginesOf(gateways), .seed = seed});
      fleet.Run(gateways == 820 ? 8'000 : 20'000);
      fleet.EndTraffic();
      fleet.Run(5'000);
      most_crashes = std::max(most_crashes, fleet.crashes());
      refused += fleet.refused();
      CAPTURE(gateways);
      CAPTURE(seed);
      CHECK(fleet.crashes() >= 2);
      CHECK(fleet.crashes() <= kAllowedCrashes);
      CHECK(fleet.late_sends() <= kAllowedSends);
      CHECK(fleet.longest_refusal_ms() <= kMinuteMs);
      const auto held = static_cast<int>(fleet.refused());
      CHECK(fleet.served() >= fleet.innocents() - held);
      CHECK(fleet.still_suspect() <= held);
    }
    MESSAGE(gateways << " gateways: crashed at most " << most_crashes
                     << ", innocents refused " << refused);
  }
}

TEST_CASE("a request that comes again after each hold is sent seldom") {
  for (const RunStage stage :
       {RunStage::kSent, RunStage::kBegun, RunStage::kProducing}) {
    Fleet fleet({.deadly_stage = stage, .innocent_per_second = 10});
    fleet.Run(500'000);
    MESSAGE(Name(stage) << ": crashed " << fleet.crashes() << ", late sends "
                        << fleet.late_sends() << ", innocents refused "
                        << fleet.refused() << " of " << fleet.innocents());
    CHECK(fleet.crashes() >= kAllowedCrashes);
    CHECK(fleet.late_sends() <= kAllowedSends);
    CHECK(fleet.still_refused() == 0);
  }
}

TEST_CASE("in two hours a request is sent three times after the third crash") {
  for (const RunStage stage :
       {RunStage::kSent, RunStage::kBegun, RunStage::kProducing}) {
    CrashSuspects suspects({});
    uint64_t crashes = 0;
    for (int64_t now_ms = 0; now_ms < 2 * kHourMs; now_ms += 300) {
      if (now_ms % 1'200 == 0) suspects.Sweep(now_ms);
      if (suspects.RefusedForMs(Body("deadly"), now_ms) > 0) continue;
      suspects.OnCrash(Body("deadly"), ++crashes, stage, now_ms + 150);
    }
    CHECK(crashes == kAllowedCrashes + kAllowedSends);
  }
}

TEST_CASE("several copies of a deadly request are in flight at once") {
  constexpr int kCopies = 4;
  for (const int gateways : {6, 83}) {
    int most_crashes = 0;
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      Fleet fleet({.gateways = gateways,
                   .engines = EnginesOf(gateways),
                   .seed = seed,
                   .deadly_callers = kCopies});
      fleet.Run(20'000);
      most_crashes = std::max(most_crashes, fleet.crashes());
      // Each copy that was in flight when the second engine crashed.
      CHECK(fleet.crashes() <= kAllowedCrashes + kCopies - 1);
      CHECK(fleet.late_sends() <= kAllowedSends);
    }
    MESSAGE(gateways << " gateways: crashed at most " << most_crashes);
  }
}

TEST_CASE("gateways that start, stop and are cut off do not send it for long") {
  for (const int gateways : {6, 83}) {
    int most_crashes = 0;
    int most_late = 0;
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      Fleet fleet({.gateways = gateways,
                   .engines = EnginesOf(gateways),
                   .seed = seed,
                   .deadly_callers = 2,
                   .lost = 0.1});
      fleet.CutOff(0, 8'000);
      fleet.Run(2'000);
      for (size_t i = 1; i < 5; ++i) {
        fleet.Restart(i, 500 * static_cast<int64_t>(i));
        fleet.Run(1'500);
      }
      fleet.CutOff(3, 3'000);
      fleet.Run(12'000);
      most_crashes = std::max(most_crashes, fleet.crashes());
      most_late = std::max(most_late, fleet.late_sends());
      CHECK(fleet.late_sends() <= kAllowedSends);
      CHECK(fleet.longest_refusal_ms() <= kMinuteMs);
    }
    MESSAGE(gateways << " gateways: crashed at most " << most_crashes
                     << ", late sends at most " << most_late);
  }
}

TEST_CASE("without gossip a request crashes engine after engine") {
  // Shows that the checks above can fail.
  Fleet fleet({.gateways = 83, .engines = 83, .gossip = false});
  fleet.Run(20'000);
  MESSAGE("crashed " << fleet.crashes() << ", late sends "
                     << fleet.late_sends());
  CHECK(fleet.crashes() > kAllowedCrashes);
  CHECK(fleet.late_sends() > kAllowedSends);
}

TEST_CASE("innocents are not refused for good where engines crash") {
  for (const bool same_engine : {false, true}) {
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      Fleet fleet({.seed = seed,
                   .deadly_callers = 0,
                   .own_crash_every_ms = same_engine ? 100 : 1'000,
                   .same_engine = same_engine});
      fleet.Run(60'000);
      fleet.EndTraffic();
      fleet.Run(250'000);
      MESSAGE((same_engine ? "one engine" : "any engine")
              << ", seed " << seed << ": refused " << fleet.refused() << " of "
              << fleet.innocents() << ", for at most "
              << fleet.longest_refusal_ms() << " ms");
      CHECK(fleet.longest_refusal_ms() <= kThirdHoldMs);
      CHECK(fleet.still_refused() == 0);
      CHECK(fleet.served() == fleet.innocents());
    }
  }
}

TEST_CASE("innocents are not refused for beginning like a deadly request") {
  for (const double per_second : {60.0, 2.0}) {
    size_t refused = 0;
    int innocents = 0;
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      Fleet fleet({.seed = seed,
                   .innocent_per_second = per_second,
                   .alike = true,
                   .longest_run_ms = per_second < 10 ? 10'000 : 2'000});
      fleet.Run(60'000);
      fleet.EndTraffic();
      fleet.Run(250'000);
      refused += fleet.refused();
      innocents += fleet.innocents();
      CHECK(fleet.late_sends() <= kAllowedSends);
      CHECK(fleet.longest_refusal_ms() <= kThirdHoldMs);
      CHECK(fleet.served() == fleet.innocents());
    }
    MESSAGE(per_second << " a second: refused " << refused << " of "
                       << innocents);
  }
}

TEST_CASE("innocents that begin alike are served where engines crash") {
  for (const double per_second : {60.0, 2.0}) {
    size_t refused = 0;
    int innocents = 0;
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      Fleet fleet({.seed = seed,
                   .deadly_callers = 0,
                   .own_crash_every_ms = 3'000,
                   .innocent_per_second = per_second,
                   .alike = true,
                   .longest_run_ms = per_second < 10 ? 10'000 : 2'000});
      fleet.Run(60'000);
      fleet.EndTraffic();
      fleet.Run(250'000);
      refused += fleet.refused();
      innocents += fleet.innocents();
      CHECK(fleet.longest_refusal_ms() <= kThirdHoldMs);
      CHECK(fleet.served() == fleet.innocents());
    }
    MESSAGE(per_second << " a second: refused " << refused << " of "
                       << innocents);
  }
}

}  // namespace pimento
