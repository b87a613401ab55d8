// Pool of persistent HTTP/1.1 client connections to upstreams, the platform's
// store and other hosts.
//
// Data of one exchange never leaks into the next: a connection returns to the
// pool only when its response was read completely, and it is checked again
// before reuse. It is discarded if it has unexpected data or was closed by the
// peer.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/response_parser.h"

namespace pimento {

using SteadyTime = std::chrono::steady_clock::time_point;

// For exchanges that a SilenceTimer ends.
inline constexpr SteadyTime kNoDeadline = SteadyTime::max();

// One client connection. Its asynchronous methods throw TransportError.
class PooledConnection {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using ResponseHeader = boost::beast::http::response_header<>;

  explicit PooledConnection(boost::asio::any_io_executor executor);

  // Throws once the peer has been silent for `limit`; see loop_clock.h.
  Async<void> Connect(boost::asio::ip::tcp::endpoint endpoint,
                      std::chrono::milliseconds limit);
  // Sends a request. A long body is written in the background while the
  // response is read, since an upstream may respond before it has read the
  // body. Where that fails, only a response with a length or chunks is whole.
  Async<void> Send(std::shared_ptr<Request> request, SteadyTime deadline);
  // Reads a response header. Throws InvalidStatusError, after which the
  // connection serves no other exchange. The caller checks that the response
  // belongs to its request.
  Async<const ResponseHeader*> ReadHeader(SteadyTime deadline);
  // Returns the next bytes of the body, or an empty string at its end.
  Async<std::string> ReadSome(SteadyTime deadline);
  // Reads the remaining body. Throws when it is longer than `max_bytes`.
  Async<std::string> ReadRemainingBody(SteadyTime deadline, size_t max_bytes);

  // True when the response was read completely and the connection can serve
  // another exchange.
  bool reusable() const;
  // True when no data is pending and the peer has not closed the connection.
  bool IsOpenAndSilent();
  // Closes the socket; a pending operation throws. Call it only on the
  // connection's own thread.
  void Close();
  // True when the connection carried another exchange before this one.
  bool reused() const { return exchanges_ > 1; }
  // What is left of the body that is being read, where its length was
  // announced; 0 otherwise.
  uint64_t announced_bytes() const {
    return parser_ ? parser_->content_length_remaining().value_or(0) : 0;
  }
  // True when the response that is being read has neither a length nor chunks:
  // its body ends where the upstream closes the connection.
  bool ends_with_close() const { return parser_ && parser_->need_eof(); }

 private:
  friend class ConnectionPool;
  // A request that is written while its response is read.
  struct BackgroundWrite {
    explicit BackgroundWrite(const boost::asio::any_io_executor& executor)
        : ended(executor, SteadyTime::max()) {}
    bool running = false;
    // Why the request was not written to its end.
    boost::system::error_code error = {};
    // Cancelled when the write ends.
    boost::asio::steady_timer ended;
  };
  // Waits for the end of the request that is being written. Throws unless it
  // was written whole by `deadline`, on a connection without a later error.
  Async<void> FinishSending(SteadyTime deadline);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<ResponseParser> parser_;
  uint64_t exchanges_ = 0;
  // Shared with the write's handler; replaced by each request that is written
  // in the background.
  std::shared_ptr<BackgroundWrite> write_;
  // True from the start of an exchange until its response was read completely.
  bool response_pending_ = false;
  std::string address_;
  SteadyTime idle_until_{};
};

// Idle connections, keyed by address. Not thread-safe.
class ConnectionPool {
 public:
  explicit ConnectionPool(boost::asio::any_io_executor executor)
      : executor_(std::move(executor)) {}

  // Returns an idle connection to `address` ("10.0.0.1:80"), or opens one.
  // Throws TransportError with sent() false when none can be opened within
  // `connect_limit`.
  boost::asio::awaitable<std::unique_ptr<PooledConnection>> Acquire(
      std::string address, std::chrono::milliseconds connect_limit);
  // Opens a connection to `address`. Throws TransportError, as Acquire() does.
  boost::asio::awaitable<std::unique_ptr<PooledConnection>> Open(
      std::string address, std::chrono::milliseconds connect_limit);
  // Keeps `connection` for up to `idle` if it is reusable; closes it otherwise.
  void Release(std::unique_ptr<PooledConnection> connection,
               std::chrono::milliseconds idle);
  // Closes idle connections that have expired or are no longer usable.
  void Sweep();
  size_t idle(const std::string& address) const;
  uint64_t opened() const { return opened_; }

 private:
  boost::asio::any_io_executor executor_;
  // The most recently used connection is last and is reused first, so that
  // surplus connections expire.
  std::map<std::string, std::vector<std::unique_ptr<PooledConnection>>> idle_;
  uint64_t opened_ = 0;
};

// Bounds how long a connection survives a dead peer or a lost network path:
// data may stay unacknowledged for `unanswered`, and idle connections are
// checked by TCP keep-alive probes.
void SetTcpTimeouts(boost::asio::ip::tcp::socket& socket,
                    std::chrono::milliseconds unanswered);

// Parses "10.0.0.1:80". Throws TransportError.
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

}  // namespace pimento
