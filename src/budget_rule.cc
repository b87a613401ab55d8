#include "src/budget_rule.h"

#include <unordered_map>

namespace pimento {
namespace {

constexpr uint64_t kOneLookShare = 3;

}  // namespace

uint64_t TokensSeen(const std::vector<std::vector<TokenReservation>>& looks) {
  std::unordered_map<std::string, TokenReservation> turns;
  for (const auto& look : looks) {
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

BudgetVerdict JudgeFirstLook(uint64_t seen, uint64_t budget) {
  if (seen > budget) return BudgetVerdict::kSpent;
  return seen * kOneLookShare <= budget ? BudgetVerdict::kFits
                                        : BudgetVerdict::kLookAgain;
}

BudgetVerdict JudgeSecondLook(uint64_t seen, uint64_t budget) {
  return seen > budget ? BudgetVerdict::kSpent : BudgetVerdict::kFits;
}

}  // namespace pimento
