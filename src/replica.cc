#include "src/replica.h"

#include <algorithm>
#include <utility>

namespace pimento {

Replica::Replica(Member self, ReplicaRules rules)
    : self_(std::move(self)), rules_(rules) {}

bool Replica::IsTarget(const Member& target) const {
  return rules_.check_incarnation ? target == self_ : target.host == self_.host;
}

AppendReply Replica::Append(const AppendRequest& request) {
  const bool same_holder = request.holder == holder_ || !rules_.check_holder;
  const bool current =
      request.epoch > sealed_ || (request.epoch == sealed_ && same_holder);
  if (!IsTarget(request.target) || !current) {
    return {.accepted = false, .sealed = sealed_};
  }
  AdvanceSeal(request.epoch, request.holder);
  SetEstablishedList(request.list);
  // A full copy that arrives late must not delete the records of later appends.
  const bool newest = request.number >= last_append_number_;
  if (request.replace_all && newest) records_.clear();
  last_append_number_ = std::max(last_append_number_, request.number);
  Merge(request.records);
  return {.accepted = true, .sealed = sealed_};
}

bool Replica::MaySeal(const SealRequest& request) const {
  const bool same_holder = request.holder == holder_ || !rules_.check_holder;
  if (request.epoch == sealed_) return same_holder;
  if (request.epoch < sealed_) return false;
  if (request.granted_by_platform || sealed_ == Epoch{}) return true;
  if (request.epoch.major != sealed_.major) return false;
  const bool standby =
      list_.members.size() > 1 && list_.members[1] == request.holder;
  const bool consented = successor_ && *successor_ == request.holder;
  // A member may always seal its own replica: the claim still needs the seal of
  // another member, and that one accepts only the holder, the standby or the
  // successor that the owner consented to.
  const bool own = request.holder == self_;
  return request.holder == holder_ || standby || consented || own ||
         !rules_.check_standby;
}

SealReply Replica::Seal(const SealRequest& request) {
  SealReply reply{.accepted = IsTarget(request.target) && MaySeal(request),
                  .sealed = sealed_,
                  .list = list_,
                  .proposals = proposals_,
                  .records = {}};
  if (!reply.accepted) return reply;
  AdvanceSeal(request.epoch, request.holder);
  AddProposal(request.list);
  reply.sealed = sealed_;
  reply.records = RecordList();
  return reply;
}

void Replica::ConsentTo(const Member& successor) { successor_ = successor; }

std::vector<Record> Replica::RecordList() const {
  std::vector<Record> all;
  all.reserve(records_.size());
  for (const auto& [key, record] : records_) all.push_back(record);
  return all;
}

void Replica::AdvanceSeal(const Epoch& epoch, const Member& holder) {
  if (epoch > sealed_) {
    successor_.reset();
    last_append_number_ = 0;
  }
  sealed_ = epoch;
  holder_ = holder;
}

void Replica::SetEstablishedList(const MemberList& list) {
  list_ = list;
  std::erase_if(proposals_,
                [&](const MemberList& old) { return old.since <= list.since; });
}

void Replica::AddProposal(const MemberList& list) {
  std::erase_if(proposals_,
                [&](const MemberList& old) { return old.since == list.since; });
  proposals_.push_back(list);
}

void Replica::Merge(const std::vector<Record>& records) {
  MergeRecords(records, records_);
}

void MergeRecords(const std::vector<Record>& from,
                  std::map<std::string, Record>& into) {
  for (const Record& record : from) {
    auto [it, inserted] = into.try_emplace(record.key, record);
    if (!inserted && Supersedes(record, it->second)) it->second = record;
    // An empty value deletes the key.
    if (it->second.value.empty()) into.erase(it);
  }
}

}  // namespace pimento
