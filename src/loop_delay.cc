#include "src/loop_delay.h"

#include <algorithm>

namespace pimento {
namespace {

using std::chrono::milliseconds;

// A timer that is handled later than this was delayed by the loop.
constexpr milliseconds kLate{5};
// Long enough for one turn of a loop that is no longer delayed.
constexpr milliseconds kOneTurn{10};

}  // namespace

void LoopDelay::OnTurn(Time now) {
  if (last_turn_) {
    total_ += std::max(Duration::zero(), now - *last_turn_ - max_step_);
  }
  last_turn_ = now;
}

PeerTime LoopDelay::At(Time now) const {
  const Time counted =
      last_turn_ ? std::min(now, *last_turn_ + max_step_) : now;
  return PeerTime(counted.time_since_epoch() - total_);
}

std::optional<SilenceLimit::Duration> SilenceLimit::WaitLonger(
    Time due, Time now, PeerTime peer_now) {
  if (peer_now < until_) return std::max<Duration>(until_ - peer_now, kLate);
  if (now - due <= kLate || waited_for_turn_) return std::nullopt;
  waited_for_turn_ = true;
  return kOneTurn;
}

}  // namespace pimento
