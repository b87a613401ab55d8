#include "src/member_health.h"

#include <set>

namespace pimento {

void MemberHealth::Answered(uint64_t member) { states_[member] = State{}; }

void MemberHealth::Failed(uint64_t member, int64_t now_ms) {
  State& state = states_[member];
  if (state.suspect) return;
  state.suspect = true;
  // The call that failed has been the first probe.
  state.probed_ms = now_ms;
}

bool MemberHealth::Suspect(uint64_t member) const {
  const auto it = states_.find(member);
  return it != states_.end() && it->second.suspect;
}

bool MemberHealth::TakeTurn(uint64_t member, int64_t now_ms) {
  State& state = states_[member];
  if (!state.suspect) return true;
  if (now_ms - state.probed_ms < options_.probe_every_ms) return false;
  state.probed_ms = now_ms;
  return true;
}

bool MemberHealth::QuorumLikely(const MemberList& list) const {
  std::set<uint64_t> trusted;
  for (const ArchiveMember& member : list.All()) {
    if (!Suspect(member.id)) trusted.insert(member.id);
  }
  return list.IsQuorum(trusted);
}

}  // namespace pimento
