// Puts together the history of a turn from what members of the archive hold.
//
// Load pattern: members that were down lack some turns, each other ones, and a
// chain may lie scattered over them:
//
//   turn 3 at {1,2}, turn 2 at {2,3}, turn 1 at {1,3}; member 2 does not answer
//   1 has turn 3 and lacks 2; 3 has 2 and 1: the chain is complete
//
// Whoever has the missing turn may have been asked before for a later one, so
// each member may be asked again for each turn that is missing.
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
  // `members` in the order in which they are asked.
  ChainCollector(MemberList list, std::vector<ArchiveMember> members,
                 std::string turn);

  // Whom to ask for wanted(); nothing when all were asked or it is done.
  std::optional<ArchiveMember> Next();
  const std::string& wanted() const { return wanted_; }
  // What the member that Next() named holds of wanted(). `intact`: it holds all
  // that counted before it joined, so that its lack is a denial.
  void AddReply(uint64_t member, std::vector<TurnRecord> turns,
                const std::string& missing, bool intact);

  bool complete() const { return wanted_.empty(); }
  // True when so many intact members lack the turn itself that it never
  // counted.
  bool proven_absent() const;
  // Oldest first.
  std::vector<TurnRecord> Turns() &&;

 private:
  MemberList list_;
  std::vector<ArchiveMember> members_;
  std::string turn_;
  std::string wanted_;
  // Newest first.
  std::vector<TurnRecord> turns_;
  // Members asked for wanted_, and those of them that deny it.
  std::set<uint64_t> asked_;
  std::set<uint64_t> absent_at_;
};

}  // namespace pimento
