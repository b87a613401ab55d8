#include "src/admission_window.h"

#include <algorithm>

namespace pimento {
namespace {

// Weight of the newest answer in the moving average.
constexpr double kAveragePaceWeight = 0.1;
// An answer slower than this multiple of the average pace multiplies the limit
// by kSlowDecrease.
constexpr double kSlowRatio = 1.6;
constexpr double kSlowDecrease = 0.9;
// Each slower answer raises the fastest pace by this factor, so that it follows
// a lasting change.
constexpr double kFastestPaceGrowth = 1.02;

}  // namespace

AdmissionWindow::AdmissionWindow(WindowOptions options, int64_t now_ms)
    : options_(options),
      cold_until_ms_(now_ms + options.cold_start_ms),
      last_answer_ms_(now_ms),
      warm_limit_(options.cold_window) {}

bool AdmissionWindow::IsCold(int64_t now_ms) const {
  return now_ms < cold_until_ms_ || now_ms - last_answer_ms_ > options_.idle_ms;
}

uint32_t AdmissionWindow::Limit(int64_t now_ms) const {
  if (IsCold(now_ms)) return options_.cold_window;
  const auto limit = static_cast<uint32_t>(warm_limit_);
  return std::clamp(limit, options_.cold_window, options_.full_window);
}

bool AdmissionWindow::IsUsualPace(double pace_ms) const {
  return average_pace_ms_ == 0 ||
         pace_ms <= average_pace_ms_ * options_.cold_ratio;
}

bool AdmissionWindow::ProvesWarm(double pace_ms) const {
  return fastest_pace_ms_ > 0 && pace_ms <= fastest_pace_ms_ * kSlowRatio;
}

void AdmissionWindow::OnSuccess(int64_t now_ms, double pace_ms) {
  const bool idle = now_ms - last_answer_ms_ > options_.idle_ms;
  last_answer_ms_ = now_ms;
  if (idle) warm_limit_ = options_.cold_window;
  if (now_ms < cold_until_ms_) return;
  if (!IsUsualPace(pace_ms)) {
    OnFailure(now_ms);
    // Include the slow pace, so that the average follows a lasting change.
    average_pace_ms_ += (pace_ms - average_pace_ms_) * kAveragePaceWeight;
    return;
  }
  const bool slow =
      average_pace_ms_ > 0 && pace_ms > average_pace_ms_ * kSlowRatio;
  warm_limit_ = slow ? warm_limit_ * kSlowDecrease : warm_limit_ + 1;
  warm_limit_ =
      std::clamp(warm_limit_, static_cast<double>(options_.cold_window),
                 static_cast<double>(options_.full_window));
  fastest_pace_ms_ =
      fastest_pace_ms_ == 0
          ? pace_ms
          : std::min(pace_ms, fastest_pace_ms_ * kFastestPaceGrowth);
  average_pace_ms_ = average_pace_ms_ == 0
                         ? pace_ms
                         : average_pace_ms_ + (pace_ms - average_pace_ms_) *
                                                  kAveragePaceWeight;
}

void AdmissionWindow::OnFailure(int64_t now_ms) {
  cold_until_ms_ = now_ms + options_.cold_start_ms;
  last_answer_ms_ = now_ms;
  warm_limit_ = options_.cold_window;
}

}  // namespace pimento
