// One HTTP/1.1 exchange with an upstream or the platform, over a connection of
// its own.
//
// A connection carries one call and is closed after it. A response that arrives
// late, twice or out of order therefore cannot be mistaken for the response to
// another call, and an unresponsive connection fails at most one call.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace pimento {

struct HttpCall {
  // IP address and port, such as "127.0.0.1:8080".
  std::string address = {};
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers = {};
  std::string body = {};
  int64_t connect_timeout_ms = 1'000;
  // Longest time without progress while the request is sent and the response is
  // read.
  int64_t idle_timeout_ms = 10'000;
  // Longest time for the whole exchange.
  int64_t total_ms = 60'000;
  // Largest body that is collected in HttpResult::body.
  size_t max_response_bytes = 8 * 1024 * 1024;
  // If set, receives each piece of the body, and HttpResult::body stays empty.
  // Returning false cancels the call.
  std::function<bool(const std::string&)> on_piece = {};
};

struct HttpResult {
  int status = 0;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  // Returns the header `name` (lower case), or "" if it is absent.
  std::string Header(const std::string& name) const;
};

// Sends `call` and returns the response, whatever its status. Throws
// TransportError, which tells whether any byte may have been sent and whether
// the call timed out. A truncated body is an error.
boost::asio::awaitable<HttpResult> Fetch(HttpCall call);

}  // namespace pimento
