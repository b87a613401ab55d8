#include "src/chain_collector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimento {

ChainCollector::ChainCollector(MemberList list,
                               std::vector<ArchiveMember> members,
                               std::string turn)
    : list_(std::move(list)),
      members_(std::move(members)),
      turn_(std::move(turn)),
      wanted_(turn_) {}

std::optional<ArchiveMember> ChainCollector::Next() {
  if (complete() || circular()) return std::nullopt;
  for (const ArchiveMember& member : members_) {
    if (queried_.insert(member.id).second) return member;
  }
  return std::nullopt;
}

void ChainCollector::AddReply(uint64_t member, std::vector<TurnRecord> turns,
                              const std::string& missing, bool intact) {
  for (const TurnRecord& turn : turns) {
    if (!collected_.insert(turn.turn).second) circular_turn_ = turn.turn;
  }
  if (!missing.empty() && collected_.count(missing) > 0) {
    circular_turn_ = missing;
  }
  std::move(turns.begin(), turns.end(), std::back_inserter(turns_));
  if (missing != wanted_) {
    wanted_ = missing;
    queried_ = {member};
    absent_on_.clear();
  }
  if (intact && !complete()) absent_on_.insert(member);
}

bool ChainCollector::proven_absent() const {
  return wanted_ == turn_ && !complete() && !circular() &&
         list_.IsQuorum(absent_on_);
}

std::vector<TurnRecord> ChainCollector::Turns() && {
  std::reverse(turns_.begin(), turns_.end());
  return std::move(turns_);
}

}  // namespace pimento
