// The HTTP/1.1 server of the project's own interface: requests and responses as
// plain values, on the connections of CallerServer. Everything that a client
// could let grow is limited: connections, bytes held for them, header and body
// sizes, and the time to read and write.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pimento {

struct HttpLimits {
  // Memory and descriptors of the process; 0: not limited. A quarter of the
  // memory may be held for all connections together: requests being read and
  // responses being sent. Beyond it reading pauses, and then those that hold
  // most and move least are refused with 503 or closed.
  int64_t memory_mb = 256;
  int64_t descriptors = 0;
  // Most open connections; fewer where memory or descriptors bear less. At the
  // limit an idle or stalled one gives way to a new one. Where none can, the
  // new one is answered with 503 and closed.
  size_t connections = 4'096;
  // Sizes of the header and the body of a request. Larger requests are refused
  // with 431 and 413.
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 1024 * 1024;
  // Time to read a header from its first byte, and time to read a body.
  int64_t read_ms = 10'000;
  // Time for each write: a whole response, a head or a chunk.
  int64_t write_ms = 10'000;
  // Time that a connection may wait for the first byte of a request.
  int64_t idle_ms = 60'000;
};

struct HttpRequest {
  std::string method;
  // As it was sent.
  std::string target;
  // The percent-decoded path without the query, and the decoded parameters of
  // the query.
  std::string path;
  std::map<std::string, std::string> query;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  // Returns the header `name` (lower case), or "" if it is absent.
  std::string Header(const std::string& name) const;
  // Returns the query parameter `name`, or `fallback` if it is absent.
  std::string Query(const std::string& name,
                    const std::string& fallback = "") const;
};

struct HttpResponse {
  int status = 200;
  std::string body = {};
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers = {};
};

// Sends the response of one request: either a single Send(), or a streamed
// response with Begin(), any number of Write() and End(). Each throws
// boost::system::system_error if the connection fails or times out.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  virtual boost::asio::awaitable<void> Send(HttpResponse answer) = 0;
  virtual boost::asio::awaitable<void> Begin(HttpResponse head) = 0;
  virtual boost::asio::awaitable<void> Write(std::string piece) = 0;
  virtual boost::asio::awaitable<void> End() = 0;
  // Closes the connection at once. To be called on the server's thread.
  virtual void Abort() = 0;
  // True once a response was started: a second one cannot be sent.
  virtual bool begun() const = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(
    const HttpRequest&, HttpResponder&)>;

// Serves requests on `io`, which must run on a single thread.
class HttpServer {
 public:
  // `name` is that of the listener in metrics.
  HttpServer(boost::asio::io_context& io, const std::string& name,
             HttpLimits limits, HttpHandler handler);

  // Throws TransportError if listening on `address` ("127.0.0.1:8080") fails.
  void Listen(const std::string& address);
  // Stops accepting connections; requests in progress are completed.
  void Drain();
  // Number of requests in progress. May be called on any thread.
  size_t active_requests() const;
  // Bytes held and connections, Prometheus text.
  std::string MetricsText() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// Parses an IP address with a port, such as "127.0.0.1:8080". Throws
// TransportError if `address` is not of this form.
boost::asio::ip::tcp::endpoint EndpointFromAddress(const std::string& address);

}  // namespace pimento
