// Calls to archive members and to the store by a loop that is blocked while
// their answers come: the real calls, on loopback.
#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "platform/store_client.h"
#include "src/archive_codec.h"
#include "src/archive_rpc.h"
#include "src/connection_pool.h"
#include "src/errors.h"
#include "src/loop_clock.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kAnswerTime{30};

// Answers each connection's requests with `body`, or never.
class Peer {
 public:
  explicit Peer(std::string body, bool silent = false)
      : body_(std::move(body)),
        silent_(silent),
        acceptor_(io_,
                  tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)),
        thread_([this] { Serve(); }) {}
  ~Peer() {
    stopping_ = true;
    boost::system::error_code ignored;
    tcp::socket last(io_);
    last.connect(acceptor_.local_endpoint(), ignored);
    if (socket_.is_open())
      socket_.shutdown(tcp::socket::shutdown_both, ignored);
    thread_.join();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Serve() {
    while (!stopping_) {
      boost::system::error_code error;
      tcp::socket socket(io_);
      acceptor_.accept(socket, error);
      if (error || stopping_) return;
      char bytes[4096];
      while (!error) {
        socket.read_some(asio::buffer(bytes), error);
        if (error || silent_) continue;
        std::this_thread::sleep_for(kAnswerTime);
        asio::write(
            socket,
            asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(body_.size()) + "\r\n\r\n" + body_),
            error);
      }
    }
  }

  std::string body_;
  bool silent_;
  std::atomic<bool> stopping_ = false;
  asio::io_context io_;
  tcp::socket socket_{io_};
  tcp::acceptor acceptor_;
  std::thread thread_;
};

// A loop with a clock of peers, blocked once for `stall` right after `call`
// has been started.
template <class Call>
void RunBlocked(asio::io_context& io, milliseconds stall, Call call) {
  bool done = false;
  asio::co_spawn(io, LoopClock::Of(io).RunTurns(LoopClock::kTurnInterval),
                 asio::detached);
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        // The clock has had some turns.
        asio::steady_timer timer(io, milliseconds(120));
        co_await timer.async_wait(asio::use_awaitable);
        asio::post(io, [stall] { std::this_thread::sleep_for(stall); });
        co_await call();
        done = true;
        io.stop();
      },
      asio::detached);
  io.run_for(std::chrono::seconds(10));
  CHECK(done);
}

std::string ArchiveCallOutcome(const std::string& address, milliseconds stall) {
  asio::io_context io(1);
  ConnectionPool pool(io.get_executor());
  ArchiveRpc rpc(pool);
  std::string outcome;
  RunBlocked(io, stall, [&]() -> asio::awaitable<void> {
    try {
      ArchiveCall call;
      const ArchiveReply reply =
          co_await rpc.Call(address, std::move(call), milliseconds(150));
      outcome = reply.member == 7 ? "answered" : "answered by another";
    } catch (const TransportError& e) {
      outcome = e.what();
    }
  });
  return outcome;
}

}  // namespace

TEST_CASE("an archive member is not silent because this loop was blocked") {
  Peer member(EncodeReply({.verdict = ArchiveVerdict::kDone, .member = 7}));
  CHECK(ArchiveCallOutcome(member.address(), milliseconds(0)) == "answered");
  CHECK(ArchiveCallOutcome(member.address(), milliseconds(400)) == "answered");
}

TEST_CASE("an archive member that is silent is noticed after a block too") {
  Peer member("", true);
  const auto began = steady_clock::now();
  CHECK(ArchiveCallOutcome(member.address(), milliseconds(400)) != "answered");
  // 120 ms before the call, its limit, the block.
  CHECK(steady_clock::now() - began < milliseconds(120 + 150 + 400 + 100));
}

TEST_CASE("the store is not silent because this loop was blocked") {
  Peer store(R"({"items":[],"more":false,"store_revision":3})");
  asio::io_context io(1);
  ConnectionPool pool(io.get_executor());
  platform::StoreClient client(pool, store.address());
  uint64_t revision = 0;
  // Longer than the limit of the call.
  RunBlocked(io, milliseconds(1'700), [&]() -> asio::awaitable<void> {
    try {
      const auto list = co_await client.List("things");
      revision = list.revision;
    } catch (const platform::StoreError& e) {
      FAIL_CHECK(e.what());
    }
  });
  CHECK(revision == 3);
}

}  // namespace pimento
