#include "src/calls_in_progress.h"

#include <algorithm>

namespace pimento {
namespace {

constexpr size_t kShareOfTeam = 2;

}  // namespace

size_t CallsInProgress::of(const std::string& team) const {
  const auto it = by_team_.find(team);
  return it == by_team_.end() ? 0 : it->second;
}

bool CallsInProgress::Enter(const std::string& team) {
  const size_t share = std::max<size_t>(1, limit_ / kShareOfTeam);
  if (total_ >= limit_ || of(team) >= share) return false;
  ++total_;
  ++by_team_[team];
  return true;
}

void CallsInProgress::Leave(const std::string& team) {
  const auto it = by_team_.find(team);
  if (it == by_team_.end()) return;
  --total_;
  if (--it->second == 0) by_team_.erase(it);
}

}  // namespace pimento
