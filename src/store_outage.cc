#include "src/store_outage.h"

namespace pimento {

void StoreOutage::AddReport(const std::string& host, int64_t silent_ms,
                            int64_t as_of_ms) {
  OutageReport& report = reports_[host];
  if (as_of_ms < report.as_of_ms) return;
  report = {.silent_ms = silent_ms, .as_of_ms = as_of_ms};
}

bool StoreOutage::Confirmed(int64_t hosts, int64_t now_ms) const {
  int64_t lost = 0;
  for (const auto& [host, report] : reports_) {
    if (now_ms - report.as_of_ms > options_.report_ttl_ms) continue;
    if (report.silent_ms < options_.lost_after_ms) return false;
    ++lost;
  }
  return hosts > 1 && static_cast<double>(lost) >=
                          options_.min_share * static_cast<double>(hosts);
}

}  // namespace pimento
