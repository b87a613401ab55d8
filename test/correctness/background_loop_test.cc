// Tasks that run side by side.
#include "src/background_loop.h"

#include <doctest/doctest.h>

#include <chrono>
#include <stdexcept>

namespace {

using namespace pimento;
namespace asio = boost::asio;

}  // namespace

TEST_CASE("tasks run side by side, and an error in one ends no other") {
  asio::io_context io;
  int running = 0;
  int most = 0;
  int ended = 0;
  bool returned = false;
  const auto task = [&](bool fails) {
    return NamedTask{"test", [&, fails]() -> asio::awaitable<void> {
                       most = std::max(most, ++running);
                       asio::steady_timer pause(io,
                                                std::chrono::milliseconds(5));
                       co_await pause.async_wait(asio::use_awaitable);
                       --running;
                       if (fails) throw std::runtime_error("no");
                       ++ended;
                     }};
  };
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        std::vector<NamedTask> tasks = {task(false), task(true), task(false)};
        co_await RunTogether(io, std::move(tasks));
        CHECK(running == 0);
        std::vector<NamedTask> none;
        co_await RunTogether(io, std::move(none));
        returned = true;
      },
      asio::detached);
  io.run();
  CHECK(returned);
  CHECK(most == 3);
  CHECK(ended == 2);
}
