// Loops of a process that must not end with an error, and tasks that run side
// by side.
#include "src/background_loop.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>

TEST_CASE("a loop that an error ends starts again until it returns") {
  boost::asio::io_context io;
  int passes = 0;
  pimento::KeepRunning(io, "test", [&]() -> boost::asio::awaitable<void> {
    if (++passes < 3) throw std::runtime_error("an unexpected error");
    co_return;
  });
  io.run_for(std::chrono::seconds(3));
  CHECK(passes == 3);
  CHECK(io.stopped());
}

TEST_CASE("tasks run side by side, and an error in one ends no other") {
  namespace asio = boost::asio;
  asio::io_context io;
  int running = 0;
  int most = 0;
  int ended = 0;
  bool returned = false;
  const auto task = [&](bool fails) {
    return pimento::NamedTask{"test", [&, fails]() -> asio::awaitable<void> {
                                most = std::max(most, ++running);
                                asio::steady_timer pause(
                                    io, std::chrono::milliseconds(5));
                                co_await pause.async_wait(asio::use_awaitable);
                                --running;
                                if (fails) throw std::runtime_error("no");
                                ++ended;
                              }};
  };
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        std::vector<pimento::NamedTask> tasks = {task(false), task(true),
                                                 task(false)};
        co_await pimento::RunTogether(io, std::move(tasks));
        CHECK(running == 0);
        std::vector<pimento::NamedTask> none;
        co_await pimento::RunTogether(io, std::move(none));
        returned = true;
      },
      asio::detached);
  io.run();
  CHECK(returned);
  CHECK(most == 3);
  CHECK(ended == 2);
}
