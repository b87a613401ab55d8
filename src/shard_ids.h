// The basic types of the shard protocol: epochs, members, records and member
// lists.
//
// A shard is the unit of single-writer state. One host owns it at a time, under
// an epoch; two other members hold replicas of its records.
#pragma once

#include <boost/describe.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

// Orders the successive owners of a shard. The platform assigns `major` by
// conditional update; the members themselves assign `minor` while the platform
// cannot be reached, and when an owner replaces members or hands over.
struct Epoch {
  uint64_t major = 0;
  uint64_t minor = 0;
  auto operator<=>(const Epoch&) const = default;
};
BOOST_DESCRIBE_STRUCT(Epoch, (), (major, minor))

// One run (incarnation) of a scheduler process. Replicas live in memory, so a
// host that restarts comes back as another member, with a different `boot`.
struct Member {
  std::string host;
  uint64_t boot = 0;
  auto operator<=>(const Member&) const = default;
};
BOOST_DESCRIBE_STRUCT(Member, (), (host, boot))

// One key and its value in a shard. Among records of one key the greatest
// (epoch, version) wins, so merging replicas is commutative and idempotent.
struct Record {
  std::string key;
  Epoch epoch;
  uint64_t version = 0;
  std::string value;
};
BOOST_DESCRIBE_STRUCT(Record, (), (key, epoch, version, value))

// Returns true when `a` is newer than `b`. Both have the same key.
inline bool Supersedes(const Record& a, const Record& b) {
  return a.epoch != b.epoch ? a.epoch > b.epoch : a.version > b.version;
}

// The members that hold replicas of a shard. `members[0]` is the owner that
// proposed the list, at epoch `since`. `members[1]` is the standby: the member
// that may succeed a lost owner while the platform cannot be reached.
struct MemberList {
  Epoch since;
  std::vector<Member> members;
  auto operator<=>(const MemberList&) const = default;
};
BOOST_DESCRIBE_STRUCT(MemberList, (), (since, members))

// The number of members that must hold a record before it is committed, and the
// number that must be sealed before a successor may serve. Both are two of
// three, so any commit quorum and any seal quorum share a member.
inline constexpr size_t kMembersPerShard = 3;
inline constexpr size_t kQuorum = 2;

}  // namespace pimento
