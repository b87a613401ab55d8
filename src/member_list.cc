#include "src/member_list.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

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

bool Contains(const std::vector<ArchiveMember>& members, uint64_t id) {
  return std::any_of(members.begin(), members.end(),
                     [id](const ArchiveMember& m) { return m.id == id; });
}

// Why a member may be replaced, the most urgent reason first.
enum class Loss : uint8_t { kDisk, kSilent, kRetiring, kNone };

Loss LossOf(const MembershipInput& input, const ArchiveMember& member) {
  const ArchivePeer* peer = FindPeer(input, member.id);
  if (peer == nullptr) {
    // No host is registered under this id. The disk is lost if its host has
    // registered under another id.
    const bool replaced = std::any_of(input.peers.begin(), input.peers.end(),
                                      [&](const ArchivePeer& other) {
                                        return other.member.host == member.host;
                                      });
    return replaced ? Loss::kDisk : Loss::kNone;
  }
  if (peer->silent_ms >= input.replace_after_ms) return Loss::kSilent;
  return peer->retiring ? Loss::kRetiring : Loss::kNone;
}

bool IsReplaceable(const MembershipInput& input, const ArchiveMember& member) {
  return LossOf(input, member) != Loss::kNone;
}

// Members that may be replaced, the most urgent first; of equal ones first
// those that the change in progress replaces already.
std::vector<ArchiveMember> LostMembers(const MembershipInput& input) {
  std::vector<ArchiveMember> lost;
  for (const ArchiveMember& member : input.list.members) {
    if (IsReplaceable(input, member)) lost.push_back(member);
  }
  std::stable_sort(lost.begin(), lost.end(),
                   [&](const ArchiveMember& a, const ArchiveMember& b) {
                     const auto rank = [&](const ArchiveMember& member) {
                       return std::pair(LossOf(input, member),
                                        Contains(input.list.next, member.id));
                     };
                     return rank(a) < rank(b);
                   });
  return lost;
}

// Hosts that may become members: those that the change in progress adds first.
std::vector<ArchiveMember> Candidates(const MembershipInput& input) {
  std::vector<ArchiveMember> candidates;
  for (const ArchivePeer& peer : input.peers) {
    const bool replies = peer.silent_ms < input.replace_after_ms;
    const bool learns_of_lists =
        peer.store_overdue_ms < input.replace_after_ms ||
        Contains(input.list.next, peer.member.id);
    if (replies && learns_of_lists && !peer.retiring &&
        !Contains(input.list.members, peer.member.id)) {
      candidates.push_back(peer.member);
    }
  }
  std::stable_partition(candidates.begin(), candidates.end(),
                        [&](const ArchiveMember& member) {
                          return Contains(input.list.next, member.id);
                        });
  return candidates;
}

// Takes the best host for `members` out of `candidates`: one that the change in
// progress adds, else one of the zone with the fewest members.
ArchiveMember TakeCandidate(const MembershipInput& input,
                            const std::vector<ArchiveMember>& members,
                            std::vector<ArchiveMember>& candidates) {
  const auto rank = [&](const ArchiveMember& candidate) {
    const auto in_zone = std::count_if(members.begin(), members.end(),
                                       [&](const ArchiveMember& member) {
                                         return member.zone == candidate.zone;
                                       });
    return std::pair(!Contains(input.list.next, candidate.id), in_zone);
  };
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [&](const ArchiveMember& a, const ArchiveMember& b) {
                         return rank(a) < rank(b);
                       });
  ArchiveMember taken = *best;
  candidates.erase(best);
  return taken;
}

std::vector<ArchiveMember> Without(const std::vector<ArchiveMember>& members,
                                   uint64_t id) {
  std::vector<ArchiveMember> rest;
  for (const ArchiveMember& member : members) {
    if (member.id != id) rest.push_back(member);
  }
  return rest;
}

// The members that a change should lead to, as far as there are hosts for it. A
// member that no host can replace stays. When more than a minority is silent,
// no quorum is there to copy from: the rest must come back, as after a loss of
// power, and is not copied for nothing.
std::vector<ArchiveMember> BestMembers(const MembershipInput& input) {
  std::vector<ArchiveMember> candidates = Candidates(input);
  std::vector<ArchiveMember> lost = LostMembers(input);
  const size_t minority =
      input.list.members.size() - MajoritySize(input.list.members);
  const size_t replaced =
      std::min(candidates.size(), std::max<size_t>(1, minority));
  if (lost.size() > replaced) lost.resize(replaced);
  std::vector<ArchiveMember> best = input.list.members;
  for (const ArchiveMember& member : lost) best = Without(best, member.id);
  const size_t size = std::max(input.list.members.size(), input.wanted);
  while (best.size() < size && !candidates.empty()) {
    best.push_back(TakeCandidate(input, best, candidates));
  }
  return best;
}

bool SameMembers(const std::vector<ArchiveMember>& a,
                 const std::vector<ArchiveMember>& b) {
  return a.size() == b.size() &&
         std::all_of(a.begin(), a.end(), [&](const ArchiveMember& member) {
           return Contains(b, member.id);
         });
}

MemberList ProposeNext(const MemberList& list,
                       std::vector<ArchiveMember> next) {
  return {.version = list.version + 1,
          .members = list.members,
          .next = std::move(next)};
}

// Proposes to replace lost members and to add members, all in one change.
std::optional<MemberList> PlanReplacement(const MembershipInput& input) {
  auto best = BestMembers(input);
  if (SameMembers(best, input.list.members)) return std::nullopt;
  return ProposeNext(input.list, std::move(best));
}

// Proposes to remove a retiring member when no other host can replace it and
// all others reply. At least two members remain, so that each record is still
// stored twice.
std::optional<MemberList> PlanRemoval(const MembershipInput& input) {
  if (!Candidates(input).empty()) return std::nullopt;
  for (const ArchiveMember& member : input.list.members) {
    if (LossOf(input, member) != Loss::kRetiring) continue;
    auto next = Without(input.list.members, member.id);
    constexpr size_t kMinMembers = 2;
    const bool all_reply =
        std::none_of(next.begin(), next.end(), [&](const ArchiveMember& other) {
          return LossOf(input, other) < Loss::kRetiring;
        });
    if (next.size() < kMinMembers || !all_reply) return std::nullopt;
    return ProposeNext(input.list, std::move(next));
  }
  return std::nullopt;
}

// Whether a member of `next` is gone: the change cannot settle with it.
bool LostOneOfNext(const MembershipInput& input) {
  const MemberList& list = input.list;
  return std::any_of(list.next.begin(), list.next.end(),
                     [&](const ArchiveMember& member) {
                       if (Contains(list.members, member.id)) {
                         return LossOf(input, member) < Loss::kRetiring;
                       }
                       return FindPeer(input, member.id) == nullptr ||
                              IsReplaceable(input, member);
                     });
}

// Proposes to lead the change in progress to other members when one of `next`
// may be replaced. A change is aborted only for members that are gone: to
// replace one that retires can wait for the next change.
std::optional<MemberList> PlanAgain(const MembershipInput& input) {
  const MemberList& list = input.list;
  const bool gone = LostOneOfNext(input);
  const bool replaceable = std::any_of(list.next.begin(), list.next.end(),
                                       [&](const ArchiveMember& member) {
                                         return IsReplaceable(input, member);
                                       });
  if (!gone && !replaceable) return std::nullopt;
  auto best = BestMembers(input);
  if (SameMembers(best, list.next)) return std::nullopt;
  if (!SameMembers(best, list.members)) {
    return ProposeNext(list, std::move(best));
  }
  if (!gone) return std::nullopt;
  return ProposeNext(list, {});
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
  if (!input.list.next.empty()) return PlanAgain(input);
  if (!input.list.Contains(input.self)) return PlanReplacement(input);
  return PlanRemoval(input);
}

}  // namespace pimento
