#include "src/loop_clock.h"

#include <algorithm>
#include <utility>

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A turn may begin a little later than its interval says.
constexpr milliseconds kTurnSlack{15};

}  // namespace

asio::execution_context::id LoopClock::id;

LoopClock::LoopClock(asio::execution_context& context)
    : asio::execution_context::service(context),
      delay_(kTurnInterval + kTurnSlack) {}

LoopClock& LoopClock::Of(asio::execution_context& context) {
  return asio::use_service<LoopClock>(context);
}

LoopClock& LoopClock::Of(const asio::any_io_executor& executor) {
  return Of(asio::query(executor, asio::execution::context));
}

asio::awaitable<void> LoopClock::RunTurns(milliseconds interval) {
  delay_.set_max_step(interval + kTurnSlack);
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    OnTurn();
    timer.expires_after(interval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

int64_t LoopClock::NowMs() const {
  return duration_cast<milliseconds>(Now().time_since_epoch()).count();
}

int64_t LoopClock::DelayMs() const {
  return duration_cast<milliseconds>(delay_.total()).count();
}

SilenceTimer::SilenceTimer(const asio::any_io_executor& executor,
                           milliseconds limit, std::function<void()> on_silent)
    : SilenceTimer(executor, LoopClock::Of(executor).Now() + limit,
                   std::move(on_silent)) {}

SilenceTimer::SilenceTimer(const asio::any_io_executor& executor,
                           PeerTime until, std::function<void()> on_silent)
    : state_(std::make_shared<State>(executor, until, std::move(on_silent))) {
  Wait(state_, std::max<LoopDelay::Duration>(until - state_->clock.Now(),
                                             LoopDelay::Duration::zero()));
}

SilenceTimer::~SilenceTimer() {
  state_->ended = true;
  state_->timer.cancel();
}

void SilenceTimer::Wait(const std::shared_ptr<State>& state,
                        LoopDelay::Duration time) {
  state->timer.expires_after(time);
  state->timer.async_wait([state](const boost::system::error_code& error) {
    if (error || state->ended) return;
    const auto longer = state->limit.WaitLonger(
        state->timer.expiry(), steady_clock::now(), state->clock.Now());
    if (longer) {
      state->clock.CountPutOff();
      Wait(state, *longer);
      return;
    }
    state->fired = true;
    state->on_silent();
  });
}

asio::awaitable<void> YieldToLoop() {
  const auto executor = co_await asio::this_coro::executor;
  co_await asio::post(executor, asio::use_awaitable);
}

asio::awaitable<void> WaitForPeer(asio::steady_timer& wakeup,
                                  milliseconds limit,
                                  std::function<bool()> answered) {
  LoopClock& clock = LoopClock::Of(wakeup.get_executor());
  SilenceLimit silence(clock.Now() + limit);
  wakeup.expires_after(limit);
  for (;;) {
    boost::system::error_code error;
    co_await wakeup.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (answered() || error) co_return;
    const auto longer =
        silence.WaitLonger(wakeup.expiry(), steady_clock::now(), clock.Now());
    if (!longer) co_return;
    clock.CountPutOff();
    wakeup.expires_after(*longer);
  }
}

}  // namespace pimento
