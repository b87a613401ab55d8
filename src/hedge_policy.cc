#include "src/hedge_policy.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace pimento {
namespace {

// 64 bins from 1 ms to 100 s: neighbouring edges differ by a fifth.
constexpr int kBins = 64;
constexpr double kMinMs = 1;
constexpr double kMaxMs = 100'000;

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

auto MakeTimes() {
  return boost::histogram::make_histogram(LogAxis(kBins, kMinMs, kMaxMs));
}

using Times = decltype(MakeTimes());

}  // namespace

// Answer times of the current period and of the one before.
struct HedgePolicy::RouteTimes {
  Times current = MakeTimes();
  Times previous = MakeTimes();
  size_t current_count = 0;
  size_t previous_count = 0;
  int64_t began_ms = 0;

  void StartPeriods(int64_t now_ms, int64_t window_ms) {
    if (now_ms - began_ms < window_ms) return;
    const bool adjacent = now_ms - began_ms < 2 * window_ms;
    previous = adjacent ? current : MakeTimes();
    previous_count = adjacent ? current_count : 0;
    current = MakeTimes();
    current_count = 0;
    began_ms = now_ms;
  }
};

HedgePolicy::HedgePolicy(HedgeOptions options) : options_(options) {}
HedgePolicy::~HedgePolicy() = default;

void HedgePolicy::OnRequest() {
  tokens_ = std::min(options_.burst, tokens_ + options_.max_share);
}

void HedgePolicy::OnAnswer(const std::string& route, double duration_ms,
                           int64_t now_ms) {
  auto& times = routes_[route];
  if (!times) {
    times = std::make_unique<RouteTimes>();
    times->began_ms = now_ms;
  }
  times->StartPeriods(now_ms, options_.window_ms);
  times->current(std::max(kMinMs, duration_ms));
  ++times->current_count;
}

std::optional<int64_t> HedgePolicy::DelayMs(const std::string& route,
                                            int64_t now_ms) const {
  const auto it = routes_.find(route);
  if (it == routes_.end()) return std::nullopt;
  const RouteTimes& times = *it->second;
  if (now_ms - times.began_ms >= 2 * options_.window_ms) return std::nullopt;
  const size_t count = times.current_count + times.previous_count;
  if (count < options_.min_answers) return std::nullopt;
  const double wanted = options_.quantile * static_cast<double>(count);
  double cumulative = 0;
  const Times sum = times.current + times.previous;
  for (auto&& bin : boost::histogram::indexed(sum)) {
    cumulative += static_cast<double>(*bin);
    if (cumulative < wanted) continue;
    const auto delay_ms = static_cast<int64_t>(std::ceil(bin.bin().upper()));
    return std::max(options_.min_delay_ms, delay_ms);
  }
  return std::nullopt;
}

bool HedgePolicy::TryTake() {
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void HedgePolicy::GiveBack() {
  tokens_ = std::min(options_.burst, tokens_ + 1);
}

}  // namespace pimento
