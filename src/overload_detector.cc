#include "src/overload_detector.h"

#include <algorithm>

namespace pimento {
namespace {

// One pause of the whole process, however long, is no strain by itself.
constexpr double kMaxSampleMs = 150;
// The others must be able to take the load.
constexpr size_t kReadyPerExcluded = 3;

}  // namespace

void OverloadDetector::Observe(double late_ms, int64_t now_ms) {
  const double sample = std::clamp(late_ms, 0.0, kMaxSampleMs);
  average_ms_ += options_.weight * (sample - average_ms_);
  if (!overloaded_ && average_ms_ >= options_.enter_threshold_ms) {
    overloaded_ = true;
    overloaded_since_ms_ = now_ms;
    return;
  }
  const bool held = now_ms - overloaded_since_ms_ < options_.hold_ms;
  if (overloaded_ && !held && average_ms_ < options_.exit_threshold_ms) {
    overloaded_ = false;
  }
}

bool MayExcludeOverloaded(size_t overloaded, size_t ready) {
  return overloaded > 0 && overloaded * kReadyPerExcluded <= ready;
}

}  // namespace pimento
