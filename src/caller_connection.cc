#include "src/caller_connection.h"

#include <sys/socket.h>

#include <optional>
#include <utility>

#include "src/background_loop.h"
#include "src/boot_clock.h"
#include "src/caller_session.h"
#include "src/connection_pool.h"
#include "src/event_log.h"
#include "src/held_port.h"

namespace pimento {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

using State = CallerServer::State;

constexpr size_t kListenBacklog = 512;
// Connections that are looked at for one to give way to a new one.
constexpr int kMaxTriesForRoom = 8;

CallerSession* MostSpare(const State& state, int64_t now_ms) {
  CallerSession* chosen = nullptr;
  auto best = std::make_pair(SpareRank::kNotSpare, int64_t{0});
  for (CallerSession* session : state.sessions) {
    const auto spare = session->Spare(now_ms);
    if (spare.first == SpareRank::kNotSpare) continue;
    if (chosen != nullptr && best <= spare) continue;
    chosen = session;
    best = spare;
  }
  return chosen;
}

// Closes the connection that can best be spared, when as many are open as may
// be. Returns whether a further one may be opened.
bool MakeRoom(State& state) {
  for (int i = 0; i < kMaxTriesForRoom; ++i) {
    if (state.open_connections < state.options.max_connections) return true;
    CallerSession* spare = MostSpare(state, SteadyMs());
    if (spare == nullptr) return false;
    if (!spare->GiveWay()) continue;
    EventLine(Event::kConnectionRefused)
        .Text("reason", "gave_way")
        .Number("connections", static_cast<int64_t>(state.open_connections));
  }
  return false;
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
    if (!MakeRoom(*state)) {
      EventLine(Event::kConnectionRefused)
          .Text("reason", "too_many")
          .Number("connections", static_cast<int64_t>(state->open_connections));
      continue;
    }
    auto session = std::make_shared<CallerSession>(state, std::move(socket));
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
  for (CallerSession* session : state_->sessions) session->CloseIfIdle();
}

size_t CallerServer::requests_in_flight() const {
  return state_->requests_in_flight;
}
size_t CallerServer::connections() const { return state_->sessions.size(); }

}  // namespace pimento
