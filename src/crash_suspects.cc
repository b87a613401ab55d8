#include "src/crash_suspects.h"

#include <algorithm>
#include <array>

namespace pimento {
namespace {

// Messages that carry a new report.
constexpr int kGossipSends = 4;
// New reports, and requests of the round robin, in one gossip message.
constexpr size_t kMaxNewPerMessage = 64;
constexpr size_t kRefreshedPerMessage = 2;
// Crashes after which a request is refused for the first hold.
constexpr int kCrashesOfFirstHold = 2;
// Crashes kept for one request; beyond it, those that do not count any more are
// dropped.
constexpr size_t kMaxCrashesKept = 16;

struct StageRow {
  RunStage stage;
  std::string_view name;
  // What one crash at this stage adds to the weight of a request.
  uint8_t weight;
};
constexpr std::array kStages = {
    StageRow{RunStage::kSent, "sent", 1},
    StageRow{RunStage::kBegun, "begun", 2},
    StageRow{RunStage::kProducing, "producing", 1},
};
static_assert(kStages.size() == static_cast<size_t>(RunStage::kCount));

const StageRow& Row(RunStage stage) {
  return kStages[static_cast<size_t>(stage)];
}

// Crashes that count, and the sum of their weights.
struct Score {
  int crashes = 0;
  int weight = 0;
};
Score ScoreOf(const std::map<uint64_t, uint8_t>& crashes) {
  Score score;
  for (const auto& [process, weight] : crashes) {
    if (weight == kClearedWeight) continue;
    ++score.crashes;
    score.weight += weight;
  }
  return score;
}

}  // namespace

std::string_view Name(RunStage stage) { return Row(stage).name; }

bool CrashSuspects::OnCrash(const RequestFingerprints& request,
                            uint64_t process, RunStage stage, int64_t now_ms) {
  bool added = false;
  for (const uint64_t fingerprint : {request.exact, request.leading}) {
    const CrashReport report{.request = fingerprint,
                             .process = process,
                             .weight = Row(stage).weight};
    if (!Raise(report, now_ms)) continue;
    added = true;
    Announce(fingerprint, process);
  }
  return added;
}

bool CrashSuspects::OnPeerReport(const CrashReport& report, int64_t now_ms) {
  if (report.weight == 0 || report.age_ms < 0) return false;
  const bool known = requests_.count(report.request) > 0;
  if (!known && report.age_ms >= options_.max_hold_ms) return false;
  return Raise(report, now_ms);
}

bool CrashSuspects::Raise(const CrashReport& report, int64_t now_ms) {
  if (requests_.count(report.request) == 0) MakeRoom();
  Request& request = requests_[report.request];
  uint8_t& weight = request.crashes[report.process];
  if (weight >= report.weight) return false;
  weight = report.weight;
  request.last_crash_ms =
      std::max(request.last_crash_ms, now_ms - report.age_ms);
  if (request.crashes.size() > kMaxCrashesKept) {
    std::erase_if(request.crashes, [&](const auto& crash) {
      return crash.first != report.process && crash.second == kClearedWeight;
    });
  }
  return true;
}

bool CrashSuspects::OnServed(const RequestFingerprints& request) {
  const bool exact = Clear(request.exact);
  const bool leading = Clear(request.leading);
  return exact || leading;
}

bool CrashSuspects::Clear(uint64_t fingerprint) {
  const auto it = requests_.find(fingerprint);
  if (it == requests_.end()) return false;
  bool cleared = false;
  for (auto& [process, weight] : it->second.crashes) {
    if (weight == kClearedWeight) continue;
    weight = kClearedWeight;
    cleared = true;
    Announce(fingerprint, process);
  }
  return cleared;
}

void CrashSuspects::Announce(uint64_t request, uint64_t process) {
  pending_gossip_.push_back({request, process, kGossipSends});
}

int64_t CrashSuspects::HoldMs(const Request& request) const {
  const Score score = ScoreOf(request.crashes);
  const bool refused = score.crashes >= options_.max_crashes ||
                       score.weight >= options_.max_weight;
  if (!refused) return 0;
  int64_t hold_ms = options_.first_hold_ms;
  for (int i = kCrashesOfFirstHold; i < score.crashes; ++i) {
    hold_ms = std::min(hold_ms * options_.hold_factor, options_.max_hold_ms);
  }
  return hold_ms;
}

int64_t CrashSuspects::ExpiryMs(const Request& request) const {
  return request.last_crash_ms + HoldMs(request) + options_.suspicion_ms;
}

int CrashSuspects::Crashes(const RequestFingerprints& request) const {
  return std::max(CrashesOf(request.exact), CrashesOf(request.leading));
}

int64_t CrashSuspects::RefusedForMs(const RequestFingerprints& request,
                                    int64_t now_ms) const {
  return std::max(RefusedForMs(request.exact, now_ms),
                  RefusedForMs(request.leading, now_ms));
}

int CrashSuspects::CrashesOf(uint64_t fingerprint) const {
  const auto it = requests_.find(fingerprint);
  return it == requests_.end() ? 0 : ScoreOf(it->second.crashes).crashes;
}

int64_t CrashSuspects::RefusedForMs(uint64_t fingerprint,
                                    int64_t now_ms) const {
  const auto it = requests_.find(fingerprint);
  if (it == requests_.end()) return 0;
  const int64_t until_ms = it->second.last_crash_ms + HoldMs(it->second);
  return std::max<int64_t>(0, until_ms - now_ms);
}

std::vector<CrashReport> CrashSuspects::NextGossipBatch(int64_t now_ms) {
  std::vector<CrashReport> reports;
  const auto add = [&](uint64_t id, const Request& request, uint64_t process) {
    const auto crash = request.crashes.find(process);
    if (crash == request.crashes.end()) return;  // dropped meanwhile
    reports.push_back({.request = id,
                       .process = process,
                       .weight = crash->second,
                       .age_ms = now_ms - request.last_crash_ms});
  };
  const size_t count = std::min(pending_gossip_.size(), kMaxNewPerMessage);
  for (size_t i = 0; i < count; ++i) {
    PendingGossip pending = pending_gossip_.front();
    pending_gossip_.pop_front();
    const auto it = requests_.find(pending.request);
    if (it == requests_.end()) continue;  // forgotten meanwhile
    add(pending.request, it->second, pending.process);
    if (--pending.sends_left > 0) pending_gossip_.push_back(pending);
  }
  auto it = requests_.upper_bound(last_refreshed_);
  for (size_t i = 0; i < kRefreshedPerMessage && i < requests_.size(); ++i) {
    if (it == requests_.end()) it = requests_.begin();
    last_refreshed_ = it->first;
    for (const auto& [process, weight] : it->second.crashes) {
      add(it->first, it->second, process);
    }
    ++it;
  }
  return reports;
}

void CrashSuspects::MakeRoom() {
  if (requests_.size() < options_.max_requests) return;
  const auto first = std::min_element(
      requests_.begin(), requests_.end(), [this](const auto& a, const auto& b) {
        return ExpiryMs(a.second) < ExpiryMs(b.second);
      });
  requests_.erase(first);
}

void CrashSuspects::Sweep(int64_t now_ms) {
  std::erase_if(requests_, [&](const auto& item) {
    return ExpiryMs(item.second) <= now_ms;
  });
}

}  // namespace pimento
