// Replays of teams that send many times their rate through all gateways.
#include "src/team_quota.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>

#include "src/name_hash.h"
#include "src/program_memory.h"

namespace {

using namespace pimento;

DesiredState StateWith(double rate, double burst) {
  DesiredState::Parts parts;
  parts.teams.push_back(
      {.name = "large", .rate_per_second = rate, .burst = burst});
  return DesiredState(std::move(parts));
}

// How gateways tell each other of admissions.
struct NewsOptions {
  int64_t every_ms = 100;
  // True when admissions of a tight team are told at once.
  bool prompt = false;
};

// Gateways that exchange news, fed by one team.
class Fleet {
 public:
  Fleet(int gateways, double rate, double burst, NewsOptions news = {})
      : news_(news),
        quotas_(static_cast<size_t>(gateways)),
        told_(quotas_.size()),
        cut_(quotas_.size(), false),
        rate_(rate),
        burst_(burst) {
    for (auto& quota : quotas_) {
      quota.set_teams(StateWith(rate, burst), 0);
      quota.set_fleet(gateways, gateways);
    }
  }

  void Cut(size_t gateway) { cut_[gateway] = true; }
  void Restart(size_t gateway) {
    quotas_[gateway] = TeamQuota();
    quotas_[gateway].set_teams(StateWith(rate_, burst_), now_ms_);
    quotas_[gateway].set_fleet(count(), count());
    told_[gateway] = 0;
  }
  void Limit(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    for (auto& quota : quotas_)
      quota.set_teams(StateWith(rate, burst), now_ms_);
  }

  // Sends `per_second` through all gateways in turn.
  void Run(int64_t for_ms, double per_second) {
    double due = 0;
    size_t next = 0;
    for (const int64_t end = now_ms_ + for_ms; now_ms_ < end; ++now_ms_) {
      for (due += per_second / 1'000; due >= 1; due -= 1) {
        const size_t gateway = next++ % quotas_.size();
        ++asked_;
        if (quotas_[gateway].Take("large", ProgramStanding::kRuns, now_ms_) ==
            0) {
          admitted_.push_back(now_ms_);
          if (news_.prompt && quotas_[gateway].Tight("large")) Tell(gateway);
        }
      }
      if (now_ms_ % news_.every_ms == news_.every_ms - 1) Exchange();
    }
  }

  // Most requests admitted in any window of `window_ms`.
  size_t MostIn(int64_t window_ms) const {
    size_t most = 0;
    std::deque<int64_t> window;
    for (const int64_t at : admitted_) {
      window.push_back(at);
      while (window.front() <= at - window_ms) window.pop_front();
      most = std::max(most, window.size());
    }
    return most;
  }
  size_t admitted() const { return admitted_.size(); }
  size_t asked() const { return asked_; }
  int64_t count() const { return static_cast<int64_t>(quotas_.size()); }

 private:
  void Exchange() {
    int64_t whole = 0;
    for (size_t i = 0; i < quotas_.size(); ++i) whole += cut_[i] ? 0 : 1;
    for (size_t i = 0; i < quotas_.size(); ++i) {
      quotas_[i].set_fleet(count(), cut_[i] ? 1 : whole);
      if (!cut_[i]) Tell(i);
    }
  }

  void Tell(size_t i) {
    const auto& uses = quotas_[i].used();
    const auto it = uses.find("large");
    const int64_t total = it == uses.end() ? 0 : it->second.admitted;
    for (size_t j = 0; j < quotas_.size(); ++j) {
      if (j != i && !cut_[j])
        quotas_[j].Spent(HashOf("large"), {.admitted = total - told_[i]});
    }
    told_[i] = total;
  }

  NewsOptions news_;
  std::vector<TeamQuota> quotas_;
  std::vector<int64_t> told_;
  std::vector<bool> cut_;
  std::vector<int64_t> admitted_;
  double rate_;
  double burst_;
  size_t asked_ = 0;
  int64_t now_ms_ = 0;
};

constexpr int64_t kWindowMs = 5'000;

// (rate x window + burst) x 1.1 + 20: what the platform allows in a window.
size_t Allowed(double rate, double burst) {
  return static_cast<size_t>((rate * 5 + burst) * 1.1 + 20);
}

}  // namespace

TEST_CASE("a team that sends eight times its rate gets its rate and burst") {
  Fleet fleet(6, 170, 170);
  fleet.Run(2'000, 100);
  fleet.Run(12'000, 1'360);
  CHECK(fleet.MostIn(kWindowMs) <= Allowed(170, 170));
  // And no less than it is owed.
  CHECK(fleet.admitted() >= static_cast<size_t>(170 * 12));
}

TEST_CASE("79 gateways with seldom news give a flood no more than its rate") {
  const auto most = [](bool prompt) {
    Fleet fleet(79, 40, 40, {.every_ms = 650, .prompt = prompt});
    fleet.Run(3'000, 20);
    fleet.Run(15'000, 400);
    return fleet.MostIn(kWindowMs);
  };
  MESSAGE("most in 5 s, told with the news / at once: " << most(false) << " / "
                                                        << most(true));
  CHECK(most(true) <= Allowed(40, 40));
  CHECK(most(false) > most(true));
}

TEST_CASE("what a team sends within its rate is all admitted") {
  Fleet fleet(6, 170, 170);
  fleet.Run(3'000, 60);
  const size_t before = fleet.asked() - fleet.admitted();
  fleet.Run(20'000, 150);
  // The buckets start empty: only the first second may refuse.
  CHECK(before <= 12);
  CHECK(fleet.asked() - fleet.admitted() - before <= 3);
}

TEST_CASE("gateways that are cut off in a flood leave the others their share") {
  Fleet fleet(6, 170, 170);
  fleet.Run(3'000, 100);
  fleet.Run(3'000, 1'360);
  fleet.Cut(1);
  fleet.Cut(4);
  fleet.Run(8'000, 1'360);
  CHECK(fleet.MostIn(kWindowMs) <= Allowed(170, 170));
}

TEST_CASE("gateways that restart in a flood do not give the burst again") {
  Fleet fleet(6, 170, 170);
  fleet.Run(3'000, 100);
  for (size_t gateway = 0; gateway < 6; ++gateway) {
    fleet.Run(700, 1'360);
    fleet.Restart(gateway);
  }
  fleet.Run(5'000, 1'360);
  CHECK(fleet.MostIn(kWindowMs) <= Allowed(170, 170));
}

TEST_CASE("a lower limit binds at once, however full the bucket was") {
  Fleet fleet(6, 170, 170);
  fleet.Run(5'000, 100);
  fleet.Limit(20, 20);
  const size_t before = fleet.admitted();
  fleet.Run(5'000, 600);
  CHECK(fleet.admitted() - before <= Allowed(20, 20));
}

TEST_CASE("a refusal tells when one more would be admitted") {
  TeamQuota quota;
  quota.set_teams(StateWith(10, 5), 0);
  quota.set_fleet(1, 1);
  const int64_t wait = quota.Take("large", ProgramStanding::kRuns, 0);
  CHECK(wait == 100);
  CHECK(quota.Take("large", ProgramStanding::kRuns, wait) == 0);
  CHECK(quota.Take("unlimited", ProgramStanding::kStarts, 0) == 0);
}

TEST_CASE("what did not run is given back") {
  TeamQuota quota;
  quota.set_teams(StateWith(10, 5), 0);
  quota.set_fleet(1, 1);
  CHECK(quota.Take("large", ProgramStanding::kRuns, 100) == 0);
  CHECK(quota.Take("large", ProgramStanding::kRuns, 100) > 0);
  quota.Return("large");
  CHECK(quota.Take("large", ProgramStanding::kRuns, 100) == 0);
  CHECK(quota.used().at("large").admitted == 1);
}

namespace {

// Programs of 12 requests, one each 100 ms; a program ends badly at its third
// refused request in a row. Returns how many ended well.
int ProgramsServed(double rate, double programs_per_second, bool by_program) {
  constexpr int kRequests = 12;
  constexpr int64_t kStepMs = 100;
  struct Program {
    int done = 0;
    int refused = 0;
    int64_t next_ms = 0;
  };
  TeamQuota quota;
  quota.set_teams(StateWith(rate, rate), 0);
  quota.set_fleet(1, 1);
  std::vector<Program> running;
  std::mt19937 random(4);
  int served = 0;
  double due = 0;
  for (int64_t now = 0; now < 30'000; now += 10) {
    for (due += programs_per_second / 100; due >= 1; due -= 1)
      running.push_back({.next_ms = now});
    // Requests of many programs come in any order.
    std::shuffle(running.begin(), running.end(), random);
    for (Program& program : running) {
      if (program.next_ms > now) continue;
      const bool starts = by_program && program.done == 0;
      program.next_ms = now + kStepMs;
      if (quota.Take("large",
                     starts ? ProgramStanding::kStarts : ProgramStanding::kRuns,
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

TEST_CASE("a team over its rate gets whole programs instead of halves") {
  // Three times what the rate holds: 60 a second are 5 programs a second.
  const int by_request = ProgramsServed(60, 15, false);
  const int by_program = ProgramsServed(60, 15, true);
  MESSAGE("programs served by program / by request: " << by_program << " / "
                                                      << by_request);
  CHECK(by_program > 2 * by_request);
  // 5 a second for 30 s, but for the first and last seconds.
  CHECK(by_program >= 110);
  // Within the rate nothing changes.
  CHECK(ProgramsServed(60, 4, true) >= ProgramsServed(60, 4, false) - 2);
}

TEST_CASE("a program that loops gets only what the others leave") {
  TeamQuota quota;
  quota.set_teams(StateWith(100, 100), 0);
  quota.set_fleet(1, 1);
  ProgramFacts facts{.may_be_start = true};
  CHECK(TeamQuota::StandingOf(facts) == ProgramStanding::kStarts);
  facts.known = true;
  CHECK(TeamQuota::StandingOf(facts) == ProgramStanding::kRuns);
  facts.spent = true;
  CHECK(TeamQuota::StandingOf(facts) == ProgramStanding::kSpent);
  // One that loops asks as often as it can, the others 80 times a second.
  int looped = 0;
  int others_refused = 0;
  for (int64_t now = 1'000; now < 11'000; now += 5) {
    looped += quota.Take("large", ProgramStanding::kSpent, now) == 0 ? 1 : 0;
    if (now % 25 >= 10) continue;
    others_refused +=
        quota.Take("large", ProgramStanding::kRuns, now) != 0 ? 1 : 0;
  }
  CHECK(others_refused == 0);
  CHECK(looped > 100);
  CHECK(looped < 400);
}

TEST_CASE("a sound program that needs ten times the median is not refused") {
  // 79 gateways, programs of 10 requests, now and then one of 120, together
  // half of the rate.
  TeamQuota quota;
  quota.set_teams(StateWith(100, 100), 0);
  quota.set_fleet(79, 79);
  ProgramMemory programs;
  int refused = 0;
  int64_t now = 2'000;
  const auto ask = [&](const std::string& program, bool first) {
    const ProgramFacts facts{.known = programs.Known(program),
                             .spent = programs.Spent(program),
                             .may_be_start = first};
    const auto standing = TeamQuota::StandingOf(facts);
    if (quota.Take("large", standing, now) != 0)
      ++refused;
    else
      programs.Admitted(program, now);
    now += 20;
  };
  for (int i = 0; i < 40; ++i) {
    const int requests = i % 10 == 9 ? 120 : 10;
    for (int step = 0; step < requests; ++step)
      ask("p" + std::to_string(i), step == 0);
  }
  CHECK(refused == 0);
}

TEST_CASE("those that wait for the rate get places one after the other") {
  TeamQuota quota;
  quota.set_teams(StateWith(60, 60), 0);
  quota.set_fleet(6, 6);
  const int64_t first = quota.TakePlace("large", 0);
  CHECK(first == 100);
  CHECK(quota.TakePlace("large", 0) == 200);
  CHECK(quota.TakePlace("large", 1'000) == 100);
}

TEST_CASE("what did not run is no part of what programs need") {
  TeamQuota quota;
  quota.set_teams(StateWith(100, 100), 0);
  quota.set_fleet(1, 1);
  int64_t now = 0;
  // Programs of one request, each with eleven more that are refused later on.
  for (int program = 0; program < 50; ++program) {
    now += 1'000;
    REQUIRE(quota.Take("large", ProgramStanding::kStarts, now) == 0);
    for (int i = 0; i < 11; ++i) {
      REQUIRE(quota.Take("large", ProgramStanding::kRuns, now) == 0);
      quota.Return("large");
    }
  }
  now += 10'000;
  int started = 0;
  while (quota.Take("large", ProgramStanding::kStarts, now) == 0) ++started;
  // A burst of 100 holds 8 programs of 12 requests, and far more of one.
  CHECK(started > 16);
}

TEST_CASE("a call of a tool, or a turn that names one before it, is no start") {
  TeamQuota quota;
  quota.set_teams(StateWith(100, 100), 0);
  CHECK(TeamQuota::StandingOf({}) == ProgramStanding::kRuns);
  CHECK(TeamQuota::StandingOf({.may_be_start = true}) ==
        ProgramStanding::kStarts);
}
