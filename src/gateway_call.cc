#include "src/gateway_call.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <utility>

#include "src/call_rank.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/gateway_call_state.h"

namespace pimento {
namespace Internal {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int64_t kDefaultDeadlineMs = 30'000;

double RandomFraction() {
  static thread_local std::minstd_rand engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(engine);
}

}  // namespace

int64_t GatewayCall::RemainingMs() const {
  return std::chrono::duration_cast<milliseconds>(deadline_ -
                                                  steady_clock::now())
      .count();
}

int64_t GatewayCall::ElapsedMs() const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  request_.arrived)
      .count();
}

void GatewayCall::ParseRequest() {
  try {
    head_ = platform::DecodeCall(request_.header);
  } catch (const platform::HeaderError& e) {
    throw Refusal(Reason::kBadRequest, RunState::kNotRun, e.what());
  }
  desired_ = state_.UsableState();
  if (!desired_)
    throw Refusal(Reason::kNoConfiguration, RunState::kNotRun,
                  "The desired state is missing or too old to be used.",
                  kShortRetryAfterMs);
  route_ = desired_->FindRoute(head_.host, head_.path);
  if (route_ == nullptr)
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "No route matches " + head_.host + head_.path + ".");
  service_name_ = PickService(*route_, RandomFraction());
  service_ = desired_->FindService(service_name_);
}

void GatewayCall::Authenticate() {
  priority_ = CallRank(-1, route_->priority);
  if (route_->open || desired_->teams().empty()) return;
  team_ = head_.key.empty() ? nullptr : desired_->TeamOfKey(head_.key);
  if (team_ == nullptr)
    throw Refusal(head_.key.empty() ? Reason::kKeyMissing : Reason::kKeyUnknown,
                  RunState::kNotRun, "The request has no valid key.");
  priority_ = CallRank(team_->priority, route_->priority);
}

void GatewayCall::Enter() {
  entered_ = state_.calls().Enter(TeamName());
  if (!entered_)
    throw Refusal(Reason::kCallLimit, RunState::kNotRun,
                  std::to_string(state_.calls().of(TeamName())) + " of " +
                      std::to_string(state_.calls().in_progress()) +
                      " calls in progress are of this team.",
                  kShortRetryAfterMs);
}

void GatewayCall::Leave() {
  if (entered_) state_.calls().Leave(TeamName());
  entered_ = false;
}

RequestFingerprints GatewayCall::Fingerprints() const {
  const auto target = request_.header.target();
  return FingerprintsOf(head_.host + std::string(target),
                        team_ == nullptr ? head_.key : team_->name,
                        request_.body);
}

int64_t GatewayCall::RefusedForMs() const {
  if (state_.suspects().empty()) return 0;
  return state_.suspects().RefusedForMs(Fingerprints(), SteadyMs());
}

void GatewayCall::RefuseSuspect() const {
  const int64_t refused_ms = RefusedForMs();
  if (refused_ms == 0) return;
  const RequestFingerprints fingerprints = Fingerprints();
  throw Refusal(Reason::kCrashesUpstreams, RunState::kNotRun,
                "The request " + HexOf(fingerprints.exact) +
                    " was in flight on " +
                    std::to_string(state_.suspects().Crashes(fingerprints)) +
                    " upstreams when they crashed.",
                refused_ms);
}

void GatewayCall::StartDeadline() {
  const int64_t requested_ms = head_.deadline_ms.value_or(kDefaultDeadlineMs);
  deadline_ = request_.arrived +
              milliseconds(std::min(requested_ms, route_->timeout_ms));
  timer_.expires_at(deadline_);
  timer_.async_wait([alive = alive_,
                     &token = token_](const boost::system::error_code& error) {
    if (!error && *alive) token.Stop(StopReason::kTimeLimit);
  });
}

// Reports the outcome when no attempt gave the caller a complete response.
void GatewayCall::ReportFailure() {
  if (response_.begun()) {
    response_.Abort();
    EventLine(Event::kCallBroken)
        .Text("request", head_.request_id)
        .Text("error", last_failure_)
        .Number("events", events_)
        .Number("took_ms", ElapsedMs());
    return;
  }
  if (token_.reason() == StopReason::kCallerLeft) {
    LogEnd("caller_left", 0);
    response_.Abort();
    return;
  }
  const bool late = token_.reason() == StopReason::kTimeLimit;
  if (!may_have_run_)
    throw Refusal(late ? Reason::kQueueTimeout : Reason::kUpstreamUnreachable,
                  RunState::kNotRun, last_failure_, kShortRetryAfterMs);
  throw Refusal(late ? Reason::kDeadlinePassed : Reason::kOutcomeUnknown,
                RunState::kUnknown, last_failure_);
}

asio::awaitable<void> GatewayCall::SendRefusal(const Refusal& refusal) {
  state_.metrics().CountRefusal(refusal.reason());
  ResponseWriter::Header header;
  header.result(static_cast<unsigned>(HttpStatus(refusal.reason())));
  header.set(http::field::content_type, "text/plain");
  if (refusal.retry_after_ms() > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f",
                  static_cast<double>(refusal.retry_after_ms()) / 1'000.0);
    header.set(http::field::retry_after, seconds);
  }
  EventLine(Event::kCallRefused)
      .Text("request", head_.request_id)
      .Text("program", head_.program)
      .Text("route", route_ == nullptr ? "" : route_->name)
      .Text("team", team_ == nullptr ? "" : team_->name)
      .Text("reason", Name(refusal.reason()))
      .Text("run", Name(refusal.run()))
      .Text("detail", refusal.what())
      .Number("status", HttpStatus(refusal.reason()))
      .Number("retry_after_ms", refusal.retry_after_ms())
      .Number("state_version", desired_ ? desired_->version() : 0)
      .Number("state_age_ms", state_.StateAgeMs())
      .Number("took_ms", ElapsedMs());
  co_await response_.Send(std::move(header),
                          std::string(Name(refusal.reason())) + "\n");
}

void GatewayCall::LogEnd(std::string_view outcome, int status) {
  if (is_copy_) return;
  state_.metrics().Add(Counter::kCallsAnswered);
  state_.metrics().Observe(Latency::kCall, static_cast<double>(ElapsedMs()));
  EventLine(Event::kCallEnded)
      .Text("request", head_.request_id)
      .Text("program", head_.program)
      .Text("route", route_ == nullptr ? "" : route_->name)
      .Text("team", team_ == nullptr ? "" : team_->name)
      .Text("outcome", outcome)
      .Number("status", status)
      .Number("attempts", attempts_)
      .Number("events", events_)
      .Number("took_ms", ElapsedMs());
}

asio::awaitable<void> GatewayCall::Run() {
  std::optional<Refusal> refusal;
  try {
    ParseRequest();
    Authenticate();
    Enter();
    StartDeadline();
    RefuseSuspect();
    co_await Admit();
    co_await BeginTurn();
    co_await TryUpstreams();
    if (!done_) ReportFailure();
  } catch (const Refusal& e) {
    refusal = e;
  }
  timer_.cancel();
  *alive_ = false;
  ReleaseUnused();
  Leave();
  if (!refusal) co_return;
  if (token_.reason() != StopReason::kCallerLeft) {
    co_await SendRefusal(*refusal);
    co_return;
  }
  LogEnd("caller_left", 0);
  response_.Abort();
}

}  // namespace Internal

boost::asio::awaitable<void> ServeCall(GatewayState& state,
                                       const CallerRequest& request,
                                       ResponseWriter& response,
                                       StopToken& token) {
  Internal::GatewayCall call(state, request, response, token);
  co_await call.Run();
}

}  // namespace pimento
