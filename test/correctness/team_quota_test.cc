// TeamQuota in a simulated fleet: teams that send many times their rate through
// all gateways.
#include "src/team_quota.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>

#include "src/name_hash.h"
#include "src/recent_programs.h"

namespace {

using namespace pimento;

DesiredState StateWith(double rate, double burst) {
  DesiredState::Parts parts;
  parts.teams.push_back(
      {.name = "large", .rate_per_second = rate, .burst = burst});
  return DesiredState(std::move(parts));
}

constexpr int64_t kGossipIntervalMs = 100;

// Gateways that exchange gossip and receive the requests of one team.
class Fleet {
 public:
  Fleet(int gateways, double rate, double burst)
      : quotas_(static_cast<size_t>(gateways)),
        reported_(quotas_.size()),
        isolated_(quotas_.size(), false),
        rate_(rate),
        burst_(burst) {
    for (auto& quota : quotas_) {
      quota.set_teams(StateWith(rate, burst), 0);
      quota.set_gateway_counts(gateways, gateways, 0);
    }
  }

  void Isolate(size_t gateway) { isolated_[gateway] = true; }
  void Restart(size_t gateway) {
    quotas_[gateway] = TeamQuota();
    quotas_[gateway].set_teams(StateWith(rate_, burst_), now_ms_);
    quotas_[gateway].set_gateway_counts(count(), count(), now_ms_);
    reported_[gateway] = 0;
  }
  void SetLimit(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    for (auto& quota : quotas_)
      quota.set_teams(StateWith(rate, burst), now_ms_);
  }

  // Sends `per_second` requests, round-robin over the gateways.
  void Run(int64_t for_ms, double per_second) {
    double due = 0;
    size_t next = 0;
    for (const int64_t end = now_ms_ + for_ms; now_ms_ < end; ++now_ms_) {
      for (due += per_second / 1'000; due >= 1; due -= 1) {
        const size_t gateway = next++ % quotas_.size();
        ++sent_;
        if (quotas_[gateway].TryAcquire("large", ProgramStatus::kRunningProgram,
                                        now_ms_) == 0) {
          admitted_.push_back(now_ms_);
        }
      }
      if (now_ms_ % kGossipIntervalMs == kGossipIntervalMs - 1) GossipAll();
    }
  }

  // Maximum number of requests admitted in any window of `window_ms`.
  size_t MaxAdmittedIn(int64_t window_ms) const {
    size_t max_admitted = 0;
    std::deque<int64_t> window;
    for (const int64_t at : admitted_) {
      window.push_back(at);
      while (window.front() <= at - window_ms) window.pop_front();
      max_admitted = std::max(max_admitted, window.size());
    }
    return max_admitted;
  }
  size_t admitted() const { return admitted_.size(); }
  size_t sent() const { return sent_; }
  int64_t count() const { return static_cast<int64_t>(quotas_.size()); }

 private:
  void GossipAll() {
    int64_t connected = 0;
    for (size_t i = 0; i < quotas_.size(); ++i)
      connected += isolated_[i] ? 0 : 1;
    for (size_t i = 0; i < quotas_.size(); ++i) {
      quotas_[i].set_gateway_counts(count(), isolated_[i] ? 1 : connected,
                                    now_ms_);
      if (!isolated_[i]) Gossip(i);
    }
  }

  void Gossip(size_t i) {
    const auto& uses = quotas_[i].local_usage();
    const auto it = uses.find("large");
    const int64_t total = it == uses.end() ? 0 : it->second.admitted;
    for (size_t j = 0; j < quotas_.size(); ++j) {
      if (j != i && !isolated_[j])
        quotas_[j].AddPeerUsage(HashName("large"),
                                {.admitted = total - reported_[i]}, now_ms_);
    }
    reported_[i] = total;
  }

  std::vector<TeamQuota> quotas_;
  std::vector<int64_t> reported_;
  std::vector<bool> isolated_;
  std::vector<int64_t> admitted_;
  double rate_;
  double burst_;
  size_t sent_ = 0;
  int64_t now_ms_ = 0;
};

constexpr int64_t kWindowMs = 5'000;

// The platform allows (rate * window + burst) * 1.1 + 20 requests in a window
// of 5 s.
size_t Allowed(double rate, double burst) {
  return static_cast<size_t>((rate * 5 + burst) * 1.1 + 20);
}

}  // namespace

TEST_CASE("a team that sends eight times its rate gets its rate and burst") {
  Fleet fleet(6, 170, 170);
  fleet.Run(2'000, 100);
  fleet.Run(12'000, 1'360);
  CHECK(fleet.MaxAdmittedIn(kWindowMs) <= Allowed(170, 170));
  // And at least its rate.
  CHECK(fleet.admitted() >= static_cast<size_t>(170 * 12));
}

TEST_CASE("a team within its rate has all requests admitted") {
  Fleet fleet(6, 170, 170);
  fleet.Run(3'000, 60);
  const size_t refused_before = fleet.sent() - fleet.admitted();
  fleet.Run(20'000, 150);
  // The buckets start empty: only the first second may refuse.
  CHECK(refused_before <= 12);
  CHECK(fleet.sent() - fleet.admitted() - refused_before <= 3);
}

TEST_CASE(
    "gateways that are isolated in a flood leave the others their share") {
  Fleet fleet(6, 170, 170);
  fleet.Run(3'000, 100);
  fleet.Run(3'000, 1'360);
  fleet.Isolate(1);
  fleet.Isolate(4);
  fleet.Run(8'000, 1'360);
  CHECK(fleet.MaxAdmittedIn(kWindowMs) <= Allowed(170, 170));
}

TEST_CASE("gateways that restart in a flood do not grant the burst again") {
  Fleet fleet(6, 170, 170);
  fleet.Run(3'000, 100);
  for (size_t gateway = 0; gateway < 6; ++gateway) {
    fleet.Run(700, 1'360);
    fleet.Restart(gateway);
  }
  fleet.Run(5'000, 1'360);
  CHECK(fleet.MaxAdmittedIn(kWindowMs) <= Allowed(170, 170));
}

TEST_CASE("a lower limit applies at once, however full the bucket was") {
  Fleet fleet(6, 170, 170);
  fleet.Run(5'000, 100);
  fleet.SetLimit(20, 20);
  const size_t before = fleet.admitted();
  fleet.Run(5'000, 600);
  CHECK(fleet.admitted() - before <= Allowed(20, 20));
}

TEST_CASE("a refusal returns the time until the next admission") {
  TeamQuota quota;
  quota.set_teams(StateWith(10, 5), 0);
  quota.set_gateway_counts(1, 1, 0);
  const int64_t wait =
      quota.TryAcquire("large", ProgramStatus::kRunningProgram, 0);
  CHECK(wait == 100);
  CHECK(quota.TryAcquire("large", ProgramStatus::kRunningProgram, wait) == 0);
  CHECK(quota.TryAcquire("unlimited", ProgramStatus::kNewProgram, 0) == 0);
}

TEST_CASE("a request that did not run is refunded") {
  TeamQuota quota;
  quota.set_teams(StateWith(10, 5), 0);
  quota.set_gateway_counts(1, 1, 0);
  CHECK(quota.TryAcquire("large", ProgramStatus::kRunningProgram, 100) == 0);
  CHECK(quota.TryAcquire("large", ProgramStatus::kRunningProgram, 100) > 0);
  quota.Refund("large", 100);
  CHECK(quota.TryAcquire("large", ProgramStatus::kRunningProgram, 100) == 0);
  CHECK(quota.local_usage().at("large").admitted == 1);
}

namespace {

// Runs programs of 12 requests, one every 100 ms; a program fails at its third
// refused request in a row. Returns the number of completed programs.
int CompletedPrograms(double rate, double programs_per_second,
                      bool by_program) {
  constexpr int kRequests = 12;
  constexpr int64_t kStepMs = 100;
  struct Program {
    int done = 0;
    int refused = 0;
    int64_t next_ms = 0;
  };
  TeamQuota quota;
  quota.set_teams(StateWith(rate, rate), 0);
  quota.set_gateway_counts(1, 1, 0);
  std::vector<Program> running;
  std::mt19937 random(4);
  int served = 0;
  double due = 0;
  for (int64_t now = 0; now < 30'000; now += 10) {
    for (due += programs_per_second / 100; due >= 1; due -= 1)
      running.push_back({.next_ms = now});
    // Requests of different programs arrive in random order.
    std::shuffle(running.begin(), running.end(), random);
    for (Program& program : running) {
      if (program.next_ms > now) continue;
      const bool starts = by_program && program.done == 0;
      program.next_ms = now + kStepMs;
      if (quota.TryAcquire("large",
                           starts ? ProgramStatus::kNewProgram
                                  : ProgramStatus::kRunningProgram,
                           now) == 0) {
        ++program.done;
        program.refused = 0;
      } else {
        ++program.refused;
      }
    }
    std::erase_if(running, [&served](const Program& program) {
      served += program.done == kRequests ? 1 : 0;
      return program.done == kRequests || program.refused == 3;
    });
  }
  return served;
}

}  // namespace

TEST_CASE("a team over its rate gets complete programs, not partial ones") {
  // Three times the rate: 60 requests a second are 5 programs a second.
  const int by_request = CompletedPrograms(60, 15, false);
  const int by_program = CompletedPrograms(60, 15, true);
  MESSAGE("completed programs, refusal by program / by request: "
          << by_program << " / " << by_request);
  CHECK(by_program > 2 * by_request);
  // 5 a second for 30 s, less the first and last seconds.
  CHECK(by_program >= 110);
  // Within the rate nothing changes.
  CHECK(CompletedPrograms(60, 4, true) >= CompletedPrograms(60, 4, false) - 2);
}

TEST_CASE("a program that loops gets only the spare capacity") {
  TeamQuota quota;
  quota.set_teams(StateWith(100, 100), 0);
  quota.set_gateway_counts(1, 1, 0);
  ProgramFacts facts{.may_be_first_request = true};
  CHECK(TeamQuota::StatusOf(facts) == ProgramStatus::kNewProgram);
  facts.known = true;
  CHECK(TeamQuota::StatusOf(facts) == ProgramStatus::kRunningProgram);
  facts.spent = true;
  CHECK(TeamQuota::StatusOf(facts) == ProgramStatus::kBudgetSpent);
  // The looping program sends 200 requests a second, the others 80.
  int loop_admitted = 0;
  int others_refused = 0;
  for (int64_t now = 1'000; now < 11'000; now += 5) {
    loop_admitted +=
        quota.TryAcquire("large", ProgramStatus::kBudgetSpent, now) == 0 ? 1
                                                                         : 0;
    if (now % 25 >= 10) continue;
    others_refused +=
        quota.TryAcquire("large", ProgramStatus::kRunningProgram, now) != 0 ? 1
                                                                            : 0;
  }
  CHECK(others_refused == 0);
  CHECK(loop_admitted > 100);
  CHECK(loop_admitted < 400);
}

TEST_CASE(
    "a healthy program with ten times the median requests is not refused") {
  // One of 79 gateways, all of them reachable. Nine of ten programs have 10
  // requests, the tenth 120, together half of the rate.
  TeamQuota quota;
  quota.set_teams(StateWith(100, 100), 0);
  quota.set_gateway_counts(79, 79, 0);
  RecentPrograms programs;
  int refused = 0;
  int64_t now = 2'000;
  const auto send = [&](const std::string& program, bool first) {
    const ProgramFacts facts{.known = programs.Contains(program),
                             .spent = programs.BudgetSpent(program),
                             .may_be_first_request = first};
    const auto status = TeamQuota::StatusOf(facts);
    if (quota.TryAcquire("large", status, now) != 0)
      ++refused;
    else
      programs.OnAdmitted(program, "large", now);
    now += 20;
  };
  for (int i = 0; i < 40; ++i) {
    const int requests = i % 10 == 9 ? 120 : 10;
    for (int step = 0; step < requests; ++step)
      send("p" + std::to_string(i), step == 0);
  }
  CHECK(refused == 0);
}

TEST_CASE("requests that wait for the rate get successive retry times") {
  TeamQuota quota;
  quota.set_teams(StateWith(60, 60), 0);
  quota.set_gateway_counts(6, 6, 0);
  const int64_t first = quota.ReserveRetryDelay("large", 6, 0);
  CHECK(first == 100);
  CHECK(quota.ReserveRetryDelay("large", 6, 0) == 200);
  CHECK(quota.ReserveRetryDelay("large", 6, 1'000) == 100);
}

TEST_CASE("a request that did not run does not count as program size") {
  TeamQuota quota;
  quota.set_teams(StateWith(100, 100), 0);
  quota.set_gateway_counts(1, 1, 0);
  int64_t now = 0;
  // Programs of one request, each with eleven more that are admitted here but
  // refused later, so that they do not run.
  for (int program = 0; program < 50; ++program) {
    now += 1'000;
    REQUIRE(quota.TryAcquire("large", ProgramStatus::kNewProgram, now) == 0);
    for (int i = 0; i < 11; ++i) {
      REQUIRE(quota.TryAcquire("large", ProgramStatus::kRunningProgram, now) ==
              0);
      quota.Refund("large", 100);
    }
  }
  now += 10'000;
  int started = 0;
  while (quota.TryAcquire("large", ProgramStatus::kNewProgram, now) == 0)
    ++started;
  // A burst of 100 admits 8 programs of 12 requests, and far more of one.
  CHECK(started > 16);
}

TEST_CASE("a tool call, or a turn with a previous turn, starts no program") {
  TeamQuota quota;
  quota.set_teams(StateWith(100, 100), 0);
  CHECK(TeamQuota::StatusOf({}) == ProgramStatus::kRunningProgram);
  CHECK(TeamQuota::StatusOf({.may_be_first_request = true}) ==
        ProgramStatus::kNewProgram);
}
