#include "src/fair_queue.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <utility>

namespace pimento {
namespace {

// Attained tokens that one second of waiting offsets, so that a stream of short
// programs does not starve long ones.
constexpr double kAgeingTokensPerSecond = 400;

std::vector<WaitingCall> RemoveIf(std::deque<WaitingCall>& calls,
                                  bool (*should_remove)(const WaitingCall&,
                                                        const void*),
                                  const void* context) {
  const auto first_removed = std::stable_partition(
      calls.begin(), calls.end(),
      [&](const WaitingCall& call) { return !should_remove(call, context); });
  std::vector<WaitingCall> removed(std::make_move_iterator(first_removed),
                                   std::make_move_iterator(calls.end()));
  calls.erase(first_removed, calls.end());
  return removed;
}

// First in, first out.
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
  std::vector<WaitingCall> Remove(bool (*should_remove)(const WaitingCall&,
                                                        const void*),
                                  const void* context) override {
    return RemoveIf(calls_, should_remove, context);
  }

 private:
  std::deque<WaitingCall> calls_;
};

// Virtual token counters among teams (weighted fair queueing), least attained
// service within a team.
class VirtualTokenQueue final : public FairQueue {
 public:
  void Push(WaitingCall call) override {
    Team& team = teams_[call.team];
    // A team that had no calls waiting gets no credit for its idle time.
    if (team.calls.empty()) team.served = std::max(team.served, MinServed());
    team.calls.push_back(std::move(call));
    ++size_;
  }

  std::optional<WaitingCall> Pop(int64_t now_ms) override {
    Team* least = LeastServed();
    if (least == nullptr) return std::nullopt;
    last_served_ = least->served;
    const auto best =
        std::min_element(least->calls.begin(), least->calls.end(),
                         [now_ms](const WaitingCall& a, const WaitingCall& b) {
                           const bool late_a = IsLate(a, now_ms);
                           const bool late_b = IsLate(b, now_ms);
                           if (late_a != late_b) return late_b;
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

  std::vector<WaitingCall> Remove(bool (*should_remove)(const WaitingCall&,
                                                        const void*),
                                  const void* context) override {
    std::vector<WaitingCall> all;
    for (auto& [name, team] : teams_) {
      std::vector<WaitingCall> removed =
          RemoveIf(team.calls, should_remove, context);
      size_ -= removed.size();
      std::move(removed.begin(), removed.end(), std::back_inserter(all));
    }
    return all;
  }

 private:
  struct Team {
    // Tokens served, divided by the weight.
    double served = 0;
    std::deque<WaitingCall> calls;
  };

  // True when the program of the call cannot finish in time any more.
  static bool IsLate(const WaitingCall& call, int64_t now_ms) {
    return call.finish_by_ms > 0 && call.finish_by_ms <= now_ms;
  }

  // The call with the lowest rank goes first, tokens.
  static double Rank(const WaitingCall& call, int64_t now_ms) {
    const double waited_s =
        static_cast<double>(now_ms - call.arrived_ms) / 1000.0;
    return call.attained - waited_s * kAgeingTokensPerSecond;
  }

  // The team with waiting calls that was served least, or null.
  Team* LeastServed() {
    Team* least = nullptr;
    for (auto& [name, team] : teams_) {
      if (team.calls.empty()) continue;
      if (least == nullptr || team.served < least->served) least = &team;
    }
    return least;
  }

  // `served` of that team; of the last one popped when no calls wait.
  double MinServed() const {
    double least = std::numeric_limits<double>::infinity();
    for (const auto& [name, team] : teams_) {
      if (!team.calls.empty()) least = std::min(least, team.served);
    }
    return least == std::numeric_limits<double>::infinity() ? last_served_
                                                            : least;
  }

  std::map<std::string, Team> teams_;
  // `served` of the team of the last Pop(), before the charge.
  double last_served_ = 0;
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
