// Members of the archive that are away one after the other, in simulated time.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <random>

#include "src/turn_archive.h"

namespace {

using namespace pimento;

constexpr size_t kMembers = 3;
constexpr int64_t kStepMs = 500;
constexpr int64_t kSettleMs = 1'500;
constexpr int64_t kRetainMs = 8'000;
constexpr int64_t kSlackMs = 30'000;

struct Member {
  TurnArchive archive;
  std::array<uint64_t, kMembers> read = {};
  bool away = false;
};
using Members = std::array<Member, kMembers>;

ArchiveTime At(int64_t ms) { return {.uptime_ms = ms, .unix_ms = ms}; }

void Store(Members& members, const ArchiveRecord& record, int64_t now_ms) {
  for (Member& member : members) {
    if (!member.away) member.archive.Apply(record, now_ms);
  }
}

// Reads one page of each other member's digest, as archive_repair.cc does.
size_t Repair(Members& members, size_t reader, int64_t now_ms) {
  constexpr size_t kMaxEntries = 64;
  constexpr size_t kMaxBytes = 10'000;
  Member& to = members[reader];
  size_t records = 0;
  for (size_t i = 0; i < kMembers; ++i) {
    const Member& from = members[i];
    if (i == reader || to.away || from.away) continue;
    const auto digest = from.archive.ReadDigest(to.read[i], kMaxEntries,
                                                now_ms - kSettleMs, At(now_ms));
    std::vector<uint64_t> lacking;
    for (const auto& entry : digest.entries) {
      if (to.archive.Lacks(entry.hash)) lacking.push_back(entry.position);
    }
    const auto page = from.archive.ReadRecords(lacking, kMaxBytes, At(now_ms));
    for (const auto& record : page.records) to.archive.Apply(record, now_ms);
    records += page.records.size();
    if (!page.more) to.read[i] = digest.next;
  }
  return records;
}

std::string TurnId(int number) { return "t" + std::to_string(number); }

TurnRecord TurnOf(int number) {
  return {.turn = TurnId(number),
          .previous = number == 0 ? "" : TurnId(number - 1),
          .team = "quilters",
          .input = "in",
          .output = "out\n",
          .retain_ms = kRetainMs,
          .program = "p",
          .tokens = 7};
}

// A conversation with a turn every 2 s, while one member after the other, in
// this order, is away for 3 s of 10 s. Returns the number of repaired records.
size_t PlayConversation(Members& members,
                        const std::array<size_t, kMembers>& order) {
  constexpr int64_t kLengthMs = 300'000;
  constexpr int64_t kTurnEveryMs = 2'000;
  constexpr int64_t kCycleMs = 10'000;
  constexpr int64_t kAwayMs = 3'000;
  size_t repaired = 0;
  int turns = 0;
  for (int64_t now = 0; now < kLengthMs; now += kStepMs) {
    for (Member& member : members) member.away = false;
    const size_t turn_of = static_cast<size_t>(now / kCycleMs) % kMembers;
    members[order[turn_of]].away = now % kCycleMs < kAwayMs;
    if (now % kTurnEveryMs == 0) Store(members, TurnOf(turns++), now);
    for (size_t i = 0; i < kMembers; ++i) {
      repaired += Repair(members, i, now);
      members[i].archive.RemoveExpired(now);
    }
  }
  const int64_t end = kLengthMs + kSettleMs;
  for (Member& member : members) member.away = false;
  for (size_t i = 0; i < kMembers; ++i) repaired += Repair(members, i, end);
  for (Member& member : members) {
    const auto history =
        member.archive.HistoryOf(TurnId(turns - 1), "quilters");
    CHECK(history.missing.empty());
    CHECK(history.turns.size() == static_cast<size_t>(turns));
    CHECK(member.archive.ReservationsOf("p").size() ==
          static_cast<size_t>(turns));
    CHECK_FALSE(member.archive.HasGaps());
  }
  return repaired;
}

}  // namespace

// Each member lacked other turns for good, so none kept the beginning of the
// chain, and the conversation was refused.
TEST_CASE("a conversation outlives members that are away in turn") {
  std::array<size_t, kMembers> order = {0, 1, 2};
  do {
    Members members;
    CHECK(PlayConversation(members, order) > 0);
    for (Member& member : members) {
      member.archive.RemoveExpired(300'000 + kRetainMs + kSlackMs + 2'000);
      CHECK(member.archive.turns() == 0);
    }
  } while (std::next_permutation(order.begin(), order.end()));
}

// Repair handed expired records from member to member.
TEST_CASE("what has expired is not repaired for ever") {
  Members members;
  members[0].away = true;
  for (int i = 0; i < 20; ++i) Store(members, TurnOf(i), 0);
  members[0].away = false;
  size_t repaired = 0;
  for (int64_t now = 0; now < 600'000; now += kStepMs) {
    for (size_t i = 0; i < kMembers; ++i) {
      repaired += Repair(members, i, now);
      members[i].archive.RemoveExpired(now);
    }
  }
  constexpr size_t kTurnsAndReservations = 40;
  CHECK(repaired <= kTurnsAndReservations);
  for (Member& member : members) {
    CHECK(member.archive.turns() == 0);
    CHECK(member.archive.programs() == 0);
    CHECK(member.archive.bytes() == 0);
  }
}

// All members come to the same reservations, whoever missed which state.
TEST_CASE("reservations converge in their last state") {
  std::mt19937 random(5);
  Members members;
  int64_t now = 0;
  for (int i = 0; i < 200; ++i, now += kStepMs) {
    for (Member& member : members) member.away = false;
    members[random() % kMembers].away = true;
    const std::string turn = TurnId(static_cast<int>(random() % 40));
    const bool settled = random() % 2 == 0;
    Store(members,
          TokenReservation{.program = "p",
                           .turn = turn,
                           .tokens = settled ? 9U : 60U,
                           .settled = settled},
          now);
    for (size_t member = 0; member < kMembers; ++member)
      Repair(members, member, now);
  }
  for (Member& member : members) member.away = false;
  for (int round = 0; round < 3; ++round) {
    now += kSettleMs;
    for (size_t member = 0; member < kMembers; ++member)
      Repair(members, member, now);
  }
  const auto sorted = [](const TurnArchive& archive) {
    std::vector<std::string> states;
    for (const auto& held : archive.ReservationsOf("p"))
      states.push_back(held.turn + (held.settled ? " settled" : " open"));
    std::sort(states.begin(), states.end());
    return states;
  };
  CHECK(sorted(members[0].archive) == sorted(members[1].archive));
  CHECK(sorted(members[0].archive) == sorted(members[2].archive));
}
