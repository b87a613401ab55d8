// Limits the number of calls that one upstream may have in flight.
//
// An upstream that has just started fails under full load, and it may become
// cold again without notice. So the limit starts at the configured cold window,
// stays there for the configured cold-start time, and then grows by one with
// each successful answer. An answer that is somewhat slow shrinks it by a
// factor; a failure or a very slow answer, which indicate a cold upstream,
// resets it to the cold window at once.
//
//   cold_window 2, full_window 8, cold start 3 s
//   t = 0 s  first call               limit 2
//   t = 3 s  two good answers         limit 4
//   t = 4 s  connection reset         limit 2 until t = 7 s
#pragma once

#include <cstdint>

namespace pimento {

struct WindowOptions {
  // Limit while the upstream is cold.
  uint32_t cold_window = 1;
  // Highest limit while it is warm.
  uint32_t full_window = 8;
  // Duration of a cold start.
  int64_t cold_start_ms = 5'000;
  // After this long without an answer the upstream counts as cold, because its
  // capacity is no longer known.
  int64_t idle_ms = 30'000;
  // An answer slower than this multiple of the average pace indicates a cold
  // start.
  double cold_ratio = 3.0;
};

class AdmissionWindow {
 public:
  AdmissionWindow(WindowOptions options, int64_t now_ms);

  // Maximum number of calls in flight at `now_ms`.
  uint32_t Limit(int64_t now_ms) const;
  // True while the limit is the cold window.
  bool IsCold(int64_t now_ms) const;

  // Records a complete answer. `pace_ms` is its time per token, or the time of
  // the whole call if the upstream does not count tokens.
  void OnSuccess(int64_t now_ms, double pace_ms);
  // Records that the upstream refused the call, broke the connection or timed
  // out.
  void OnFailure(int64_t now_ms);

  // False for a pace slow enough to indicate a cold start.
  bool IsUsualPace(double pace_ms) const;
  // True for a pace that only a warm upstream reaches: one close to the fastest
  // known. The average pace is not usable here, because a busy machine or a
  // full batch can slow it down to the pace of a cold upstream.
  bool ProvesWarm(double pace_ms) const;
  double average_pace_ms() const { return average_pace_ms_; }
  void set_options(WindowOptions options) { options_ = options; }

 private:
  WindowOptions options_;
  int64_t cold_until_ms_;
  int64_t last_answer_ms_;
  // Limit that applies while warm, from cold_window to full_window; fractional.
  double warm_limit_;
  // Exponential moving average of the pace, updated while warm; 0 until the
  // first such answer.
  double average_pace_ms_ = 0;
  // Fastest pace, raised slightly by each slower answer; 0 until the first
  // answer while warm.
  double fastest_pace_ms_ = 0;
};

}  // namespace pimento
