#include "src/fair_queue.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <utility>

namespace pimento {
namespace {

// Attained tokens that one second of waiting outweighs. Long programs are not
// starved by a stream of short ones.
constexpr double kAgeingTokensPerSecond = 400;

std::vector<WaitingCall> TakeOut(std::deque<WaitingCall>& calls,
                                 bool (*leaves)(const WaitingCall&,
                                                const void*),
                                 const void* context) {
  const auto middle = std::stable_partition(
      calls.begin(), calls.end(),
      [&](const WaitingCall& call) { return !leaves(call, context); });
  std::vector<WaitingCall> left(std::make_move_iterator(middle),
                                std::make_move_iterator(calls.end()));
  calls.erase(middle, calls.end());
  return left;
}

// First come, first served.
class FifoQueue final : public FairQueue {
 public:
  void Push(WaitingCall call) override { calls_.push_back(std::move(call)); }
  std::optional<WaitingCall> Pop(int64_t) override {
    if (calls_.empty()) return std::nullopt;
    WaitingCall first = std::move(calls_.front());
    calls_.pop_front();
    return first;
  }
  void Settle(const std::string&, double, double, double) override {}
  size_t size() const override { return calls_.size(); }
  std::vector<WaitingCall> Remove(bool (*leaves)(const WaitingCall&,
                                                 const void*),
                                  const void* context) override {
    return TakeOut(calls_, leaves, context);
  }

 private:
  std::deque<WaitingCall> calls_;
};

// Virtual token counters among teams, least attained service within a team.
class VirtualTokenQueue final : public FairQueue {
 public:
  void Push(WaitingCall call) override {
    Team& team = teams_[call.team];
    // A team that was away does not come back with a claim on the past.
    if (team.calls.empty()) team.served = std::max(team.served, FloorServed());
    team.calls.push_back(std::move(call));
    ++size_;
  }

  std::optional<WaitingCall> Pop(int64_t now_ms) override {
    Team* least = LeastServed();
    if (least == nullptr) return std::nullopt;
    floor_ = least->served;
    const auto best =
        std::min_element(least->calls.begin(), least->calls.end(),
                         [now_ms](const WaitingCall& a, const WaitingCall& b) {
                           return Rank(a, now_ms) < Rank(b, now_ms);
                         });
    WaitingCall call = std::move(*best);
    least->calls.erase(best);
    least->served += call.cost / call.weight;
    --size_;
    return call;
  }

  void Settle(const std::string& team, double weight, double charged,
              double actual) override {
    const auto it = teams_.find(team);
    if (it != teams_.end()) it->second.served += (actual - charged) / weight;
  }

  size_t size() const override { return size_; }

  std::vector<WaitingCall> Remove(bool (*leaves)(const WaitingCall&,
                                                 const void*),
                                  const void* context) override {
    std::vector<WaitingCall> all;
    for (auto& [name, team] : teams_) {
      std::vector<WaitingCall> left = TakeOut(team.calls, leaves, context);
      size_ -= left.size();
      std::move(left.begin(), left.end(), std::back_inserter(all));
    }
    return all;
  }

 private:
  struct Team {
    // Tokens served over weight.
    double served = 0;
    std::deque<WaitingCall> calls;
  };

  static double Rank(const WaitingCall& call, int64_t now_ms) {
    const double waited_s =
        static_cast<double>(now_ms - call.arrived_ms) / 1000.0;
    return call.attained - waited_s * kAgeingTokensPerSecond;
  }

  Team* LeastServed() {
    Team* least = nullptr;
    for (auto& [name, team] : teams_) {
      if (team.calls.empty()) continue;
      if (least == nullptr || team.served < least->served) least = &team;
    }
    return least;
  }

  double FloorServed() const {
    double least = std::numeric_limits<double>::infinity();
    for (const auto& [name, team] : teams_) {
      if (!team.calls.empty()) least = std::min(least, team.served);
    }
    return least == std::numeric_limits<double>::infinity() ? floor_ : least;
  }

  std::map<std::string, Team> teams_;
  // Served counter of the team that got the last slot.
  double floor_ = 0;
  size_t size_ = 0;
};

}  // namespace

std::unique_ptr<FairQueue> MakeQueue(QueuePolicy policy) {
  if (policy == QueuePolicy::kFifo) return std::make_unique<FifoQueue>();
  return std::make_unique<VirtualTokenQueue>();
}

std::optional<QueuePolicy> QueuePolicyFromName(const std::string& name) {
  if (name == "fair") return QueuePolicy::kFair;
  if (name == "fifo") return QueuePolicy::kFifo;
  return std::nullopt;
}

}  // namespace pimento
