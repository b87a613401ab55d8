#include "src/http_client.h"

#include <boost/algorithm/string.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <utility>

#include "src/errors.h"
#include "src/http_server.h"
#include "src/response_parser.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// The time limits of one call. Arm() starts the timeout of the next I/O step,
// which never extends past the end of the whole call.
class Deadline {
 public:
  Deadline(beast::tcp_stream& stream, const HttpCall& call)
      : stream_(stream),
        idle_timeout_ms_(call.idle_timeout_ms),
        end_(Clock::now() + Milliseconds(call.total_ms)) {}

  void Arm(int64_t timeout_ms) {
    const auto step_end = Clock::now() + Milliseconds(timeout_ms);
    stream_.expires_at(std::min(step_end, end_));
  }
  void Arm() { Arm(idle_timeout_ms_); }

 private:
  beast::tcp_stream& stream_;
  int64_t idle_timeout_ms_;
  Clock::time_point end_;
};

asio::awaitable<void> ReadBody(beast::tcp_stream& stream,
                               beast::flat_buffer& buffer,
                               ResponseParser& parser, const HttpCall& call,
                               Deadline& deadline, HttpResult& result) {
  char piece[4096];
  while (!parser.is_done()) {
    parser.get().body().data = piece;
    parser.get().body().size = sizeof piece;
    deadline.Arm();
    beast::error_code error;
    co_await http::async_read_some(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) error = {};
    if (error) throw boost::system::system_error(error);
    const std::string got(piece, sizeof piece - parser.get().body().size);
    if (got.empty()) continue;
    if (call.on_piece) {
      if (!call.on_piece(got))
        throw TransportError("The call was cancelled.", true);
    } else {
      result.body += got;
    }
    if (result.body.size() > call.max_response_bytes)
      throw TransportError("The response body is too large.");
  }
}

}  // namespace

std::string HttpResult::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

asio::awaitable<HttpResult> Fetch(HttpCall call) {
  bool sent = false;
  std::string failure;
  bool timed_out = false;
  try {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    Deadline deadline(stream, call);
    const auto endpoint = EndpointFromAddress(call.address);
    deadline.Arm(call.connect_timeout_ms);
    co_await stream.async_connect(endpoint, asio::use_awaitable);
    stream.socket().set_option(asio::ip::tcp::no_delay(true));

    http::request<http::string_body> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    request.set(http::field::host, call.address);
    request.set(http::field::connection, "close");
    for (const auto& [name, value] : call.headers) request.set(name, value);
    request.body() = call.body;
    request.prepare_payload();
    sent = true;
    deadline.Arm();
    co_await http::async_write(stream, request, asio::use_awaitable);

    beast::flat_buffer buffer;
    ResponseParser parser(buffer);
    parser.body_limit(boost::none);
    deadline.Arm();
    const beast::error_code error =
        co_await ReadResponseHead(stream, buffer, parser);
    if (error) throw boost::system::system_error(error);
    // Without a length, a complete body cannot be told from a truncated one.
    if (!parser.chunked() && !parser.content_length()) {
      throw TransportError(
          "The response has no Content-Length and is not chunked.");
    }
    HttpResult result;
    result.status = static_cast<int>(parser.get().result_int());
    if (result.status < kLeastStatus || result.status > kGreatestStatus)
      throw InvalidStatusError(call.address, result.status);
    for (const auto& field : parser.get()) {
      result.headers[boost::to_lower_copy(std::string(field.name_string()))] =
          std::string(field.value());
    }
    co_await ReadBody(stream, buffer, parser, call, deadline, result);
    co_return result;
  } catch (const TransportError& e) {
    failure = e.what();
  } catch (const boost::system::system_error& e) {
    timed_out = e.code() == beast::error::timeout;
    failure = e.code().message();
  }
  throw TransportError(
      call.method + " " + call.address + call.target + " failed: " + failure,
      sent, timed_out);
}

}  // namespace pimento
