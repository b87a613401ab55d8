// What gateways tell each other of teams' use, over datagrams that get lost.
#include "src/usage_gossip.h"

#include <doctest/doctest.h>

#include <random>

#include "src/name_hash.h"

namespace pimento {
namespace {

using Used = std::unordered_map<std::string, TeamQuota::Use>;

Used ManyTeams(int count) {
  Used used;
  for (int i = 0; i < count; ++i) {
    used["team-" + std::to_string(i)] = {.admitted = 10 + i, .started = i};
  }
  return used;
}

}  // namespace

TEST_CASE("counters at rest cost little, and each is told again in turn") {
  UsageGossip digest;
  Used used = ManyTeams(100);
  for (int i = 0; i < 4; ++i) digest.NextEntries(used);
  std::map<uint64_t, int> told;
  for (int i = 0; i < 25; ++i) {
    const auto entries = digest.NextEntries(used);
    CHECK(entries.size() <= 4);
    for (const auto& entry : entries) ++told[entry.team];
  }
  CHECK(told.size() == 100);
}

TEST_CASE("a changed counter is told in each of the next four news") {
  UsageGossip digest;
  Used used = ManyTeams(3);
  for (int i = 0; i < 4; ++i) digest.NextEntries(used);
  used["team-1"].admitted += 5;
  for (int i = 0; i < 4; ++i) {
    int64_t seen = 0;
    for (const auto& entry : digest.NextEntries(used)) {
      if (entry.team == HashOf("team-1")) seen = entry.use.admitted;
    }
    CHECK(seen == 16);
  }
}

TEST_CASE("all use arrives though half of the news are lost") {
  std::mt19937 random(7);
  UsageGossip digest;
  PeerUsage ledger(/*from_start=*/true);
  Used used;
  std::map<uint64_t, int64_t> arrived;
  const auto step = [&](bool lost) {
    const auto entries = digest.NextEntries(used);
    if (lost) return;
    for (const auto& entry : ledger.ApplyCounters(entries))
      arrived[entry.team] += entry.use.admitted;
  };
  for (int i = 0; i < 400; ++i) {
    ++used["team-" + std::to_string(random() % 50)].admitted;
    step(random() % 2 == 0);
  }
  for (int i = 0; i < 30; ++i) step(random() % 2 == 0);
  for (const auto& [team, use] : used)
    CHECK(arrived[HashOf(team)] == use.admitted);
}

TEST_CASE("use from before a gateway was heard is not charged again") {
  PeerUsage ledger(/*from_start=*/false);
  CHECK(ledger.ApplyCounters({{1, {.admitted = 500}}}).empty());
  // SentCounter later, yet as old.
  CHECK(ledger.ApplyCounters({{2, {.admitted = 300}}}).empty());
  const auto spent = ledger.ApplyCounters({{2, {.admitted = 304}}});
  REQUIRE(spent.size() == 1);
  CHECK(spent[0].use.admitted == 4);
}

}  // namespace pimento
