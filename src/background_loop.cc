#include "src/background_loop.h"

#include <chrono>
#include <exception>
#include <memory>
#include <utility>

#include "src/errors.h"
#include "src/event_log.h"
#include "src/log.h"

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
    } catch (...) {
      EventLine(Event::kHandlerFailed)
          .Text("loop", name)
          .Text("error", ExceptionMessage(std::current_exception()));
    }
    asio::steady_timer pause(co_await asio::this_coro::executor, kRestartPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

// Holds the task, in which the captures of its coroutine live.
asio::awaitable<void> RunHolding(std::function<asio::awaitable<void>()> task) {
  co_await task();
}

// Counts the tasks that still run.
struct Countdown {
  explicit Countdown(asio::io_context& io)
      : done(io, std::chrono::steady_clock::time_point::max()) {}
  size_t running = 0;
  // Cancelled when the last one has ended.
  asio::steady_timer done;
};

asio::awaitable<void> RunCounted(std::shared_ptr<Countdown> countdown,
                                 NamedTask task) {
  try {
    co_await task.run();
  } catch (...) {
    LogEscaped(task.name, std::current_exception());
  }
  if (--countdown->running == 0) countdown->done.cancel();
}

}  // namespace

void LogEscaped(const std::string& task, const std::exception_ptr& error) {
  if (!EventLogIsOn()) {
    Log(task).Error() << "A task ended with an error: "
                      << ExceptionMessage(error);
    return;
  }
  EventLine(Event::kHandlerFailed)
      .Text("task", task)
      .Text("error", ExceptionMessage(error));
}

void RunTask(asio::io_context& io, std::string name,
             std::function<asio::awaitable<void>()> task) {
  asio::co_spawn(io, RunHolding(std::move(task)),
                 [name = std::move(name)](const std::exception_ptr& error) {
                   if (error) LogEscaped(name, error);
                 });
}

asio::awaitable<void> RunTogether(asio::io_context& io,
                                  std::vector<NamedTask> tasks) {
  const auto countdown = std::make_shared<Countdown>(io);
  countdown->running = tasks.size();
  for (NamedTask& task : tasks) {
    const std::string name = task.name;
    RunTask(io, name, [countdown, task = std::move(task)] {
      return RunCounted(countdown, task);
    });
  }
  while (countdown->running > 0) {
    boost::system::error_code ignored;  // cancelling the timer is the signal
    co_await countdown->done.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void KeepRunning(asio::io_context& io, std::string name,
                 std::function<asio::awaitable<void>()> loop) {
  RunTask(io, name, [name, loop = std::move(loop)] { return Run(name, loop); });
}

}  // namespace pimento
