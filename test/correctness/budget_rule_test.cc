// The budget rule under every order in which turns may reach the members.
#include "src/budget_rule.h"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <random>

namespace {

using namespace pimento;

constexpr int kMembers = 3;
constexpr uint64_t kTurnTokens = 10;

// One turn that writes to two members and then reads from two, one call per
// step.
struct ModelTurn {
  int skipped_write = 0;  // the member that does not get its reservation
  int skipped_read = 0;
  int step = 0;
  std::vector<std::vector<TokenReservation>> reads;
  bool admitted = false;
};

struct Model {
  std::array<std::vector<TokenReservation>, kMembers> members;
  std::vector<ModelTurn> turns;
  uint64_t budget = 0;
  // Mutation of the rule: admits turns without the second read.
  bool single_read_only = false;

  static int MemberAt(int skipped, int index) {
    int member = index;
    if (member >= skipped) ++member;
    return member;
  }

  bool Done(size_t i) const { return turns[i].step >= 5; }

  void Decide(ModelTurn& turn, bool first) {
    const uint64_t seen = VisibleTokens(turn.reads);
    BudgetDecision decision =
        first ? DecideFirstRead(seen, budget) : DecideSecondRead(seen, budget);
    if (single_read_only && decision == BudgetDecision::kReadAgain)
      decision = BudgetDecision::kFits;
    turn.admitted = decision == BudgetDecision::kFits;
    turn.step = decision == BudgetDecision::kReadAgain ? 2 : 5;
  }

  void Step(size_t i) {
    ModelTurn& turn = turns[i];
    if (turn.step < 2) {
      auto& member = members[MemberAt(turn.skipped_write, turn.step)];
      member.push_back({.program = "p",
                        .turn = std::to_string(i),
                        .tokens = kTurnTokens,
                        .settled = false});
      turn.reads.push_back(member);
      if (++turn.step == 2) Decide(turn, true);
      return;
    }
    turn.reads.push_back(members[MemberAt(turn.skipped_read, turn.step - 2)]);
    if (++turn.step == 4) Decide(turn, false);
  }

  uint64_t Admitted() const {
    uint64_t sum = 0;
    for (const ModelTurn& turn : turns) sum += turn.admitted ? kTurnTokens : 0;
    return sum;
  }
};

uint64_t MostAdmitted(const Model& model) {
  uint64_t most = model.Admitted();
  for (size_t i = 0; i < model.turns.size(); ++i) {
    if (model.Done(i)) continue;
    Model next = model;
    next.Step(i);
    most = std::max(most, MostAdmitted(next));
  }
  return most;
}

uint64_t MostAdmittedOverQuorums(uint64_t budget, bool single_read_only) {
  uint64_t most = 0;
  for (int choice = 0; choice < 27; ++choice) {
    Model model;
    model.budget = budget;
    model.single_read_only = single_read_only;
    int rest = choice;
    for (int i = 0; i < 3; ++i, rest /= 3) {
      ModelTurn turn;
      turn.skipped_write = rest % 3;
      turn.skipped_read = (rest % 3 + 1) % 3;
      model.turns.push_back(turn);
    }
    most = std::max(most, MostAdmitted(model));
  }
  return most;
}

}  // namespace

TEST_CASE("three turns at once never get more than the budget, in any order") {
  for (const uint64_t budget : {10, 15, 20, 25})
    CHECK(MostAdmittedOverQuorums(budget, false) <= budget);
}

TEST_CASE("without the second read three turns can exceed the budget") {
  // Each turn writes to a different pair of members and misses one of the
  // others.
  CHECK(MostAdmittedOverQuorums(20, true) > 20);
}

TEST_CASE("random interleavings of many turns never exceed the budget") {
  std::mt19937_64 random(20261204);
  for (int run = 0; run < 20'000; ++run) {
    Model model;
    model.budget = 10 + random() % 90;
    const size_t turns = 2 + random() % 9;
    for (size_t i = 0; i < turns; ++i) {
      ModelTurn turn;
      turn.skipped_write = static_cast<int>(random() % 3);
      turn.skipped_read = static_cast<int>(random() % 3);
      model.turns.push_back(turn);
    }
    for (;;) {
      std::vector<size_t> open;
      for (size_t i = 0; i < turns; ++i)
        if (!model.Done(i)) open.push_back(i);
      if (open.empty()) break;
      model.Step(open[random() % open.size()]);
    }
    CAPTURE(run);
    REQUIRE(model.Admitted() <= model.budget);
  }
}

TEST_CASE("a settled turn counts once, with the tokens it used") {
  const TokenReservation open{.program = "p", .turn = "a", .tokens = 30};
  TokenReservation settled = open;
  settled.tokens = 12;
  settled.settled = true;
  CHECK(VisibleTokens({{open}, {settled}}) == 12);
  CHECK(VisibleTokens({{settled}, {open}}) == 12);
  CHECK(VisibleTokens({{open}, {open}}) == 30);
}
