// Connections of a crowd, all on one thread.
#include "test/platform/crowd.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <atomic>
#include <chrono>

#include "src/connection_pool.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Small, so that what a client doesn't read stays at its sender.
constexpr int kReceiveBufferBytes = 4'096;
// No byte was sent for so long: the crowd is quiet.
constexpr milliseconds kQuiet{700};
constexpr milliseconds kMaxWait{60'000};
// Pieces are written together up to this size.
constexpr size_t kWriteBytes = 256 * 1024;

}  // namespace

struct Crowd::State {
  explicit State(CrowdOptions given)
      : options(std::move(given)),
        endpoint(ParseEndpoint(options.address)),
        returns_until(steady_clock::now() + milliseconds(options.returns_ms)) {
    const uint64_t size = std::max<uint64_t>(1, options.piece.size());
    together =
        options.pause_ms > 0 ? 1 : std::max<uint64_t>(1, kWriteBytes / size);
    for (uint64_t i = 0; i < together; ++i) pieces += options.piece;
  }

  asio::awaitable<void> Run() {
    for (;;) {
      co_await Connection();
      if (stopping || steady_clock::now() >= returns_until) co_return;
      asio::steady_timer pause(io, milliseconds(1));
      co_await pause.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<void> Connection() {
    boost::system::error_code error;
    tcp::socket socket(io);
    socket.open(tcp::v4(), error);
    socket.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error);
    if (options.segment_bytes > 0)
      setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG,
                 &options.segment_bytes, sizeof options.segment_bytes);
    co_await socket.async_connect(
        endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    ++opened;
    if (options.reads) {
      asio::co_spawn(io, Send(socket), asio::detached);
      co_await ReadToTheEnd(socket);
      // Ends the sender, which uses the socket.
      boost::system::error_code ignored;
      socket.cancel(ignored);
      socket.shutdown(tcp::socket::shutdown_both, ignored);
      asio::steady_timer pause(io, milliseconds(20));
      co_await pause.async_wait(asio::use_awaitable);
      co_return;
    }
    co_await Send(socket);
    while (!stopping) {
      asio::steady_timer pause(io, milliseconds(50));
      co_await pause.async_wait(asio::use_awaitable);
      // Without reading, nothing else tells that the connection was closed.
      if (options.returns_ms > 0 && !IsEstablished(socket)) co_return;
    }
  }

  static bool IsEstablished(tcp::socket& socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                      &size) == 0 &&
           info.tcpi_state == TCP_ESTABLISHED;
  }

  asio::awaitable<void> Send(tcp::socket& socket) {
    co_await Write(socket, asio::buffer(options.begin));
    for (uint64_t left = options.pieces; left > 0 && !stopping;) {
      const uint64_t now = std::min(left, together);
      const auto bytes = asio::buffer(pieces, now * options.piece.size());
      if (!co_await Write(socket, bytes)) co_return;
      left -= now;
      if (options.pause_ms == 0) continue;
      asio::steady_timer pause(io, milliseconds(options.pause_ms));
      co_await pause.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<bool> Write(tcp::socket& socket, asio::const_buffer bytes) {
    while (bytes.size() > 0) {
      boost::system::error_code error;
      const size_t sent = co_await socket.async_write_some(
          bytes, asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return false;
      bytes += sent;
      last_sent_ms = NowMs();
    }
    co_return true;
  }

  static asio::awaitable<void> ReadToTheEnd(tcp::socket& socket) {
    std::array<char, 4'096> bytes;
    boost::system::error_code error;
    while (!error)
      co_await socket.async_read_some(
          asio::buffer(bytes),
          asio::redirect_error(asio::use_awaitable, error));
  }

  static int64_t NowMs() {
    return std::chrono::duration_cast<milliseconds>(
               steady_clock::now().time_since_epoch())
        .count();
  }

  CrowdOptions options;
  tcp::endpoint endpoint;
  steady_clock::time_point returns_until;
  std::string pieces;
  uint64_t together = 1;
  std::atomic<bool> stopping = false;
  std::atomic<uint64_t> opened = 0;
  std::atomic<int64_t> last_sent_ms = NowMs();
  // Declared last: its coroutines use what is above.
  asio::io_context io{1};
};

Crowd::Crowd(CrowdOptions options)
    : state_(std::make_shared<State>(std::move(options))) {
  for (size_t i = 0; i < state_->options.connections; ++i)
    asio::co_spawn(state_->io, state_->Run(), asio::detached);
  thread_ = std::thread([state = state_] { state->io.run(); });
}

Crowd::~Crowd() {
  state_->stopping = true;
  state_->io.stop();
  thread_.join();
}

uint64_t Crowd::opened() const { return state_->opened; }

void Crowd::WaitUntilQuiet() {
  const auto end = steady_clock::now() + kMaxWait;
  while (steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(50));
    const bool returning = steady_clock::now() < state_->returns_until;
    if (!returning && State::NowMs() - state_->last_sent_ms > kQuiet.count())
      return;
  }
}

}  // namespace pimento::testbed
