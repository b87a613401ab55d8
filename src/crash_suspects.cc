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
// A request that ran to its end counts as harmless for one to two times this.
constexpr int64_t kServedMs = 5'000;
// Beyond this number fingerprints that ran to their end are not recorded.
constexpr size_t kMaxServed = 16'384;
// Reports of refused requests in a message to a gateway that has just started.
constexpr size_t kMaxRefusedPerMessage = 300;
// Beyond this number new reports are not announced.
constexpr size_t kMaxNewReports = 4'096;
// Crashes kept for one request; beyond it, those that do not count any more are
// dropped.
constexpr size_t kMaxCrashesKept = 32;

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
    if (WasServed(fingerprint)) continue;
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
  const bool valid =
      report.weight == kClearedWeight ||
      (report.weight > 0 && report.weight <= Row(RunStage::kBegun).weight);
  if (!valid || report.age_ms < 0) return false;
  const bool known = requests_.count(report.request) > 0;
  if (!known && report.age_ms >= options_.max_hold_ms) return false;
  const bool innocent =
      report.weight != kClearedWeight && WasServed(report.request);
  if (!innocent) return Raise(report, now_ms);
  CrashReport cleared = report;
  cleared.weight = kClearedWeight;
  if (!Raise(cleared, now_ms)) return false;
  Announce(report.request, report.process);
  return true;
}

bool CrashSuspects::Raise(const CrashReport& report, int64_t now_ms) {
  if (requests_.count(report.request) == 0) MakeRoom();
  Request& request = requests_[report.request];
  const auto known = request.crashes.find(report.process);
  if (known != request.crashes.end() && known->second >= report.weight) {
    return false;
  }
  places_.erase(PlaceOf(report.request, request));
  const bool added = known != request.crashes.end() || !IsFull(request);
  if (added) request.crashes[report.process] = report.weight;
  request.last_crash_ms =
      std::max(request.last_crash_ms, now_ms - report.age_ms);
  if (request.crashes.size() > kMaxCrashesKept) {
    std::erase_if(request.crashes, [&](const auto& crash) {
      return crash.first != report.process && crash.second == kClearedWeight;
    });
  }
  places_.insert(PlaceOf(report.request, request));
  return added;
}

bool CrashSuspects::IsFull(const Request& request) {
  const Score score = ScoreOf(request.crashes);
  return static_cast<size_t>(score.crashes) >= kMaxCrashesKept;
}

bool CrashSuspects::OnServed(const RequestFingerprints& request) {
  if (served_.size() < kMaxServed) {
    served_.insert(request.exact);
    served_.insert(request.leading);
  }
  const bool exact = Clear(request.exact);
  const bool leading = Clear(request.leading);
  return exact || leading;
}

bool CrashSuspects::WasServed(uint64_t fingerprint) const {
  return served_.count(fingerprint) > 0 ||
         served_before_.count(fingerprint) > 0;
}

bool CrashSuspects::Clear(uint64_t fingerprint) {
  const auto it = requests_.find(fingerprint);
  if (it == requests_.end()) return false;
  places_.erase(PlaceOf(fingerprint, it->second));
  bool cleared = false;
  for (auto& [process, weight] : it->second.crashes) {
    if (weight == kClearedWeight) continue;
    weight = kClearedWeight;
    cleared = true;
    Announce(fingerprint, process);
  }
  places_.insert(PlaceOf(fingerprint, it->second));
  return cleared;
}

void CrashSuspects::Announce(uint64_t request, uint64_t process) {
  // Beyond the bound, the round robin tells it.
  if (new_reports_.size() >= kMaxNewReports) return;
  new_reports_.push_back({request, process, kGossipSends});
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

void CrashSuspects::AddPending(std::deque<PendingGossip>& queue, size_t count,
                               int64_t now_ms,
                               std::vector<CrashReport>& reports) {
  for (; count > 0; --count) {
    PendingGossip pending = queue.front();
    queue.pop_front();
    const auto it = requests_.find(pending.request);
    if (it == requests_.end()) continue;  // forgotten meanwhile
    const auto crash = it->second.crashes.find(pending.process);
    if (crash == it->second.crashes.end()) continue;  // dropped meanwhile
    reports.push_back({.request = pending.request,
                       .process = pending.process,
                       .weight = crash->second,
                       .age_ms = now_ms - it->second.last_crash_ms});
    if (--pending.sends_left > 0) repeats_.push_back(pending);
  }
}

void CrashSuspects::AddRequest(uint64_t fingerprint, int64_t now_ms,
                               std::vector<CrashReport>& reports) const {
  const auto it = requests_.find(fingerprint);
  if (it == requests_.end() || ExpiryMs(it->second) <= now_ms) return;
  for (const auto& [process, weight] : it->second.crashes) {
    reports.push_back({.request = fingerprint,
                       .process = process,
                       .weight = weight,
                       .age_ms = now_ms - it->second.last_crash_ms});
  }
}

uint64_t CrashSuspects::NextRefused() {
  const Place first{.standing = Standing::kRefused};
  auto it = places_.upper_bound(std::max(last_refused_, first));
  if (it == places_.end()) it = places_.lower_bound(first);
  if (it == places_.end()) return 0;
  last_refused_ = *it;
  return it->request;
}

std::vector<CrashReport> CrashSuspects::NextGossipBatch(int64_t now_ms) {
  std::vector<CrashReport> reports;
  const size_t repeats = repeats_.size();
  const size_t fresh = std::min(new_reports_.size(), kMaxNewPerMessage);
  AddPending(new_reports_, fresh, now_ms, reports);
  AddPending(repeats_, std::min(repeats, kMaxNewPerMessage - fresh), now_ms,
             reports);
  const uint64_t refused = NextRefused();
  if (refused != 0) AddRequest(refused, now_ms, reports);
  auto it = requests_.upper_bound(last_refreshed_);
  for (size_t i = 0; i < kRefreshedPerMessage && i < requests_.size(); ++i) {
    if (it == requests_.end()) it = requests_.begin();
    last_refreshed_ = it->first;
    AddRequest(it->first, now_ms, reports);
    ++it;
  }
  return reports;
}

CrashSuspects::Place CrashSuspects::PlaceOf(uint64_t fingerprint,
                                            const Request& request) const {
  Place place{.standing = Standing::kSuspect,
              .expiry_ms = ExpiryMs(request),
              .request = fingerprint};
  if (HoldMs(request) > 0) place.standing = Standing::kRefused;
  if (ScoreOf(request.crashes).crashes == 0) place.standing = Standing::kClear;
  return place;
}

void CrashSuspects::Forget(uint64_t fingerprint) {
  const auto it = requests_.find(fingerprint);
  if (it == requests_.end()) return;
  places_.erase(PlaceOf(fingerprint, it->second));
  requests_.erase(it);
}

void CrashSuspects::MakeRoom() {
  if (requests_.size() < options_.max_requests) return;
  Forget(places_.begin()->request);
}

std::vector<CrashReport> CrashSuspects::RefusedReports(int64_t now_ms) const {
  std::vector<CrashReport> reports;
  for (auto it = places_.rbegin(); it != places_.rend(); ++it) {
    const bool full = reports.size() >= kMaxRefusedPerMessage;
    if (full || it->standing != Standing::kRefused) break;
    AddRequest(it->request, now_ms, reports);
  }
  return reports;
}

void CrashSuspects::Sweep(int64_t now_ms) {
  if (now_ms - served_since_ms_ >= kServedMs) {
    served_before_ = std::move(served_);
    served_.clear();
    served_since_ms_ = now_ms;
  }
  std::vector<uint64_t> over;
  for (const Place& place : places_) {
    if (place.expiry_ms <= now_ms) over.push_back(place.request);
  }
  for (const uint64_t fingerprint : over) Forget(fingerprint);
}

}  // namespace pimento
