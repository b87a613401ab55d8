// Condition variable for coroutines of one thread, with a timeout.
//
//   while (!done) if (!co_await changed.Wait(100)) break;
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace pimento {

class AsyncCondition {
 public:
  // Returns after Notify() or after `milliseconds`, whichever is first. The
  // result does not tell which: the waiter must check its condition again.
  boost::asio::awaitable<void> Wait(int64_t milliseconds) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        co_await boost::asio::this_coro::executor);
    timer->expires_after(std::chrono::milliseconds(milliseconds));
    waiters_.push_back(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    std::erase(waiters_, timer);
  }

  void Notify() {
    for (const auto& waiter : waiters_) waiter->cancel();
  }

 private:
  std::vector<std::shared_ptr<boost::asio::steady_timer>> waiters_;
};

}  // namespace pimento
