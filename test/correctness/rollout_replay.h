// A service that is moved to another version, on one clock with many gateways:
// the real decisions, simulated store, messages and upstreams. The counts that
// it checks are those of the operators' page: what a bad version gets until the
// time limit, what is sent to it after its 50th bad answer, and whether a good
// one is completed in time with nothing on its way to the old upstreams.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/name_hash.h"
#include "src/rollout_director.h"

namespace pimento::rollout_replay {

inline constexpr const char* kService = "talk";
inline constexpr int64_t kStepMs = 50;
inline constexpr int64_t kRollbackMs = 5'000;
inline constexpr double kExposeShare = 0.1;
inline constexpr double kBadExposure = 50;
// A gateway without contact for so long has no usable configuration.
inline constexpr int64_t kOutOfContactMs = 4'250;

struct Call {
  int64_t sent_ms = 0;
  bool target = false;
  int route = 0;
  // Calls that the upstream got in the second before.
  double load = 0;
  std::mt19937_64& random;
};

// What the target does with a call.
struct Behaviour {
  bool failed = false;
  double slower = 1;
};
using TargetBehaviour = std::function<Behaviour(const Call&)>;

inline bool Chance(std::mt19937_64& random, double share) {
  return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

struct Load {
  size_t gateways = 6;
  int64_t over_ms = 20'000;
  double requests_per_s = 80;
  int old_upstreams = 20;
  int target_upstreams = 20;
  uint64_t seed = 1;
  // Added to a gateway's time to read the store.
  std::map<size_t, int64_t> late_ms = {};
  // When the store is down.
  std::vector<std::pair<int64_t, int64_t>> store_down = {};
  // Called at each step of the clock.
  std::function<void(int64_t now_ms)> on_step = {};
  // Multiplies the load.
  std::function<double(int64_t now_ms)> burst = {};
  // Kills the host that decides when it writes this step for the first time,
  // before its write is applied.
  std::optional<RolloutStep> kill_at = {};
  // Kills it when it takes the version back.
  bool kill_at_take_back = false;
  // Share of calls that take some seconds.
  double long_calls = 0;
  // The store is down for 5 s from the first write of this step on.
  std::optional<RolloutStep> store_lost_at = {};
};

class Replay {
 public:
  Replay(Load load, TargetBehaviour behaviour)
      : load_(std::move(load)),
        behaviour_(std::move(behaviour)),
        random_(load_.seed) {
    for (size_t i = 0; i < load_.gateways; ++i) {
      const std::string host = "gateway-" + std::to_string(i);
      fleet_.ready_hosts.push_back(host);
      fleet_.silent_ms[host] = 0;
      index_[host] = i;
      gateways_.push_back({.host = host,
                           .director = RolloutDirector(
                               {.plan = {.expose_share = kExposeShare,
                                         .bad_exposure = kBadExposure,
                                         .host = host},
                                .boot = i + 1,
                                .out_of_contact_ms = kOutOfContactMs})});
    }
    interval_ms_ = load_.gateways <= 6 ? 100 : load_.gateways <= 60 ? 250 : 700;
    for (int i = 0; i < load_.old_upstreams; ++i)
      upstreams_.push_back({"v1", HashName("old-" + std::to_string(i))});
    for (int i = 0; i < load_.target_upstreams; ++i)
      upstreams_.push_back({"v2", HashName("new-" + std::to_string(i))});
    recent_.resize(upstreams_.size());
  }

  void Run() {
    Write({.service = kService, .target = "v2", .over_ms = load_.over_ms}, {});
    for (now_ms_ = 0; now_ms_ < load_.over_ms + 4'000; now_ms_ += kStepMs) {
      if (load_.on_step) load_.on_step(now_ms_);
      Deliver();
      ReadStore();
      EndCalls();
      SendCalls();
      RunDirectors();
    }
  }

  const RolloutStatus& status() const { return store_.status; }
  int64_t completed_ms() const { return completed_ms_; }
  int64_t taken_back_ms() const { return taken_back_ms_; }
  std::optional<int64_t> fiftieth_bad_ms() const { return fiftieth_bad_ms_; }
  size_t killed() const { return killed_; }
  int64_t killed_ms() const { return killed_ms_; }
  int64_t over_ms() const { return load_.over_ms; }

  // The page's counts for a version that is bad.
  void CheckBad() const {
    INFO("status " << Name(store_.status.state) << " " << store_.status.reason
                   << " target " << to_target_ << " of " << all_);
    CHECK(store_.status.state == RolloutState::kRolledBack);
    CHECK(taken_back_ms_ < load_.over_ms);
    CHECK(static_cast<double>(to_target_) <=
          kExposeShare * static_cast<double>(all_) + kBadExposure);
    if (fiftieth_bad_ms_)
      CHECK(last_to_target_ms_ <= *fiftieth_bad_ms_ + kRollbackMs);
  }
  void CheckGood() const {
    INFO("status " << Name(store_.status.state) << " step "
                   << Name(store_.status.step) << " " << store_.status.reason
                   << " completed at " << completed_ms_ << " of "
                   << load_.over_ms);
    CHECK(store_.status.state == RolloutState::kCompleted);
    CHECK(completed_ms_ < load_.over_ms);
    CHECK(on_the_way_ == 0);
    CHECK(old_after_ == 0);
  }

 private:
  struct Gateway {
    std::string host;
    RolloutDirector director;
    bool alive = true;
    uint64_t read_revision = 0;
    int64_t fresh_as_of_ms = 0;
    std::map<std::string, int64_t> in_flight = {};
  };
  struct Running {
    int64_t sent_ms = 0;
    size_t gateway = 0;
    bool target = false;
    int route = 0;
    bool failed = false;
    bool slow = false;
    double took_ms = 0;
  };
  struct Message {
    size_t to = 0;
    std::string from;
    uint64_t boot = 0;
    RolloutReport report;
  };
  // A state of the store, and since when it holds.
  struct Version {
    int64_t at_ms = 0;
    RolloutObject object;
  };

  bool StoreDown(int64_t at_ms) const {
    return std::any_of(load_.store_down.begin(), load_.store_down.end(),
                       [at_ms](const auto& down) {
                         return at_ms >= down.first && at_ms < down.second;
                       });
  }

  void Write(const RolloutOrder& order, const RolloutStatus& status) {
    store_ = {
        .revision = store_.revision + 1, .order = order, .status = status};
    versions_.push_back({now_ms_, store_});
  }

  void ReadStore() {
    if (StoreDown(now_ms_)) return;
    for (size_t i = 0; i < gateways_.size(); ++i) {
      Gateway& gateway = gateways_[i];
      const auto late = load_.late_ms.find(i);
      const int64_t delay_ms =
          10 + (late == load_.late_ms.end() ? 0 : late->second);
      const Version* newest = nullptr;
      for (const Version& version : versions_)
        if (version.at_ms + delay_ms <= now_ms_) newest = &version;
      if (newest == nullptr) continue;
      gateway.fresh_as_of_ms = now_ms_ - delay_ms;
      if (newest->object.revision <= gateway.read_revision) continue;
      gateway.read_revision = newest->object.revision;
      gateway.director.OnObjects({{kService, newest->object}}, now_ms_);
    }
  }

  void Deliver() {
    const auto end = messages_.upper_bound(now_ms_);
    for (auto it = messages_.begin(); it != end; ++it) {
      const Message& message = it->second;
      if (gateways_[message.to].alive)
        gateways_[message.to].director.OnReport(message.from, message.boot,
                                                message.report.samples,
                                                message.report.steps, now_ms_);
    }
    messages_.erase(messages_.begin(), end);
  }

  void EndCalls() {
    const auto end = calls_.upper_bound(now_ms_);
    for (auto it = calls_.begin(); it != end; ++it) {
      const Running& call = it->second;
      Gateway& gateway = gateways_[call.gateway];
      --gateway.in_flight[call.target ? "v2" : "v1"];
      if (!call.target) --old_in_flight_;
      const bool bad = call.failed || call.slow;
      if (call.target && bad && ++bad_answers_ == 50)
        fiftieth_bad_ms_ = now_ms_;
      gateway.director.OnAnswer(
          kService, call.target ? "v2" : "v1",
          "route-" + std::to_string(call.route),
          {.failed = call.failed,
           .unit_ms = call.failed ? std::nullopt : std::optional(call.took_ms),
           .duration_ms = static_cast<int64_t>(call.took_ms)});
    }
    calls_.erase(calls_.begin(), end);
  }

  double UpstreamLoad(size_t upstream) {
    auto& sends = recent_[upstream];
    std::erase_if(sends, [this](int64_t at) { return at <= now_ms_ - 1'000; });
    return static_cast<double>(sends.size());
  }

  void SendCalls() {
    const double factor = load_.burst ? load_.burst(now_ms_) : 1;
    owed_ += factor * load_.requests_per_s * kStepMs / 1'000;
    for (; owed_ >= 1; owed_ -= 1) SendCall(factor);
  }

  void SendCall(double factor) {
    size_t at = 0;
    do at = random_() % gateways_.size();
    while (!gateways_[at].alive);
    Gateway& gateway = gateways_[at];
    const auto rules = gateway.director.Rules();
    const auto rule = rules.find(kService);
    std::vector<VersionSide> sides(upstreams_.size(), VersionSide::kAny);
    VersionSide side = VersionSide::kAny;
    if (rule != rules.end()) {
      sides = SidesOf(rule->second, upstreams_);
      side = SideOfCall(rule->second, std::to_string(random_()));
    } else {
      // Nobody has read the order yet: the new upstreams have not started.
      for (size_t i = 0; i < sides.size(); ++i)
        if (upstreams_[i].version == "v2") sides[i] = VersionSide::kExcluded;
    }
    std::vector<size_t> usable;
    for (size_t i = 0; i < sides.size(); ++i)
      if (MayUse(sides[i], side)) usable.push_back(i);
    if (usable.empty()) return;
    const size_t chosen = usable[random_() % usable.size()];
    const bool target = upstreams_[chosen].version == "v2";
    // The last route is rare.
    const int route =
        Chance(random_, 0.04) ? 3 : static_cast<int>(random_() % 3);
    const Call call{.sent_ms = now_ms_,
                    .target = target,
                    .route = route,
                    .load = UpstreamLoad(chosen),
                    .random = random_};
    recent_[chosen].push_back(now_ms_);
    CountSend(target);
    constexpr double kMedianMs[] = {60, 200, 20, 60};
    double took_ms =
        kMedianMs[route] *
        std::exp(std::normal_distribution<double>(0, 0.4)(random_));
    took_ms *= std::max(1.0, factor / 1.5);
    const Behaviour does = target ? behaviour_(call) : Behaviour{};
    took_ms *= does.slower;
    if (Chance(random_, load_.long_calls)) took_ms = 2'500 + took_ms * 5;
    ++gateway.in_flight[target ? "v2" : "v1"];
    if (!target) ++old_in_flight_;
    calls_.emplace(now_ms_ + static_cast<int64_t>(took_ms),
                   Running{.sent_ms = now_ms_,
                           .gateway = at,
                           .target = target,
                           .route = route,
                           .failed = does.failed,
                           .slow = does.slower > 1,
                           .took_ms = took_ms});
  }

  void CountSend(bool target) {
    if (now_ms_ <= load_.over_ms) {
      ++all_;
      if (target) ++to_target_;
    }
    if (target) last_to_target_ms_ = now_ms_;
    if (!target && completed_ms_ >= 0) ++old_after_;
  }

  void RunDirectors() {
    for (Gateway& gateway : gateways_) {
      if (!gateway.alive) continue;
      gateway.director.OnViewAge(now_ms_ - gateway.fresh_as_of_ms, now_ms_);
      ServiceUpstreams own{.versions = {"v1", "v2"},
                           .in_flight = gateway.in_flight};
      if (completed_ms_ >= 0) own.versions = {"v2"};
      for (const RolloutWrite& write :
           gateway.director.Plan(fleet_, {{kService, own}}, now_ms_))
        ApplyWrite(gateway, write);
      for (RolloutReport& report :
           gateway.director.Reports(interval_ms_, now_ms_))
        SendReport(gateway, report);
    }
  }

  void ApplyWrite(Gateway& gateway, const RolloutWrite& write) {
    gateway.director.OnWritten(kService, now_ms_ + 400);
    if (load_.store_lost_at == write.status.step) {
      load_.store_lost_at.reset();
      load_.store_down.emplace_back(now_ms_, now_ms_ + 5'000);
    }
    const bool takes_back = write.status.state == RolloutState::kRolledBack;
    if (load_.kill_at == write.status.step ||
        (load_.kill_at_take_back && takes_back)) {
      load_.kill_at.reset();
      load_.kill_at_take_back = false;
      killed_ms_ = now_ms_;
      Kill(gateway);
      return;
    }
    if (StoreDown(now_ms_) || write.revision != store_.revision) return;
    Write(store_.order, write.status);
    if (write.status.state == RolloutState::kCompleted) {
      completed_ms_ = now_ms_;
      on_the_way_ = old_in_flight_;
    }
    if (write.status.state == RolloutState::kRolledBack)
      taken_back_ms_ = now_ms_;
  }

  void Kill(Gateway& gateway) {
    gateway.alive = false;
    ++killed_;
    // Its calls end with it.
    const size_t at = index_.at(gateway.host);
    for (auto it = calls_.begin(); it != calls_.end();) {
      if (it->second.gateway != at) {
        ++it;
        continue;
      }
      if (!it->second.target) --old_in_flight_;
      it = calls_.erase(it);
    }
    // Its peers notice after several intervals.
    died_ms_[gateway.host] = now_ms_;
    UpdateFleet();
  }

  void UpdateFleet() {
    for (const auto& [host, died] : died_ms_) {
      fleet_.silent_ms[host] = now_ms_ - died;
      if (now_ms_ - died > interval_ms_ * 9 / 2)
        std::erase(fleet_.ready_hosts, host);
    }
  }

  void SendReport(const Gateway& from, const RolloutReport& report) {
    UpdateFleet();
    for (const std::string& host : report.to) {
      if (Chance(random_, 0.02)) continue;  // a lost datagram
      const int64_t delay_ms = 1 + static_cast<int64_t>(random_() % 60);
      messages_.emplace(now_ms_ + delay_ms,
                        Message{index_.at(host), from.host,
                                index_.at(from.host) + 1, report});
    }
  }

  Load load_;
  TargetBehaviour behaviour_;
  std::mt19937_64 random_;
  int64_t now_ms_ = 0;
  int64_t interval_ms_ = 100;
  RolloutObject store_;
  std::vector<Version> versions_;
  std::vector<Gateway> gateways_;
  std::map<std::string, size_t> index_;
  RolloutFleet fleet_;
  std::map<std::string, int64_t> died_ms_;
  std::vector<VersionedUpstream> upstreams_;
  std::vector<std::vector<int64_t>> recent_;
  std::multimap<int64_t, Running> calls_;
  std::multimap<int64_t, Message> messages_;
  double owed_ = 0;
  int64_t all_ = 0;
  int64_t to_target_ = 0;
  int64_t last_to_target_ms_ = -1;
  int64_t bad_answers_ = 0;
  std::optional<int64_t> fiftieth_bad_ms_;
  int64_t completed_ms_ = -1;
  int64_t taken_back_ms_ = -1;
  int64_t on_the_way_ = -1;
  int64_t old_in_flight_ = 0;
  int64_t old_after_ = 0;
  size_t killed_ = 0;
  int64_t killed_ms_ = -1;
};

}  // namespace pimento::rollout_replay
