#include "src/usage_gossip.h"

#include "src/name_hash.h"

namespace pimento {
namespace {

// Messages that repeat a changed counter, since datagrams may be lost.
constexpr int kSendsPerChange = 4;
// Unchanged counters considered for each message, in round-robin order.
constexpr size_t kUnchangedPerMessage = 4;

bool Same(const TeamQuota::AdmissionCounts& a,
          const TeamQuota::AdmissionCounts& b) {
  return a.admitted == b.admitted && a.started == b.started;
}

}  // namespace

std::vector<UsageGossip::Entry> UsageGossip::NextEntries(
    const std::unordered_map<std::string, TeamQuota::AdmissionCounts>& used) {
  for (const auto& [team, use] : used) {
    SentCounter& counter = counters_[HashName(team)];
    if (Same(counter.use, use)) continue;
    counter = {.use = use, .sends_left = kSendsPerChange};
  }
  std::vector<Entry> entries;
  for (auto& [team, counter] : counters_) {
    if (counter.sends_left == 0) continue;
    --counter.sends_left;
    entries.push_back({team, counter.use});
  }
  auto it = counters_.upper_bound(last_refreshed_);
  for (size_t i = 0; i < kUnchangedPerMessage && i < counters_.size(); ++i) {
    if (it == counters_.end()) it = counters_.begin();
    last_refreshed_ = it->first;
    if (it->second.sends_left == 0) {
      entries.push_back({last_refreshed_, it->second.use});
    }
    ++it;
  }
  return entries;
}

PeerUsage::Increase PeerUsage::ApplyCounters(
    const std::vector<UsageGossip::Entry>& entries) {
  Increase increase;
  for (const UsageGossip::Entry& entry : entries) {
    const auto [it, first] = known_.try_emplace(entry.team);
    const TeamQuota::AdmissionCounts before = it->second;
    it->second = entry.use;
    if (first && !from_start_) {
      increase.uncharged.push_back(entry);
      continue;
    }
    const TeamQuota::AdmissionCounts delta{entry.use.admitted - before.admitted,
                                           entry.use.started - before.started};
    if (delta.admitted != 0 || delta.started != 0) {
      increase.charged.push_back({entry.team, delta});
    }
  }
  return increase;
}

}  // namespace pimento
