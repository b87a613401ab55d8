// One HTTP/1.1 exchange with an upstream or the platform, over a connection of
// its own.
//
// A connection carries one call and is closed after it. So an answer that comes
// late, twice or crossed cannot be taken for the answer to another call, and a
// connection that went silent costs one call at most.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace pimento {

struct HttpCall {
  std::string address = {};
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers = {};
  std::string body = {};
  int64_t connect_timeout_ms = 1'000;
  // Longest silence before the first byte and between bytes.
  int64_t idle_timeout_ms = 10'000;
  int64_t total_ms = 60'000;
  size_t max_response_bytes = 8 * 1024 * 1024;
  // Called with each piece of the body; returning false gives the call up.
  std::function<bool(const std::string&)> on_piece = {};
};

struct HttpResult {
  int status = 0;
  // Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

// Throws TransportError, which tells whether any byte may have been sent and
// whether the other end was silent. A body that ends early is an error.
boost::asio::awaitable<HttpResult> Fetch(HttpCall call);

}  // namespace pimento
