#include "src/use_digest.h"

#include "src/name_hash.h"

namespace pimento {
namespace {

// A changed counter is told so often: datagrams are lost now and then.
constexpr int kTellings = 4;
// Counters at rest that are told in each news.
constexpr size_t kInTurn = 4;

bool Same(const TeamQuota::AdmissionCounts& a,
          const TeamQuota::AdmissionCounts& b) {
  return a.admitted == b.admitted && a.started == b.started;
}

}  // namespace

std::vector<UseDigest::Entry> UseDigest::Next(
    const std::unordered_map<std::string, TeamQuota::AdmissionCounts>& used) {
  for (const auto& [team, use] : used) {
    Told& told = told_[HashOf(team)];
    if (Same(told.use, use)) continue;
    told = {.use = use, .times_left = kTellings};
  }
  std::vector<Entry> entries;
  for (auto& [team, told] : told_) {
    if (told.times_left == 0) continue;
    --told.times_left;
    entries.push_back({team, told.use});
  }
  auto it = told_.upper_bound(last_);
  for (size_t i = 0; i < kInTurn && i < told_.size(); ++i) {
    if (it == told_.end()) it = told_.begin();
    last_ = it->first;
    if (it->second.times_left == 0) entries.push_back({last_, it->second.use});
    ++it;
  }
  return entries;
}

std::vector<UseDigest::Entry> UseLedger::Take(
    const std::vector<UseDigest::Entry>& entries) {
  std::vector<UseDigest::Entry> spent;
  for (const UseDigest::Entry& entry : entries) {
    const auto [it, first] = known_.try_emplace(entry.team);
    const TeamQuota::AdmissionCounts before = it->second;
    it->second = entry.use;
    if (first && !from_start_) continue;
    const TeamQuota::AdmissionCounts more{entry.use.admitted - before.admitted,
                                          entry.use.started - before.started};
    if (more.admitted != 0 || more.started != 0) {
      spent.push_back({entry.team, more});
    }
  }
  return spent;
}

}  // namespace pimento
