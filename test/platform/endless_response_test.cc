// An upstream that sends bytes without end, in a head or a body, until the
// connection is closed.
#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "src/connection_pool.h"
#include "src/errors.h"
#include "src/event_splitter.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Sockets buffer some more than the client reads.
constexpr size_t kMaxSentBytes = 32 * 1024 * 1024;

// Accepts one connection, sends `begin` and then `repeated` until the client
// closes or kMaxSentBytes were sent.
class EndlessUpstream {
 public:
  EndlessUpstream(std::string begin, std::string repeated)
      : thread_([this, begin, repeated] { Serve(begin, repeated); }) {}
  ~EndlessUpstream() { thread_.join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  size_t sent() const { return sent_; }

 private:
  void Serve(const std::string& begin, const std::string& repeated) {
    tcp::socket socket(io_);
    boost::system::error_code error;
    acceptor_.accept(socket, error);
    std::string bytes = begin;
    while (!error && sent_ < kMaxSentBytes) {
      sent_ += asio::write(socket, asio::buffer(bytes), error);
      bytes = repeated;
    }
  }

  asio::io_context io_;
  tcp::acceptor acceptor_{
      io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::atomic<size_t> sent_ = 0;
  std::thread thread_;
};

// Sends a request and reads the whole response. Returns the error's text; empty
// when there was none.
std::string Exchange(const std::string& address) {
  asio::io_context io;
  std::string failure;
  const auto deadline = steady_clock::now() + seconds(20);
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        PooledConnection connection(io.get_executor());
        auto request = std::make_shared<PooledConnection::Request>();
        request->prepare_payload();
        try {
          co_await connection.Connect(ParseEndpoint(address),
                                      std::chrono::milliseconds(1'000));
          co_await connection.Send(request, deadline);
          co_await connection.ReadHeader(deadline);
          EventSplitter splitter;
          for (;;) {
            const std::string piece = co_await connection.ReadSome(deadline);
            if (piece.empty()) break;
            splitter.Feed(piece);
            if (splitter.too_long())
              throw TransportError("An event is too long.", true);
          }
        } catch (const TransportError& e) {
          failure = e.what();
        }
        connection.Close();
      },
      asio::detached);
  io.run();
  return failure;
}

void CheckGivesUp(const std::string& begin, const std::string& repeated) {
  EndlessUpstream upstream(begin, repeated);
  const auto started = steady_clock::now();
  const std::string failure = Exchange(upstream.address());
  CAPTURE(begin);
  CAPTURE(failure);
  CHECK_FALSE(failure.empty());
  CHECK(upstream.sent() < kMaxSentBytes);
  CHECK(steady_clock::now() - started < seconds(5));
}

}  // namespace

TEST_CASE("bytes without end in a head end the exchange") {
  const std::string filler(4'096, 'x');
  CheckGivesUp(filler, filler);
  CheckGivesUp("HTTP/1.1 200 ", filler);
  CheckGivesUp("HTTP/1.1 200 OK\r\nX-Long: ", filler);
  CheckGivesUp("HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n");
}

TEST_CASE("bytes without end in a stream end the exchange") {
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string filler(4'096, 'x');
  CheckGivesUp(head, filler);
  CheckGivesUp("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               "1000\r\n" + filler + "\r\n");
}

}  // namespace pimento
