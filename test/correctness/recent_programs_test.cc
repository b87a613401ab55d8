// Programs that are remembered and told to the peers, beside a client that
// names a new one in each request.
#include "src/recent_programs.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "src/name_hash.h"

namespace pimento {
namespace {

constexpr int kMadeUp = 50'000;

std::string MadeUp(int number) { return "made-up-" + std::to_string(number); }

// Whether one of the next `messages` names the program.
bool IsTold(RecentPrograms& programs, const std::string& program,
            int messages) {
  for (int i = 0; i < messages; ++i) {
    const auto batch = programs.NextGossipBatch();
    if (std::find(batch.begin(), batch.end(), HashName(program)) != batch.end())
      return true;
  }
  return false;
}

}  // namespace

TEST_CASE("recent programs: those under way are known beside made-up ones") {
  RecentPrograms programs({.max_programs = 1'000});
  programs.OnAdmitted("ordinary", "quilters", 0);
  programs.OnAdmitted("ordinary", "quilters", 10);
  for (int i = 0; i < kMadeUp; ++i) programs.OnAdmitted(MadeUp(i), "crowd", 20);
  CHECK(programs.size() == 1'000);
  CHECK(programs.forgotten() > 0);
  CHECK(programs.Contains("ordinary"));
  // One that begins now is known from then on.
  programs.OnAdmitted("new", "quilters", 30);
  CHECK(programs.Contains("new"));
  programs.OnPeerAdmitted(HashName("of-a-peer"), 30);
  CHECK(programs.Contains("of-a-peer"));
}

TEST_CASE("recent programs: the one that was quiet longest goes first") {
  RecentPrograms programs({.max_programs = 2});
  for (const char* name : {"a", "b"}) {
    programs.OnAdmitted(name, "", 0);
    programs.OnAdmitted(name, "", 1);
  }
  programs.OnAdmitted("a", "", 2);
  programs.OnAdmitted("c", "", 3);
  CHECK(!programs.Contains("b"));
  CHECK(programs.Contains("a"));
  programs.OnAdmitted("d", "", 4);
  CHECK(!programs.Contains("c"));
  CHECK(programs.Contains("a"));
}

TEST_CASE("recent programs: peers hear soon of another team's program") {
  RecentPrograms programs;
  for (int i = 0; i < kMadeUp; ++i) programs.OnAdmitted(MadeUp(i), "crowd", 0);
  programs.OnAdmitted("ordinary", "quilters", 1);
  CHECK(programs.pending_gossip() <= 2'048);
  CHECK(programs.gossip_dropped() > 0);
  CHECK(IsTold(programs, "ordinary", 1));
  CHECK(IsTold(programs, "ordinary", 1));
  CHECK(IsTold(programs, "ordinary", 1));
  CHECK(!IsTold(programs, "ordinary", 100));
}

TEST_CASE("recent programs: peers hear soon of a program that goes on") {
  RecentPrograms programs;
  programs.OnAdmitted("ordinary", "quilters", 0);
  for (int i = 0; i < kMadeUp; ++i)
    programs.OnAdmitted(MadeUp(i), "quilters", 1);
  programs.OnAdmitted("ordinary", "quilters", 2);
  CHECK(IsTold(programs, "ordinary", 1));
}

TEST_CASE("recent programs: each is told three times, once a message") {
  RecentPrograms programs;
  programs.OnAdmitted("a", "quilters", 0);
  programs.OnAdmitted("b", "skips", 0);
  for (int i = 0; i < 3; ++i) {
    const auto batch = programs.NextGossipBatch();
    CHECK(batch.size() == 2);
  }
  CHECK(programs.NextGossipBatch().empty());
  CHECK(programs.pending_gossip() == 0);
}

TEST_CASE("recent programs: nothing is left when all are quiet") {
  RecentPrograms programs;
  for (int i = 0; i < 1'000; ++i) {
    programs.OnAdmitted(MadeUp(i), "crowd", i);
    programs.OnAdmitted(MadeUp(i / 2), "crowd", i);
    programs.OnPeerAdmitted(HashName("peer" + std::to_string(i)), i);
  }
  programs.Sweep(10'000);
  CHECK(programs.size() > 0);
  programs.Sweep(100'000);
  CHECK(programs.size() == 0);
  while (!programs.NextGossipBatch().empty()) {
  }
  CHECK(programs.pending_gossip() == 0);
}

}  // namespace pimento
