// Model checks the shard protocol: every interleaving of small histories, and
// random walks through larger ones. Each mutant, a fault inserted on purpose,
// must be detected.
//
//   PIMENTO_SEED=7 test_fuzz -tc="random walks*"     replays one seed
#include <doctest/doctest.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <random>
#include <string>
#include <unordered_set>

#include "test/fuzz/shard_model.h"

namespace pimento::model {
namespace {

// What a checked history consists of: the events that it may contain and the
// number of hosts.
struct Setup {
  const char* name;
  Budget budget;
  int hosts;
};

// Small enough for an exhaustive search.
const Setup kSetups[] = {
    {"one platform claim", {.platform_claims = 1, .appends = 2}, 3},
    {"one standby claim", {.standby_claims = 1, .appends = 2}, 3},
    {"one consent", {.consents = 1, .appends = 2}, 3},
    {"crash and claim", {.platform_claims = 1, .crashes = 1, .appends = 1}, 3},
    {"standby and platform",
     {.platform_claims = 1, .standby_claims = 1, .appends = 1},
     3},
    {"replace and standby",
     {.standby_claims = 1, .replacements = 1, .appends = 1},
     4},
};

constexpr size_t kMaxStates = 250'000;

struct SearchResult {
  // The violated invariant, or empty.
  std::string violation;
  // Number of distinct states seen.
  size_t states = 0;
  // False when the search stopped at the limit.
  bool complete = true;
};

// Searches breadth first, up to `max_states` states.
SearchResult Search(const Setup& setup, Mutant mutant, size_t max_states) {
  SearchResult found;
  std::unordered_set<uint64_t> seen;
  std::deque<Model> frontier;
  frontier.emplace_back(mutant, setup.budget, setup.hosts);
  while (!frontier.empty()) {
    const Model state = std::move(frontier.front());
    frontier.pop_front();
    for (size_t i = 0; i < state.ChoiceCount(); ++i) {
      Model next = state;
      found.violation = next.Apply(i);
      if (!found.violation.empty()) return found;
      const std::string fingerprint = next.Fingerprint();
      if (!seen.insert(XXH3_64bits(fingerprint.data(), fingerprint.size()))
               .second)
        continue;
      if (seen.size() > max_states) {
        found.complete = false;
        found.states = seen.size();
        return found;
      }
      frontier.push_back(std::move(next));
    }
  }
  found.states = seen.size();
  return found;
}

// Runs one random history of up to `steps` events. Returns the violated
// invariant with the history that led to it, or "".
std::string RandomWalk(const Setup& setup, Mutant mutant, uint64_t seed,
                       int steps) {
  std::mt19937_64 random(seed);
  Model model(mutant, setup.budget, setup.hosts);
  std::string history;
  for (int i = 0; i < steps && model.ChoiceCount() > 0; ++i) {
    const size_t choice = random() % model.ChoiceCount();
    history += model.Describe(choice) + "\n";
    const std::string violation = model.Apply(choice);
    if (!violation.empty()) return violation + " after\n" + history;
  }
  return "";
}

const Setup kLarge = {"everything",
                      {.platform_claims = 2,
                       .standby_claims = 2,
                       .consents = 1,
                       .replacements = 2,
                       .crashes = 1,
                       .appends = 4},
                      5};

uint64_t FirstSeed() {
  const char* seed = std::getenv("PIMENTO_SEED");
  return seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10);
}

int WalkCount(int default_count) {
  return std::getenv("PIMENTO_SEED") == nullptr ? default_count : 1;
}

// Uses random walks, which detect each mutant far sooner than a breadth-first
// search.
bool IsDetected(Mutant mutant) {
  for (uint64_t seed = 1; seed <= 20'000; ++seed) {
    if (!RandomWalk(kLarge, mutant, seed, 150).empty()) return true;
    for (const Setup& setup : kSetups) {
      if (!RandomWalk(setup, mutant, seed, 60).empty()) return true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE("shard protocol holds in every interleaving of small histories") {
  for (const Setup& setup : kSetups) {
    const SearchResult found = Search(setup, Mutant::kNone, kMaxStates);
    MESSAGE(std::string(setup.name)
            << ": " << found.states << " states, "
            << std::string(found.complete ? "searched completely" : "cut off"));
    CHECK_MESSAGE(found.violation.empty(),
                  setup.name << ": " << found.violation);
    CHECK(found.states > 100);
  }
}

TEST_CASE("random walks through larger histories break nothing") {
  const uint64_t first = FirstSeed();
  for (uint64_t seed = first; seed < first + WalkCount(20'000); ++seed) {
    const std::string violation = RandomWalk(kLarge, Mutant::kNone, seed, 150);
    REQUIRE_MESSAGE(violation.empty(),
                    "PIMENTO_SEED=" << seed << ": " << violation);
  }
}

TEST_CASE("mutant incarnations ignored is caught") {
  CHECK(IsDetected(Mutant::kIncarnationsIgnored));
}
TEST_CASE("mutant install skipped is caught") {
  CHECK(IsDetected(Mutant::kInstallSkipped));
}
TEST_CASE("mutant one seal enough is caught") {
  CHECK(IsDetected(Mutant::kOneSealEnough));
}
TEST_CASE("mutant dispatch before commit is caught") {
  CHECK(IsDetected(Mutant::kDispatchBeforeCommit));
}
TEST_CASE("mutant standby without the other seal is caught") {
  CHECK(IsDetected(Mutant::kStandbyWithoutOtherSeal));
}
TEST_CASE("mutant one epoch accepted from two holders is caught") {
  CHECK(IsDetected(Mutant::kTwoHoldersOfOneEpoch));
}

}  // namespace pimento::model
