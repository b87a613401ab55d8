#include "src/member_list.h"

#include <algorithm>
#include <boost/json.hpp>

#include "src/errors.h"

namespace pimento {
namespace {

namespace json = boost::json;

size_t CountAnswered(const std::vector<ArchiveMember>& members,
                     const std::set<uint64_t>& answered) {
  const auto count = std::count_if(members.begin(), members.end(),
                                   [&](const ArchiveMember& member) {
                                     return answered.count(member.id) > 0;
                                   });
  return static_cast<size_t>(count);
}

size_t MajoritySize(const std::vector<ArchiveMember>& members) {
  return members.size() / 2 + 1;
}

bool HasMajority(const std::vector<ArchiveMember>& members,
                 const std::set<uint64_t>& answered) {
  return CountAnswered(members, answered) >= MajoritySize(members);
}

json::array Encode(const std::vector<ArchiveMember>& members) {
  json::array array;
  for (const ArchiveMember& member : members) {
    array.push_back({{"id", std::to_string(member.id)},
                     {"host", member.host},
                     {"zone", member.zone},
                     {"address", member.address}});
  }
  return array;
}

std::vector<ArchiveMember> Decode(const json::value& value) {
  std::vector<ArchiveMember> members;
  for (const json::value& item : value.as_array()) {
    ArchiveMember member;
    member.id = std::stoull(std::string(item.at("id").as_string()));
    member.host = std::string(item.at("host").as_string());
    member.zone = std::string(item.at("zone").as_string());
    member.address = std::string(item.at("address").as_string());
    members.push_back(std::move(member));
  }
  return members;
}

const ArchivePeer* FindPeer(const MembershipInput& input, uint64_t id) {
  for (const ArchivePeer& peer : input.peers) {
    if (peer.member.id == id) return &peer;
  }
  return nullptr;
}

// True when the member lost its disk, has stopped replying, or is retiring.
bool IsReplaceable(const MembershipInput& input, const ArchiveMember& member) {
  const ArchivePeer* peer = FindPeer(input, member.id);
  if (peer == nullptr) {
    // No host is registered under this id. The member is lost if its host has
    // registered under another id, which means with a new disk.
    return std::any_of(input.peers.begin(), input.peers.end(),
                       [&](const ArchivePeer& other) {
                         return other.member.host == member.host;
                       });
  }
  return peer->retiring || peer->silent_ms >= input.replace_after_ms;
}

std::vector<ArchiveMember> Without(const std::vector<ArchiveMember>& members,
                                   uint64_t id) {
  std::vector<ArchiveMember> rest;
  for (const ArchiveMember& member : members) {
    if (member.id != id) rest.push_back(member);
  }
  return rest;
}

bool IsAlive(const MembershipInput& input, const ArchiveMember& member) {
  const ArchivePeer* peer = FindPeer(input, member.id);
  return peer != nullptr && peer->silent_ms < input.replace_after_ms;
}

std::optional<MemberList> ProposeNext(const MemberList& list,
                                      std::vector<ArchiveMember> next) {
  return MemberList{.version = list.version + 1,
                    .members = list.members,
                    .next = std::move(next)};
}

// Proposes this host in place of a replaceable member, or as an additional
// member while the list is smaller than wanted.
std::optional<MemberList> PlanJoin(const MembershipInput& input,
                                   const ArchivePeer& self) {
  if (self.retiring) return std::nullopt;
  const auto& members = input.list.members;
  for (const ArchiveMember& member : members) {
    if (!IsReplaceable(input, member)) continue;
    auto next = Without(members, member.id);
    next.push_back(self.member);
    return ProposeNext(input.list, std::move(next));
  }
  if (members.size() >= input.wanted) return std::nullopt;
  auto next = members;
  next.push_back(self.member);
  return ProposeNext(input.list, std::move(next));
}

// Proposes to remove a retiring member when no other host can replace it. At
// least two members remain, so that each record is still stored twice.
std::optional<MemberList> PlanRemoval(const MembershipInput& input) {
  const bool spare = std::any_of(
      input.peers.begin(), input.peers.end(), [&](const ArchivePeer& peer) {
        return !input.list.Contains(peer.member.id) && !peer.retiring &&
               IsAlive(input, peer.member);
      });
  if (spare) return std::nullopt;
  for (const ArchiveMember& member : input.list.members) {
    const ArchivePeer* peer = FindPeer(input, member.id);
    if (peer == nullptr || !peer->retiring) continue;
    auto next = Without(input.list.members, member.id);
    constexpr size_t kMinMembers = 2;
    if (next.size() < kMinMembers) return std::nullopt;
    return ProposeNext(input.list, std::move(next));
  }
  return std::nullopt;
}

// Proposes to abort the change in progress when a member that it adds has
// stopped replying.
std::optional<MemberList> PlanAbort(const MembershipInput& input) {
  for (const ArchiveMember& member : input.list.next) {
    const bool added = std::none_of(
        input.list.members.begin(), input.list.members.end(),
        [&](const ArchiveMember& old) { return old.id == member.id; });
    if (added && !IsAlive(input, member)) return ProposeNext(input.list, {});
  }
  return std::nullopt;
}

}  // namespace

std::vector<ArchiveMember> MemberList::All() const {
  std::vector<ArchiveMember> all = members;
  for (const ArchiveMember& member : next) {
    const bool known = std::any_of(
        members.begin(), members.end(),
        [&](const ArchiveMember& old) { return old.id == member.id; });
    if (!known) all.push_back(member);
  }
  return all;
}

bool MemberList::Contains(uint64_t id) const {
  const auto all = All();
  return std::any_of(all.begin(), all.end(), [id](const ArchiveMember& member) {
    return member.id == id;
  });
}

bool MemberList::IsQuorum(const std::set<uint64_t>& answered) const {
  if (members.empty() || !HasMajority(members, answered)) return false;
  return next.empty() || HasMajority(next, answered);
}

bool MemberList::IsReadQuorum(const std::set<uint64_t>& answered) const {
  if (members.empty()) return false;
  const size_t needed = members.size() - MajoritySize(members) + 1;
  return CountAnswered(members, answered) >= needed;
}

std::string EncodeMemberList(const MemberList& list) {
  return json::serialize(json::object{{"version", list.version},
                                      {"members", Encode(list.members)},
                                      {"next", Encode(list.next)}});
}

MemberList DecodeMemberList(const std::string& text) {
  try {
    const json::value value = json::parse(text);
    MemberList list;
    list.version = value.at("version").to_number<uint64_t>();
    list.members = Decode(value.at("members"));
    list.next = Decode(value.at("next"));
    return list;
  } catch (const std::exception& e) {
    throw StateError(
        std::string("The archive's member list could not be decoded: ") +
        e.what());
  }
}

std::optional<MemberList> PlanMembership(const MembershipInput& input) {
  const ArchivePeer* self = FindPeer(input, input.self);
  if (self == nullptr || input.list.members.empty()) return std::nullopt;
  if (!input.list.next.empty()) return PlanAbort(input);
  if (!input.list.Contains(input.self)) return PlanJoin(input, *self);
  return PlanRemoval(input);
}

}  // namespace pimento
