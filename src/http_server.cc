#include "src/http_server.h"

#include <boost/algorithm/string.hpp>
#include <boost/beast.hpp>
#include <set>
#include <utility>

#include "src/errors.h"
#include "src/log.h"
#include "src/request_reader.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

const Log kLog("http");

// Bounds what has no limit of its own: chunk extensions and trailers. Below the
// longest field that Beast holds.
constexpr size_t kReadAheadBytes = 60 * 1024;

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

HttpRequest ToRequest(const http::request<SteppedBody>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
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
  for (const auto& field : message) {
    request.headers[boost::to_lower_copy(std::string(field.name_string()))] =
        std::string(field.value());
  }
  request.body = message.body();
  return request;
}

template <class Message>
void SetHeaders(Message& message, const HttpResponse& answer, bool keep_alive) {
  message.set(http::field::content_type, answer.content_type);
  for (const auto& [name, value] : answer.headers) message.set(name, value);
  message.keep_alive(keep_alive);
}

class Responder final : public HttpResponder {
 public:
  // `holder` may be null.
  Responder(beast::tcp_stream& stream, const HttpLimits& limits,
            bool keep_alive, ByteBroker::Holder* holder)
      : stream_(stream),
        limits_(limits),
        keep_alive_(keep_alive),
        holder_(holder) {}

  asio::awaitable<void> Send(HttpResponse answer) override {
    begun_ = true;
    if (holder_ != nullptr) {
      holder_->SetStage(HolderStage::kSending);
      holder_->SetBytes(answer.body.capacity());
    }
    http::response<http::string_body> message(
        static_cast<http::status>(answer.status), 11);
    SetHeaders(message, answer, keep_alive_);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    StartWriteTimeout();
    co_await http::async_write(stream_, message, asio::use_awaitable);
  }

  asio::awaitable<void> Begin(HttpResponse head) override {
    begun_ = true;
    http::response<http::empty_body> message(
        static_cast<http::status>(head.status), 11);
    SetHeaders(message, head, keep_alive_);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    StartWriteTimeout();
    co_await http::async_write_header(stream_, serializer, asio::use_awaitable);
  }

  asio::awaitable<void> Write(std::string piece) override {
    if (piece.empty()) co_return;
    StartWriteTimeout();
    const auto chunk = http::make_chunk(asio::buffer(piece));
    if (holder_ != nullptr) holder_->SetStage(HolderStage::kStreaming);
    co_await asio::async_write(stream_, chunk, asio::use_awaitable);
    if (holder_ != nullptr) holder_->SetStage(HolderStage::kInProgress);
  }

  asio::awaitable<void> End() override {
    StartWriteTimeout();
    co_await asio::async_write(stream_, http::make_chunk_last(),
                               asio::use_awaitable);
  }

  void Abort() override {
    keep_alive_ = false;
    stream_.close();
  }

  bool begun() const override { return begun_; }
  bool keep_alive() const { return keep_alive_; }

 private:
  void StartWriteTimeout() {
    stream_.expires_after(std::chrono::milliseconds(limits_.write_ms));
  }

  beast::tcp_stream& stream_;
  const HttpLimits& limits_;
  bool keep_alive_;
  ByteBroker::Holder* holder_;
  bool begun_ = false;
};

// `reason` and `message` are inserted into the JSON without escaping.
std::string ErrorBody(const std::string& reason, const std::string& message) {
  return R"({"error":{"reason":")" + reason +
         R"(","run":"not_run","retry_after_ms":0,"message":")" + message +
         R"("}})";
}

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context& server_io, HttpLimits server_limits,
        HttpHandler server_handler)
      : io(server_io),
        limits(server_limits),
        handler(std::move(server_handler)),
        broker(server_io, {.budget = server_limits.held_bytes}),
        acceptor(server_io) {}

  asio::awaitable<void> Accept() {
    while (acceptor.is_open()) {
      beast::error_code error;
      Tcp::socket socket = co_await acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        if (acceptor.is_open()) co_await Sleep(10);
        continue;
      }
      socket.set_option(Tcp::no_delay(true), error);
      auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
      if (streams.size() >= limits.connections) {
        Spawn(io, "http", Reject(shared_from_this(), stream));
        continue;
      }
      streams.insert(stream);
      Spawn(io, "http", Serve(shared_from_this(), stream));
    }
  }

  static asio::awaitable<void> Reject(
      std::shared_ptr<State> state, std::shared_ptr<beast::tcp_stream> stream) {
    Responder responder(*stream, state->limits, false, nullptr);
    HttpResponse answer{
        .status = 503,
        .body = ErrorBody("connection_limit",
                          "This host has reached its connection limit."),
        .headers = {{"Retry-After", "1"}}};
    try {
      co_await responder.Send(answer);
    } catch (const std::exception&) {
      // The client has closed the connection.
    }
  }

  static asio::awaitable<void> Serve(
      std::shared_ptr<State> state, std::shared_ptr<beast::tcp_stream> stream) {
    try {
      beast::flat_buffer buffer;
      bool open = true;
      while (open) open = co_await ServeOne(*state, *stream, buffer);
    } catch (const std::exception& e) {
      kLog.Debug() << "A connection ended: " << e.what();
    }
    state->streams.erase(stream);
  }

  // Returns whether the connection can carry another request.
  static asio::awaitable<bool> ServeOne(State& state, beast::tcp_stream& stream,
                                        beast::flat_buffer& buffer) {
    if (state.draining) co_return false;
    // The idle timeout applies until the first byte of the request, and the
    // shorter read timeout after it.
    stream.expires_after(std::chrono::milliseconds(state.limits.idle_ms));
    if (buffer.size() == 0) {
      const size_t got = co_await stream.async_read_some(buffer.prepare(4096),
                                                         asio::use_awaitable);
      buffer.commit(got);
    }
    bool reading = true;
    ByteBroker::Holder holder(state.broker, [&stream, &reading] {
      if (reading) {
        stream.cancel();
      } else {
        stream.close();
      }
    });
    RequestParser parser;
    if (!co_await ReadRequest(state, stream, buffer, parser, holder))
      co_return false;
    reading = false;
    holder.SetStage(HolderStage::kInProgress);
    stream.expires_never();
    const http::request<SteppedBody> message = parser.release();
    const HttpRequest request = ToRequest(message);
    Responder responder(stream, state.limits,
                        message.keep_alive() && !state.draining, &holder);
    ++state.active_requests;
    std::exception_ptr failure;
    try {
      co_await state.handler(request, responder);
    } catch (...) {
      failure = std::current_exception();
    }
    --state.active_requests;
    if (failure) std::rethrow_exception(failure);
    co_return responder.keep_alive();
  }

  // Reads a request, or refuses it. Returns whether it was read.
  static asio::awaitable<bool> ReadRequest(State& state,
                                           beast::tcp_stream& stream,
                                           beast::flat_buffer& buffer,
                                           RequestParser& parser,
                                           ByteBroker::Holder& holder) {
    buffer.max_size(std::max(buffer.size(), kReadAheadBytes));
    parser.header_limit(state.limits.header_bytes);
    parser.body_limit(state.limits.body_bytes);
    RequestReader reader(stream, buffer, holder, [] {});
    const auto deadline = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds(state.limits.read_ms);
    ReadOutcome outcome = co_await reader.ReadHeader(parser, deadline);
    if (outcome == ReadOutcome::kDone)
      outcome = co_await reader.ReadBody(parser, deadline);
    if (outcome == ReadOutcome::kDone) co_return true;
    // Gives back what was read before the answer is sent.
    parser.get().body() = std::string();
    holder.SetBytes(reader.HeldBytes(parser));
    if (outcome == ReadOutcome::kNoRoom) {
      co_await RefuseForRoom(state, stream);
    } else {
      co_await RefuseMalformed(state, stream, reader.error());
    }
    co_return false;
  }

  static asio::awaitable<void> RefuseForRoom(State& state,
                                             beast::tcp_stream& stream) {
    Responder responder(stream, state.limits, false, nullptr);
    HttpResponse answer{
        .status = 503,
        .body = ErrorBody("memory_short",
                          "This host holds as many bytes as it may."),
        .headers = {{"Retry-After", "1"}}};
    co_await responder.Send(answer);
  }

  static asio::awaitable<void> RefuseMalformed(State& state,
                                               beast::tcp_stream& stream,
                                               beast::error_code error) {
    const bool timed_out = error == beast::error::timeout;
    const bool closed = error == http::error::end_of_stream ||
                        error == asio::error::eof ||
                        error == asio::error::connection_reset;
    if (closed) co_return;
    HttpResponse answer{
        .status = 400,
        .body = ErrorBody("bad_request", "The request is malformed: " +
                                             error.message() + ".")};
    if (timed_out) answer.status = 408;
    if (error == http::error::body_limit ||
        error == http::error::header_limit) {
      answer.status = error == http::error::body_limit ? 413 : 431;
      answer.body = ErrorBody("too_large",
                              "The request exceeds a size limit of this host.");
    }
    if (timed_out) co_return;
    Responder responder(stream, state.limits, false, nullptr);
    co_await responder.Send(answer);
  }

  asio::io_context& io;
  HttpLimits limits;
  HttpHandler handler;
  ByteBroker broker;
  Tcp::acceptor acceptor;
  std::set<std::shared_ptr<beast::tcp_stream>> streams;
  std::atomic<size_t> active_requests{0};
  std::atomic<bool> draining{false};
};

HttpServer::HttpServer(asio::io_context& io, HttpLimits limits,
                       HttpHandler handler)
    : state_(std::make_shared<State>(io, limits, std::move(handler))) {}

void HttpServer::Listen(const std::string& address) {
  try {
    const Tcp::endpoint endpoint = EndpointFromAddress(address);
    state_->acceptor.open(endpoint.protocol());
    state_->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    state_->acceptor.bind(endpoint);
    state_->acceptor.listen();
  } catch (const boost::system::system_error& e) {
    throw TransportError("Cannot listen on " + address + ": " + e.what(),
                         false);
  }
  Spawn(state_->io, "http",
        [](std::shared_ptr<State> state) -> asio::awaitable<void> {
          co_await state->Accept();
        }(state_));
}

void HttpServer::Drain() {
  asio::post(state_->io, [state = state_] {
    state->draining = true;
    beast::error_code ignored;
    state->acceptor.close(ignored);
  });
}

size_t HttpServer::active_requests() const { return state_->active_requests; }

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
