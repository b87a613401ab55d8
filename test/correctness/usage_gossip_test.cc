// Exchange of per-team usage counters between gateways over lossy datagrams.
#include "src/usage_gossip.h"

#include <doctest/doctest.h>

#include <random>

#include "src/name_hash.h"

namespace pimento {
namespace {

using Used = std::unordered_map<std::string, TeamQuota::AdmissionCounts>;

Used ManyTeams(int count) {
  Used used;
  for (int i = 0; i < count; ++i) {
    used["team-" + std::to_string(i)] = {.admitted = 10 + i, .started = i};
  }
  return used;
}

}  // namespace

TEST_CASE("few unchanged counters are sent per message, each in turn") {
  UsageGossip gossip;
  Used used = ManyTeams(100);
  for (int i = 0; i < 4; ++i) gossip.NextEntries(used);
  std::map<uint64_t, int> sent;
  for (int i = 0; i < 25; ++i) {
    const auto entries = gossip.NextEntries(used);
    CHECK(entries.size() <= 4);
    for (const auto& entry : entries) ++sent[entry.team];
  }
  CHECK(sent.size() == 100);
}

TEST_CASE("a changed counter is in each of the next four messages") {
  UsageGossip gossip;
  Used used = ManyTeams(3);
  for (int i = 0; i < 4; ++i) gossip.NextEntries(used);
  used["team-1"].admitted += 5;
  for (int i = 0; i < 4; ++i) {
    int64_t seen = 0;
    for (const auto& entry : gossip.NextEntries(used)) {
      if (entry.team == HashName("team-1")) seen = entry.use.admitted;
    }
    CHECK(seen == 16);
  }
}

TEST_CASE("all usage arrives although half of the messages are lost") {
  std::mt19937 random(7);
  UsageGossip gossip;
  PeerUsage peer(/*from_start=*/true);
  Used used;
  std::map<uint64_t, int64_t> arrived;
  const auto step = [&](bool lost) {
    const auto entries = gossip.NextEntries(used);
    if (lost) return;
    for (const auto& entry : peer.ApplyCounters(entries).charged)
      arrived[entry.team] += entry.use.admitted;
  };
  for (int i = 0; i < 400; ++i) {
    ++used["team-" + std::to_string(random() % 50)].admitted;
    step(random() % 2 == 0);
  }
  for (int i = 0; i < 30; ++i) step(random() % 2 == 0);
  for (const auto& [team, use] : used)
    CHECK(arrived[HashName(team)] == use.admitted);
}

TEST_CASE("usage from before the first message of a peer is not charged") {
  PeerUsage peer(/*from_start=*/false);
  CHECK(peer.ApplyCounters({{1, {.admitted = 500}}}).charged.empty());
  // The first value of another team is earlier usage too.
  CHECK(peer.ApplyCounters({{2, {.admitted = 300}}}).charged.empty());
  const auto added = peer.ApplyCounters({{2, {.admitted = 304}}}).charged;
  REQUIRE(added.size() == 1);
  CHECK(added[0].use.admitted == 4);
}

}  // namespace pimento
