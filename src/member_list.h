// The archive's members, and which of their answers make a quorum.
//
// The list lives in the platform's store and changes there by conditional
// update only. A change takes two: first `next` is added, and every quorum is
// one of both lists; once the members of `next` hold all that counted before,
// `next` takes over.
//
//   members {1,2,3}            next {}         {1,3} is a quorum
//   members {1,2,3}            next {1,2,4}    {1,3} is none, {1,2} is one
//   members {1,2,4}            next {}
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimento {

struct ArchiveMember {
  // Drawn when the disk was first used: a host that lost its disk is another
  // member.
  uint64_t id = 0;
  std::string host = {};
  std::string zone = {};
  std::string address = {};
};

struct MemberList {
  uint64_t version = 0;
  std::vector<ArchiveMember> members = {};
  // Empty unless a change is under way.
  std::vector<ArchiveMember> next = {};

  // Both lists, each member once.
  std::vector<ArchiveMember> All() const;
  bool Contains(uint64_t id) const;
  // True when `answered` holds a majority of each list.
  bool IsQuorum(const std::set<uint64_t>& answered) const;
  // True when `answered` meets every majority of the members before the change:
  // one of two, two of three, three of five. What counted is held by one of
  // them; fenced, they stop what would count under this list.
  bool IsReadQuorum(const std::set<uint64_t>& answered) const;
};

std::string EncodeMemberList(const MemberList& list);
// Throws StateError.
MemberList DecodeMemberList(const std::string& text);

// What one host of the archive knows of another.
struct ArchivePeer {
  ArchiveMember member = {};
  // How long it has not answered, milliseconds.
  int64_t silent_ms = 0;
  bool retiring = false;
};

struct MembershipInput {
  MemberList list = {};
  // Every registered host, this one included.
  std::vector<ArchivePeer> peers = {};
  uint64_t self = 0;
  // Silence after which a member may be replaced, milliseconds.
  int64_t replace_after_ms = 1'500;
  // Members to keep where there are that many hosts.
  size_t wanted = 3;
};

// The list that this host should propose, or nothing. A joining host proposes
// itself; a member proposes to go on without a retiring one when nobody can
// take its place, or to give up a change whose newcomer went silent.
std::optional<MemberList> PlanMembership(const MembershipInput& input);

}  // namespace pimento
