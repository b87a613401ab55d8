// Loops of a process that must not end with an error.
#include "src/background_loop.h"

#include <doctest/doctest.h>

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
