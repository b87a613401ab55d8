// How an owner commits records, and how a claimant becomes the owner.
//
// This code does no I/O: its caller sends the requests and passes the replies
// back in. The daemons and the model checker (test/fuzz) run the same code.
//
// Taking over from a lost owner, replacing a member and handing over by consent
// are one procedure:
//
//   1. Claim: seal a quorum of every member list that may be in force.
//   2. Merge the records that the sealed members hold.
//   3. Install: append all of them, with the new list, to a quorum of it.
//   4. Serve.
//
// Sealing only the list that the claimant knows would not be safe: an owner may
// have changed the members while the platform was down. Replies therefore carry
// the lists that members have seen, and the claim seals those lists as well.
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
  // The latest list known to the claimant. A later one may be in force.
  MemberList known;
  // The members of the new list. Empty keeps those of the list in force.
  std::vector<Member> wanted;
  // True when the platform's conditional update granted `epoch.major`.
  bool granted_by_platform = false;
  // Seals needed from each list. Only the model checker's mutants change it.
  size_t quorum = kQuorum;
};

// One attempt to become the owner of a shard: collects seals and the records of
// the sealed members.
class Claim {
 public:
  explicit Claim(ClaimOptions options);

  // Returns the requests that have not been sent yet. Call it again after each
  // reply, because a reply may add lists to seal.
  std::vector<SealRequest> TakeRequests();
  void OnReply(const Member& from, const SealReply& reply);

  // True when a quorum of every list that may be in force is sealed.
  bool Sealed() const;
  // True when a member refused the claim because it follows a later owner. The
  // claim can then no longer succeed.
  bool Lost() const { return lost_; }
  // The greatest epoch that any reply reported.
  const Epoch& highest_seen() const { return highest_seen_; }
  // The member list that the claim installs once it is sealed.
  MemberList NewList() const;
  // The merged records of the sealed members.
  const std::map<std::string, Record>& records() const { return records_; }
  // The members sent to and sealed and the lists to seal, as text. The model
  // checker uses it to tell states apart.
  std::string Fingerprint() const;

 private:
  void MergeLists(const SealReply& reply);
  // The lists of which a quorum must be sealed: `established_` and every later
  // proposal.
  std::vector<MemberList> RequiredLists() const;

  ClaimOptions options_;
  // The newest list known to be established.
  MemberList established_;
  // Proposals later than `established_` that sealed members reported.
  std::vector<MemberList> proposals_;
  // The new list that was last sent to each member. It changes when a reply
  // reveals another list in force.
  std::map<Member, MemberList> sent_;
  // The sealed members, with the new list that each of them was sent.
  std::map<Member, MemberList> sealed_;
  std::map<std::string, Record> records_;
  Epoch highest_seen_;
  bool lost_ = false;
};

// Collects the replies to the append of one batch of records.
class AppendRound {
 public:
  AppendRound(MemberList list, size_t quorum = kQuorum);

  void OnReply(const Member& from, const AppendReply& reply,
               const Epoch& epoch);
  // True when a quorum holds the batch: it survives the loss of any one member.
  bool Committed() const { return holders_.size() >= quorum_; }
  // True when every member holds the batch.
  bool HeldByAll() const { return holders_.size() >= list_.members.size(); }
  // True when a member refused the append because it follows a later owner.
  bool Fenced() const { return fenced_; }
  // The members that hold the batch.
  const std::vector<Member>& holders() const { return holders_; }

 private:
  MemberList list_;
  size_t quorum_;
  std::vector<Member> holders_;
  bool fenced_ = false;
};

// Builds the requests that append `records` to each member of `list`. `number`
// is the position in the owner's stream of appends at this epoch: 0 for the
// installation, then increasing.
std::vector<AppendRequest> MakeAppends(uint32_t shard, const Epoch& epoch,
                                       const Member& holder,
                                       const MemberList& list,
                                       const std::vector<Record>& records,
                                       bool replace_all, uint64_t number);

}  // namespace pimento
