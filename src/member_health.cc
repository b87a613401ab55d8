#include "src/member_health.h"

#include <set>

namespace pimento {

void MemberHealth::RecordSuccess(uint64_t member) { states_[member] = State{}; }

void MemberHealth::RecordFailure(uint64_t member, int64_t now_ms) {
  State& state = states_[member];
  if (state.suspect) return;
  state.suspect = true;
  // The failed call counts as the first probe.
  state.last_probe_ms = now_ms;
}

bool MemberHealth::IsSuspect(uint64_t member) const {
  const auto it = states_.find(member);
  return it != states_.end() && it->second.suspect;
}

bool MemberHealth::AllowCall(uint64_t member, int64_t now_ms) {
  State& state = states_[member];
  if (!state.suspect) return true;
  if (now_ms - state.last_probe_ms < options_.probe_interval_ms) return false;
  state.last_probe_ms = now_ms;
  return true;
}

bool MemberHealth::QuorumLikely(const MemberList& list) const {
  std::set<uint64_t> healthy;
  for (const ArchiveMember& member : list.All()) {
    if (!IsSuspect(member.id)) healthy.insert(member.id);
  }
  return list.IsQuorum(healthy);
}

}  // namespace pimento
