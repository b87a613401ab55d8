// Tells the silence of a peer from the delay of this process: how much of an
// elapsed time counts when others are judged by it.
//
// Load pattern: a process with a fraction of a core does something long, such
// as taking in a large configuration, while answers of its peers wait in its
// sockets. Once it is back, timers have expired of calls whose answers it has
// not read, or whose requests it has not even sent. Judged by the steady clock
// all peers are silent at once.
//
// The clock of peers follows the steady clock, but advances by at most
// `max_step` from one turn of the loop to the next. The loop reports its turns
// at an interval that is a little shorter.
//
//   turns at 0, 50, 100, stalled, 700, 750; max_step 65
//     the clock of peers:  0, 50, 100,      165, 215
//   A call with a limit of 450 that began at 60 is judged from 995 on, not when
//   its timer expires at 510 or is noticed at 700.
//
// Only judgements of others use it. What callers were promised (deadlines, the
// age of a configuration) is kept by the steady clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace pimento {

// The clock of peers. It has no now(): see LoopDelay and LoopClock.
struct PeerClock {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<PeerClock>;
  static constexpr bool is_steady = true;
};
using PeerTime = PeerClock::time_point;

class LoopDelay {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = Time::duration;

  // Until the first turn, the clock of peers follows the steady clock.
  explicit LoopDelay(Duration max_step) : max_step_(max_step) {}

  void set_max_step(Duration max_step) { max_step_ = max_step; }
  // The loop begins a turn.
  void OnTurn(Time now);
  PeerTime At(Time now) const;
  // The time that has not been counted since the first turn.
  Duration total() const { return total_; }

 private:
  Duration max_step_;
  // Empty before the first turn.
  std::optional<Time> last_turn_;
  Duration total_{};
};

// Decides at each expiry of a timer whether a peer has been silent until a
// given time, or is given longer.
class SilenceLimit {
 public:
  using Time = LoopDelay::Time;
  using Duration = LoopDelay::Duration;

  explicit SilenceLimit(PeerTime until) : until_(until) {}

  // The timer that was due at `due` is handled at `now`, `peer_now` by the
  // clock of peers. Returns how much longer to wait, or nullopt if the peer is
  // silent. After a late timer, waits for one turn of the loop in which what
  // has arrived meanwhile is read; only once, so that a loop that is always
  // late comes to a decision.
  std::optional<Duration> WaitLonger(Time due, Time now, PeerTime peer_now);

 private:
  PeerTime until_;
  bool waited_for_turn_ = false;
};

}  // namespace pimento
