#include "src/overload_detector.h"

#include <algorithm>

namespace pimento {
namespace {

// Samples are capped at this, so that a single pause of the whole process does
// not count as overload, however long it is.
constexpr double kMaxSampleMs = 150;
// Ready hosts required for each excluded one, so that the rest can absorb its
// load.
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
