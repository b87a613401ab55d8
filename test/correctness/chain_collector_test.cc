// Histories that are spread over several archive members.
#include "src/chain_collector.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace {

using namespace pimento;

struct Fixture {
  MemberList list;
  std::map<uint64_t, TurnArchive> held;
  std::set<uint64_t> unresponsive;
  std::set<uint64_t> not_intact;

  Fixture() {
    for (const uint64_t id : {1, 2, 3}) list.members.push_back({.id = id});
  }
  void Store(const std::string& turn, const std::string& previous,
             const std::vector<uint64_t>& members) {
    for (const uint64_t id : members)
      held[id].Apply(TurnRecord{.turn = turn,
                                .previous = previous,
                                .team = "q",
                                .retain_ms = 60'000},
                     0);
  }
  ChainCollector Collect(std::vector<uint64_t> order) {
    std::vector<ArchiveMember> members;
    for (const uint64_t id : order) members.push_back({.id = id});
    ChainCollector collector(list, members, "3");
    while (const auto member = collector.Next()) {
      if (unresponsive.count(member->id) > 0) continue;
      auto history = held[member->id].HistoryOf(collector.wanted(), "q");
      collector.AddReply(member->id, std::move(history.turns), history.missing,
                         not_intact.count(member->id) == 0);
    }
    return collector;
  }
};

}  // namespace

TEST_CASE("a chain spread over members is collected in any query order") {
  std::vector<uint64_t> order = {1, 2, 3};
  do {
    for (const uint64_t unresponsive : {0, 1, 2, 3}) {
      Fixture fixture;
      fixture.Store("1", "", {1, 3});
      fixture.Store("2", "1", {2, 3});
      fixture.Store("3", "2", {1, 2});
      fixture.unresponsive = {unresponsive};
      auto collector = fixture.Collect(order);
      CAPTURE(order[0]);
      CAPTURE(order[1]);
      CAPTURE(unresponsive);
      REQUIRE(collector.complete());
      const auto turns = std::move(collector).Turns();
      REQUIRE(turns.size() == 3);
      CHECK(turns[0].turn == "1");
      CHECK(turns[2].turn == "3");
    }
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("only a majority of intact members proves a turn absent") {
  Fixture fixture;
  CHECK(fixture.Collect({1, 2, 3}).proven_absent());
  fixture.unresponsive = {2};
  CHECK(fixture.Collect({1, 2, 3}).proven_absent());
  fixture.not_intact = {3};
  CHECK_FALSE(fixture.Collect({1, 2, 3}).proven_absent());
}

// A member of a newer list may have the turn. The change to that list fenced a
// read quorum, whose members reject the reader's older list.
TEST_CASE("members outside a fenced read quorum never prove a turn absent") {
  for (uint64_t size = 1; size <= 5; ++size) {
    Fixture fixture;
    fixture.list.members.clear();
    std::vector<uint64_t> order;
    for (uint64_t id = 1; id <= size; ++id) {
      fixture.list.members.push_back({.id = id});
      order.push_back(id);
    }
    for (unsigned mask = 0; mask < 1U << size; ++mask) {
      std::set<uint64_t> fenced;
      for (const uint64_t id : order)
        if ((mask & 1U << (id - 1)) != 0) fenced.insert(id);
      if (!fixture.list.IsReadQuorum(fenced)) continue;
      CAPTURE(size);
      CAPTURE(mask);
      fixture.unresponsive = fenced;
      CHECK_FALSE(fixture.Collect(order).proven_absent());
    }
    fixture.unresponsive.clear();
    CHECK(fixture.Collect(order).proven_absent());
  }
}

TEST_CASE("during a change a majority of both lists proves a turn absent") {
  Fixture fixture;
  fixture.list.next = {{.id = 1}, {.id = 2}, {.id = 4}};
  CHECK(fixture.Collect({1, 2}).proven_absent());
  // A quorum of the next list, 2 and 4, may have it.
  CHECK_FALSE(fixture.Collect({1, 3}).proven_absent());
  CHECK(fixture.Collect({1, 3, 4}).proven_absent());
}

TEST_CASE("a chain with a gap is neither complete nor proven absent") {
  Fixture fixture;
  fixture.Store("3", "2", {1, 2});
  const auto collector = fixture.Collect({1, 2, 3});
  CHECK_FALSE(collector.complete());
  CHECK_FALSE(collector.proven_absent());
}

// Two members with one half each of a circle were asked in turns without end.
TEST_CASE("a history that leads back to itself over two members is given up") {
  Fixture fixture;
  fixture.Store("3", "2", {1});
  fixture.Store("2", "3", {2});
  const ChainCollector collector = fixture.Collect({1, 2, 3});
  CHECK(collector.circular());
  CHECK_FALSE(collector.complete());
  CHECK_FALSE(collector.proven_absent());
}

TEST_CASE("a turn that names itself is given up and not denied") {
  Fixture fixture;
  fixture.Store("3", "3", {1, 2, 3});
  const ChainCollector collector = fixture.Collect({1, 2, 3});
  CHECK(collector.circular_turn() == "3");
  CHECK_FALSE(collector.proven_absent());
}
