// HTTP/1.1 connections to upstreams, the platform's store and other hosts that
// are kept open and serve one exchange after another.
//
// Nothing of one exchange can reach the next: a connection is kept only when
// the answer ended cleanly, and it is looked at again before it is reused.
// Stray bytes or a close found then discard it.
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

namespace pimento {

using SteadyTime = std::chrono::steady_clock::time_point;

// One connection. Its calls throw TransportError.
class PooledConnection {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using ResponseHeader = boost::beast::http::response_header<>;

  explicit PooledConnection(boost::asio::any_io_executor executor);

  Async<void> Connect(boost::asio::ip::tcp::endpoint endpoint,
                      std::chrono::milliseconds limit);
  // Sends a whole request. A long body is sent while the answer is read, since
  // an upstream may answer before it has read the body.
  Async<void> Send(std::shared_ptr<Request> request, SteadyTime until);
  // Reads an answer's header; the caller decides whether it is its own.
  Async<const ResponseHeader*> ReadHeader(SteadyTime until);
  // Returns a piece of the body, or an empty string at its end.
  Async<std::string> ReadSome(SteadyTime until);
  // Reads what is left of the body. Throws when it is longer than `most`.
  Async<std::string> ReadRemainingBody(SteadyTime until, size_t most);

  // True when the answer ended as its header promised and the connection can
  // serve another exchange.
  bool reusable() const;
  // True when no byte waits and the other end has not closed.
  bool IsOpenAndSilent();
  // Makes a call under way throw. Safe on the connection's own thread.
  void Close();
  bool used() const { return exchanges_ > 0; }

 private:
  friend class ConnectionPool;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  uint64_t exchanges_ = 0;
  // True from the start of a request's transfer to its end.
  std::shared_ptr<bool> sending_;
  bool answer_pending_ = false;
  std::string address_;
  SteadyTime idle_until_{};
};

// Connections by address. Single-threaded.
class ConnectionPool {
 public:
  explicit ConnectionPool(boost::asio::any_io_executor executor)
      : executor_(std::move(executor)) {}

  // An idle connection to `address` ("10.0.0.1:80"), or a new one. Throws
  // TransportError with sent() false when none can be opened in time.
  boost::asio::awaitable<std::unique_ptr<PooledConnection>> Acquire(
      std::string address, std::chrono::milliseconds connect_limit);
  // Keeps `connection` for `idle` when it can be reused.
  void Release(std::unique_ptr<PooledConnection> connection,
               std::chrono::milliseconds idle);
  // Closes idle connections that are past their time.
  void Sweep();
  size_t idle(const std::string& address) const;
  uint64_t opened() const { return opened_; }

 private:
  boost::asio::any_io_executor executor_;
  // Most recently used last: the rest may lapse.
  std::map<std::string, std::vector<std::unique_ptr<PooledConnection>>> idle_;
  uint64_t opened_ = 0;
};

// Bounds how long a dead or forgetful path can hold a connection: unanswered
// bytes for `unanswered`, idle ones by keep-alive probes.
void SetTcpTimeouts(boost::asio::ip::tcp::socket& socket,
                    std::chrono::milliseconds unanswered);

// Parses "10.0.0.1:80". Throws TransportError.
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);

}  // namespace pimento
