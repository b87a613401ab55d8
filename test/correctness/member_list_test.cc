// Quorums of the archive's member list, and planned changes of the list.
#include "src/member_list.h"

#include <doctest/doctest.h>

namespace {

using namespace pimento;

ArchiveMember Member(uint64_t id) {
  return {.id = id,
          .host = "h" + std::to_string(id),
          .zone = "z" + std::to_string(id),
          .address = "10.0.0." + std::to_string(id) + ":7780"};
}

MemberList ListOf(std::vector<uint64_t> members,
                  std::vector<uint64_t> next = {}) {
  MemberList list{.version = 4};
  for (const uint64_t id : members) list.members.push_back(Member(id));
  for (const uint64_t id : next) list.next.push_back(Member(id));
  return list;
}

MembershipInput Input(MemberList list, uint64_t self,
                      std::vector<uint64_t> hosts) {
  MembershipInput input{.list = std::move(list), .self = self};
  for (const uint64_t id : hosts) input.peers.push_back({.member = Member(id)});
  return input;
}

std::vector<uint64_t> Ids(const std::vector<ArchiveMember>& members) {
  std::vector<uint64_t> ids;
  for (const auto& member : members) ids.push_back(member.id);
  return ids;
}

}  // namespace

TEST_CASE("a quorum needs a majority of both lists during a change") {
  CHECK(ListOf({1, 2, 3}).IsQuorum({1, 3}));
  CHECK_FALSE(ListOf({1, 2, 3}).IsQuorum({1}));
  const auto changing = ListOf({1, 2, 3}, {1, 2, 4});
  CHECK(changing.IsQuorum({1, 2}));
  CHECK_FALSE(changing.IsQuorum({1, 3}));
  CHECK_FALSE(changing.IsQuorum({1, 4}));
  CHECK(changing.IsQuorum({1, 3, 4}));
  CHECK_FALSE(ListOf({}).IsQuorum({}));
  CHECK_FALSE(ListOf({1, 2}).IsQuorum({1}));
}

TEST_CASE("quorums before, during and after a change intersect") {
  // For each pair of consecutive lists, every quorum of one shares a member
  // with every quorum of the other.
  const std::vector<MemberList> lists = {
      ListOf({1, 2, 3}), ListOf({1, 2, 3}, {1, 2, 4}), ListOf({1, 2, 4})};
  for (size_t i = 0; i + 1 < lists.size(); ++i) {
    for (unsigned a = 0; a < 16; ++a) {
      for (unsigned b = 0; b < 16; ++b) {
        std::set<uint64_t> first;
        std::set<uint64_t> second;
        for (unsigned bit = 0; bit < 4; ++bit) {
          if ((a & 1U << bit) != 0) first.insert(bit + 1);
          if ((b & 1U << bit) != 0) second.insert(bit + 1);
        }
        if (!lists[i].IsQuorum(first) || !lists[i + 1].IsQuorum(second))
          continue;
        CAPTURE(a);
        CAPTURE(b);
        CHECK((a & b) != 0);
      }
    }
  }
}

TEST_CASE("a member list round-trips through its encoding") {
  const auto list = ListOf({1, 2, 3}, {2, 3});
  const auto back = DecodeMemberList(EncodeMemberList(list));
  CHECK(back.version == list.version);
  CHECK(Ids(back.members) == Ids(list.members));
  CHECK(Ids(back.next) == Ids(list.next));
  CHECK(back.members[0].address == list.members[0].address);
  CHECK_THROWS(DecodeMemberList("{\"version\":1}"));
}

TEST_CASE("a host that lost its disk replaces its former member") {
  auto input = Input(ListOf({1, 2, 3}), 9, {1, 2});
  ArchiveMember emptied = Member(9);
  emptied.host = "h3";
  input.peers.push_back({.member = emptied});
  const auto plan = PlanMembership(input);
  REQUIRE(plan);
  CHECK(plan->version == 5);
  CHECK(Ids(plan->members) == std::vector<uint64_t>{1, 2, 3});
  CHECK(Ids(plan->next) == std::vector<uint64_t>{1, 2, 9});
}

TEST_CASE("a new host replaces a silent member only after the timeout") {
  auto input = Input(ListOf({1, 2, 3}), 4, {1, 2, 3, 4});
  CHECK_FALSE(PlanMembership(input));
  input.peers[1].silent_ms = input.replace_after_ms - 1;
  CHECK_FALSE(PlanMembership(input));
  input.peers[1].silent_ms = input.replace_after_ms;
  const auto plan = PlanMembership(input);
  REQUIRE(plan);
  CHECK(Ids(plan->next) == std::vector<uint64_t>{1, 3, 4});
}

TEST_CASE("a retiring member is replaced by a spare host, else removed") {
  auto with_spare = Input(ListOf({1, 2, 3}), 1, {1, 2, 3, 4});
  with_spare.peers[2].retiring = true;
  CHECK_FALSE(PlanMembership(with_spare));
  with_spare.self = 4;
  REQUIRE(PlanMembership(with_spare));
  CHECK(Ids(PlanMembership(with_spare)->next) ==
        std::vector<uint64_t>{1, 2, 4});

  auto alone = Input(ListOf({1, 2, 3}), 1, {1, 2, 3});
  alone.peers[2].retiring = true;
  REQUIRE(PlanMembership(alone));
  CHECK(Ids(PlanMembership(alone)->next) == std::vector<uint64_t>{1, 2});

  auto two = Input(ListOf({1, 2}), 1, {1, 2});
  two.peers[1].retiring = true;
  CHECK_FALSE(PlanMembership(two));
}

TEST_CASE("a change is aborted when the member it adds goes silent") {
  auto input = Input(ListOf({1, 2, 3}, {1, 2, 4}), 1, {1, 2, 3, 4});
  CHECK_FALSE(PlanMembership(input));
  input.peers[3].silent_ms = input.replace_after_ms;
  const auto plan = PlanMembership(input);
  REQUIRE(plan);
  CHECK(Ids(plan->members) == std::vector<uint64_t>{1, 2, 3});
  CHECK(plan->next.empty());
  CHECK(plan->version == 5);
}

// Two lost disks took two changes, one after the other (review/7, LOST).
TEST_CASE("all lost members are replaced in one change") {
  auto input = Input(ListOf({1, 2, 3, 4, 5}), 6, {1, 2, 3, 4, 5, 6, 7, 8});
  input.wanted = 5;
  CHECK_FALSE(PlanMembership(input));
  input.peers[0].silent_ms = input.replace_after_ms;
  input.peers[3].silent_ms = input.replace_after_ms;
  const auto plan = PlanMembership(input);
  REQUIRE(plan);
  CHECK(Ids(plan->members) == std::vector<uint64_t>{1, 2, 3, 4, 5});
  CHECK(Ids(plan->next) == std::vector<uint64_t>{2, 3, 5, 6, 7});
  // Another spare proposes the same.
  input.self = 8;
  REQUIRE(PlanMembership(input));
  CHECK(Ids(PlanMembership(input)->next) == Ids(plan->next));
  // As far as there are hosts; one that hears of no list does not count.
  input.peers[5].store_overdue_ms = input.replace_after_ms;
  input.peers[6].retiring = true;
  REQUIRE(PlanMembership(input));
  CHECK(Ids(PlanMembership(input)->next) ==
        std::vector<uint64_t>{2, 3, 4, 5, 8});
}

// All lose power, two of them their disks: those that are back with theirs are
// not copied.
TEST_CASE("no more than a minority is replaced in one change") {
  auto input = Input(ListOf({1, 2, 3, 4, 5}), 6, {1, 2, 3, 4, 5, 6, 7, 8, 9});
  input.wanted = 5;
  for (size_t i = 0; i < 5; ++i)
    input.peers[i].silent_ms = input.replace_after_ms;
  auto plan = PlanMembership(input);
  REQUIRE(plan);
  CHECK(Ids(plan->next) == std::vector<uint64_t>{3, 4, 5, 6, 7});
  // Back are 1 to 3, and the hosts of 4 and 5 with empty disks.
  for (size_t i = 0; i < 5; ++i) {
    input.peers[i].silent_ms = 0;
    if (i >= 3) input.peers[i].member.id += 10;
  }
  input.list = *plan;
  plan = PlanMembership(input);
  REQUIRE(plan);
  CHECK(Ids(plan->next) == std::vector<uint64_t>{1, 2, 3, 6, 7});
}

TEST_CASE("lost members are replaced before one that retires") {
  auto input = Input(ListOf({1, 2, 3}), 4, {1, 2, 3, 4});
  input.peers[0].retiring = true;
  input.peers[2].silent_ms = input.replace_after_ms;
  REQUIRE(PlanMembership(input));
  CHECK(Ids(PlanMembership(input)->next) == std::vector<uint64_t>{1, 2, 4});
}

TEST_CASE("hosts are taken from the zones with the fewest members") {
  auto input = Input(ListOf({1, 2, 3, 4, 5}), 6, {1, 2, 3, 4, 5, 6, 7, 8, 9});
  input.wanted = 5;
  const std::vector<std::string> zones = {"a", "b", "c", "a", "b",
                                          "b", "b", "c", "a"};
  for (size_t i = 0; i < zones.size(); ++i)
    input.peers[i].member.zone = zones[i];
  for (size_t i = 0; i < input.list.members.size(); ++i)
    input.list.members[i].zone = zones[i];
  // The members of zone a are lost: none is left there, and one in zone c.
  input.peers[0].silent_ms = input.replace_after_ms;
  input.peers[3].silent_ms = input.replace_after_ms;
  REQUIRE(PlanMembership(input));
  CHECK(Ids(PlanMembership(input)->next) ==
        std::vector<uint64_t>{2, 3, 5, 9, 8});
}

TEST_CASE("a change goes on with another host in place of one that is gone") {
  auto input =
      Input(ListOf({1, 2, 3, 4, 5}, {1, 2, 3, 6, 7}), 1, {1, 2, 3, 6, 7, 8});
  input.wanted = 5;
  CHECK_FALSE(PlanMembership(input));
  input.peers[3].silent_ms = input.replace_after_ms;
  for (const uint64_t lost : {4U, 5U}) {
    ArchiveMember emptied = Member(10 + lost);
    emptied.host = "h" + std::to_string(lost);
    input.peers.push_back({.member = emptied, .retiring = true});
  }
  const auto plan = PlanMembership(input);
  REQUIRE(plan);
  CHECK(Ids(plan->members) == std::vector<uint64_t>{1, 2, 3, 4, 5});
  // 7 stays, with what it has copied.
  CHECK(Ids(plan->next) == std::vector<uint64_t>{1, 2, 3, 7, 8});
}

TEST_CASE("a member that is lost during a change is replaced in it") {
  auto input =
      Input(ListOf({1, 2, 3, 4, 5}, {1, 2, 3, 4, 6}), 6, {1, 2, 3, 4, 5, 6, 7});
  input.wanted = 5;
  input.peers[4].silent_ms = input.replace_after_ms;
  CHECK_FALSE(PlanMembership(input));
  input.peers[3].silent_ms = input.replace_after_ms;
  REQUIRE(PlanMembership(input));
  CHECK(Ids(PlanMembership(input)->next) ==
        std::vector<uint64_t>{1, 2, 3, 6, 7});
  // Without a host for it the change goes on as it is.
  input.peers.pop_back();
  CHECK_FALSE(PlanMembership(input));
}

// The change stayed for ever, and no quorum was left (review/6, LOST).
TEST_CASE("a removal is aborted when a member that stays is lost") {
  auto input = Input(ListOf({1, 2, 3}, {1, 2}), 1, {1, 2, 3});
  input.peers[2].retiring = true;
  CHECK_FALSE(PlanMembership(input));
  input.peers[1].silent_ms = input.replace_after_ms;
  REQUIRE(PlanMembership(input));
  CHECK(PlanMembership(input)->next.empty());
  // No removal is proposed while it is away.
  input.list = ListOf({1, 2, 3});
  CHECK_FALSE(PlanMembership(input));
  // Its host is back with an empty disk.
  input.list = ListOf({1, 2, 3}, {1, 2});
  input.peers[1] = {.member = Member(9)};
  input.peers[1].member.host = "h2";
  REQUIRE(PlanMembership(input));
  CHECK(Ids(PlanMembership(input)->next) == std::vector<uint64_t>{1, 3, 9});
  // Another that retires does not undo the removal.
  input = Input(ListOf({1, 2, 3, 4}, {1, 2, 3}), 1, {1, 2, 3, 4});
  input.peers[3].retiring = true;
  input.peers[2].retiring = true;
  CHECK_FALSE(PlanMembership(input));
}

TEST_CASE("quorums intersect through a change that goes on elsewhere") {
  const std::vector<MemberList> lists = {
      ListOf({1, 2, 3, 4, 5}), ListOf({1, 2, 3, 4, 5}, {1, 2, 3, 6, 7}),
      ListOf({1, 2, 3, 4, 5}, {1, 2, 3, 7, 8}), ListOf({1, 2, 3, 7, 8})};
  for (size_t i = 0; i + 1 < lists.size(); ++i) {
    for (unsigned a = 0; a < 256; ++a) {
      for (unsigned b = 0; b < 256; ++b) {
        std::set<uint64_t> first;
        std::set<uint64_t> second;
        for (unsigned bit = 0; bit < 8; ++bit) {
          if ((a & 1U << bit) != 0) first.insert(bit + 1);
          if ((b & 1U << bit) != 0) second.insert(bit + 1);
        }
        if (!lists[i].IsQuorum(first) || !lists[i + 1].IsQuorum(second))
          continue;
        CAPTURE(a);
        CAPTURE(b);
        CHECK((a & b) != 0);
      }
    }
  }
}

TEST_CASE("a host joins a list that has fewer members than wanted") {
  const auto plan = PlanMembership(Input(ListOf({1, 2}), 3, {1, 2, 3}));
  REQUIRE(plan);
  CHECK(Ids(plan->next) == std::vector<uint64_t>{1, 2, 3});
  CHECK_FALSE(PlanMembership(Input(ListOf({}), 3, {1, 2, 3})));
}

TEST_CASE("every read quorum intersects every quorum") {
  // Any quorum and any read quorum of the same list share a member.
  for (const std::vector<uint64_t>& ids : std::vector<std::vector<uint64_t>>{
           {1}, {1, 2}, {1, 2, 3}, {1, 2, 3, 4}, {1, 2, 3, 4, 5}}) {
    const auto list = ListOf(ids);
    for (unsigned a = 0; a < 32; ++a) {
      for (unsigned b = 0; b < 32; ++b) {
        std::set<uint64_t> written;
        std::set<uint64_t> read;
        for (unsigned bit = 0; bit < ids.size(); ++bit) {
          if ((a & 1U << bit) != 0) written.insert(bit + 1);
          if ((b & 1U << bit) != 0) read.insert(bit + 1);
        }
        if (!list.IsQuorum(written) || !list.IsReadQuorum(read)) continue;
        CHECK((a & b) != 0);
      }
    }
  }
  // With two members, a quorum is both of them, so either one can be read from.
  CHECK(ListOf({1, 2}).IsReadQuorum({2}));
  CHECK_FALSE(ListOf({1, 2, 3}).IsReadQuorum({2}));
  CHECK_FALSE(ListOf({}).IsReadQuorum({}));
}
