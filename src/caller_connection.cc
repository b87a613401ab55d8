#include "src/caller_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <exception>
#include <list>
#include <utility>

#include "src/background_loop.h"
#include "src/connection_pool.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/held_port.h"

namespace pimento {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// A connection is closed when one write to the caller takes longer than this.
constexpr milliseconds kWriteTimeout{10'000};
// Limit on unacknowledged data; see SetTcpTimeouts().
constexpr milliseconds kUnackedTimeout{5'000};
constexpr size_t kListenBacklog = 512;
// Bytes that are read ahead of what the parser takes. Bounds what has no limit
// of its own: chunk extensions and trailers. Below the longest field that Beast
// holds, beyond which its parser throws in the middle of a read.
constexpr size_t kReadAheadBytes = 60 * 1024;
// Read beyond a header whose limit is longer than that.
constexpr size_t kHeaderSlackBytes = 4 * 1024;
// Longest stream that is collected for a caller without chunked coding.
constexpr size_t kMaxCollectedBytes = 8 * 1024 * 1024;

class Session;

}  // namespace

struct CallerServer::State {
  State(asio::io_context& context, CallerServerOptions given)
      : io(context), options(std::move(given)) {}

  asio::io_context& io;
  CallerServerOptions options;
  std::list<tcp::acceptor> acceptors;
  std::list<Session*> sessions;
  size_t requests_in_flight = 0;
  bool draining = false;
  milliseconds idle_grace{0};
};

namespace {

using State = CallerServer::State;

// One connection of a caller, and the writer of its responses.
class Session : public ResponseWriter,
                public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<State> state, tcp::socket socket)
      : state_(std::move(state)), stream_(std::move(socket)) {
    position_ = state_->sessions.insert(state_->sessions.end(), this);
  }
  ~Session() override { state_->sessions.erase(position_); }

  asio::awaitable<void> Run();
  // Ends the connection if it waits for a request of which nothing has arrived.
  void CloseIfIdle();

  asio::awaitable<bool> Send(Header header, std::string body) override;
  asio::awaitable<bool> Begin(Header header) override;
  asio::awaitable<bool> Write(std::string piece) override;
  asio::awaitable<bool> End() override;
  void Abort() override;
  bool begun() const override { return begun_; }

 private:
  using Parser = http::request_parser<http::string_body>;

  asio::awaitable<bool> WaitForRequest();
  asio::awaitable<bool> ReadRequest();
  asio::awaitable<void> Reject(unsigned status);
  asio::awaitable<void> HandleRequest(Parser& parser);
  void WatchForClose();
  void OnReadable();
  void SetFraming(Header& header) const;

  std::shared_ptr<State> state_;
  beast::tcp_stream stream_;
  // Own entry in the list of sessions.
  std::list<Session*>::iterator position_;
  beast::flat_buffer buffer_;
  // Set while a handler processes a request.
  StopToken* token_ = nullptr;
  // True while a wait started by WatchForClose() is pending.
  bool watching_ = false;
  // True while the first bytes of the next request are awaited.
  bool waiting_ = false;
  // Whether the current response was started and completely written.
  bool begun_ = false;
  bool ended_ = false;
  bool is_head_request_ = false;
  // True when the connection must close after the current response.
  bool closing_ = false;
  // True for an HTTP/1.0 request, whose stream is sent whole with its length:
  // without chunks, a broken one could not be told from a complete one.
  bool collects_stream_ = false;
  Header collected_header_;
  std::string collected_;
};

void Session::SetFraming(Header& header) const {
  header.version(11);
  if (closing_ || state_->draining) {
    header.set(http::field::connection, "close");
  }
}

asio::awaitable<bool> Session::WaitForRequest() {
  if (buffer_.size() > 0) co_return true;
  const auto limits = state_->options.limits();
  const auto idle = state_->draining ? state_->idle_grace
                                     : milliseconds(limits.idle_timeout_ms);
  // Reading through the stream applies the timeout; the bytes stay in the
  // buffer for the parser.
  stream_.expires_after(idle);
  waiting_ = true;
  beast::error_code error;
  const size_t received = co_await stream_.async_read_some(
      buffer_.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
  waiting_ = false;
  buffer_.commit(received);
  co_return !error && received > 0;
}

asio::awaitable<void> Session::Reject(unsigned status) {
  closing_ = true;
  Header header;
  header.result(status);
  co_await Send(std::move(header), "");
}

asio::awaitable<bool> Session::ReadRequest() {
  if (!co_await WaitForRequest()) co_return false;
  begun_ = false;
  ended_ = false;
  const auto limits = state_->options.limits();
  // A buffer that holds more already, of a pipelined request, is not cut.
  buffer_.max_size(std::max({buffer_.size(), kReadAheadBytes,
                             size_t{limits.header_bytes} + kHeaderSlackBytes}));
  Parser parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  stream_.expires_after(milliseconds(limits.header_timeout_ms));
  beast::error_code error;
  co_await http::async_read_header(
      stream_, buffer_, parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    const auto& header = parser.get().base();
    // With a transfer coding other than chunked, the end of the body is
    // undefined.
    if (header.count(http::field::transfer_encoding) > 0 && !parser.chunked())
      error = http::error::bad_transfer_encoding;
    if (header.count(http::field::host) != 1) error = http::error::bad_field;
  }
  if (!error) {
    stream_.expires_after(milliseconds(limits.idle_timeout_ms));
    co_await http::async_read(stream_, buffer_, parser,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  if (error == http::error::header_limit) co_await Reject(431);
  if (error == http::error::body_limit) co_await Reject(413);
  if (error == beast::error::timeout) {
    // Beast closes the socket on a timeout, so no response can be sent.
    co_return false;
  }
  if (error &&
      error.category() ==
          http::make_error_code(http::error::bad_field).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message && !ended_) {
    co_await Reject(400);
  }
  if (error) co_return false;
  co_await HandleRequest(parser);
  co_return ended_ && !closing_ && !state_->draining;
}

asio::awaitable<void> Session::HandleRequest(Parser& parser) {
  is_head_request_ = parser.get().method() == http::verb::head;
  constexpr unsigned kHttp11 = 11;
  collects_stream_ = parser.get().version() < kHttp11;
  if (collects_stream_ || !parser.keep_alive()) closing_ = true;
  CallerRequest request{.header = std::move(parser.get().base()),
                        .body = std::move(parser.get().body()),
                        .arrived = steady_clock::now()};
  StopToken token;
  token_ = &token;
  ++state_->requests_in_flight;
  WatchForClose();
  std::exception_ptr failure;
  try {
    co_await state_->options.handler(request, *this, token);
  } catch (const std::exception& e) {
    failure = std::current_exception();
    EventLine(Event::kHandlerFailed).Text("error", e.what());
  }
  token_ = nullptr;
  --state_->requests_in_flight;
  if (!ended_) Abort();
}

void Session::WatchForClose() {
  if (watching_) return;
  watching_ = true;
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const beast::error_code& error) {
        self->watching_ = false;
        if (!error) self->OnReadable();
      });
}

void Session::OnReadable() {
  if (token_ == nullptr) return;
  char byte;
  const ssize_t received =
      recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool spurious =
      received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  if (spurious) {
    WatchForClose();
    return;
  }
  // Received data belongs to a pipelined request; only a close stops the call.
  if (received <= 0) token_->Stop(StopReason::kCallerLeft);
}

asio::awaitable<bool> Session::Send(Header header, std::string body) {
  begun_ = true;
  SetFraming(header);
  http::response<http::string_body> response(std::move(header));
  response.body() = std::move(body);
  // Responses to HEAD, and those with status 204 or 304, have no body, whatever
  // their header says.
  response.prepare_payload();
  if (is_head_request_) response.body().clear();
  stream_.expires_after(kWriteTimeout);
  beast::error_code error;
  co_await http::async_write(stream_, response,
                             asio::redirect_error(asio::use_awaitable, error));
  ended_ = !error;
  co_return !error;
}

asio::awaitable<bool> Session::Begin(Header header) {
  begun_ = true;
  if (collects_stream_) {
    collected_header_ = std::move(header);
    co_return true;
  }
  SetFraming(header);
  header.set(http::field::transfer_encoding, "chunked");
  http::response<http::empty_body> response(std::move(header));
  http::response_serializer<http::empty_body> serializer(response);
  stream_.expires_after(kWriteTimeout);
  beast::error_code error;
  co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<bool> Session::Write(std::string piece) {
  if (collects_stream_) {
    collected_ += piece;
    co_return collected_.size() <= kMaxCollectedBytes;
  }
  stream_.expires_after(kWriteTimeout);
  beast::error_code error;
  co_await asio::async_write(stream_, http::make_chunk(asio::buffer(piece)),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<bool> Session::End() {
  if (collects_stream_)
    co_return co_await Send(std::move(collected_header_),
                            std::move(collected_));
  stream_.expires_after(kWriteTimeout);
  beast::error_code error;
  co_await asio::async_write(stream_, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, error));
  ended_ = !error;
  co_return !error;
}

void Session::Abort() {
  closing_ = true;
  beast::error_code ignored;  // the connection is discarded in any case
  stream_.socket().close(ignored);
}

void Session::CloseIfIdle() {
  if (!waiting_) return;
  char byte;
  const ssize_t arrived =
      recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A read that has taken bytes but was not handled yet is not cancelled.
  beast::error_code ignored;  // the caller may have closed the connection
  if (arrived <= 0) stream_.socket().cancel(ignored);
}

asio::awaitable<void> Session::Run() {
  const auto self = shared_from_this();
  SetTcpTimeouts(stream_.socket(), kUnackedTimeout);
  while (co_await ReadRequest()) {
  }
  beast::error_code ignored;  // the connection is closed in any case
  if (!closing_ || ended_)
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  // Closing a socket with unread data sends a reset, which can make the caller
  // lose the response: read and discard the remaining data first.
  if (ended_ && stream_.socket().is_open()) {
    stream_.expires_after(milliseconds(500));
    char discarded[1024];
    while (co_await stream_.async_read_some(
               asio::buffer(discarded),
               asio::redirect_error(asio::use_awaitable, ignored)) > 0 &&
           !ignored) {
    }
  }
  stream_.socket().close(ignored);
}

asio::awaitable<void> Accept(std::shared_ptr<State> state,
                             tcp::acceptor& acceptor) {
  for (;;) {
    beast::error_code error;
    tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (!acceptor.is_open()) co_return;
    if (error) {
      EventLine(Event::kAcceptFailed).Text("error", error.message());
      asio::steady_timer pause(state->io, milliseconds(50));
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    if (state->sessions.size() >= state->options.max_connections) {
      EventLine(Event::kConnectionRefused)
          .Number("connections", static_cast<int64_t>(state->sessions.size()));
      continue;
    }
    auto session = std::make_shared<Session>(state, std::move(socket));
    RunTask(state->io, "connection", [session] { return session->Run(); });
  }
}

}  // namespace

CallerServer::CallerServer(asio::io_context& io, CallerServerOptions options)
    : state_(std::make_shared<State>(io, std::move(options))) {}

void CallerServer::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  tcp::acceptor& acceptor = state_->acceptors.emplace_back(state_->io);
  BindWhenFree(address, [&] {
    beast::error_code error;
    beast::error_code ignored;  // not open before the first try
    // With two processes that bind with reuse_address, only listen() fails.
    acceptor.close(ignored);
    acceptor.open(endpoint.protocol(), error);
    if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor.bind(endpoint, error);
    if (!error) acceptor.listen(kListenBacklog, error);
    return error;
  });
  KeepRunning(state_->io, "accept on " + address,
              [state = state_, &acceptor] { return Accept(state, acceptor); });
}

void CallerServer::Drain(milliseconds idle_grace) {
  state_->draining = true;
  state_->idle_grace = idle_grace;
}

void CallerServer::StopAccepting() {
  for (tcp::acceptor& acceptor : state_->acceptors) {
    beast::error_code ignored;  // it may be closed already
    acceptor.close(ignored);
  }
  for (Session* session : state_->sessions) session->CloseIfIdle();
}

size_t CallerServer::requests_in_flight() const {
  return state_->requests_in_flight;
}
size_t CallerServer::connections() const { return state_->sessions.size(); }

}  // namespace pimento
