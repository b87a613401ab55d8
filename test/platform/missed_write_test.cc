// Members of the archive that miss writes: stopped, killed, frozen, cut off or
// slow, one after the other, in every order.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "test/platform/archive_checks.h"

namespace pimento::testbed {
namespace {

using std::chrono::milliseconds;

constexpr int kArchives = 3;
// bounds.catch_up_s: a member that is back counts again after this time.
constexpr int64_t kCatchUpMs = 4'500;
constexpr int64_t kAwayMs = 700;
constexpr const char* kProgram = "conversation";

std::string Archive(size_t number) {
  return "archive-" + std::to_string(number);
}

// The reservations of the program as one archive holds them.
std::set<std::string> ReservationsOn(PlatformFleet& fleet, size_t archive) {
  const auto reply = Ask(fleet, Archive(archive), CollectCall{kProgram});
  std::set<std::string> states;
  if (!reply) return states;
  for (const TokenReservation& held : reply->reservations)
    states.insert(held.turn + (held.settled ? " used " : " may use ") +
                  std::to_string(held.tokens));
  return states;
}

// What an archive lacks of the turns; empty when it holds them all.
std::string LackingOn(PlatformFleet& fleet, size_t archive,
                      const std::vector<std::string>& turns) {
  const auto reply =
      Ask(fleet, Archive(archive), HistoryCall{turns.back(), kTeam});
  if (!reply) return "no answer";
  if (!reply->missing.empty()) return reply->missing;
  if (reply->turns.size() != turns.size()) return "some";
  return ReservationsOn(fleet, archive).size() < turns.size() ? "reservations"
                                                              : "";
}

// One way to be away.
struct Absence {
  const char* name;
  std::function<void(const std::string& host)> begin;
  std::function<void(const std::string& host)> end;
};

std::vector<Absence> Absences(PlatformFleet& fleet, Links& links) {
  const auto start = [&](const std::string& host) {
    fleet.StartHost(host, false);
  };
  const auto link = [&](LinkFault fault) {
    return [&links, fault](const std::string& host) {
      links.at(host)->SetFault(fault);
    };
  };
  return {
      {"stop",
       [&](const std::string& host) {
         fleet.processes().Terminate(host, 5'000);
       },
       start},
      {"kill", [&](const std::string& host) { fleet.processes().Kill(host); },
       start},
      {"freeze",
       [&](const std::string& host) { fleet.processes().Freeze(host); },
       [&](const std::string& host) { fleet.processes().Thaw(host); }},
      {"cut", link(LinkFault::kSilent), link(LinkFault::kNone)},
      {"slow", link(LinkFault::kDelayed), link(LinkFault::kNone)}};
}

// Waits until every archive holds the whole conversation.
void CheckCaughtUp(PlatformFleet& fleet, const std::vector<std::string>& turns,
                   int64_t limit_ms) {
  const auto until = std::chrono::steady_clock::now() + milliseconds(limit_ms);
  std::array<std::string, kArchives> lacking;
  bool all = false;
  while (!all) {
    const bool last = std::chrono::steady_clock::now() >= until;
    all = true;
    for (size_t i = 0; i < kArchives; ++i) {
      lacking[i] = LackingOn(fleet, i, turns);
      all = all && lacking[i].empty();
    }
    if (last) break;
    std::this_thread::sleep_for(milliseconds(50));
  }
  for (size_t i = 0; i < kArchives; ++i) {
    CAPTURE(i);
    CHECK(lacking[i] == "");
  }
}

}  // namespace

// A member that missed a write stayed without it for good, and a conversation
// lost its beginning once each member had been away (review/8, LOST).
TEST_CASE("a member that missed a write gets it once it is back") {
  PlatformFleet fleet(
      "build/bin", "build/platform/missed_write",
      {.gateways = 1, .archives = kArchives, .plain_upstreams = 0});
  Conversation conversation(fleet, kProgram);
  REQUIRE(conversation.GoOn());
  Links links = PutLinks(fleet);
  const std::vector<Absence> absences = Absences(fleet, links);
  std::array<size_t, kArchives> order = {0, 1, 2};
  size_t next = 0;
  do {
    for (const size_t archive : order) {
      const Absence& absence = absences[next++ % absences.size()];
      CAPTURE(absence.name);
      CAPTURE(archive);
      absence.begin(Archive(archive));
      CHECK(conversation.GoOn());
      std::this_thread::sleep_for(milliseconds(kAwayMs));
      CHECK(conversation.GoOn());
      absence.end(Archive(archive));
      CheckCaughtUp(fleet, conversation.turns(), kCatchUpMs);
    }
  } while (std::next_permutation(order.begin(), order.end()));
  for (size_t i = 1; i < kArchives; ++i)
    CHECK(ReservationsOn(fleet, i) == ReservationsOn(fleet, 0));
}

// What two of three held was gone with one of the two disks, but for one copy.
TEST_CASE("a write that a member missed outlives the disks of the others") {
  PlatformFleet fleet(
      "build/bin", "build/platform/missed_write_disks",
      {.gateways = 1, .archives = kArchives, .plain_upstreams = 0});
  Conversation conversation(fleet, kProgram);
  REQUIRE(conversation.GoOn());
  fleet.processes().Kill("archive-0");
  REQUIRE(conversation.GoOn());
  fleet.StartHost("archive-0", false);
  CheckCaughtUp(fleet, conversation.turns(), kCatchUpMs);
  // Both that had stored it are gone: the one that had missed it has it.
  fleet.processes().Kill("archive-1");
  fleet.processes().Kill("archive-2");
  CHECK(LackingOn(fleet, 0, conversation.turns()) == "");
}

}  // namespace pimento::testbed
