#include "src/store_outage.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace pimento {
namespace {

constexpr double kContactWaitShare = 0.26;

}  // namespace

std::chrono::milliseconds MaxContactWait(int64_t revoke_ms) {
  return std::chrono::milliseconds(
      static_cast<int64_t>(static_cast<double>(revoke_ms) * kContactWaitShare));
}

void StoreOutage::AddReport(const std::string& host, int64_t overdue_ms,
                            int64_t as_of_ms) {
  OutageReport& report = reports_[host];
  if (as_of_ms < report.as_of_ms) return;
  report = {.overdue_ms = overdue_ms, .as_of_ms = as_of_ms};
}

bool StoreOutage::IsCurrent(const OutageReport& report, int64_t now_ms) const {
  return now_ms - report.as_of_ms <= options_.report_ttl_ms;
}

bool StoreOutage::IsLost(const OutageReport& report) const {
  return report.overdue_ms >= options_.lost_after_ms;
}

std::vector<std::string> StoreOutage::LostHosts(int64_t now_ms) const {
  std::vector<std::string> hosts;
  for (const auto& [host, report] : reports_) {
    if (IsCurrent(report, now_ms) && IsLost(report)) hosts.push_back(host);
  }
  return hosts;
}

std::optional<int64_t> StoreOutage::DurationMs(int64_t hosts,
                                               int64_t now_ms) const {
  std::vector<int64_t> lost_for_ms;
  for (const auto& [host, report] : reports_) {
    if (!IsCurrent(report, now_ms)) continue;
    if (!IsLost(report)) return std::nullopt;
    lost_for_ms.push_back(report.overdue_ms + now_ms - report.as_of_ms);
  }
  const auto needed = static_cast<size_t>(
      std::ceil(options_.min_share * static_cast<double>(hosts)));
  if (hosts <= 1 || lost_for_ms.size() < needed) return std::nullopt;
  std::sort(lost_for_ms.begin(), lost_for_ms.end(), std::greater<>());
  return lost_for_ms[needed - 1];
}

}  // namespace pimento
