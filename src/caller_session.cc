#include "src/caller_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <exception>

#include "src/connection_pool.h"
#include "src/errors.h"
#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Limit on unacknowledged data; see SetTcpTimeouts().
constexpr milliseconds kUnackedTimeout{5'000};
// After a last response, what else arrives is discarded for so long.
constexpr milliseconds kDiscardTime{500};
// Bytes that are read ahead of what the parser takes. Bounds what has no limit
// of its own: chunk extensions and trailers. Below the longest field that Beast
// holds, beyond which its parser throws in the middle of a read.
constexpr size_t kReadAheadBytes = 60 * 1024;
// Read beyond a header whose limit is longer than that.
constexpr size_t kHeaderSlackBytes = 4 * 1024;
// First size of the read buffer, and what an idle connection may keep.
constexpr size_t kFirstReadBytes = 4 * 1024;
// Longest stream that is collected for a caller without chunked coding.
constexpr size_t kMaxCollectedBytes = 8 * 1024 * 1024;
// Longer bodies are sent in pieces of this size.
constexpr size_t kSendPieceBytes = 64 * 1024;
// What a connection does while its request is in a stage, by HolderStage.
constexpr std::array kUseOfStage = {PlaceUse::kReading, PlaceUse::kSending,
                                    PlaceUse::kStreaming, PlaceUse::kBusy};

struct RefusalRow {
  ServerRefusal refusal;
  http::status status;
};

// Those that are answered.
constexpr std::array kAnsweredRefusals = {
    RefusalRow{ServerRefusal::kMemoryShort, http::status::service_unavailable},
    RefusalRow{ServerRefusal::kBadRequest, http::status::bad_request},
    RefusalRow{ServerRefusal::kHeaderTooLarge,
               http::status::request_header_fields_too_large},
    RefusalRow{ServerRefusal::kBodyTooLarge, http::status::payload_too_large},
};

}  // namespace

std::string CallerServer::State::RefusalBytes(ServerRefusal refusal) const {
  const std::string body =
      options.refusal_body ? options.refusal_body(refusal) : "";
  return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
         "Retry-After: " +
         options.retry_after +
         (body.empty() ? "" : "\r\nContent-Type: application/json") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

CallerSession::CallerSession(std::shared_ptr<State> state, tcp::socket socket)
    : state_(std::move(state)),
      stream_(std::move(socket)),
      place_(state_->places.Add(SteadyMs())) {
  state_->sessions.emplace(place_, this);
}

CallerSession::~CallerSession() {
  CloseSocket();
  state_->sessions.erase(place_);
}

void CallerSession::CloseSocket() {
  beast::error_code ignored;  // the connection is discarded in any case
  stream_.socket().close(ignored);
  state_->places.Remove(place_);
  // It may wait for room to read on.
  if (holder_) holder_->Abandon();
}

void CallerSession::BreakOff() {
  const bool unread =
      use_ == PlaceUse::kSending || use_ == PlaceUse::kStreaming;
  beast::error_code ignored;  // the connection is discarded in any case
  // What the peer has not taken would stay in the kernel for a while.
  if (unread)
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  Abort();
}

void CallerSession::SetUse(PlaceUse use) {
  use_ = use;
  state_->places.SetUse(place_, use, SteadyMs());
}

void CallerSession::SetStage(HolderStage stage) {
  if (holder_) holder_->SetStage(stage);
  SetUse(kUseOfStage[static_cast<size_t>(stage)]);
}

void CallerSession::NoteMoved(size_t bytes) {
  if (holder_ && holder_->NoteMoved(bytes))
    state_->places.NoteMoved(place_, SteadyMs());
}

void CallerSession::SetFraming(Header& header) {
  header.version(11);
  // When all places are taken, none is kept for a further request.
  if (state_->places.full()) closing_ = true;
  if (closing_ || state_->draining) {
    header.set(http::field::connection, "close");
  }
}

asio::awaitable<bool> CallerSession::WaitForRequest() {
  if (buffer_.size() > 0) co_return true;
  if (buffer_.capacity() > kFirstReadBytes) buffer_.shrink_to_fit();
  const auto limits = state_->options.limits();
  const auto idle = state_->draining ? state_->idle_grace
                                     : milliseconds(limits.idle_timeout_ms);
  // Reading through the stream applies the timeout; the bytes stay in the
  // buffer for the parser.
  stream_.expires_after(idle);
  waiting_ = true;
  SetUse(used_ ? PlaceUse::kIdle : PlaceUse::kUnused);
  beast::error_code error;
  const size_t received = co_await stream_.async_read_some(
      buffer_.prepare(kFirstReadBytes),
      asio::redirect_error(asio::use_awaitable, error));
  waiting_ = false;
  buffer_.commit(received);
  co_return !error && received > 0;
}

asio::awaitable<void> CallerSession::Reject(ServerRefusal refusal) {
  const auto row = std::find_if(
      kAnsweredRefusals.begin(), kAnsweredRefusals.end(),
      [refusal](const RefusalRow& r) { return r.refusal == refusal; });
  closing_ = true;
  state_->Count(refusal);
  Header header;
  header.result(row->status);
  if (row->status == http::status::service_unavailable)
    header.set(http::field::retry_after, state_->options.retry_after);
  EventLine(Event::kConnectionRefused)
      .Text("reason", "request_unread")
      .Number("status", static_cast<int64_t>(row->status));
  std::string body;
  if (state_->options.refusal_body) {
    header.set(http::field::content_type, "application/json");
    body = state_->options.refusal_body(refusal);
  }
  co_await Send(std::move(header), std::move(body));
}

asio::awaitable<bool> CallerSession::ReadRequest() {
  if (!co_await WaitForRequest()) co_return false;
  begun_ = false;
  ended_ = false;
  handler_bytes_ = 0;
  holder_.emplace(state_->broker, [this] { OnShortOfMemory(); });
  SetUse(PlaceUse::kReading);
  {
    RequestParser parser;
    RequestReader reader(stream_, buffer_, *holder_, [this] {
      state_->places.NoteMoved(place_, SteadyMs());
    });
    const ReadOutcome outcome = co_await ReadWithin(reader, parser);
    if (outcome == ReadOutcome::kDone) {
      request_bytes_ = reader.HeldBytes(parser);
      co_await HandleRequest(parser);
    } else {
      // Gives back what was read before the answer is sent.
      parser.get().body() = std::string();
      buffer_.consume(buffer_.size());
      buffer_.shrink_to_fit();
      request_bytes_ = reader.HeldBytes(parser);
      holder_->SetBytes(request_bytes_);
      co_await RejectUnread(outcome, reader.error());
    }
  }
  holder_.reset();
  used_ = true;
  co_return ended_ && !closing_ && !state_->draining;
}

asio::awaitable<ReadOutcome> CallerSession::ReadWithin(RequestReader& reader,
                                                       RequestParser& parser) {
  const auto limits = state_->options.limits();
  // A buffer that holds more already, of a pipelined request, is not cut.
  buffer_.max_size(std::max({buffer_.size(), kReadAheadBytes,
                             size_t{limits.header_bytes} + kHeaderSlackBytes}));
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  const ReadOutcome outcome = co_await reader.ReadHeader(
      parser, steady_clock::now() + milliseconds(limits.header_timeout_ms));
  if (outcome != ReadOutcome::kDone) co_return outcome;
  const auto& header = parser.get().base();
  // With a transfer coding other than chunked, the end of the body is
  // undefined.
  const bool bad_coding =
      header.count(http::field::transfer_encoding) > 0 && !parser.chunked();
  const bool bad_host =
      state_->options.requires_host && header.count(http::field::host) != 1;
  if (bad_coding || bad_host) {
    reader.set_error(http::error::bad_field);
    co_return ReadOutcome::kFailed;
  }
  co_return co_await reader.ReadBody(
      parser, steady_clock::now() + milliseconds(limits.body_timeout_ms > 0
                                                     ? limits.body_timeout_ms
                                                     : limits.idle_timeout_ms));
}

asio::awaitable<void> CallerSession::RejectUnread(
    ReadOutcome outcome, const beast::error_code& error) {
  if (outcome == ReadOutcome::kNoRoom) {
    // It may have given way while it waited for room.
    if (stream_.socket().is_open())
      co_await Reject(ServerRefusal::kMemoryShort);
  } else if (error == http::error::header_limit) {
    co_await Reject(ServerRefusal::kHeaderTooLarge);
  } else if (error == http::error::body_limit) {
    co_await Reject(ServerRefusal::kBodyTooLarge);
  } else if (error == beast::error::timeout) {
    // Beast closes the socket on a timeout, so no response can be sent.
    state_->Count(ServerRefusal::kReadTimeout);
    EventLine(Event::kConnectionRefused).Text("reason", "read_timeout");
  } else if (error.category() ==
                 http::make_error_code(http::error::bad_field).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    co_await Reject(ServerRefusal::kBadRequest);
  }
}

asio::awaitable<void> CallerSession::HandleRequest(RequestParser& parser) {
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
  SetStage(HolderStage::kInProgress);
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

void CallerSession::WatchForClose() {
  if (watching_) return;
  watching_ = true;
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const beast::error_code& error) {
        self->watching_ = false;
        if (!error) self->OnReadable();
      });
}

void CallerSession::OnReadable() {
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

asio::awaitable<bool> CallerSession::Send(Header header, std::string body) {
  begun_ = true;
  SetFraming(header);
  SetStage(HolderStage::kSending);
  if (holder_)
    holder_->SetBytes(request_bytes_ +
                      std::max<uint64_t>(handler_bytes_, body.capacity()));
  stream_.expires_after(state_->options.write_timeout);
  beast::error_code error;
  if (body.size() > kSendPieceBytes && !is_head_request_) {
    error = co_await SendLong(std::move(header), body);
  } else {
    http::response<http::string_body> response(std::move(header));
    response.body() = std::move(body);
    // Responses to HEAD, and those with status 204 or 304, have no body,
    // whatever their header says.
    response.prepare_payload();
    if (is_head_request_) response.body().clear();
    co_await http::async_write(
        stream_, response, asio::redirect_error(asio::use_awaitable, error));
  }
  ended_ = !error;
  co_return !error;
}

asio::awaitable<beast::error_code> CallerSession::SendLong(
    Header header, const std::string& body) {
  http::response<http::span_body<const char>> response(std::move(header));
  response.body() = {body.data(), body.size()};
  response.prepare_payload();
  http::response_serializer<http::span_body<const char>> serializer(response);
  beast::error_code error;
  co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
  const bool has_body = response.has_content_length() &&
                        response[http::field::content_length] != "0";
  for (size_t at = 0; has_body && !error && at < body.size();) {
    const size_t sent = co_await stream_.async_write_some(
        asio::buffer(body.data() + at,
                     std::min(kSendPieceBytes, body.size() - at)),
        asio::redirect_error(asio::use_awaitable, error));
    at += sent;
    NoteMoved(sent);
  }
  co_return error;
}

asio::awaitable<bool> CallerSession::Begin(Header header) {
  begun_ = true;
  if (collects_stream_) {
    collected_header_ = std::move(header);
    co_return true;
  }
  SetFraming(header);
  header.set(http::field::transfer_encoding, "chunked");
  http::response<http::empty_body> response(std::move(header));
  http::response_serializer<http::empty_body> serializer(response);
  // A caller that does not read may leave no room even for the header.
  SetStage(HolderStage::kStreaming);
  stream_.expires_after(state_->options.write_timeout);
  beast::error_code error;
  co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, error));
  SetStage(HolderStage::kInProgress);
  co_return !error;
}

asio::awaitable<bool> CallerSession::Write(std::string piece) {
  if (collects_stream_) {
    co_return co_await Collect(piece);
  }
  SetStage(HolderStage::kStreaming);
  stream_.expires_after(state_->options.write_timeout);
  beast::error_code error;
  co_await asio::async_write(stream_, http::make_chunk(asio::buffer(piece)),
                             asio::redirect_error(asio::use_awaitable, error));
  SetStage(HolderStage::kInProgress);
  co_return !error;
}

asio::awaitable<bool> CallerSession::Collect(const std::string& piece) {
  if (collected_.size() + piece.size() > kMaxCollectedBytes) co_return false;
  if (holder_ && !holder_->MayGrow(piece.size()))
    co_await holder_->WaitForRoom(
        piece.size(), steady_clock::now() + state_->options.write_timeout);
  collected_ += piece;
  if (holder_)
    holder_->SetBytes(request_bytes_ + handler_bytes_ + collected_.capacity());
  co_return true;
}

asio::awaitable<bool> CallerSession::End() {
  if (collects_stream_)
    co_return co_await Send(std::move(collected_header_),
                            std::move(collected_));
  SetStage(HolderStage::kSending);
  stream_.expires_after(state_->options.write_timeout);
  beast::error_code error;
  co_await asio::async_write(stream_, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, error));
  ended_ = !error;
  co_return !error;
}

asio::awaitable<void> CallerSession::Hold(uint64_t bytes,
                                          steady_clock::time_point deadline) {
  if (!holder_) co_return;
  const uint64_t before = handler_bytes_;
  if (bytes > before && !holder_->MayGrow(bytes - before))
    co_await holder_->WaitForRoom(bytes - before, deadline);
  handler_bytes_ = bytes;
  holder_->SetBytes(request_bytes_ + handler_bytes_ + collected_.capacity());
}

void CallerSession::Abort() {
  closing_ = true;
  CloseSocket();
}

void CallerSession::OnShortOfMemory() {
  // A pending read or write ends; the coroutine that waits for it does the
  // rest.
  if (token_ == nullptr && !begun_) {
    stream_.cancel();
  } else {
    BreakOff();
  }
}

void CallerSession::CloseIfIdle() {
  if (!waiting_) return;
  char byte;
  const ssize_t arrived =
      recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A read that has taken bytes but was not handled yet is not cancelled.
  beast::error_code ignored;  // the caller may have closed the connection
  if (arrived <= 0) stream_.socket().cancel(ignored);
}

bool CallerSession::GiveWay() {
  const int handle = stream_.socket().native_handle();
  if (waiting_) {
    char byte;
    if (recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
      // Its request is about to be read.
      SetUse(PlaceUse::kReading);
      return false;
    }
  } else if (use_ == PlaceUse::kReading) {
    // Nothing of the request has run. Errors are ignored: a closed connection
    // promises less.
    const std::string refusal =
        state_->RefusalBytes(ServerRefusal::kConnectionLimit);
    send(handle, refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  state_->Count(ServerRefusal::kGaveWay);
  BreakOff();
  return true;
}

asio::awaitable<void> CallerSession::DiscardRest() {
  SetUse(PlaceUse::kEnded);
  beast::error_code error;
  stream_.expires_after(kDiscardTime);
  char discarded[1024];
  while (co_await stream_.async_read_some(
             asio::buffer(discarded),
             asio::redirect_error(asio::use_awaitable, error)) > 0 &&
         !error) {
  }
}

asio::awaitable<void> CallerSession::Run() {
  const auto self = shared_from_this();
  SetTcpTimeouts(stream_.socket(), kUnackedTimeout);
  while (co_await ReadRequest()) {
  }
  beast::error_code ignored;  // the connection is closed in any case
  if (!closing_ || ended_)
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  // Closing a socket with unread data sends a reset, which can make the caller
  // lose the response: read and discard the remaining data first.
  if (ended_ && stream_.socket().is_open()) co_await DiscardRest();
  CloseSocket();
}

}  // namespace pimento
