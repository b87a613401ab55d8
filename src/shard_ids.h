// Names shared by everything that touches a shard: epochs, members and records.
//
// A shard is the unit of single-writer state. One host owns it at a time, under
// an epoch; two other members hold copies of its records.
#pragma once

#include <boost/describe.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

// Orders the reigns of a shard's owners. The platform arbitrates `major`; the
// members themselves arbitrate `minor` while the platform cannot be reached.
struct Epoch {
  uint64_t major = 0;
  uint64_t minor = 0;
  auto operator<=>(const Epoch&) const = default;
};
BOOST_DESCRIBE_STRUCT(Epoch, (), (major, minor))

// One run of a scheduler process. A host that restarts has lost its memory, so
// it comes back as another member: `boot` differs.
struct Member {
  std::string host;
  uint64_t boot = 0;
  auto operator<=>(const Member&) const = default;
};
BOOST_DESCRIBE_STRUCT(Member, (), (host, boot))

// One keyed value of a shard. Among records of one key the greatest
// (epoch, version) wins, so merging copies is commutative and idempotent.
struct Record {
  std::string key;
  Epoch epoch;
  uint64_t version = 0;
  std::string value;
};
BOOST_DESCRIBE_STRUCT(Record, (), (key, epoch, version, value))

// Returns true when `a` replaces `b` for one key.
inline bool Supersedes(const Record& a, const Record& b) {
  return a.epoch != b.epoch ? a.epoch > b.epoch : a.version > b.version;
}

// The members that hold a shard. `members[0]` is the owner at the time the list
// was made; `members[1]` is the heir. `since` is the epoch that made the list.
struct MemberList {
  Epoch since;
  std::vector<Member> members;
  auto operator<=>(const MemberList&) const = default;
};
BOOST_DESCRIBE_STRUCT(MemberList, (), (since, members))

// How many members must hold a record before it counts, and how many must be
// sealed before a successor may serve. Two of three in both cases, so any
// counting set and any sealing set share a member.
inline constexpr size_t kMembersPerShard = 3;
inline constexpr size_t kQuorum = 2;

}  // namespace pimento
