#include "src/admission_window.h"

#include <algorithm>

namespace pimento {
namespace {

constexpr double kPaceWeight = 0.1;
// Above this many times the usual pace the window shrinks by kShrink.
constexpr double kSlowRatio = 1.6;
constexpr double kShrink = 0.9;
// Each slower answer raises what counts as the fastest pace by this factor, so
// that a lasting change becomes known.
constexpr double kFastestRise = 1.02;

}  // namespace

AdmissionWindow::AdmissionWindow(WindowOptions options, int64_t now_ms)
    : options_(options),
      cold_until_ms_(now_ms + options.cold_start_ms),
      last_answer_ms_(now_ms),
      earned_(options.cold_window) {}

bool AdmissionWindow::Cold(int64_t now_ms) const {
  return now_ms < cold_until_ms_ || now_ms - last_answer_ms_ > options_.idle_ms;
}

uint32_t AdmissionWindow::Limit(int64_t now_ms) const {
  if (Cold(now_ms)) return options_.cold_window;
  const auto earned = static_cast<uint32_t>(earned_);
  return std::clamp(earned, options_.cold_window, options_.full_window);
}

bool AdmissionWindow::UsualPace(double pace_ms) const {
  return usual_pace_ms_ == 0 || pace_ms <= usual_pace_ms_ * options_.cold_ratio;
}

bool AdmissionWindow::ProvesWarm(double pace_ms) const {
  return fastest_pace_ms_ > 0 && pace_ms <= fastest_pace_ms_ * kSlowRatio;
}

void AdmissionWindow::Succeeded(int64_t now_ms, double pace_ms) {
  const bool idle = now_ms - last_answer_ms_ > options_.idle_ms;
  last_answer_ms_ = now_ms;
  if (idle) earned_ = options_.cold_window;
  if (now_ms < cold_until_ms_) return;
  if (!UsualPace(pace_ms)) {
    Failed(now_ms);
    // A lasting change of pace becomes the usual one, slowly.
    usual_pace_ms_ += (pace_ms - usual_pace_ms_) * kPaceWeight;
    return;
  }
  const bool slow = usual_pace_ms_ > 0 && pace_ms > usual_pace_ms_ * kSlowRatio;
  earned_ = slow ? earned_ * kShrink : earned_ + 1;
  earned_ = std::clamp(earned_, static_cast<double>(options_.cold_window),
                       static_cast<double>(options_.full_window));
  fastest_pace_ms_ = fastest_pace_ms_ == 0
                         ? pace_ms
                         : std::min(pace_ms, fastest_pace_ms_ * kFastestRise);
  usual_pace_ms_ =
      usual_pace_ms_ == 0
          ? pace_ms
          : usual_pace_ms_ + (pace_ms - usual_pace_ms_) * kPaceWeight;
}

void AdmissionWindow::Failed(int64_t now_ms) {
  cold_until_ms_ = now_ms + options_.cold_start_ms;
  last_answer_ms_ = now_ms;
  earned_ = options_.cold_window;
}

}  // namespace pimento
