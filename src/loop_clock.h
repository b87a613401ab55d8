// The clock of peers (see loop_delay.h) of one event loop, and timers that
// close in on a peer by it.
//
//   SilenceTimer silence(co_await asio::this_coro::executor, limit,
//                        [&] { connection->Close(); });
//   co_await connection->ReadHeader(...);  // throws once the timer has fired
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "src/loop_delay.h"

namespace pimento {

// One for each execution context. Single-threaded, as is its loop.
class LoopClock : public boost::asio::execution_context::service {
 public:
  using key_type = LoopClock;
  // Required by Boost.Asio.
  static boost::asio::execution_context::id id;
  explicit LoopClock(boost::asio::execution_context& context);

  static LoopClock& Of(boost::asio::execution_context& context);
  static LoopClock& Of(const boost::asio::any_io_executor& executor);

  // The owner of the loop calls this at intervals of kTurnInterval, or runs
  // RunTurns(). As long as it does neither, the clock follows the steady clock.
  void OnTurn() { delay_.OnTurn(std::chrono::steady_clock::now()); }
  static constexpr std::chrono::milliseconds kTurnInterval{50};
  // Reports turns at an interval of its own. Does not return.
  boost::asio::awaitable<void> RunTurns(std::chrono::milliseconds interval);

  PeerTime Now() const { return delay_.At(std::chrono::steady_clock::now()); }
  int64_t NowMs() const;
  // Time of this loop that was not counted as the silence of peers.
  int64_t DelayMs() const;
  // Judgements that were put off for it.
  uint64_t put_off() const { return put_off_; }
  void CountPutOff() { ++put_off_; }

 private:
  void shutdown() override {}

  LoopDelay delay_;
  uint64_t put_off_ = 0;
};

// Calls `on_silent` once a peer has been silent for `limit` by the clock of
// peers, unless the timer is destroyed before.
class SilenceTimer {
 public:
  SilenceTimer(const boost::asio::any_io_executor& executor,
               std::chrono::milliseconds limit,
               std::function<void()> on_silent);
  SilenceTimer(const boost::asio::any_io_executor& executor, PeerTime until,
               std::function<void()> on_silent);
  ~SilenceTimer();
  SilenceTimer(const SilenceTimer&) = delete;
  SilenceTimer& operator=(const SilenceTimer&) = delete;

  // True once `on_silent` has been called.
  bool fired() const { return state_->fired; }

 private:
  struct State {
    State(const boost::asio::any_io_executor& executor, PeerTime until,
          std::function<void()> action)
        : clock(LoopClock::Of(executor)),
          timer(executor),
          limit(until),
          on_silent(std::move(action)) {}
    LoopClock& clock;
    boost::asio::steady_timer timer;
    SilenceLimit limit;
    std::function<void()> on_silent;
    bool fired = false;
    // True once the SilenceTimer was destroyed.
    bool ended = false;
  };
  static void Wait(const std::shared_ptr<State>& state,
                   LoopDelay::Duration time);

  // Shared with the timer's handler.
  std::shared_ptr<State> state_;
};

// Lets the loop handle what else is ready before the caller goes on.
boost::asio::awaitable<void> YieldToLoop();

// Waits until `wakeup` is cancelled or `limit` has passed by the clock of
// peers. `answered` tells whether what is waited for has come.
boost::asio::awaitable<void> WaitForPeer(boost::asio::steady_timer& wakeup,
                                         std::chrono::milliseconds limit,
                                         std::function<bool()> answered);

}  // namespace pimento
