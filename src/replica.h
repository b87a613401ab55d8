// What one member holds of one shard, and the rules by which it accepts writes.
//
// The replica elects nobody. It holds records for one owner at a time and
// refuses everyone else:
//
//   owner X at (4,0) appends       -> accepted
//   heir  Y seals at (4,1)         -> accepted, records returned
//   owner X at (4,0) appends again -> refused, sealed (4,1) by Y
//
// Comparing epochs alone would not do: an heir's claim and a hand-over by
// consent can both carry (4,1), so the holder is part of the seal.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/shard_ids.h"

namespace pimento {

// A write from an owner. Empty `records` only asks whether the owner is
// current.
struct AppendRequest {
  uint32_t shard = 0;
  Epoch epoch;
  Member holder;
  Member target;
  MemberList list;
  std::vector<Record> records;
  // True when `records` is everything the shard holds: what the member holds
  // besides was never counted, and goes.
  bool replace_all = false;
  // Position in the owner's stream of appends of one epoch. Appends may arrive
  // out of order, over an old connection and a new one.
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
  Epoch sealed;
};

struct SealReply {
  bool accepted = false;
  Epoch sealed;
  // The list that the last append carried: a quorum of it holds the records.
  MemberList list;
  // Lists that claims have proposed since. Any of them may be in force without
  // this member having heard.
  std::vector<MemberList> proposals;
  std::vector<Record> records;
};

// Rules that the exhaustive checker switches off one at a time, to show that it
// notices. Production code never sets them.
struct ReplicaRules {
  bool check_incarnation = true;
  bool check_holder = true;
  bool check_heir = true;
};

class Replica {
 public:
  explicit Replica(Member self, ReplicaRules rules = {});

  AppendReply Append(const AppendRequest& request);
  SealReply Seal(const SealRequest& request);

  // Allows `successor` to seal at the next minor epoch: a hand-over by consent.
  void ConsentTo(const Member& successor);

  const Epoch& sealed() const { return sealed_; }
  const Member& holder() const { return holder_; }
  const MemberList& list() const { return list_; }
  const std::vector<MemberList>& proposals() const { return proposals_; }
  const std::map<std::string, Record>& records() const { return records_; }
  std::vector<Record> RecordList() const;

 private:
  bool Addressed(const Member& target) const;
  bool MayClaim(const SealRequest& request) const;
  void Adopt(const Epoch& epoch, const Member& holder);
  void Establish(const MemberList& list);
  void Propose(const MemberList& list);
  void Merge(const std::vector<Record>& records);

  Member self_;
  ReplicaRules rules_;
  // Never decreases. Nothing below it, and nothing at it from another holder,
  // is accepted.
  Epoch sealed_;
  Member holder_;
  // Carried by the last accepted append.
  MemberList list_;
  // Proposals with a `since` above that of `list_`, oldest first.
  std::vector<MemberList> proposals_;
  std::optional<Member> successor_;
  // Greatest number seen from the present owner at the present epoch.
  uint64_t last_number_ = 0;
  std::map<std::string, Record> records_;
};

// Merges `from` into `into`, keeping the greatest (epoch, version) of each key.
void MergeRecords(const std::vector<Record>& from,
                  std::map<std::string, Record>& into);

}  // namespace pimento
