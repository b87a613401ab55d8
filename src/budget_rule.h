// When a turn's tokens fit a program's budget, from what members of the archive
// told of the program's other turns.
//
// Of two turns at least one sees the other, since their quorums share a member.
// So among any set of admitted turns, one sees at least half of the others'
// tokens. While what a turn sees, itself included, is no more than a third of
// the budget, all turns admitted on one look alone therefore hold at most two
// thirds. Above that a turn reads a second time, after its own reservation
// counts: the last of those to look sees all others of their kind, and every
// turn admitted on one look after it sees them all within its third.
//
//   budget 3000, turns of 300
//   seen  900  one look is enough       (900 * 3 <= 3000 with itself)
//   seen 1200  second look; fits        (1200 <= 3000)
//   seen 3300  does not fit: refused
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/turn_archive.h"

namespace pimento {

enum class BudgetDecision : uint8_t { kFits, kReadAgain, kExceeded };

// Sum of the tokens that `reads` show, each turn once, settled ones at what
// they used.
uint64_t VisibleTokens(const std::vector<std::vector<TokenReservation>>& reads);

BudgetDecision DecideFirstRead(uint64_t seen, uint64_t budget);
BudgetDecision DecideSecondRead(uint64_t seen, uint64_t budget);

}  // namespace pimento
