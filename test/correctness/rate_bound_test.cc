// One limit over many gateways, a team's rate or the limit that an upstream
// names, while their messages to each other are late, lost or repeated. Checked
// with the platform's sliding windows.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/name_hash.h"
#include "src/rate_owner.h"
#include "src/rate_server.h"
#include "src/team_quota.h"
#include "src/usage_gossip.h"

namespace {

using namespace pimento;

const std::string kTeam = "small";
constexpr int64_t kWindowMs = 5'000;

DesiredState StateWith(double rate, double burst) {
  DesiredState::Parts parts;
  parts.teams.push_back(
      {.name = kTeam, .rate_per_second = rate, .burst = burst});
  return DesiredState(std::move(parts));
}

// The platform allows (rate * window + burst) * 1.1 + 20 requests in a window
// of 5 s.
size_t Allowed(double rate, double burst) {
  return static_cast<size_t>((rate * 5 + burst) * 1.1 + 20);
}

// Maximum number of `times` in any window of `window_ms`.
size_t MaxInWindow(const std::vector<int64_t>& times, int64_t window_ms) {
  size_t most = 0;
  std::deque<int64_t> window;
  for (const int64_t at : times) {
    window.push_back(at);
    while (window.front() <= at - window_ms) window.pop_front();
    most = std::max(most, window.size());
  }
  return most;
}

struct FleetOptions {
  int gateways = 79;
  double rate = 12;
  double burst = 12;
  // Time from the sending of a report to its effect at a peer.
  int64_t delay_ms = 2;
  // Part of the reports that are lost, and that arrive twice.
  double lost = 0;
  double repeated = 0;
  // The limit that an upstream names; 0 to test the team's rate.
  double named_limit = 0;
  // Gateways that callers use at the same time.
  int in_use = 8;
};

// Gateways that admit the requests of one team on one simulated clock, with the
// messages that SharedRates exchanges. Callers use a few gateways at a time,
// and others after a while.
class Fleet {
 public:
  explicit Fleet(FleetOptions options) : options_(options) {
    std::vector<std::string> hosts;
    for (int i = 0; i < options.gateways; ++i)
      hosts.push_back("host" + std::to_string(i));
    for (size_t i = 0; i < hosts.size(); ++i) {
      gateways_.push_back(std::make_unique<Gateway>());
      Gateway& gateway = *gateways_.back();
      gateway.quota.set_teams(StateWith(options.rate, options.burst), 0);
      gateway.quota.set_gateway_counts(options.gateways, options.gateways, 0);
      gateway.owners.set_hosts(hosts);
      gateway.peers.assign(hosts.size(), PeerUsage(true));
      gateway.heard_ms.assign(hosts.size(), 0);
      index_[hosts[i]] = i;
    }
  }

  // Sends `per_second` requests, in groups of `group` that arrive together.
  void Run(int64_t for_ms, double per_second, int group) {
    double due = 0;
    for (const int64_t end = now_ms_ + for_ms; now_ms_ < end; ++now_ms_) {
      RunEvents();
      due += per_second / 1'000;
      for (; due >= group; due -= group) {
        for (int i = 0; i < group; ++i) Request(NextGateway());
      }
      SendReports();
    }
  }

  // Cuts the gateways into two halves that do not hear each other.
  void Split() { split_ = true; }
  // The owner of the limit stops: nothing reaches or leaves it any more.
  void StopOwner() { stopped_ = Decider(0, 0); }
  size_t max_in_window(int64_t window_ms = kWindowMs) const {
    return MaxInWindow(admitted_, window_ms);
  }
  size_t admitted() const { return admitted_.size(); }
  // Requests that waited longer than `ms` for their decision.
  size_t waited_over(int64_t ms) const {
    return static_cast<size_t>(
        std::count_if(waits_ms_.begin(), waits_ms_.end(),
                      [ms](int64_t wait) { return wait > ms; }));
  }

 private:
  struct Gateway {
    TeamQuota quota;
    RateOwners owners;
    RateServer server{quota};
    UsageGossip gossip;
    std::vector<PeerUsage> peers;
    // Time of the last regular report of each peer.
    std::vector<int64_t> heard_ms;
    // No request is sent to the upstream with a limit before this time.
    int64_t denied_until_ms = 0;
  };
  struct Ask {
    size_t from = 0;
    uint64_t id = 0;
    size_t rank = 0;
    int sends = 0;
    int hosts_asked = 0;
    int64_t begun_ms = 0;
    bool done = false;
  };
  static constexpr size_t kNone = SIZE_MAX;
  // A peer's share is withheld after this many intervals, as in GatewayState.
  static constexpr double kHeardIntervals = 2.5;
  // Rank of an ask that no host answered: its gateway decides alone.
  static constexpr size_t kAlone = 2;
  static constexpr int64_t kReplyTimeoutMs = 50;
  static constexpr int kSendsPerAsk = 2;

  // One of the gateways that callers use at present.
  size_t NextGateway() {
    constexpr int64_t kUseMs = 600;
    const auto in_use = static_cast<size_t>(options_.in_use);
    const auto first = static_cast<size_t>(now_ms_ / kUseMs) * in_use;
    return (first + random_() % in_use) % gateways_.size();
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  void At(int64_t delay_ms, std::function<void()> event) {
    events_.emplace(now_ms_ + delay_ms, std::move(event));
  }
  // Delivers a message late, twice or not at all.
  void Send(size_t from, size_t to, const std::function<void()>& deliver) {
    if (from == stopped_ || to == stopped_ || Chance(options_.lost)) return;
    if (split_ && from % 2 != to % 2) return;
    At(options_.delay_ms, deliver);
    if (Chance(options_.repeated)) At(options_.delay_ms + 40, deliver);
  }
  void RunEvents() {
    while (!events_.empty() && events_.begin()->first <= now_ms_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
  }

  size_t Decider(size_t from, size_t rank) {
    const auto ranked =
        gateways_[from]->owners.Ranked(HashName(kTeam), 2, now_ms_);
    return rank < ranked.size() ? index_.at(ranked[rank]) : kNone;
  }

  void Request(size_t index) {
    if (index == stopped_) return;
    if (options_.named_limit > 0) {
      if (gateways_[index]->denied_until_ms > now_ms_) return;
    } else if (gateways_[index]->quota.TryAcquireUnreported(
                   kTeam, ProgramStatus::kRunningProgram, now_ms_)) {
      OnAdmitted(index, now_ms_);
      return;
    }
    AskDecider(std::make_shared<Ask>(
        Ask{.from = index, .id = ++next_id_, .begun_ms = now_ms_}));
  }

  void AskDecider(const std::shared_ptr<Ask>& ask) {
    const size_t to = Decider(ask->from, ask->rank);
    if (to == ask->from || ask->rank == kAlone) {
      OnReply(ask, Decide(ask->from, *ask));
      return;
    }
    ++ask->sends;
    Send(ask->from, to, [this, ask, to] {
      const int64_t wait_ms = Decide(to, *ask);
      Send(to, ask->from, [this, ask, wait_ms] { OnReply(ask, wait_ms); });
    });
    At(kReplyTimeoutMs, [this, ask, to] { OnTimeout(ask, to); });
  }

  void OnTimeout(const std::shared_ptr<Ask>& ask, size_t to) {
    if (ask->done) return;
    if (ask->sends >= kSendsPerAsk) {
      gateways_[ask->from]->owners.OnNoReply("host" + std::to_string(to),
                                             now_ms_);
      // The host that did not reply is last now.
      ask->id = ++next_id_;
      ask->sends = 0;
      ask->rank = ++ask->hosts_asked >= 2 ? kAlone : 0;
    }
    AskDecider(ask);
  }

  int64_t Decide(size_t at, const Ask& ask) {
    const bool owner = gateways_[at]->owners.Owns("host" + std::to_string(at),
                                                  HashName(kTeam));
    RateAsk rate_ask{.limit = HashName(kTeam), .id = ask.id};
    if (options_.named_limit > 0) {
      if (ask.rank == kAlone) return kReplyTimeoutMs;
      rate_ask.kind = RateAskKind::kUpstream;
      rate_ask.per_second = options_.named_limit;
    }
    const auto reply =
        gateways_[at]->server.Reply(ask.from, rate_ask, owner, now_ms_);
    if (reply.wait_ms == 0 && !reply.repeated) Report(at, rate_ask);
    return reply.wait_ms;
  }

  void OnReply(const std::shared_ptr<Ask>& ask, int64_t wait_ms) {
    if (ask->done) return;
    ask->done = true;
    if (wait_ms == 0) OnAdmitted(ask->from, ask->begun_ms);
    gateways_[ask->from]->denied_until_ms = now_ms_ + wait_ms;
  }

  void OnAdmitted(size_t, int64_t begun_ms) {
    admitted_.push_back(now_ms_);
    waits_ms_.push_back(now_ms_ - begun_ms);
  }

  // Tells the owner and the stand-in.
  void Report(size_t from, RateAsk ask) {
    for (size_t rank = 0; rank < 2; ++rank) {
      const size_t to = Decider(from, rank);
      if (to == from || to == kNone) continue;
      if (ask.kind == RateAskKind::kTeam) {
        const auto usage = gateways_[from]->quota.local_usage().at(kTeam);
        SendUsage(from, to, {{HashName(kTeam), usage}});
        continue;
      }
      ask.kind = RateAskKind::kUpstreamGranted;
      ask.id = ++next_id_;
      Send(from, to, [this, from, to, ask] {
        gateways_[to]->server.Reply(from, ask, false, now_ms_);
      });
    }
  }

  // As GatewayPeers::interval().
  int64_t IntervalMs() const {
    return std::max<int64_t>(100, 1'000 * (options_.gateways - 1) / 120);
  }

  void SendReports() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      const auto phase = static_cast<int64_t>(i) * 37;
      if ((now_ms_ + phase) % IntervalMs() != 0) continue;
      Gateway& gateway = *gateways_[i];
      const auto entries =
          gateway.gossip.NextEntries(gateway.quota.local_usage());
      gateway.quota.OnUsageReported();
      for (size_t to = 0; to < gateways_.size(); ++to) {
        if (to == i) continue;
        Send(i, to, [this, i, to] { gateways_[to]->heard_ms[i] = now_ms_; });
        if (!entries.empty()) SendUsage(i, to, entries);
      }
      CountReachable(i);
    }
  }

  // As GatewayState::UpdateFleet().
  void CountReachable(size_t index) {
    Gateway& gateway = *gateways_[index];
    const auto within = std::max<int64_t>(
        450, static_cast<int64_t>(kHeardIntervals *
                                  static_cast<double>(IntervalMs())));
    std::vector<std::string> hosts;
    for (size_t i = 0; i < gateways_.size(); ++i)
      if (i == index || now_ms_ - gateway.heard_ms[i] < within)
        hosts.push_back("host" + std::to_string(i));
    gateway.quota.set_gateway_counts(
        options_.gateways, static_cast<int64_t>(hosts.size()), now_ms_);
    gateway.owners.set_hosts(hosts);
  }

  void SendUsage(size_t from, size_t to,
                 const std::vector<UsageGossip::Entry>& entries) {
    Send(from, to, [this, from, to, entries] {
      Gateway& gateway = *gateways_[to];
      const auto increase = gateway.peers[from].ApplyCounters(entries);
      for (const auto& [team, use] : increase.charged)
        gateway.quota.AddPeerUsage(team, use, now_ms_);
    });
  }

  FleetOptions options_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::map<std::string, size_t> index_;
  std::multimap<int64_t, std::function<void()>> events_;
  std::vector<int64_t> admitted_;
  std::vector<int64_t> waits_ms_;
  std::mt19937 random_{7};
  uint64_t next_id_ = 0;
  size_t stopped_ = kNone;
  bool split_ = false;
  int64_t now_ms_ = 0;
};

}  // namespace

TEST_CASE("a gateway that was idle keeps what its peers admitted meanwhile") {
  TeamQuota quota;
  quota.set_teams(StateWith(10, 10), 0);
  quota.set_gateway_counts(79, 79, 0);
  // The bucket is full after a second. Peers then use the rate up, with a debt
  // of five requests; this gateway has not admitted any.
  quota.AddPeerUsage(HashName(kTeam), {.admitted = 15}, 20'000);
  const int64_t wait_ms =
      quota.TryAcquire(kTeam, ProgramStatus::kRunningProgram, 20'000);
  CHECK(wait_ms == 600);
}

TEST_CASE("79 gateways hold a small team to its rate after a quiet time") {
  Fleet fleet({});
  fleet.Run(20'000, 2, 2);
  fleet.Run(10'000, 36, 4);
  MESSAGE("most in 5 s: " << fleet.max_in_window() << " of "
                          << Allowed(12, 12));
  CHECK(fleet.max_in_window() <= Allowed(12, 12));
  // And at least nine tenths of what it is owed.
  CHECK(fleet.admitted() >= (20 * 2 + 10 * 12) * 9 / 10);
}

TEST_CASE("reports that are late, lost or repeated do not loosen a rate") {
  for (const int gateways : {6, 79, 820}) {
    Fleet fleet({.gateways = gateways,
                 .delay_ms = 40,
                 .lost = 0.05,
                 .repeated = 0.1,
                 .in_use = gateways});
    fleet.Run(20'000, 2, 2);
    // Eight times the rate, from callers that all begin at once.
    fleet.Run(10'000, 96, 96);
    MESSAGE(gateways << " gateways, most in 5 s: " << fleet.max_in_window()
                     << " of " << Allowed(12, 12));
    CHECK(fleet.max_in_window() <= Allowed(12, 12));
    CHECK(fleet.admitted() >= (20 * 2 + 10 * 12) * 9 / 10);
  }
}

TEST_CASE("79 gateways hold a flood of a larger team to its rate") {
  Fleet fleet({.rate = 40, .burst = 40, .in_use = 79});
  fleet.Run(3'000, 20, 1);
  fleet.Run(15'000, 400, 1);
  MESSAGE("most in 5 s: " << fleet.max_in_window() << " of "
                          << Allowed(40, 40));
  CHECK(fleet.max_in_window() <= Allowed(40, 40));
  CHECK(fleet.admitted() >= (3 * 20 + 15 * 40) * 9 / 10);
}

TEST_CASE("a rate holds and is served on when the owner of its limit stops") {
  for (const int gateways : {6, 79, 820}) {
    Fleet fleet({.gateways = gateways, .lost = 0.01, .in_use = gateways});
    fleet.Run(10'000, 2, 2);
    fleet.Run(5'000, 96, 96);
    fleet.StopOwner();
    const size_t before = fleet.admitted();
    fleet.Run(10'000, 96, 8);
    MESSAGE(gateways << " gateways, most in 5 s: " << fleet.max_in_window()
                     << " of " << Allowed(12, 12));
    CHECK(fleet.max_in_window() <= Allowed(12, 12));
    // Nine tenths of the rate without the share of the gateway that is gone,
    // less a second; half of it while the owner may be on the other side of a
    // cut.
    const double silent_s =
        std::min(9.0, std::max(0.45, 2.5 * (gateways - 1) / 120.0));
    const double share = (gateways - 1.0) / gateways;
    CHECK(static_cast<double>(fleet.admitted() - before) >=
          (9 - silent_s / 2) * 12 * 0.9 * share);
    // Two asks each of two hosts, and hardly any beyond the first host's.
    CHECK(fleet.waited_over(200) == 0);
    CHECK(fleet.waited_over(110) <= fleet.admitted() / 50);
  }
}

TEST_CASE("a rate holds when the gateways are cut into two halves") {
  for (const int gateways : {6, 79}) {
    for (const double rate : {12.0, 30.0}) {
      Fleet fleet({.gateways = gateways,
                   .rate = rate,
                   .burst = rate,
                   .in_use = gateways});
      fleet.Run(20'000, 2, 2);
      fleet.Split();
      fleet.Run(12'000, 8 * rate, 8);
      MESSAGE(gateways << " gateways, most in 5 s: " << fleet.max_in_window()
                       << " of " << Allowed(rate, rate));
      CHECK(fleet.max_in_window() <= Allowed(rate, rate));
    }
  }
}

TEST_CASE("all gateways together keep the limit that an upstream names") {
  constexpr int64_t kLimitWindowMs = 4'000;
  for (const int gateways : {6, 79, 820}) {
    for (const double limit : {2.6, 7.5, 60.0}) {
      Fleet fleet({.gateways = gateways,
                   .delay_ms = 40,
                   .lost = 0.05,
                   .repeated = 0.1,
                   .named_limit = limit,
                   .in_use = gateways});
      fleet.Run(10'000, 4 * limit, 4);
      const size_t before = fleet.admitted();
      fleet.StopOwner();
      fleet.Run(10'000, 4 * limit, 4);
      CAPTURE(limit);
      MESSAGE(gateways << " gateways, limit " << limit << ", most in 4 s: "
                       << fleet.max_in_window(kLimitWindowMs) << ", " << before
                       << " and " << fleet.admitted() - before << " in 10 s");
      // The platform allows half as much again and five requests.
      CHECK(static_cast<double>(fleet.max_in_window(kLimitWindowMs)) <=
            limit * 4 * 1.5 + 5);
      // Used for the most part, while there is an owner.
      CHECK(static_cast<double>(before) >= limit * 10 * 0.6);
    }
  }
}

TEST_CASE("an upstream that names a limit of zero gets nothing") {
  UpstreamLimits limits;
  for (int64_t now_ms = 0; now_ms < 60'000; now_ms += 500)
    CHECK(limits.TryAcquire({.upstream = 1, .per_second = 0}, now_ms) > 0);
}
