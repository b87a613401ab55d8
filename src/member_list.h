// The archive's member list, its quorum rules, and the planning of changes to
// it.
//
// The list is an object in the platform's store and is changed by conditional
// updates only. A change takes two updates, as in joint consensus: the first
// sets `next`, and from then on a quorum needs a majority of `members` and a
// majority of `next`. Once the members of `next` hold every committed record,
// the second update makes `next` the new `members`. A record is committed once
// a quorum has stored it.
//
//   members {1,2,3}    next {}         {1,3} is a quorum
//   members {1,2,3}    next {1,2,4}    {1,2} is a quorum, {1,3} is not
//   members {1,2,4}    next {}         {2,4} is a quorum
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimento {

struct ArchiveMember {
  // Random, generated when the data directory is first used. A host that lost
  // its disk therefore comes back as a new member.
  uint64_t id = 0;
  std::string host = {};
  std::string zone = {};
  // "IP:port" for calls from gateways and other archive hosts.
  std::string address = {};
};

struct MemberList {
  // Grows by one with each update.
  uint64_t version = 0;
  std::vector<ArchiveMember> members = {};
  // The members after the change in progress; empty when there is none.
  std::vector<ArchiveMember> next = {};

  // The union of `members` and `next`, each member once.
  std::vector<ArchiveMember> All() const;
  // True when `members` or `next` has a member with this id.
  bool Contains(uint64_t id) const;
  // True when `answered`, a set of member ids, holds a majority of `members`
  // and, during a change, of `next`.
  bool IsQuorum(const std::set<uint64_t>& answered) const;
  // True when `answered` intersects every majority of `members`: one of two,
  // two of three, three of five. Every record committed by a majority of
  // `members` is then held by at least one member in `answered`; and once all
  // of them are fenced, calls made under an older list cannot reach a quorum.
  // Two read quorums need not intersect: where their number is even, half of
  // the members is one.
  bool IsReadQuorum(const std::set<uint64_t>& answered) const;
};

std::string EncodeMemberList(const MemberList& list);
// Throws StateError when `text` is not an encoded member list.
MemberList DecodeMemberList(const std::string& text);

// What this host knows about a registered archive host.
struct ArchivePeer {
  ArchiveMember member = {};
  // Time since its last reply, milliseconds.
  int64_t silent_ms = 0;
  // How long an answer of the platform's store to it has been overdue, by that
  // reply, milliseconds. Without the store it learns of no new list.
  int64_t store_overdue_ms = 0;
  // True when the platform is retiring the host.
  bool retiring = false;
};

struct MembershipInput {
  MemberList list = {};
  // Every registered host, this one included.
  std::vector<ArchivePeer> peers = {};
  // Member id of this host.
  uint64_t self = 0;
  // Time without a reply after which a member may be replaced, milliseconds.
  int64_t replace_after_ms = 1'500;
  // Target number of members, where that many hosts are available.
  size_t wanted = 3;
};

// Returns the list that this host should propose, or nothing.
//
// A host that is not in the list proposes to replace all members that may be
// replaced, as far as there are hosts for it and at most a minority, in one
// change, and to add members where there are too few. A member proposes to
// remove a retiring member when no other host can replace it.
//
// While a change is in progress, any host proposes other members in place of
// those of `next` that may be replaced, or to abort the change where there are
// none. Members that the change adds and that still reply stay, with what they
// have copied. Such a step keeps `members`, so a quorum of either list holds a
// majority of `members`, and what is committed before it lies in each read
// quorum of them.
//
//   members {1,2,3}    next {1,2,4}    4 is gone, 5 replies: next {1,2,5}
//   members {1,2,3}    next {1,2,4}    4 is gone, 3 replies: next {}
std::optional<MemberList> PlanMembership(const MembershipInput& input);

}  // namespace pimento
