#include "src/background_loop.h"

#include <chrono>
#include <exception>
#include <utility>

#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kRestartPause{100};

asio::awaitable<void> Run(std::string name,
                          std::function<asio::awaitable<void>()> loop) {
  for (;;) {
    try {
      co_await loop();
      co_return;
    } catch (const std::exception& e) {
      EventLine(Event::kHandlerFailed)
          .Text("loop", name)
          .Text("error", e.what());
    }
    asio::steady_timer pause(co_await asio::this_coro::executor, kRestartPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

}  // namespace

void KeepRunning(asio::io_context& io, std::string name,
                 std::function<asio::awaitable<void>()> loop) {
  asio::co_spawn(io, Run(std::move(name), std::move(loop)), asio::detached);
}

}  // namespace pimento
