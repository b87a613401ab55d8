// Members of the archive that lose their disks, two at a time, behind links
// that carry so many bytes a second.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "src/archive_journal.h"
#include "test/platform/archive_checks.h"

namespace pimento::testbed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kPrograms = 600;
constexpr int kTurnsOfProgram = 40;
constexpr size_t kInputBytes = 300;
constexpr int64_t kLinkBytesPerS = 4'000'000;
// A lost host is back after this time, as on the users' platform.
constexpr seconds kDown{2};

std::string Archive(int number) { return "archive-" + std::to_string(number); }

bool Eventually(seconds limit, const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return true;
}

TurnRecord TurnOf(int program, int turn) {
  const std::string name = "filled-" + std::to_string(program);
  const auto id = [&name](int number) {
    return name + "-" + std::to_string(number);
  };
  return {.turn = id(turn),
          .previous = turn == 0 ? "" : id(turn - 1),
          .team = kTeam,
          .input = std::string(kInputBytes, 'x'),
          .retain_ms = 120'000,
          .program = name,
          .tokens = 7};
}

// The reservation that is settled with the turn: a record of its own.
TokenReservation ReservationOf(const TurnRecord& turn) {
  return {.program = turn.program,
          .turn = turn.turn,
          .tokens = turn.tokens,
          .settled = true,
          .team = turn.team};
}

// Gives every member the same tens of thousands of records, and returns their
// bytes.
uint64_t FillMembers(PlatformFleet& fleet) {
  const ArchiveTime written{
      .uptime_ms = 1'000,
      .unix_ms = std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()};
  std::vector<std::string> entries;
  uint64_t bytes = 0;
  for (int i = 0; i < kPrograms * kTurnsOfProgram; ++i) {
    const TurnRecord turn = TurnOf(i / kTurnsOfProgram, i % kTurnsOfProgram);
    entries.push_back(EncodeEntry(turn, written));
    bytes += entries.back().size();
    bytes += EncodeEntry(ReservationOf(turn), written).size();
  }
  const int members = fleet.options().archives;
  for (int i = 0; i < members; ++i) fleet.processes().Kill(Archive(i));
  for (int i = 0; i < members; ++i) {
    ArchiveJournal journal(fleet.DataDir(Archive(i)));
    journal.Replay([](const std::string&) {});
    journal.Append(entries);
  }
  for (int i = 0; i < members; ++i) fleet.StartHost(Archive(i), false);
  return bytes;
}

void LoseDisks(PlatformFleet& fleet, const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) fleet.processes().Kill(host);
  for (const std::string& host : hosts) fleet.WipeDisk(host);
  std::this_thread::sleep_for(kDown);
  for (const std::string& host : hosts) fleet.StartHost(host, false);
}

// Whether the list is settled, has as many members as at the start, and none of
// `lost`.
bool IsWhole(PlatformFleet& fleet, const std::set<uint64_t>& lost) {
  const MemberList list = StoredMembers(fleet);
  for (const uint64_t id : lost) {
    if (list.Contains(id)) return false;
  }
  return list.next.empty() &&
         list.members.size() == static_cast<size_t>(fleet.options().archives);
}

uint64_t BytesOver(const Links& links) {
  uint64_t bytes = 0;
  for (const auto& [host, link] : links) bytes += link->bytes_from_target();
  return bytes;
}

// Ids of the members on these hosts.
std::set<uint64_t> IdsOn(const MemberList& list,
                         const std::vector<std::string>& hosts) {
  std::set<uint64_t> ids;
  for (const ArchiveMember& member : list.members) {
    for (const std::string& host : hosts) {
      if (member.host == host) ids.insert(member.id);
    }
  }
  return ids;
}

// A fleet whose members hold many records, behind links with a rate.
struct FilledFleet {
  FilledFleet(const std::string& dir, int archives, int64_t tolerated_losses,
              int spares)
      : fleet("build/bin", "build/platform/" + dir,
              {.gateways = 1,
               .archives = archives,
               .plain_upstreams = 0,
               .tolerated_losses = tolerated_losses}) {
    REQUIRE(conversation.GoOn());
    record_bytes = FillMembers(fleet);
    REQUIRE(conversation.GoOn());
    links = PutLinks(fleet);
    for (const auto& [host, link] : links) link->SetRate(kLinkBytesPerS);
    for (int i = 0; i < spares; ++i) {
      const std::string spare = Archive(archives + i);
      fleet.StartHost(spare, false);
      REQUIRE(Eventually(seconds(10), [&] {
        return !fleet.Object("pimento-archives", spare).empty();
      }));
    }
    REQUIRE(conversation.GoOn());
  }
  // Of what the members hold.
  uint64_t record_bytes = 0;
  PlatformFleet fleet;
  Conversation conversation{fleet, "kept"};
  Links links;
};

struct Recovery {
  // Versions of the member list until all members were whole.
  uint64_t versions = 0;
  // Over the links of the members meanwhile.
  uint64_t bytes = 0;
};

// The first `count` members lose their disks, `meanwhile` runs once the list
// has a change in progress, and all is waited for until it is whole.
Recovery LoseMembers(
    FilledFleet& filled, size_t count,
    const std::function<void(const MemberList&)>& meanwhile = {}) {
  constexpr seconds kLimit{30};
  PlatformFleet& fleet = filled.fleet;
  const MemberList before = StoredMembers(fleet);
  std::vector<std::string> hosts;
  for (size_t i = 0; i < count; ++i) hosts.push_back(before.members[i].host);
  const std::set<uint64_t> lost = IdsOn(before, hosts);
  const uint64_t bytes_before = BytesOver(filled.links);
  LoseDisks(fleet, hosts);
  if (meanwhile) {
    MemberList changing;
    REQUIRE(Eventually(kLimit, [&] {
      changing = StoredMembers(fleet);
      return !changing.next.empty();
    }));
    meanwhile(changing);
  }
  CHECK(Eventually(kLimit, [&] { return IsWhole(fleet, lost); }));
  const Recovery recovery{
      .versions = StoredMembers(fleet).version - before.version,
      .bytes = BytesOver(filled.links) - bytes_before};
  MESSAGE("versions " << recovery.versions << ", bytes " << recovery.bytes
                      << " for " << filled.record_bytes << " of records");
  return recovery;
}

// Every turn that was answered whole can be continued.
void CheckKept(FilledFleet& filled) {
  const std::vector<std::string> kept = filled.conversation.turns();
  for (const std::string& turn : kept) {
    CAPTURE(turn);
    CHECK(filled.conversation.Continue(turn) != "");
  }
}

}  // namespace

// Two lost disks were copied one after the other, each from every member whole,
// and two more within seconds ended the quorum for good (review/7, LOST).
TEST_CASE("two lost disks are whole again in one change, each record once") {
  FilledFleet filled("lost_disks", 5, 2, 2);
  const Recovery first = LoseMembers(filled, 2);
  // One change takes two updates of the list; a third one takes in a host that
  // was found lost a moment later than the other.
  CHECK(first.versions <= 3);
  // Each record once for each of the two, and half as much for digests, calls
  // of gateways, and all else.
  CHECK(first.bytes <= 3 * filled.record_bytes);
  CHECK(filled.conversation.GoOn());
  // The next pair: of the three that were left, two are gone now.
  LoseMembers(filled, 2);
  CheckKept(filled);
}

// A change that lost a host that joins was given up, and a copy whose source
// ended began again from nothing.
TEST_CASE("a copy goes on after a source and a host that joins have ended") {
  FilledFleet filled("lost_copier", 5, 2, 3);
  PlatformFleet& fleet = filled.fleet;
  const Recovery recovery =
      LoseMembers(filled, 2, [&](const MemberList& changing) {
        // Half way.
        const uint64_t began = BytesOver(filled.links);
        Eventually(seconds(10), [&] {
          return BytesOver(filled.links) > began + filled.record_bytes;
        });
        const std::string source = changing.members[4].host;
        fleet.processes().Kill(source);
        fleet.StartHost(source, false);
        fleet.processes().Kill(changing.next[4].host);
      });
  // Three hosts copy, one of them a part.
  CHECK(recovery.bytes <= 4 * filled.record_bytes);
  CheckKept(filled);
}

// Without a spare the host that lost its disk copies once it is back.
TEST_CASE("one lost disk of three is whole again, each record once") {
  FilledFleet filled("lost_disk_of_three", 3, 1, 0);
  for (int round = 0; round < 2; ++round) {
    const Recovery recovery = LoseMembers(filled, 1);
    CHECK(recovery.versions <= 2);
    CHECK(recovery.bytes * 2 <= 3 * filled.record_bytes);
    CHECK(filled.conversation.GoOn());
  }
  CheckKept(filled);
}

}  // namespace pimento::testbed
