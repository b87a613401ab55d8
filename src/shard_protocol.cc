#include "src/shard_protocol.h"

#include <algorithm>
#include <utility>

namespace pimento {
namespace {

bool Contains(const std::vector<Member>& members, const Member& member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}

}  // namespace

Claim::Claim(ClaimOptions options)
    : options_(std::move(options)), established_(options_.known) {}

MemberList Claim::NewList() const {
  if (!options_.wanted.empty()) {
    return {.since = options_.epoch, .members = options_.wanted};
  }
  // The claimant comes first; the member after it becomes its standby.
  std::vector<Member> members = established_.members;
  const auto self = std::find(members.begin(), members.end(), options_.self);
  if (self != members.end()) std::rotate(members.begin(), self, self + 1);
  return {.since = options_.epoch, .members = std::move(members)};
}

std::vector<MemberList> Claim::RequiredLists() const {
  std::vector<MemberList> required = {established_};
  for (const MemberList& proposal : proposals_) {
    if (proposal.since > established_.since) required.push_back(proposal);
  }
  return required;
}

std::vector<SealRequest> Claim::TakeRequests() {
  const MemberList list = NewList();
  std::vector<MemberList> targets = RequiredLists();
  targets.push_back(list);
  std::vector<SealRequest> requests;
  for (const MemberList& target : targets) {
    for (const Member& member : target.members) {
      const auto sent = sent_.find(member);
      if (sent != sent_.end() && sent->second == list) continue;
      sent_[member] = list;
      requests.push_back({.shard = options_.shard,
                          .epoch = options_.epoch,
                          .holder = options_.self,
                          .target = member,
                          .list = list,
                          .granted_by_platform = options_.granted_by_platform});
    }
  }
  return requests;
}

void Claim::OnReply(const Member& from, const SealReply& reply) {
  highest_seen_ = std::max(highest_seen_, reply.sealed);
  if (!reply.accepted) {
    lost_ = lost_ || reply.sealed >= options_.epoch;
    return;
  }
  sealed_[from] = sent_[from];
  MergeRecords(reply.records, records_);
  MergeLists(reply);
}

void Claim::MergeLists(const SealReply& reply) {
  if (reply.list.since > established_.since) established_ = reply.list;
  for (const MemberList& proposal : reply.proposals) {
    const bool own = proposal.since == options_.epoch;
    const bool known = std::find(proposals_.begin(), proposals_.end(),
                                 proposal) != proposals_.end();
    if (!own && !known) proposals_.push_back(proposal);
  }
}

bool Claim::Sealed() const {
  const MemberList list = NewList();
  for (const MemberList& required : RequiredLists()) {
    const auto sealed =
        std::count_if(required.members.begin(), required.members.end(),
                      [&](const Member& member) {
                        const auto it = sealed_.find(member);
                        // Counts only members that were sealed with the current
                        // new list, which may have changed since an earlier
                        // seal.
                        return it != sealed_.end() && it->second == list;
                      });
    if (static_cast<size_t>(sealed) < options_.quorum) return false;
  }
  return true;
}

std::string Claim::Fingerprint() const {
  std::string text;
  for (const auto& [member, list] : sealed_) {
    text += member.host + std::to_string(member.boot) + "@" +
            std::to_string(list.members.size());
    for (const Member& listed : list.members) text += listed.host;
  }
  for (const auto& [member, list] : sent_) text += "," + member.host;
  for (const MemberList& list : RequiredLists()) {
    text += ";" + std::to_string(list.since.major) + "." +
            std::to_string(list.since.minor);
    for (const Member& listed : list.members) text += listed.host;
  }
  return text;
}

AppendRound::AppendRound(MemberList list, size_t quorum)
    : list_(std::move(list)), quorum_(quorum) {}

void AppendRound::OnReply(const Member& from, const AppendReply& reply,
                          const Epoch& epoch) {
  if (!reply.accepted) {
    // A refusal with a lower sealed epoch comes from a restarted process, which
    // is no longer a member. It does not fence the owner.
    fenced_ = fenced_ || reply.sealed >= epoch;
    return;
  }
  if (Contains(list_.members, from) && !Contains(holders_, from)) {
    holders_.push_back(from);
  }
}

std::vector<AppendRequest> MakeAppends(uint32_t shard, const Epoch& epoch,
                                       const Member& holder,
                                       const MemberList& list,
                                       const std::vector<Record>& records,
                                       bool replace_all, uint64_t number) {
  std::vector<AppendRequest> requests;
  for (const Member& member : list.members) {
    requests.push_back({.shard = shard,
                        .epoch = epoch,
                        .holder = holder,
                        .target = member,
                        .list = list,
                        .records = records,
                        .replace_all = replace_all,
                        .number = number});
  }
  return requests;
}

}  // namespace pimento
