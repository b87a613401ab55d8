#include "src/connection_pool.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "src/errors.h"
#include "src/loop_clock.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

// Longer bodies are written while the response is read.
constexpr size_t kLongBodyBytes = 16 * 1024;
constexpr size_t kReadBufferBytes = 8 * 1024;
// Bounds what a response may hold besides its body: chunk extensions and
// trailers, which have no limit of their own. Below the longest field that
// Beast holds, beyond which its parser throws in the middle of a read.
constexpr size_t kMaxBufferedBytes = 60 * 1024;
constexpr milliseconds kUnackedTimeout{900};
// Idle time before the first TCP keep-alive probe, and interval between probes.
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

[[noreturn]] void ThrowTransportError(const std::string& what,
                                      const beast::error_code& error,
                                      bool sent) {
  const bool refused = error == asio::error::connection_refused ||
                       error == asio::error::connection_reset;
  throw TransportError(what + " failed: " + error.message(), sent,
                       error == beast::error::timeout, refused);
}

// Takes the error that the socket has not reported yet.
beast::error_code TakePendingError(tcp::socket& socket) {
  int value = 0;
  socklen_t size = sizeof value;
  getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &value, &size);
  return {value, boost::system::system_category()};
}

}  // namespace

void SetTcpTimeouts(tcp::socket& socket, milliseconds unanswered) {
  const int handle = socket.native_handle();
  const int on = 1;
  const auto limit = static_cast<unsigned int>(unanswered.count());
  // Errors are ignored: without these options the connection still works, and
  // the request timeouts detect a silent peer.
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIntervalS,
             sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalS,
             sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(int));
}

tcp::endpoint ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  beast::error_code error;
  const auto ip = asio::ip::make_address_v4(address.substr(0, colon), error);
  const int port =
      colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
  constexpr int kMaxPort = 65'535;
  if (error || port <= 0 || port > kMaxPort) {
    throw TransportError(
        "\"" + address + "\" is not an address of the form IP:PORT.", false);
  }
  return {ip, static_cast<uint16_t>(port)};
}

PooledConnection::PooledConnection(asio::any_io_executor executor)
    : stream_(std::move(executor)),
      buffer_(kMaxBufferedBytes),
      write_(std::make_shared<BackgroundWrite>(stream_.get_executor())) {}

asio::awaitable<void> PooledConnection::Connect(tcp::endpoint endpoint,
                                                milliseconds limit) {
  beast::error_code error;
  stream_.expires_never();
  const SilenceTimer silence(stream_.get_executor(), limit,
                             [this] { Close(); });
  co_await stream_.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (silence.fired()) error = beast::error::timeout;
  if (error) ThrowTransportError("Connecting to " + address_, error, false);
  SetTcpTimeouts(stream_.socket(), kUnackedTimeout);
}

asio::awaitable<void> PooledConnection::Send(std::shared_ptr<Request> request,
                                             SteadyTime deadline) {
  parser_.reset();
  response_pending_ = true;
  ++exchanges_;
  stream_.expires_at(deadline);
  if (request->body().size() <= kLongBodyBytes) {
    beast::error_code error;
    co_await http::async_write(
        stream_, *request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
      ThrowTransportError("Sending a request to " + address_, error, true);
    co_return;
  }
  write_ = std::make_shared<BackgroundWrite>(stream_.get_executor());
  write_->running = true;
  http::async_write(stream_, *request,
                    [request, write = write_](beast::error_code error, size_t) {
                      write->running = false;
                      write->error = error;
                      write->ended.cancel();
                    });
}

asio::awaitable<void> PooledConnection::FinishSending(SteadyTime deadline) {
  const auto write = write_;
  if (write->running) {
    write->ended.expires_at(deadline);
    beast::error_code ignored;  // the write ended, or the deadline has passed
    co_await write->ended.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  beast::error_code error = write->error;
  if (write->running) error = beast::error::timeout;
  if (!error) error = TakePendingError(stream_.socket());
  if (error)
    ThrowTransportError("Sending a request to " + address_, error, true);
}

asio::awaitable<const PooledConnection::ResponseHeader*>
PooledConnection::ReadHeader(SteadyTime deadline) {
  parser_.emplace(buffer_);
  parser_->body_limit(boost::none);
  stream_.expires_at(deadline);
  const beast::error_code error =
      co_await ReadResponseHead(stream_, buffer_, *parser_);
  if (error)
    ThrowTransportError("Reading a response from " + address_, error, true);
  const int status = static_cast<int>(parser_->get().result_int());
  if (status < kLeastStatus || status > kGreatestStatus)
    throw InvalidStatusError(address_, status);
  co_return &parser_->get().base();
}

asio::awaitable<std::string> PooledConnection::ReadSome(SteadyTime deadline) {
  char piece[kReadBufferBytes];
  while (!parser_->is_done()) {
    parser_->get().body().data = piece;
    parser_->get().body().size = sizeof piece;
    parser_->get().body().more = true;
    stream_.expires_at(deadline);
    beast::error_code error;
    co_await http::async_read_some(
        stream_, buffer_, *parser_,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) error = {};
    if (error)
      ThrowTransportError("Reading a response from " + address_, error, true);
    const size_t size = sizeof piece - parser_->get().body().size;
    if (size > 0) co_return std::string(piece, size);
  }
  // An error ends the connection as well, and a socket reports it only once:
  // perhaps to the request that was being written.
  if (parser_->need_eof()) co_await FinishSending(deadline);
  response_pending_ = false;
  co_return std::string();
}

asio::awaitable<std::string> PooledConnection::ReadRemainingBody(
    SteadyTime deadline, size_t max_bytes) {
  // Beast reads no more at a time than there is room for, at first 512 bytes.
  const auto length = parser_->content_length_remaining();
  const bool long_body = length && *length > kReadBufferBytes;
  if (long_body)
    buffer_.reserve(std::min<uint64_t>(*length, kMaxBufferedBytes));
  std::string body;
  for (;;) {
    const std::string piece = co_await ReadSome(deadline);
    if (piece.empty()) break;
    if (body.size() + piece.size() > max_bytes) {
      throw TransportError("A response from " + address_ + " is longer than " +
                           std::to_string(max_bytes) + " bytes.");
    }
    body += piece;
  }
  if (long_body) buffer_.shrink_to_fit();
  co_return body;
}

bool PooledConnection::reusable() const {
  const bool sent = !write_->running && !write_->error;
  return !response_pending_ && sent && parser_ && parser_->is_done() &&
         parser_->keep_alive() && buffer_.size() == 0;
}

bool PooledConnection::IsOpenAndSilent() {
  char byte;
  const ssize_t received =
      recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void PooledConnection::Close() {
  beast::error_code ignored;  // the connection is discarded in any case
  stream_.socket().close(ignored);
}

asio::awaitable<std::unique_ptr<PooledConnection>> ConnectionPool::Acquire(
    std::string address, milliseconds connect_limit) {
  auto& idle = idle_[address];
  const auto now = std::chrono::steady_clock::now();
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->idle_until_ > now && connection->IsOpenAndSilent())
      co_return connection;
  }
  co_return co_await Open(std::move(address), connect_limit);
}

asio::awaitable<std::unique_ptr<PooledConnection>> ConnectionPool::Open(
    std::string address, milliseconds connect_limit) {
  const auto endpoint = ParseEndpoint(address);
  auto connection = std::make_unique<PooledConnection>(executor_);
  connection->address_ = address;
  ++opened_;
  co_await connection->Connect(endpoint, connect_limit);
  co_return connection;
}

void ConnectionPool::Release(std::unique_ptr<PooledConnection> connection,
                             milliseconds idle) {
  if (!connection->reusable()) return;
  connection->idle_until_ = std::chrono::steady_clock::now() + idle;
  connection->stream_.expires_never();
  idle_[connection->address_].push_back(std::move(connection));
}

void ConnectionPool::Sweep() {
  const auto now = std::chrono::steady_clock::now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& connections = it->second;
    std::erase_if(connections, [now](const auto& connection) {
      return connection->idle_until_ <= now || !connection->IsOpenAndSilent();
    });
    it = connections.empty() ? idle_.erase(it) : std::next(it);
  }
}

size_t ConnectionPool::idle(const std::string& address) const {
  const auto it = idle_.find(address);
  return it == idle_.end() ? 0 : it->second.size();
}

}  // namespace pimento
