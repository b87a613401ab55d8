#include "src/budget_rule.h"

#include <unordered_map>

namespace pimento {
namespace {

// A single read suffices up to this fraction (1/3) of the budget.
constexpr uint64_t kSingleReadDivisor = 3;

}  // namespace

uint64_t VisibleTokens(
    const std::vector<std::vector<TokenReservation>>& reads) {
  std::unordered_map<std::string, TokenReservation> turns;
  for (const auto& look : reads) {
    for (const TokenReservation& reservation : look) {
      TokenReservation& held = turns[reservation.turn];
      const bool better = reservation.settled != held.settled
                              ? reservation.settled
                              : reservation.tokens > held.tokens;
      if (held.turn.empty() || better) held = reservation;
    }
  }
  uint64_t sum = 0;
  for (const auto& [turn, reservation] : turns) sum += reservation.tokens;
  return sum;
}

BudgetDecision DecideFirstRead(uint64_t seen, uint64_t budget) {
  if (seen > budget) return BudgetDecision::kExceeded;
  return seen * kSingleReadDivisor <= budget ? BudgetDecision::kFits
                                             : BudgetDecision::kReadAgain;
}

BudgetDecision DecideSecondRead(uint64_t seen, uint64_t budget) {
  return seen > budget ? BudgetDecision::kExceeded : BudgetDecision::kFits;
}

}  // namespace pimento
