#include "src/gateway_server.h"

#include <set>
#include <utility>

#include "platform/object_codec.h"
#include "platform/wire_names.h"
#include "src/event_log.h"
#include "src/gateway_call.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Callers ask again after this time, so that those of a host that goes are soon
// elsewhere.
constexpr double kDirectoryTtlS = 1.0;
constexpr milliseconds kIdleGrace{300};
constexpr milliseconds kStopPoll{50};
// Callers that still hold this host's address keep coming for a while.
constexpr milliseconds kLeastStop{2'500};
// Parts of the time that a planned stop may take.
constexpr double kQuietShare = 0.8;
constexpr double kWholeShare = 0.94;
constexpr uint64_t kServiceBodyBytes = 64 * 1024;

CallerLimits ServiceLimits() { return {.body_bytes = kServiceBodyBytes}; }

}  // namespace

GatewayServer::GatewayServer(GatewayState& state)
    : state_(state),
      callers_(state.io(),
               {.limits =
                    [&state] {
                      const auto desired = state.LatestState();
                      return desired ? desired->limits() : CallerLimits{};
                    },
                .handler =
                    [&state](const CallerRequest& request, AnswerSink& answer,
                             StopToken& token) {
                      return ServeCall(state, request, answer, token);
                    }}),
      services_(state.io(), {.limits = ServiceLimits,
                             .handler = [this](const CallerRequest& request,
                                               AnswerSink& answer, StopToken&) {
                               return ServeService(request, answer);
                             }}) {}

void GatewayServer::Listen() {
  const auto& settings = state_.settings();
  callers_.Listen(settings.callers_address);
  const std::set<std::string> addresses = {
      settings.ip + ":" + std::to_string(settings.first_port),
      settings.ready_address, settings.directory_address,
      settings.ip + ":" + platform::kMetricsPort};
  for (const std::string& address : addresses) {
    if (!address.empty()) services_.Listen(address);
  }
}

asio::awaitable<void> GatewayServer::ServeService(const CallerRequest& request,
                                                  AnswerSink& answer) {
  const std::string target(request.header.target());
  if (auto copy_call = platform::DecodeMirrorCall(target)) {
    co_await ServeCopy(std::move(*copy_call), answer);
    co_return;
  }
  const std::string path = target.substr(0, target.find('?'));
  AnswerSink::Header header;
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
    body = state_.metrics().PrometheusText();
  } else {
    header.result(http::status::not_found);
  }
  co_await answer.Send(std::move(header), std::move(body));
}

asio::awaitable<void> GatewayServer::ServeCopy(platform::MirrorCall call,
                                               AnswerSink& answer) {
  AnswerSink::Header header;
  header.result(http::status::service_unavailable);
  std::string body;
  StoreWatch* copy = state_.FindWatch(call.kind);
  if (copy == nullptr || !copy->CanServe()) {
    co_await answer.Send(std::move(header), std::move(body));
    co_return;
  }
  header.set(http::field::content_type, "application/json");
  if (call.watch_from) {
    const auto changes = co_await copy->ServeWatch(*call.watch_from, call.wait);
    header.result(changes.history_gone ? http::status::gone : http::status::ok);
    body = platform::EncodeMirrorChanges(changes);
  } else {
    header.result(http::status::ok);
    body = platform::EncodeMirrorList(copy->ServeList());
  }
  co_await answer.Send(std::move(header), std::move(body));
}

void GatewayServer::Drain(std::function<void()> on_done) {
  EventLine(Event::kStopping)
      .Number("busy", static_cast<int64_t>(callers_.busy()))
      .Number("connections", static_cast<int64_t>(callers_.connections()));
  state_.Drain();
  callers_.Drain(kIdleGrace);
  asio::co_spawn(state_.io(), WaitForEnd(std::move(on_done)), asio::detached);
}

asio::awaitable<void> GatewayServer::WaitForEnd(std::function<void()> on_done) {
  const auto began = steady_clock::now();
  const auto grace = static_cast<double>(state_.settings().grace_ms);
  const milliseconds quiet(static_cast<int64_t>(grace * kQuietShare));
  const milliseconds whole(static_cast<int64_t>(grace * kWholeShare));
  for (;;) {
    asio::steady_timer timer(state_.io(), kStopPoll);
    co_await timer.async_wait(asio::use_awaitable);
    const auto passed = steady_clock::now() - began;
    if (passed >= whole) break;
    if (callers_.busy() > 0) continue;
    if (passed >= quiet) break;
    if (passed >= kLeastStop && callers_.connections() == 0) break;
  }
  EventLine(Event::kStopped)
      .Number("busy", static_cast<int64_t>(callers_.busy()));
  on_done();
}

}  // namespace pimento
