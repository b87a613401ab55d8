// Keeps a loop of a process running: an error that escapes from one pass is
// logged, and the loop starts again after a pause.
//
// Load pattern: one malformed object or message makes a handler throw. Without
// this, the loop that called the handler ends silently, and the process serves
// on with what that loop last knew.
//
//   KeepRunning(io, "gossip receiver", [this] { return Receive(); });
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <string>

namespace pimento {

// Runs `loop` on `io` until it returns without an error. What it refers to must
// outlive `io`.
void KeepRunning(boost::asio::io_context& io, std::string name,
                 std::function<boost::asio::awaitable<void>()> loop);

}  // namespace pimento
