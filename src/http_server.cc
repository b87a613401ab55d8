#include "src/http_server.h"

#include <atomic>
#include <boost/algorithm/string.hpp>
#include <boost/beast.hpp>
#include <utility>

#include "src/byte_broker.h"
#include "src/caller_connection.h"
#include "src/connection_limits.h"
#include "src/errors.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

// During a shutdown, connections without a request stay open for so long.
constexpr std::chrono::milliseconds kIdleGrace{500};
// The same time in the header, in seconds, and in the body.
constexpr const char* kRetryAfter = "1";
constexpr int64_t kRetryAfterMs = 1'000;

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() &&
                        isxdigit(text[i + 1]) != 0 &&
                        isxdigit(text[i + 2]) != 0;
    if (!escape) {
      out += text[i];
      continue;
    }
    out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
    i += 2;
  }
  return out;
}

HttpRequest ToRequest(const CallerRequest& received) {
  HttpRequest request;
  request.method = std::string(received.header.method_string());
  const std::string target(received.header.target());
  request.target = target;
  const size_t question = target.find('?');
  request.path = PercentDecode(target.substr(0, question));
  if (question != std::string::npos) {
    std::vector<std::string> pairs;
    const std::string query = target.substr(question + 1);
    boost::split(pairs, query, boost::is_any_of("&"));
    for (const std::string& pair : pairs) {
      const size_t equals = pair.find('=');
      if (equals == std::string::npos) continue;
      request.query[PercentDecode(pair.substr(0, equals))] =
          PercentDecode(pair.substr(equals + 1));
    }
  }
  for (const auto& field : received.header) {
    request.headers[boost::to_lower_copy(std::string(field.name_string()))] =
        std::string(field.value());
  }
  request.body = received.body;
  return request;
}

ResponseWriter::Header ToHeader(const HttpResponse& answer) {
  ResponseWriter::Header header;
  header.result(static_cast<http::status>(answer.status));
  header.set(http::field::content_type, answer.content_type);
  for (const auto& [name, value] : answer.headers) header.set(name, value);
  return header;
}

void ThrowUnlessSent(bool sent) {
  if (!sent) throw boost::system::system_error(asio::error::connection_aborted);
}

class Responder final : public HttpResponder {
 public:
  explicit Responder(ResponseWriter& writer) : writer_(writer) {}

  asio::awaitable<void> Send(HttpResponse answer) override {
    Header header = ToHeader(answer);
    ThrowUnlessSent(
        co_await writer_.Send(std::move(header), std::move(answer.body)));
  }

  asio::awaitable<void> Begin(HttpResponse head) override {
    ThrowUnlessSent(co_await writer_.Begin(ToHeader(head)));
  }

  asio::awaitable<void> Write(std::string piece) override {
    if (piece.empty()) co_return;
    ThrowUnlessSent(co_await writer_.Write(std::move(piece)));
  }

  asio::awaitable<void> End() override {
    ThrowUnlessSent(co_await writer_.End());
  }

  void Abort() override { writer_.Abort(); }
  bool begun() const override { return writer_.begun(); }

 private:
  using Header = ResponseWriter::Header;

  ResponseWriter& writer_;
};

struct RefusalText {
  std::string_view reason;
  std::string_view message;
  // 0 where a retry would be refused again.
  int64_t retry_after_ms = 0;
};

RefusalText TextOf(ServerRefusal refusal) {
  switch (refusal) {
    case ServerRefusal::kMemoryShort:
      return {"memory_short", "This host holds as many bytes as it may.",
              kRetryAfterMs};
    case ServerRefusal::kBadRequest:
      return {"bad_request", "The request is malformed."};
    case ServerRefusal::kHeaderTooLarge:
    case ServerRefusal::kBodyTooLarge:
      return {"too_large", "The request exceeds a size limit of this host."};
    default:
      return {"connection_limit", "This host has reached its connection limit.",
              kRetryAfterMs};
  }
}

std::string RefusalBody(ServerRefusal refusal) {
  const RefusalText text = TextOf(refusal);
  return R"({"error":{"reason":")" + std::string(text.reason) +
         R"(","run":"not_run","retry_after_ms":)" +
         std::to_string(text.retry_after_ms) + R"(,"message":")" +
         std::string(text.message) + R"("}})";
}

}  // namespace

struct HttpServer::State {
  State(asio::io_context& server_io, const std::string& name,
        const HttpLimits& limits, HttpHandler server_handler)
      : io(server_io),
        handler(std::move(server_handler)),
        broker(server_io, {.budget = HeldBytesBudget(limits.memory_mb)}),
        server(server_io, Options(name, limits)) {}

  CallerServerOptions Options(const std::string& name,
                              const HttpLimits& limits) {
    const CallerLimits of_callers = {.header_bytes = limits.header_bytes,
                                     .body_bytes = limits.body_bytes,
                                     .header_timeout_ms = limits.read_ms,
                                     .idle_timeout_ms = limits.idle_ms,
                                     .body_timeout_ms = limits.read_ms};
    return {
        .listener = name,
        .limits = [of_callers] { return of_callers; },
        .handler = [this](const CallerRequest& request, ResponseWriter& writer,
                          StopToken&) { return Serve(request, writer); },
        .broker = &broker,
        .max_connections = PlacesForCallers(
            limits.connections, limits.memory_mb, limits.descriptors),
        .write_timeout = std::chrono::milliseconds(limits.write_ms),
        .requires_host = false,
        .retry_after = kRetryAfter,
        .refusal_body = RefusalBody};
  }

  asio::awaitable<void> Serve(const CallerRequest& received,
                              ResponseWriter& writer) {
    const HttpRequest request = ToRequest(received);
    Responder responder(writer);
    ++active_requests;
    std::exception_ptr failure;
    try {
      co_await handler(request, responder);
    } catch (...) {
      failure = std::current_exception();
    }
    --active_requests;
    if (failure) std::rethrow_exception(failure);
  }

  asio::io_context& io;
  HttpHandler handler;
  ByteBroker broker;
  CallerServer server;
  std::atomic<size_t> active_requests{0};
};

HttpServer::HttpServer(asio::io_context& io, const std::string& name,
                       HttpLimits limits, HttpHandler handler)
    : state_(std::make_shared<State>(io, name, limits, std::move(handler))) {}

void HttpServer::Listen(const std::string& address) {
  state_->server.Listen(address);
}

void HttpServer::Drain() {
  asio::post(state_->io, [state = state_] {
    state->server.Drain(kIdleGrace);
    state->server.CloseListeners();
  });
}

size_t HttpServer::active_requests() const { return state_->active_requests; }

std::string HttpServer::MetricsText() const {
  return state_->broker.MetricsText() +
         CallerServer::MetricsText({&state_->server});
}

std::string HttpRequest::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string HttpRequest::Query(const std::string& name,
                               const std::string& fallback) const {
  const auto it = query.find(name);
  return it == query.end() ? fallback : it->second;
}

Tcp::endpoint EndpointFromAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  try {
    if (colon == std::string::npos) throw std::invalid_argument("no port");
    const auto ip = asio::ip::make_address(address.substr(0, colon));
    return {ip, static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
  } catch (const std::exception& e) {
    throw TransportError("The address " + address + " is invalid: " + e.what(),
                         false);
  }
}

}  // namespace pimento
