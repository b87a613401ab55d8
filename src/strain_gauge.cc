#include "src/strain_gauge.h"

#include <algorithm>

namespace pimento {
namespace {

// One pause of the whole process, however long, is no strain by itself.
constexpr double kMostSampleMs = 150;
// The others must be able to take the load.
constexpr size_t kReadyForEachLeftOut = 3;

}  // namespace

void StrainGauge::Observe(double late_ms, int64_t now_ms) {
  const double sample = std::clamp(late_ms, 0.0, kMostSampleMs);
  average_ms_ += options_.weight * (sample - average_ms_);
  if (!strained_ && average_ms_ >= options_.strained_from_ms) {
    strained_ = true;
    since_ms_ = now_ms;
    return;
  }
  const bool held = now_ms - since_ms_ < options_.hold_ms;
  if (strained_ && !held && average_ms_ < options_.relieved_below_ms) {
    strained_ = false;
  }
}

bool MayLeaveOut(size_t strained, size_t ready) {
  return strained > 0 && strained * kReadyForEachLeftOut <= ready;
}

}  // namespace pimento
