// Accepts connections and copies bytes between both ends of each link.
#include "bench/lib/fault_proxy.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <set>
#include <thread>

#include "src/connection_pool.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kDelay{150};
// Of a link with a rate.
constexpr std::chrono::milliseconds kLinkDelay{2};
constexpr int64_t kNsPerSecond = 1'000'000'000;
constexpr size_t kChunkBytes = 16 * 1024;

}  // namespace

struct FaultProxy::State : std::enable_shared_from_this<State> {
  // A client's connection to the proxy and the proxy's connection to the
  // target.
  struct Link {
    Link(asio::io_context& io, tcp::socket socket)
        : client(std::move(socket)), server(io) {}
    tcp::socket client;
    tcp::socket server;
    void Close(bool reset) {
      boost::system::error_code ignored;  // either end may be closed already
      if (reset) {
        client.set_option(asio::socket_base::linger(true, 0), ignored);
        server.set_option(asio::socket_base::linger(true, 0), ignored);
      }
      client.close(ignored);
      server.close(ignored);
    }
  };

  State(const std::string& listen, const std::string& to)
      : target(ParseEndpoint(to)), acceptor(io) {
    const auto endpoint = ParseEndpoint(listen);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
  }

  asio::awaitable<void> Accept() {
    for (;;) {
      boost::system::error_code error;
      tcp::socket socket = co_await acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      if (fault.load() == LinkFault::kRefused) continue;
      auto link = std::make_shared<Link>(io, std::move(socket));
      links.insert(link);
      asio::co_spawn(io, Open(link), asio::detached);
    }
  }

  asio::awaitable<void> Open(std::shared_ptr<Link> link) {
    boost::system::error_code error;
    co_await link->server.async_connect(
        target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      link->Close(true);
      links.erase(link);
      co_return;
    }
    asio::co_spawn(io, Forward(link, link->client, link->server, true),
                   asio::detached);
    co_await Forward(link, link->server, link->client, false);
    links.erase(link);
  }

  asio::awaitable<void> Forward(std::shared_ptr<Link> link, tcp::socket& from,
                                tcp::socket& to, bool towards_target) {
    std::array<char, kChunkBytes> chunk{};
    // A TCP stream has no gaps: after dropped bytes nothing more may arrive.
    bool dropping = false;
    for (;;) {
      boost::system::error_code error;
      const size_t got = co_await from.async_read_some(
          asio::buffer(chunk),
          asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      const LinkFault now = fault.load();
      dropping = dropping || now == LinkFault::kSilent ||
                 (now == LinkFault::kOneWay && !towards_target);
      if (dropping) continue;
      if (now == LinkFault::kDelayed) {
        asio::steady_timer timer(io, kDelay);
        co_await timer.async_wait(asio::use_awaitable);
      }
      co_await WaitForLink(got, towards_target);
      co_await asio::async_write(
          to, asio::buffer(chunk.data(), got),
          asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      if (!towards_target) from_target += got;
    }
    link->Close(false);
  }

  // Until the link has carried the bytes before these, and these.
  asio::awaitable<void> WaitForLink(size_t bytes, bool towards_target) {
    const int64_t rate = bytes_per_s.load();
    if (rate == 0) co_return;
    Clock::time_point& free_at = free_at_by_direction[towards_target ? 1 : 0];
    const std::chrono::nanoseconds takes(static_cast<int64_t>(bytes) *
                                         kNsPerSecond / rate);
    free_at = std::max(free_at, Clock::now()) + takes;
    asio::steady_timer timer(io, free_at + kLinkDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::io_context io{1};
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<Link>> links;
  std::atomic<LinkFault> fault{LinkFault::kNone};
  std::atomic<int64_t> bytes_per_s{0};
  std::atomic<uint64_t> from_target{0};
  // When the link has carried what it was given, by direction.
  std::array<Clock::time_point, 2> free_at_by_direction = {};
  std::thread thread;
};

FaultProxy::FaultProxy(const std::string& listen, const std::string& target)
    : state_(std::make_shared<State>(listen, target)) {
  asio::co_spawn(state_->io, state_->Accept(), asio::detached);
  state_->thread = std::thread([state = state_.get()] { state->io.run(); });
}

FaultProxy::~FaultProxy() {
  state_->io.stop();
  state_->thread.join();
}

void FaultProxy::SetFault(LinkFault fault) { state_->fault = fault; }

void FaultProxy::SetRate(int64_t bytes_per_s) {
  state_->bytes_per_s = bytes_per_s;
}

uint64_t FaultProxy::bytes_from_target() const { return state_->from_target; }

void FaultProxy::ResetAll() {
  asio::post(state_->io, [state = state_.get()] {
    for (const auto& link : state->links) link->Close(true);
  });
}

}  // namespace pimento::testbed
