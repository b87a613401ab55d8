#include "src/caller_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "src/background_loop.h"
#include "src/caller_session.h"
#include "src/connection_pool.h"
#include "src/event_log.h"
#include "src/held_port.h"

namespace pimento {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

using State = CallerServer::State;

constexpr size_t kListenBacklog = 512;
// Connections that are asked to give way to a new one at a time.
constexpr int kMaxTriesForRoom = 8;
// A new connection waits no longer for one to give way.
constexpr milliseconds kMaxWaitForPlace{1'000};
constexpr milliseconds kMinWaitForPlace{1};
// New connections that are refused at a time; further ones are closed without
// an answer.
constexpr size_t kMaxRefusing = 4;
// After its refusal, what a new connection sends is discarded for so long.
constexpr milliseconds kDiscardTime{200};

constexpr std::array<std::string_view,
                     static_cast<size_t>(ServerRefusal::kCount)>
    kRefusalNames = {"gave_way",    "connection_limit", "memory_short",
                     "bad_request", "header_too_large", "body_too_large",
                     "read_timeout"};

// Closes the connection that can best be spared, when as many are open as may
// be. Returns whether a further one may be opened.
bool MakeRoom(State& state) {
  for (int i = 0; i < kMaxTriesForRoom && state.places.full(); ++i) {
    const auto spare = state.places.ToGiveWay(SteadyMs());
    if (!spare) return false;
    if (!state.sessions.at(*spare)->GiveWay()) continue;
    EventLine(Event::kConnectionRefused)
        .Text("reason", Name(ServerRefusal::kGaveWay))
        .Text("listener", state.options.listener)
        .Number("connections", static_cast<int64_t>(state.places.open()));
  }
  return !state.places.full();
}

// Makes room, and waits while a connection will have to give way soon.
// Meanwhile later ones wait in the listener's queue. Returns false at once when
// the requests of all connections are in progress.
asio::awaitable<bool> WaitForRoom(State& state) {
  const auto until = steady_clock::now() + kMaxWaitForPlace;
  while (!MakeRoom(state)) {
    const auto next_ms = state.places.NextToGiveWayMs();
    if (!next_ms || steady_clock::now() >= until) co_return false;
    asio::steady_timer pause(
        state.io,
        std::max(kMinWaitForPlace, milliseconds(*next_ms - SteadyMs())));
    co_await pause.async_wait(asio::use_awaitable);
  }
  co_return true;
}

// Answers a new connection for which there is no place, and closes it.
asio::awaitable<void> Refuse(std::shared_ptr<State> state, tcp::socket socket) {
  ++state->refusing;
  beast::tcp_stream stream(std::move(socket));
  stream.expires_after(kDiscardTime);
  const std::string refusal =
      state->RefusalBytes(ServerRefusal::kConnectionLimit);
  beast::error_code error;
  co_await asio::async_write(stream, asio::buffer(refusal),
                             asio::redirect_error(asio::use_awaitable, error));
  // Closing a socket with unread data sends a reset, which can make the caller
  // lose the response.
  stream.socket().shutdown(tcp::socket::shutdown_send, error);
  std::array<char, 1024> discarded;
  while (!error)
    co_await stream.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, error));
  --state->refusing;
}

void RefuseNew(const std::shared_ptr<State>& state, tcp::socket socket) {
  state->Count(ServerRefusal::kConnectionLimit);
  EventLine(Event::kConnectionRefused)
      .Text("reason", "too_many")
      .Text("listener", state->options.listener)
      .Number("connections", static_cast<int64_t>(state->places.open()));
  if (state->refusing >= kMaxRefusing) return;
  auto kept = std::make_shared<tcp::socket>(std::move(socket));
  RunTask(state->io, "refusal",
          [state, kept] { return Refuse(state, std::move(*kept)); });
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
    if (!co_await WaitForRoom(*state)) {
      RefuseNew(state, std::move(socket));
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

void CallerServer::CloseListeners() {
  for (tcp::acceptor& acceptor : state_->acceptors) {
    beast::error_code ignored;  // it may be closed already
    acceptor.close(ignored);
  }
}

void CallerServer::StopAccepting() {
  CloseListeners();
  for (const auto& [place, session] : state_->sessions) session->CloseIfIdle();
}

size_t CallerServer::requests_in_flight() const {
  return state_->requests_in_flight;
}
size_t CallerServer::connections() const { return state_->sessions.size(); }

std::string_view Name(ServerRefusal refusal) {
  return kRefusalNames[static_cast<size_t>(refusal)];
}

std::string CallerServer::MetricsText(
    const std::vector<const CallerServer*>& servers) {
  std::ostringstream open;
  std::ostringstream limit;
  std::ostringstream refused;
  open << "# TYPE pimento_connections gauge\n";
  limit << "# TYPE pimento_connections_limit gauge\n";
  refused << "# TYPE pimento_connections_refused_total counter\n";
  for (const CallerServer* server : servers) {
    const State& state = *server->state_;
    const std::string label = "{listener=\"" + state.options.listener + "\"";
    open << "pimento_connections" << label << "} " << state.places.open()
         << "\n";
    limit << "pimento_connections_limit" << label << "} "
          << state.places.limit() << "\n";
    for (size_t i = 0; i < state.refusals.size(); ++i)
      refused << "pimento_connections_refused_total" << label << ",reason=\""
              << kRefusalNames[i] << "\"} " << state.refusals[i] << "\n";
  }
  return open.str() + limit.str() + refused.str();
}

}  // namespace pimento
