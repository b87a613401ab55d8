// One member's replica of one shard, and the rules by which it accepts writes.
//
// A replica takes no part in choosing the owner. It accepts appends from one
// owner at a time (`holder`) and refuses all others. A seal is the promise to
// accept nothing below an epoch:
//
//   owner   X at (4,0) appends       -> accepted
//   standby Y at (4,1) seals         -> accepted, records returned
//   owner   X at (4,0) appends again -> refused, sealed at (4,1) by Y
//
// Comparing epochs alone would not be safe: a claim by the standby and a
// handover by consent can both carry (4,1), so the seal names its holder too.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/shard_ids.h"

namespace pimento {

// A write from an owner. With empty `records` it only checks whether the owner
// is still current.
struct AppendRequest {
  uint32_t shard = 0;
  Epoch epoch;
  // The owner that sends the records.
  Member holder;
  // The member that is meant to receive them.
  Member target;
  // The member list in force under this owner.
  MemberList list;
  std::vector<Record> records;
  // True when `records` is everything the shard holds. Any other record that
  // the member holds was never committed and is deleted.
  bool replace_all = false;
  // Position in the owner's stream of appends at one epoch. Appends may arrive
  // out of order when a reconnect leaves an old and a new connection.
  uint64_t number = 0;
};

// A claim to own the shard at `epoch`, from `holder`.
struct SealRequest {
  uint32_t shard = 0;
  Epoch epoch;
  Member holder;
  Member target;
  // The list that the claim proposes, with `since` equal to `epoch`.
  MemberList list;
  // True when the platform's conditional update granted `epoch.major`.
  bool granted_by_platform = false;
};

struct AppendReply {
  bool accepted = false;
  // The epoch at which the member is sealed.
  Epoch sealed;
};

struct SealReply {
  bool accepted = false;
  // The epoch at which the member is sealed.
  Epoch sealed;
  // The list that the last append carried: a quorum of it holds the records.
  MemberList list;
  // Lists that claims have proposed since then. Any of them may be in force
  // although this member has received no append under it.
  std::vector<MemberList> proposals;
  std::vector<Record> records;
};

// Rules that the model checker switches off one at a time, to show that it
// detects the resulting fault. Production code never sets them.
struct ReplicaRules {
  // A request must name this run of the process, not only the host.
  bool check_incarnation = true;
  // At the sealed epoch only the holder is accepted.
  bool check_holder = true;
  // Without the platform only the holder, the standby, the consented successor
  // and the member itself may claim.
  bool check_standby = true;
};

class Replica {
 public:
  explicit Replica(Member self, ReplicaRules rules = {});

  AppendReply Append(const AppendRequest& request);
  SealReply Seal(const SealRequest& request);

  // Allows `successor` to seal at the next minor epoch: a handover by consent.
  void ConsentTo(const Member& successor);

  const Epoch& sealed() const { return sealed_; }
  const Member& holder() const { return holder_; }
  const MemberList& list() const { return list_; }
  const std::vector<MemberList>& proposals() const { return proposals_; }
  const std::map<std::string, Record>& records() const { return records_; }
  std::vector<Record> RecordList() const;

 private:
  bool IsTarget(const Member& target) const;
  bool MaySeal(const SealRequest& request) const;
  void AdvanceSeal(const Epoch& epoch, const Member& holder);
  void SetEstablishedList(const MemberList& list);
  void AddProposal(const MemberList& list);
  void Merge(const std::vector<Record>& records);

  Member self_;
  ReplicaRules rules_;
  // Never decreases. Requests below this epoch, and requests at it from any
  // member but `holder_`, are refused.
  Epoch sealed_;
  Member holder_;
  // The list of the last accepted append.
  MemberList list_;
  // Proposals with a `since` above that of `list_`, oldest first.
  std::vector<MemberList> proposals_;
  // Set by ConsentTo(), cleared when the sealed epoch advances.
  std::optional<Member> successor_;
  // Greatest append number from the current owner at the current epoch.
  uint64_t last_append_number_ = 0;
  std::map<std::string, Record> records_;
};

// Merges `from` into `into`, keeping the greatest (epoch, version) of each key.
// A record with an empty value deletes its key.
void MergeRecords(const std::vector<Record>& from,
                  std::map<std::string, Record>& into);

}  // namespace pimento
