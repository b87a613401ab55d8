// Decides whether a turn's tokens fit its program's budget, given the
// reservations of the program that a quorum of archive members returned.
//
// Of two concurrent turns at least one sees the other's reservation, since
// their quorums share a member. So in any set of admitted turns there is one
// that sees at least half of the others' tokens. A turn is admitted on its
// first read only if the tokens it sees, its own included, are at most a third
// of the budget, so all turns admitted this way together hold at most two
// thirds of it. Above a third, the turn reads a second time, after its own
// reservation is committed. The last of these turns to read sees all the
// others, and every turn that is admitted on its first read after that sees all
// of them within its third.
//
//   budget 3000, turns of 300
//   seen  900  one read is enough       (900 * 3 <= 3000, own tokens included)
//   seen 1200  second read; fits        (1200 <= 3000)
//   seen 3300  exceeds the budget: refused
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/turn_archive.h"

namespace pimento {

// kReadAgain: the first read cannot decide, a second one must.
enum class BudgetDecision : uint8_t { kFits, kReadAgain, kExceeded };

// Sums the tokens of all turns in `reads`, the reservations that each member
// returned. Each turn counts once: a settled one with the tokens it used, an
// open one with the most that any member returned.
uint64_t VisibleTokens(const std::vector<std::vector<TokenReservation>>& reads);

// `seen` and `budget` are in tokens; `seen` includes the turn's own.
BudgetDecision DecideFirstRead(uint64_t seen, uint64_t budget);
// Never returns kReadAgain.
BudgetDecision DecideSecondRead(uint64_t seen, uint64_t budget);

}  // namespace pimento
