#include "src/gateway_server.h"

#include <utility>

#include "platform/object_codec.h"
#include "platform/wire_names.h"
#include "src/background_loop.h"
#include "src/connection_limits.h"
#include "src/event_log.h"
#include "src/gateway_call.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Callers query the directory again after this time, so they soon move away
// from a host that shuts down.
constexpr double kDirectoryTtlS = 1.0;
// New connections without a request are closed after this time during a
// shutdown.
constexpr milliseconds kIdleGrace{300};
constexpr milliseconds kDrainPollInterval{50};
// Minimum duration of a shutdown: callers with a cached directory entry
// continue to connect for a while.
constexpr milliseconds kMinDrainTime{2'500};
// Shares of the configured grace period. After the first one no connection is
// accepted any more and idle ones are closed; by then callers have learned from
// the directory to go elsewhere, and what was accepted has time to end. After
// the second one the shutdown completes once no request is in flight, even if
// connections are still open. After the third one it completes in any case.
constexpr double kAcceptShare = 0.5;
constexpr double kIdleDrainShare = 0.8;
constexpr double kMaxDrainShare = 0.94;
constexpr uint64_t kInternalBodyBytes = 64 * 1024;

ConnectionLimits ConnectionsOf(const GatewayState& state) {
  return LimitsOfConnections(state.settings().memory_mb,
                             state.settings().max_fds);
}

CallerLimits InternalLimits() { return {.body_bytes = kInternalBodyBytes}; }

}  // namespace

GatewayServer::GatewayServer(GatewayState& state)
    : state_(state),
      broker_(state.io(),
              {.budget = HeldBytesBudget(state.settings().memory_mb)}),
      callers_(state.io(),
               {.limits =
                    [&state] {
                      const auto desired = state.LatestState();
                      return desired ? desired->limits() : CallerLimits{};
                    },
                .handler =
                    [&state](const CallerRequest& request,
                             ResponseWriter& response, StopToken& token) {
                      return ServeCall(state, request, response, token);
                    },
                .broker = &broker_,
                .max_connections = ConnectionsOf(state).callers}) {}

void GatewayServer::Listen() {
  const auto& settings = state_.settings();
  const ConnectionLimits limits = ConnectionsOf(state_);
  callers_.Listen(settings.callers_address);
  ListenInternal("hosts",
                 settings.ip + ":" + std::to_string(settings.first_port),
                 limits.internal);
  ListenInternal("readiness", settings.ready_address, limits.readiness);
  ListenInternal("directory", settings.directory_address, limits.directory);
  ListenInternal("metrics", settings.ip + ":" + platform::kMetricsPort,
                 limits.metrics);
}

void GatewayServer::ListenInternal(const std::string& listener,
                                   const std::string& address,
                                   size_t max_connections) {
  if (address.empty() || internal_.contains(address)) return;
  CallerServer server(
      state_.io(),
      {.listener = listener,
       .limits = InternalLimits,
       .handler = [this](
                      const CallerRequest& request, ResponseWriter& response,
                      StopToken&) { return ServeInternal(request, response); },
       .broker = &broker_,
       .max_connections = max_connections});
  internal_.emplace(address, std::move(server)).first->second.Listen(address);
}

std::string GatewayServer::MetricsText() const {
  std::vector<const CallerServer*> servers = {&callers_};
  for (const auto& [address, server] : internal_) servers.push_back(&server);
  return state_.metrics().PrometheusText() + state_.ViewMetrics() +
         broker_.MetricsText() + CallerServer::MetricsText(servers);
}

asio::awaitable<void> GatewayServer::ServeInternal(const CallerRequest& request,
                                                   ResponseWriter& response) {
  const std::string target(request.header.target());
  if (auto mirror_call = platform::DecodeMirrorCall(target)) {
    co_await ServeMirror(std::move(*mirror_call), response);
    co_return;
  }
  const std::string path = target.substr(0, target.find('?'));
  ResponseWriter::Header header;
  std::string body;
  if (path == platform::kReadyPath) {
    header.result(state_.Ready() ? http::status::ok
                                 : http::status::service_unavailable);
  } else if (path == platform::kResolvePath) {
    header.result(http::status::ok);
    header.set(http::field::content_type, "application/json");
    body = platform::EncodeDirectory(state_.ReadyAddresses(), kDirectoryTtlS);
  } else if (path == "/metrics") {
    header.result(http::status::ok);
    header.set(http::field::content_type, "text/plain; version=0.0.4");
    body = MetricsText();
  } else {
    header.result(http::status::not_found);
  }
  co_await response.Send(std::move(header), std::move(body));
}

asio::awaitable<void> GatewayServer::ServeMirror(platform::MirrorCall call,
                                                 ResponseWriter& response) {
  ResponseWriter::Header header;
  header.result(http::status::service_unavailable);
  std::string body;
  StoreWatch* mirror = state_.FindWatch(call.kind);
  if (mirror == nullptr || !mirror->CanServe()) {
    co_await response.Send(std::move(header), std::move(body));
    co_return;
  }
  header.set(http::field::content_type, "application/json");
  if (call.watch_from) {
    const auto changes =
        co_await mirror->ServeWatch(*call.watch_from, call.wait);
    header.result(changes.history_gone ? http::status::gone : http::status::ok);
    body = platform::EncodeMirrorChanges(changes);
  } else {
    header.result(http::status::ok);
    body = platform::EncodeMirrorList(mirror->ServeList());
  }
  co_await response.Send(std::move(header), std::move(body));
}

void GatewayServer::Drain(std::function<void()> on_done) {
  EventLine(Event::kStopping)
      .Number("busy", static_cast<int64_t>(callers_.requests_in_flight()))
      .Number("connections", static_cast<int64_t>(callers_.connections()));
  state_.Drain();
  callers_.Drain(kIdleGrace);
  RunTask(state_.io(), "drain", [this, on_done = std::move(on_done)] {
    return WaitForDrain(on_done);
  });
}

asio::awaitable<void> GatewayServer::WaitForDrain(
    std::function<void()> on_done) {
  const auto began = steady_clock::now();
  const auto grace = static_cast<double>(state_.settings().grace_ms);
  const milliseconds accept_limit(static_cast<int64_t>(grace * kAcceptShare));
  const milliseconds idle_limit(static_cast<int64_t>(grace * kIdleDrainShare));
  const milliseconds drain_limit(static_cast<int64_t>(grace * kMaxDrainShare));
  for (;;) {
    asio::steady_timer timer(state_.io(), kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const auto passed = steady_clock::now() - began;
    if (passed >= drain_limit) break;
    if (passed >= accept_limit) callers_.StopAccepting();
    if (callers_.requests_in_flight() > 0) continue;
    if (passed >= idle_limit) break;
    if (passed >= kMinDrainTime && callers_.connections() == 0) break;
  }
  EventLine(Event::kStopped)
      .Number("busy", static_cast<int64_t>(callers_.requests_in_flight()));
  on_done();
}

}  // namespace pimento
