// HTTP/1.1 server for callers: accepts connections, reads the requests of each
// one after the other, and writes the responses.
//
// Limits on callers come from the desired state: header and body size, header
// timeout and idle timeout. Malformed requests are rejected here with an error
// status and reach no handler.
//
// What connections hold is on the account of the process (byte_broker.h), and
// when as many are open as may be, one that is idle or has stalled gives way to
// a new one (connection_places.h). Where none can, the new one is refused with
// 503.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/byte_broker.h"
#include "src/desired_state.h"
#include "src/stop_token.h"

namespace pimento {

struct CallerRequest {
  boost::beast::http::request_header<> header;
  std::string body;
  // When the last byte of the request was read.
  std::chrono::steady_clock::time_point arrived;
};

// Writes the response of a handler: either Send(), or Begin(), any number of
// Write() and then End() or Abort(). The awaitable calls return false when the
// caller has disconnected.
class ResponseWriter {
 public:
  using Header = boost::beast::http::response_header<>;

  virtual ~ResponseWriter() = default;
  virtual boost::asio::awaitable<bool> Send(Header header,
                                            std::string body) = 0;
  virtual boost::asio::awaitable<bool> Begin(Header header) = 0;
  virtual boost::asio::awaitable<bool> Write(std::string piece) = 0;
  virtual boost::asio::awaitable<bool> End() = 0;
  // Accounts for `bytes` that the handler holds for the request beside its
  // body. When they are more than before, waits until there is room, up to
  // `deadline`.
  virtual boost::asio::awaitable<void> Hold(
      uint64_t bytes, std::chrono::steady_clock::time_point deadline) = 0;
  // Closes the connection without the final chunk, so that the caller does not
  // take the response for a complete one.
  virtual void Abort() = 0;
  virtual bool begun() const = 0;
};

using CallHandler = std::function<boost::asio::awaitable<void>(
    const CallerRequest&, ResponseWriter&, StopToken&)>;

// Why a connection or its request was refused by the server itself.
enum class ServerRefusal : uint8_t {
  // The connection gave way to a new one.
  kGaveWay,
  // The connection came when no other could give way.
  kConnectionLimit,
  // The process holds as many bytes as it may.
  kMemoryShort,
  kBadRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  // The request did not arrive in time; its connection is closed.
  kReadTimeout,
  kCount,
};

std::string_view Name(ServerRefusal refusal);

struct CallerServerOptions {
  // Names the server in metrics.
  std::string listener = "callers";
  // Returns the current limits on callers.
  std::function<CallerLimits()> limits;
  CallHandler handler;
  // The account of the process, which outlives the server; null: the server
  // has one of its own.
  ByteBroker* broker = nullptr;
  size_t max_connections = 1'500;
  // A connection is closed when one write takes longer than this.
  std::chrono::milliseconds write_timeout{10'000};
  // Whether a request must have one Host field.
  bool requires_host = true;
  // Value of Retry-After in refusals of the server itself, seconds.
  std::string retry_after = "0.5";
  // Body of such a refusal, JSON; null: none.
  std::function<std::string(ServerRefusal)> refusal_body = {};
};

class CallerServer {
 public:
  CallerServer(boost::asio::io_context& io, CallerServerOptions options);

  // Throws TransportError when it cannot listen on `address`.
  void Listen(const std::string& address);
  // From now on, responses carry "Connection: close" and end their connections.
  // New connections are still accepted, and close after `idle_grace` without a
  // request.
  void Drain(std::chrono::milliseconds idle_grace);
  // Closes the listening sockets: callers that come now are refused at once and
  // go elsewhere.
  void CloseListeners();
  // The same, and closes idle connections.
  void StopAccepting();
  // Requests that a handler is processing.
  size_t requests_in_flight() const;
  size_t connections() const;
  // Open connections, their limit and refusals by reason of all `servers`,
  // Prometheus text.
  static std::string MetricsText(
      const std::vector<const CallerServer*>& servers);

  struct State;

 private:
  std::shared_ptr<State> state_;
};

}  // namespace pimento
