// One rate limit over many gateways whose reports to each other are late, lost
// or repeated, checked with the platform's sliding window.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "src/name_hash.h"
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

// Maximum number of `times` in any window of kWindowMs.
size_t MaxInWindow(const std::vector<int64_t>& times) {
  size_t most = 0;
  std::deque<int64_t> window;
  for (const int64_t at : times) {
    window.push_back(at);
    while (window.front() <= at - kWindowMs) window.pop_front();
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
  // Gateways that callers use at the same time.
  int in_use = 8;
};

// Gateways that admit the requests of one team on one simulated clock. Callers
// use a few gateways at a time, and others after a while.
class Fleet {
 public:
  explicit Fleet(FleetOptions options)
      : options_(options), gateways_(static_cast<size_t>(options.gateways)) {
    for (Gateway& gateway : gateways_) {
      gateway.quota.set_teams(StateWith(options.rate, options.burst), 0);
      gateway.quota.set_gateway_counts(options.gateways, options.gateways, 0);
      gateway.peers.assign(gateways_.size(), PeerUsage(true));
    }
  }

  // Sends `per_second` requests, in groups of `group` that arrive together.
  void Run(int64_t for_ms, double per_second, int group) {
    double due = 0;
    for (const int64_t end = now_ms_ + for_ms; now_ms_ < end; ++now_ms_) {
      Deliver();
      due += per_second / 1'000;
      for (; due >= group; due -= group) {
        for (int i = 0; i < group; ++i) Request(NextGateway());
      }
      SendReports();
    }
  }

  size_t max_in_window() const { return MaxInWindow(admitted_); }
  size_t admitted() const { return admitted_.size(); }

 private:
  struct Gateway {
    TeamQuota quota;
    UsageGossip gossip;
    std::vector<PeerUsage> peers;
  };
  struct Report {
    size_t from = 0;
    size_t to = 0;
    std::vector<UsageGossip::Entry> entries;
  };

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

  void Request(size_t index) {
    Gateway& gateway = gateways_[index];
    if (gateway.quota.TryAcquire(kTeam, ProgramStatus::kRunningProgram,
                                 now_ms_) != 0)
      return;
    admitted_.push_back(now_ms_);
    if (IntervalMs() < 200 || !gateway.quota.NearLimit(kTeam)) return;
    Send(index, {{HashName(kTeam), gateway.quota.local_usage().at(kTeam)}});
  }

  // As GatewayPeers::interval().
  int64_t IntervalMs() const {
    return std::max<int64_t>(100, 1'000 * (options_.gateways - 1) / 120);
  }

  void SendReports() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      const auto phase = static_cast<int64_t>(i) * 37;
      if ((now_ms_ + phase) % IntervalMs() != 0) continue;
      Gateway& gateway = gateways_[i];
      Send(i, gateway.gossip.NextEntries(gateway.quota.local_usage()));
    }
  }

  void Send(size_t from, const std::vector<UsageGossip::Entry>& entries) {
    if (entries.empty()) return;
    for (size_t to = 0; to < gateways_.size(); ++to) {
      if (to == from || Chance(options_.lost)) continue;
      const int64_t at = now_ms_ + options_.delay_ms;
      reports_.emplace(at, Report{from, to, entries});
      if (Chance(options_.repeated))
        reports_.emplace(at + 40, Report{from, to, entries});
    }
  }

  void Deliver() {
    while (!reports_.empty() && reports_.begin()->first <= now_ms_) {
      const Report& report = reports_.begin()->second;
      Gateway& to = gateways_[report.to];
      const auto increase = to.peers[report.from].ApplyCounters(report.entries);
      for (const auto& [team, use] : increase.charged)
        to.quota.AddPeerUsage(team, use, now_ms_);
      reports_.erase(reports_.begin());
    }
  }

  FleetOptions options_;
  std::vector<Gateway> gateways_;
  std::multimap<int64_t, Report> reports_;
  std::vector<int64_t> admitted_;
  std::mt19937 random_{7};
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
