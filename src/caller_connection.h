// One caller's connection: reads requests, one after the other, and carries the
// answers back.
//
// Bounds on what a caller can stretch come from the desired state: header and
// body size, time for a header, idle time. Malformed requests get their status
// here and reach no handler.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/desired_state.h"
#include "src/stop_token.h"

namespace pimento {

struct CallerRequest {
  boost::beast::http::request_header<> header;
  std::string body;
  // When its last byte was read.
  std::chrono::steady_clock::time_point arrived;
};

// Where a handler sends its answer: Send(), or Begin(), Write()... and End() or
// BreakOff(). Each returns false when the caller is gone.
class AnswerSink {
 public:
  using Header = boost::beast::http::response_header<>;

  virtual ~AnswerSink() = default;
  virtual boost::asio::awaitable<bool> Send(Header header,
                                            std::string body) = 0;
  virtual boost::asio::awaitable<bool> Begin(Header header) = 0;
  virtual boost::asio::awaitable<bool> Write(std::string piece) = 0;
  virtual boost::asio::awaitable<bool> End() = 0;
  // Closes the connection without the answer's end: it never looks complete.
  virtual void BreakOff() = 0;
  virtual bool begun() const = 0;
};

using CallHandler = std::function<boost::asio::awaitable<void>(
    const CallerRequest&, AnswerSink&, StopToken&)>;

struct CallerServerOptions {
  // Newest limits on callers.
  std::function<CallerLimits()> limits;
  CallHandler handler;
  size_t max_connections = 1'500;
};

class CallerServer {
 public:
  CallerServer(boost::asio::io_context& io, CallerServerOptions options);

  // Throws TransportError when `address` cannot be listened on.
  void Listen(const std::string& address);
  // Answers from now on carry "Connection: close"; idle connections close once
  // `idle_grace` has passed without a request.
  void Drain(std::chrono::milliseconds idle_grace);
  // Requests under way.
  size_t busy() const;
  size_t connections() const;

  struct State;

 private:
  std::shared_ptr<State> state_;
};

}  // namespace pimento
