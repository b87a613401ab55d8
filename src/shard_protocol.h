// How an owner's records come to count, and how a claimant becomes the owner.
//
// Pure decisions: whoever uses them sends the requests and feeds the replies
// back. The daemons and the exhaustive checker run this same code.
//
// Taking over, replacing a member and handing over by consent are one
// procedure:
//
//   1. Claim: seal a quorum of every member list that may be in force.
//   2. Merge what the sealed members hold.
//   3. Install: append all of it, with the new list, to a quorum of that list.
//   4. Serve.
//
// Sealing only the list that the claimant knows would not do: an owner may have
// changed the members while the platform was down. So replies carry the lists
// that members have seen, and the claim follows them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/replica.h"
#include "src/shard_ids.h"

namespace pimento {

struct ClaimOptions {
  uint32_t shard = 0;
  Member self;
  Epoch epoch;
  // The list that the claimant knows to be, or to have been, in force.
  MemberList known;
  // The members it wants. Empty keeps those of the list in force.
  std::vector<Member> wanted;
  bool granted_by_platform = false;
  // Seals needed of each list. Only the checker's mutants change it.
  size_t quorum = kQuorum;
};

class Claim {
 public:
  explicit Claim(ClaimOptions options);

  // Requests not sent yet. Call again after each reply: a reply may add lists.
  std::vector<SealRequest> TakeRequests();
  void OnReply(const Member& from, const SealReply& reply);

  // True when a quorum of every list that may be in force is sealed.
  bool Sealed() const;
  // True when a member follows a later owner: the claim is lost.
  bool Lost() const { return lost_; }
  // Greatest epoch that a refusing member reported.
  const Epoch& highest_seen() const { return highest_seen_; }
  // The list that the claim installs.
  MemberList NewList() const;
  const std::map<std::string, Record>& records() const { return records_; }
  // Who is sealed, under which list: tells equal claims from different ones.
  std::string Progress() const;

 private:
  void Follow(const SealReply& reply);
  std::vector<MemberList> Required() const;

  ClaimOptions options_;
  // The newest list known to be established.
  MemberList base_;
  // Proposals later than `base_` that sealed members reported.
  std::vector<MemberList> proposals_;
  // What was last sent to each member.
  std::map<Member, MemberList> sent_;
  std::map<Member, MemberList> sealed_;
  std::map<std::string, Record> records_;
  Epoch highest_seen_;
  bool lost_ = false;
};

// Counts the members that hold one batch of records.
class AppendRound {
 public:
  AppendRound(MemberList list, size_t quorum = kQuorum);

  void OnReply(const Member& from, const AppendReply& reply,
               const Epoch& epoch);
  // True when a quorum holds the batch: it survives any one loss.
  bool Counted() const { return holders_.size() >= quorum_; }
  // True when every member holds it.
  bool HeldByAll() const { return holders_.size() >= list_.members.size(); }
  // True when a member follows a later owner.
  bool Fenced() const { return fenced_; }
  const std::vector<Member>& holders() const { return holders_; }

 private:
  MemberList list_;
  size_t quorum_;
  std::vector<Member> holders_;
  bool fenced_ = false;
};

// Builds the append of `records` to each member of `list`, as number `number`
// of the owner's stream: 0 for the installation, then rising.
std::vector<AppendRequest> MakeAppends(uint32_t shard, const Epoch& epoch,
                                       const Member& holder,
                                       const MemberList& list,
                                       const std::vector<Record>& records,
                                       bool replace_all, uint64_t number);

}  // namespace pimento
