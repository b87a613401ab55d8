// An HTTP/1.1 server on Boost.Beast, with bounds on everything a caller can
// stretch: connections, header, body, and the time to read and write.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pimento {

struct HttpLimits {
  size_t connections = 4'096;
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 1024 * 1024;
  int64_t read_ms = 10'000;
  int64_t write_ms = 10'000;
  int64_t idle_ms = 60'000;
};

struct HttpRequest {
  std::string method;
  // Decoded path without the query, and the query's parameters.
  std::string path;
  std::map<std::string, std::string> query;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name,
                    const std::string& fallback = "") const;
};

struct HttpResponse {
  int status = 200;
  std::string body = {};
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers = {};
};

// Where a handler sends its answer: one Send(), or Begin(), Write()... and
// End().
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  virtual boost::asio::awaitable<void> Send(HttpResponse answer) = 0;
  virtual boost::asio::awaitable<void> Begin(HttpResponse head) = 0;
  virtual boost::asio::awaitable<void> Write(std::string piece) = 0;
  virtual boost::asio::awaitable<void> End() = 0;
  // Closes the connection at once, from this server's own thread.
  virtual void Abort() = 0;
  // True when an answer has begun: a second one cannot be sent.
  virtual bool begun() const = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(
    const HttpRequest&, HttpResponder&)>;

class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, HttpLimits limits,
             HttpHandler handler);

  // Throws TransportError when `address` ("127.0.0.1:8080") cannot be listened
  // on.
  void Listen(const std::string& address);
  // Stops accepting and lets open requests finish.
  void Drain();
  // Requests under way.
  size_t active_requests() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// Splits "127.0.0.1:8080" into an endpoint. Throws TransportError.
boost::asio::ip::tcp::endpoint EndpointFromAddress(const std::string& address);

}  // namespace pimento
