// Assembles the history of a turn from the replies of several archive members.
//
// Load pattern: members that were down each lack different turns, so that a
// chain may be spread over several members:
//
//   turn 3 on {1,2}, turn 2 on {2,3}, turn 1 on {1,3}; member 2 is down
//   1 has turn 3 but lacks 2; 3 has 2 and 1: the chain is complete
//
// The member that has a missing turn may already have been queried for a later
// one, so members are queried anew for each missing turn.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/member_list.h"
#include "src/turn_archive.h"

namespace pimento {

class ChainCollector {
 public:
  // Collects the chain that ends with `turn`, querying `members` in this order.
  ChainCollector(MemberList list, std::vector<ArchiveMember> members,
                 std::string turn);

  // The next member to query for wanted(); nullopt when the chain is complete
  // or every member was queried for it.
  std::optional<ArchiveMember> Next();
  // The newest turn that is still missing; empty when the chain is complete.
  const std::string& wanted() const { return wanted_; }
  // Adds the reply of a member that Next() returned: `turns` is the part of the
  // chain that the member holds, from wanted() backwards and newest first, and
  // `missing` the first turn that it lacks. `intact` states that the member
  // holds everything committed before it joined, so that lacking a turn is
  // evidence that the turn was never committed.
  void AddReply(uint64_t member, std::vector<TurnRecord> turns,
                const std::string& missing, bool intact);

  bool complete() const { return wanted_.empty(); }
  // True when a turn was found a second time among its own predecessors, as
  // where a request id was used twice.
  bool circular() const { return !circular_turn_.empty(); }
  // That turn; empty when there is none.
  const std::string& circular_turn() const { return circular_turn_; }
  // True when a quorum of intact members lacks the requested turn itself, which
  // proves that it was never committed, not under a newer list either: each
  // change of the list fences a read quorum, whose members reject older lists,
  // and any quorum has one of them. A read quorum is not enough: of two
  // members, one is fenced and the other lacks what was committed since.
  bool proven_absent() const;
  // The collected turns, oldest first.
  std::vector<TurnRecord> Turns() &&;

 private:
  MemberList list_;
  std::vector<ArchiveMember> members_;
  std::string turn_;
  std::string wanted_;
  // Newest first.
  std::vector<TurnRecord> turns_;
  // Ids of turns_.
  std::set<std::string> collected_;
  std::string circular_turn_;
  // Members queried for wanted_, and the intact ones among them that lack it.
  std::set<uint64_t> queried_;
  std::set<uint64_t> absent_on_;
};

}  // namespace pimento
