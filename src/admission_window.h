// How many calls one upstream may have in flight.
//
// An upstream that just started collapses under full load, and turns cold again
// without warning. So the window is earned: it starts at the declared cold
// window, stays there for the declared cold-start time, and then grows by one
// for each good answer. A sign of a cold upstream takes it back at once.
//
//   cold_window 2, window 8, cold start 3 s
//   t = 0 s  first call               limit 2
//   t = 3 s  two good answers         limit 4
//   t = 4 s  connection reset         limit 2 until t = 7 s
#pragma once

#include <cstdint>

namespace pimento {

struct WindowOptions {
  uint32_t cold_window = 1;
  uint32_t full_window = 8;
  int64_t cold_start_ms = 5'000;
  // Without answers for this long, what the upstream can bear is not known.
  int64_t idle_ms = 30'000;
  // An answer slower than this many times the usual is a sign of a cold start.
  double cold_ratio = 3.0;
};

class AdmissionWindow {
 public:
  AdmissionWindow(WindowOptions options, int64_t now_ms);

  // Calls that may be in flight at `now_ms`.
  uint32_t Limit(int64_t now_ms) const;
  // True while no more than the cold window may be used.
  bool Cold(int64_t now_ms) const;

  // A whole answer arrived; `pace_ms` is its time for one token, or for the
  // call where the upstream has no tokens.
  void Succeeded(int64_t now_ms, double pace_ms);
  // The upstream refused, broke off or stayed silent.
  void Failed(int64_t now_ms);

  // False for a pace that is a sign of a cold start.
  bool UsualPace(double pace_ms) const;
  // True for a pace at which only a warm upstream answers: near the fastest one
  // known. The usual pace is no measure here, as a busy machine or a full batch
  // makes it slower, up to that of a cold upstream.
  bool ProvesWarm(double pace_ms) const;
  double usual_pace_ms() const { return usual_pace_ms_; }
  void set_options(WindowOptions options) { options_ = options; }

 private:
  WindowOptions options_;
  int64_t cold_until_ms_;
  int64_t last_answer_ms_;
  // Earned calls in flight, from cold_window to full_window.
  double earned_;
  // Moving average of the pace while warm; 0 while none is known.
  double usual_pace_ms_ = 0;
  // Fastest pace, which slower answers raise by little; 0 while none is known.
  double fastest_pace_ms_ = 0;
};

}  // namespace pimento
