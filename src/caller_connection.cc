#include "src/caller_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <exception>
#include <list>
#include <utility>

#include "src/errors.h"
#include "src/event_log.h"
#include "src/kept_connection.h"

namespace pimento {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// A caller that takes no bytes for this long is given up.
constexpr milliseconds kWriteLimit{10'000};
constexpr milliseconds kUnansweredLimit{5'000};
constexpr size_t kMostAcceptBacklog = 512;

class Session;

}  // namespace

struct CallerServer::State {
  State(asio::io_context& context, CallerServerOptions given)
      : io(context), options(std::move(given)) {}

  asio::io_context& io;
  CallerServerOptions options;
  std::list<tcp::acceptor> acceptors;
  std::list<Session*> sessions;
  size_t busy = 0;
  bool draining = false;
  milliseconds idle_grace{0};
};

namespace {

using State = CallerServer::State;

class Session : public AnswerSink,
                public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<State> state, tcp::socket socket)
      : state_(std::move(state)), stream_(std::move(socket)) {
    position_ = state_->sessions.insert(state_->sessions.end(), this);
  }
  ~Session() override { state_->sessions.erase(position_); }

  asio::awaitable<void> Run();
  // Ends the wait for a next request soon.
  void Drain();

  asio::awaitable<bool> Send(Header header, std::string body) override;
  asio::awaitable<bool> Begin(Header header) override;
  asio::awaitable<bool> Write(std::string piece) override;
  asio::awaitable<bool> End() override;
  void BreakOff() override;
  bool begun() const override { return begun_; }

 private:
  using Parser = http::request_parser<http::string_body>;

  asio::awaitable<bool> WaitForRequest();
  asio::awaitable<bool> ReadRequest();
  asio::awaitable<void> Reject(unsigned status);
  asio::awaitable<void> Answer(Parser& parser);
  void WatchForClose();
  void OnReadable();
  void SetFraming(Header& header) const;

  std::shared_ptr<State> state_;
  beast::tcp_stream stream_;
  std::list<Session*>::iterator position_;
  beast::flat_buffer buffer_;
  // Set while a request is being answered.
  StopToken* token_ = nullptr;
  bool watching_ = false;
  bool in_request_ = false;
  bool begun_ = false;
  bool ended_ = false;
  bool head_request_ = false;
  bool closing_ = false;
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
  // Reading nothing leaves the bytes for the parser and obeys the time limit.
  stream_.expires_after(idle);
  beast::error_code error;
  const size_t got = co_await stream_.async_read_some(
      buffer_.prepare(4096), asio::redirect_error(asio::use_awaitable, error));
  buffer_.commit(got);
  co_return !error && got > 0;
}

asio::awaitable<void> Session::Reject(unsigned status) {
  closing_ = true;
  Header header;
  header.result(status);
  co_await Send(std::move(header), "");
}

asio::awaitable<bool> Session::ReadRequest() {
  if (!co_await WaitForRequest()) co_return false;
  in_request_ = true;
  begun_ = false;
  ended_ = false;
  const auto limits = state_->options.limits();
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
    // A coding other than chunked leaves the body's end open.
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
    // beast closes the socket on a time-out: there is nobody to answer.
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
  co_await Answer(parser);
  in_request_ = false;
  co_return ended_ && !closing_ && !state_->draining;
}

asio::awaitable<void> Session::Answer(Parser& parser) {
  head_request_ = parser.get().method() == http::verb::head;
  if (!parser.keep_alive()) closing_ = true;
  CallerRequest request{.header = std::move(parser.get().base()),
                        .body = std::move(parser.get().body()),
                        .arrived = steady_clock::now()};
  StopToken token;
  token_ = &token;
  ++state_->busy;
  WatchForClose();
  std::exception_ptr failure;
  try {
    co_await state_->options.handler(request, *this, token);
  } catch (const std::exception& e) {
    failure = std::current_exception();
    EventLine(Event::kHandlerFailed).Text("error", e.what());
  }
  token_ = nullptr;
  --state_->busy;
  if (!ended_) BreakOff();
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
  const ssize_t got =
      recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool spurious = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  if (spurious) {
    WatchForClose();
    return;
  }
  // Bytes of a next request are no reason to stop.
  if (got <= 0) token_->Stop(StopReason::kCallerLeft);
}

asio::awaitable<bool> Session::Send(Header header, std::string body) {
  begun_ = true;
  SetFraming(header);
  http::response<http::string_body> response(std::move(header));
  response.body() = std::move(body);
  // An answer to HEAD, 204 or 304 has no body whatever its header says.
  response.prepare_payload();
  if (head_request_) response.body().clear();
  stream_.expires_after(kWriteLimit);
  beast::error_code error;
  co_await http::async_write(stream_, response,
                             asio::redirect_error(asio::use_awaitable, error));
  ended_ = !error;
  co_return !error;
}

asio::awaitable<bool> Session::Begin(Header header) {
  begun_ = true;
  SetFraming(header);
  header.set(http::field::transfer_encoding, "chunked");
  http::response<http::empty_body> response(std::move(header));
  http::response_serializer<http::empty_body> serializer(response);
  stream_.expires_after(kWriteLimit);
  beast::error_code error;
  co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<bool> Session::Write(std::string piece) {
  stream_.expires_after(kWriteLimit);
  beast::error_code error;
  co_await asio::async_write(stream_, http::make_chunk(asio::buffer(piece)),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<bool> Session::End() {
  stream_.expires_after(kWriteLimit);
  beast::error_code error;
  co_await asio::async_write(stream_, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, error));
  ended_ = !error;
  co_return !error;
}

void Session::BreakOff() {
  closing_ = true;
  beast::error_code ignored;  // the connection is given up either way
  stream_.socket().close(ignored);
}

void Session::Drain() {
  if (!in_request_) stream_.expires_after(state_->idle_grace);
}

asio::awaitable<void> Session::Run() {
  const auto self = shared_from_this();
  SetSilenceBounds(stream_.socket(), kUnansweredLimit);
  while (co_await ReadRequest()) {
  }
  beast::error_code ignored;  // the connection ends either way
  if (!closing_ || ended_)
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  // A close with unread bytes would reset the connection under the answer.
  if (ended_ && stream_.socket().is_open()) {
    stream_.expires_after(milliseconds(500));
    char rest[1024];
    while (co_await stream_.async_read_some(
               asio::buffer(rest),
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
    if (error == asio::error::operation_aborted) co_return;
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
    asio::co_spawn(
        state->io, [session] { return session->Run(); }, asio::detached);
  }
}

}  // namespace

CallerServer::CallerServer(asio::io_context& io, CallerServerOptions options)
    : state_(std::make_shared<State>(io, std::move(options))) {}

void CallerServer::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  beast::error_code error;
  tcp::acceptor& acceptor = state_->acceptors.emplace_back(state_->io);
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(kMostAcceptBacklog, error);
  if (error)
    throw TransportError("Cannot listen on " + address + ": " + error.message(),
                         false);
  asio::co_spawn(state_->io, Accept(state_, acceptor), asio::detached);
}

void CallerServer::Drain(milliseconds idle_grace) {
  state_->draining = true;
  state_->idle_grace = idle_grace;
  for (Session* session : state_->sessions) session->Drain();
}

size_t CallerServer::busy() const { return state_->busy; }
size_t CallerServer::connections() const { return state_->sessions.size(); }

}  // namespace pimento
