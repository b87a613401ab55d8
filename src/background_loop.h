// Tasks and loops that run beside their caller: an error that escapes from one
// is logged, whatever its type. A loop starts again after a pause.
//
// Load pattern: one malformed object or message makes a handler throw. Without
// this, what called the handler ends silently, since asio::detached discards
// the error, and the process serves on with what that loop last knew.
//
//   KeepRunning(io, "gossip receiver", [this] { return Receive(); });
#pragma once

#include <boost/asio.hpp>
#include <exception>
#include <functional>
#include <string>
#include <vector>

namespace pimento {

// Logs the error that `task` let escape: in the event log where that is set up,
// else under the logger name `task`.
void LogEscaped(const std::string& task, const std::exception_ptr& error);

// Runs `task` once on `io`, without waiting for it. What it captures lives as
// long as it runs; what it refers to must outlive `io`.
void RunTask(boost::asio::io_context& io, std::string name,
             std::function<boost::asio::awaitable<void>()> task);

// A task and its name for the log.
struct NamedTask {
  std::string name = {};
  std::function<boost::asio::awaitable<void>()> run = {};
};

// Runs `tasks` on `io` side by side, and returns once all have ended. What they
// refer to must outlive `io`.
boost::asio::awaitable<void> RunTogether(boost::asio::io_context& io,
                                         std::vector<NamedTask> tasks);

// Runs `loop` on `io` until it returns without an error. What it refers to must
// outlive `io`.
void KeepRunning(boost::asio::io_context& io, std::string name,
                 std::function<boost::asio::awaitable<void>()> loop);

}  // namespace pimento
