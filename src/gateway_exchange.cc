// Sends a request to upstreams: acquires an upstream from the dispatcher,
// exchanges request and response, relays the response to the caller, and
// retries on another upstream when that is safe.
#include <algorithm>
#include <utility>

#include "src/errors.h"
#include "src/event_log.h"
#include "src/gateway_call_state.h"

namespace pimento::Internal {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kConnectTimeout{500};
// For upstreams that send no Keep-Alive header; shorter than the idle timeouts
// that such upstreams are known to have.
constexpr milliseconds kDefaultKeepAlive{2'000};
// Connections are dropped this long before the upstream's idle timeout, so that
// no request is sent on a connection that the upstream is closing.
constexpr milliseconds kKeepAliveMargin{600};
constexpr milliseconds kMaxKeepAlive{10'000};
constexpr size_t kMaxResponseBytes = 8 * 1024 * 1024;
// The account is told of what a call holds in steps of this size.
constexpr uint64_t kAccountStepBytes = 16 * 1024;
// A response being collected grows by this part of its size.
constexpr size_t kGrowthShare = 4;
// An exchange fails after this many interim responses or responses to other
// requests.
constexpr int kMaxStrayResponses = 4;
constexpr int kFirstNonSuccess = 300;
// Pause before a finished turn is stored again.
constexpr milliseconds kStoreRetryPause{60};

bool Successful(int status) {
  return status >= kHttpOk && status < kFirstNonSuccess;
}

}  // namespace

asio::awaitable<void> GatewayCall::TryUpstreams() {
  if (IsRetryable()) state_.hedging().OnRequest();
  for (;;) {
    if (token_.stopped()) co_return;
    if (!may_have_run_) RefuseSuspect();
    if (RefusedForMs() > 0) co_return;
    DispatchRequest dispatch_request{
        .request_id = head_.request_id,
        .team = team_ == nullptr ? "" : team_->name,
        .program = head_.program,
        .priority = priority_,
        .route_priority = route_->priority};
    dispatch_request.input = {
        .service = service_name_,
        .prompt = &head_.prompt,
        .output_tokens = head_.max_output_tokens.value_or(0),
        .tokens_per_event =
            service_ == nullptr ? 1 : service_->tokens_per_event,
        .prompt_holder = previous_upstream_,
        .tried = tried_,
        .prompt_tokens = head_.prompt_tokens.value_or(0),
        .program_left_ms = head_.program_left_ms,
        .version_side = VersionSideOfCall()};
    dispatch_request.wait_deadline_ms = SteadyMs() + RemainingMs();
    UpstreamEntry upstream;
    try {
      upstream = co_await AcquireUpstream(std::move(dispatch_request));
    } catch (const Refusal& refusal) {
      // After an earlier attempt, ReportFailure() decides whether the request
      // may have run; only the message of this refusal is kept.
      if (attempts_ == 0) throw;
      last_failure_ += std::string(" Then: ") + refusal.what();
      co_return;
    }
    AttemptResult attempt = AttemptResult::kNotRun;
    if (MayHedge())
      attempt = co_await TryWithSecond(upstream);
    else
      attempt = co_await TryUpstream(upstream);
    co_await NoteRun(upstream, attempt);
    done_ = attempt == AttemptResult::kDone;
    if (done_) co_return;
    if (attempt != AttemptResult::kNotRun) may_have_run_ = true;
    const bool retry = !archive_failed_ &&
                       (attempt == AttemptResult::kNotRun || IsRetryable());
    if (!retry || attempts_ >= route_->attempts) co_return;
    state_.metrics().CountRetry(attempt == AttemptResult::kNotRun
                                    ? Reason::kUpstreamUnreachable
                                    : Reason::kUpstreamBroken);
  }
}

VersionSide GatewayCall::VersionSideOfCall() const {
  // A second attempt does not go to a version that is being tried.
  const std::string& key =
      head_.program.empty() ? head_.request_id : head_.program;
  const VersionSide side = state_.rollouts().SideOf(service_name_, key);
  return attempts_ > 0 && side == VersionSide::kTarget ? VersionSide::kOld
                                                       : side;
}

asio::awaitable<UpstreamEntry> GatewayCall::AcquireUpstream(
    DispatchRequest request) {
  for (;;) {
    UpstreamEntry upstream =
        co_await state_.dispatcher().Acquire(request, token_);
    const auto limit = state_.table().named_limit(upstream.id);
    if (!limit) co_return upstream;
    const int64_t wait_ms =
        co_await state_.rates().AcquireUpstream(HashName(upstream.id), *limit);
    if (wait_ms == 0 && !token_.stopped()) co_return upstream;
    state_.dispatcher().WithdrawUntil(upstream.id, SteadyMs() + wait_ms);
    if (token_.stopped())
      throw Refusal(Reason::kQueueTimeout, RunState::kNotRun,
                    "The request ended while it waited for the limit of " +
                        upstream.id + ".",
                    kShortRetryAfterMs);
    state_.metrics().Add(Counter::kLimitedDelays);
    request.accepted = true;
  }
}

asio::awaitable<AttemptResult> GatewayCall::TryUpstream(
    const UpstreamEntry& upstream) {
  const auto started = steady_clock::now();
  const int64_t events_before = events_;
  attempt_started_ = started;
  first_event_ms_.reset();
  answer_status_ = 0;
  tried_.insert(upstream.id);
  // Of an answer that comes as a whole, nothing is seen before its end.
  stage_ = route_->kind == RouteKind::kStreaming ? RunStage::kSent
                                                 : RunStage::kBegun;
  broken_off_ = false;
  AttemptResult attempt = AttemptResult::kNotRun;
  std::string failure;
  bool refused = false;
  std::unique_ptr<PooledConnection> connection;
  try {
    connection = co_await state_.pool().Acquire(
        upstream.address,
        std::min(kConnectTimeout,
                 milliseconds(std::max<int64_t>(1, RemainingMs()))));
    if (!WithholdReason(upstream).empty()) {
      WithholdFrom(upstream, std::move(connection));
      co_return AttemptResult::kNotRun;
    }
    ++attempts_;
    if (state_.table().named_limit(upstream.id))
      state_.metrics().Add(Counter::kLimitedSends);
    const RequestFingerprints fingerprints = Fingerprints();
    const SlotUse use = state_.table().UseOf(service_name_);
    EventLine(Event::kCallOffered)
        .Text("request", head_.request_id)
        .Text("upstream", upstream.id)
        .Text("address", upstream.address)
        .Text("fingerprint", HexOf(fingerprints.exact))
        .Text("leading", HexOf(fingerprints.leading))
        .Number("attempt", attempts_)
        .Number("own_calls", use.own)
        .Number("service_calls", use.own + use.peers)
        .Number("service_slots", use.slots)
        .Number("left_ms", RemainingMs())
        .Number("state_version", desired_->version())
        .Number("view_age_ms", state_.upstream_view().AgeMs())
        .Number("view_revision",
                static_cast<int64_t>(state_.upstream_view().revision()));
    token_.set_on_stop([&connection] {
      if (connection) connection->Close();
    });
    attempt = AttemptResult::kLost;
    attempt = co_await Exchange(upstream, *connection);
    refused = attempt == AttemptResult::kNotRun;
    state_.pool().Release(std::move(connection), PoolIdleTimeout());
  } catch (const TransportError& e) {
    failure = e.what();
    if (attempt == AttemptResult::kLost && events_ > events_before)
      attempt = AttemptResult::kBroken;
    broken_off_ = attempt != AttemptResult::kNotRun && !e.silent() &&
                  !token_.stopped() && !archive_failed_;
  }
  token_.clear_on_stop();
  CallResult result{.outcome = CallOutcome::kServed,
                    .success = Successful(answer_status_),
                    .prompt = &head_.prompt};
  result.duration_ms =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - started)
          .count();
  result.events = events_ - events_before;
  if (result.events > 0) result.first_event_ms = first_event_ms_;
  if (refused) {
    result.outcome = CallOutcome::kRefused;
    state_.metrics().Add(Counter::kTurnedAway);
  }
  if (!refused && attempt != AttemptResult::kDone)
    result.outcome =
        token_.stopped() ? CallOutcome::kAbandoned : CallOutcome::kFailed;
  NoteVersion(upstream, result);
  state_.dispatcher().Release(upstream.id, result);
  // Neither the upstream's connection nor its slot waits for the caller to
  // read.
  co_await SendAnswer();
  if (attempt != AttemptResult::kDone) {
    last_failure_ =
        failure.empty()
            ? "The upstream reported that it did not run the request."
            : failure;
    EventLine(Event::kOfferFailed)
        .Text("request", head_.request_id)
        .Text("upstream", upstream.id)
        .Text("error", last_failure_)
        .Number("events", result.events)
        .Number("took_ms", result.duration_ms);
  }
  co_return attempt;
}

void GatewayCall::NoteVersion(const UpstreamEntry& upstream,
                              const CallResult& result) {
  constexpr int kServerError = 500;
  // Calls that did not run say nothing, nor do those that the caller left.
  const bool timed_out = result.outcome == CallOutcome::kAbandoned &&
                         RemainingMs() <= kShortRetryAfterMs;
  if (result.outcome == CallOutcome::kRefused || archive_failed_ ||
      (result.outcome == CallOutcome::kAbandoned && !timed_out))
    return;
  const bool failed =
      result.outcome == CallOutcome::kFailed || answer_status_ >= kServerError;
  VersionAnswer answer{.failed = failed && !timed_out,
                       .duration_ms = result.duration_ms};
  if (!answer.failed)
    answer.unit_ms = static_cast<double>(result.duration_ms) /
                     static_cast<double>(std::max<int64_t>(1, result.events));
  state_.rollouts().OnAnswer(upstream, route_->name, answer);
}

asio::awaitable<void> GatewayCall::NoteRun(const UpstreamEntry& upstream,
                                           AttemptResult attempt) {
  // Without the stamp it is not the upstream that answered.
  if (attempt == AttemptResult::kDone && stamped_)
    state_.OnRunCompleted(Fingerprints());
  if (!broken_off_) co_return;
  const BrokenRun run{
      .upstream = upstream, .request = Fingerprints(), .stage = stage_};
  co_await state_.OnBrokenOff(run);
}

std::string GatewayCall::WithholdReason(const UpstreamEntry& upstream) const {
  if (!state_.table().MayReceive(upstream))
    return "The upstream " + upstream.id +
           " went out of service before the request was sent.";
  if (RefusedForMs() > 0)
    return "The request turned out to crash upstreams before it was sent.";
  return {};
}

void GatewayCall::WithholdFrom(const UpstreamEntry& upstream,
                               std::unique_ptr<PooledConnection> connection) {
  last_failure_ = WithholdReason(upstream);
  state_.pool().Release(std::move(connection), PoolIdleTimeout());
  state_.dispatcher().Withdraw(upstream.id);
  state_.metrics().Add(Counter::kSendsWithheld);
  EventLine(Event::kOfferFailed)
      .Text("request", head_.request_id)
      .Text("upstream", upstream.id)
      .Text("error", last_failure_);
}

std::shared_ptr<PooledConnection::Request> GatewayCall::BuildUpstreamRequest(
    const UpstreamEntry& upstream) const {
  const platform::UpstreamHeaders order{
      .upstream_id = upstream.id,
      .team = team_ == nullptr ? "" : team_->name,
      .deadline_left_ms = std::max<int64_t>(1, RemainingMs()),
      .last_event_id = last_event_id_};
  auto request = std::make_shared<PooledConnection::Request>(
      platform::HeaderForUpstream(request_.header, order));
  request->body() = history_ + request_.body;
  request->prepare_payload();
  return request;
}

asio::awaitable<const PooledConnection::ResponseHeader*>
GatewayCall::ReadMatchingHeader(PooledConnection& connection,
                                platform::ResponseHead& head) {
  for (int strays = 0; strays < kMaxStrayResponses; ++strays) {
    const PooledConnection::ResponseHeader* header = nullptr;
    try {
      header = co_await connection.ReadHeader(deadline_);
    } catch (const InvalidStatusError&) {
      state_.metrics().Add(Counter::kInvalidStatuses);
      throw;  // a broken exchange; TryUpstream() logs it
    }
    head = platform::DecodeResponse(*header);
    keep_alive_ms_ = head.keep_alive_ms;
    const bool interim = head.status < kHttpOk;
    if (head.request_id == head_.request_id && !interim) co_return header;
    if (head.request_id.empty() && !interim) {
      // Without an id it is attributed to the only request that the connection
      // has carried.
      if (!connection.reused() && !Successful(head.status)) co_return header;
      throw TransportError("The response does not name its request.");
    }
    // An interim response, or a late one to another request: discard it.
    if (connection.ends_with_close())
      throw TransportError("The upstream answered another request and closes.");
    co_await connection.ReadRemainingBody(deadline_, kMaxResponseBytes);
    EventLine(Event::kOfferFailed)
        .Text("request", head_.request_id)
        .Text("error",
              "discarded an interim response or one to another request")
        .Text("answer_to", head.request_id);
  }
  throw TransportError("The upstream sent only responses to other requests.");
}

void GatewayCall::NoteLeaving(const UpstreamEntry& upstream,
                              const platform::ResponseHead& head) {
  if (!head.leaving || !state_.table().OnLeavingStated(upstream)) return;
  state_.metrics().Add(Counter::kLeavingStated);
  EventLine(Event::kUpstreamLeaving)
      .Text("request", head_.request_id)
      .Text("upstream", upstream.id)
      .Number("status", head.status);
}

void GatewayCall::NoteNamedLimit(const UpstreamEntry& upstream,
                                 const platform::ResponseHead& head) {
  if (!state_.table().set_named_limit(upstream.id, head.limit_per_second))
    return;
  EventLine(Event::kUpstreamLimitNamed)
      .Text("request", head_.request_id)
      .Text("upstream", upstream.id)
      .Text("state", head.limit_per_second ? "named" : "lifted")
      .Number("per_second_milli", Milli(head.limit_per_second.value_or(0)));
}

asio::awaitable<AttemptResult> GatewayCall::Exchange(
    const UpstreamEntry& upstream, PooledConnection& connection) {
  co_await connection.Send(BuildUpstreamRequest(upstream), deadline_);
  platform::ResponseHead head;
  const auto* header = co_await ReadMatchingHeader(connection, head);
  stamped_ = head.has_server_stamp;
  answer_status_ = head.status;
  constexpr int kMisdirected = 421;
  if (head.status == kMisdirected) {
    // Its other headers are those of another upstream.
    state_.table().OnMisdirected(upstream.id);
  } else {
    NoteNamedLimit(upstream, head);
    NoteLeaving(upstream, head);
  }
  AttemptResult attempt = AttemptResult::kDone;
  if (head.not_run) {
    // A body that only a close ends is not waited for.
    if (!connection.ends_with_close())
      co_await connection.ReadRemainingBody(deadline_, kMaxResponseBytes);
    attempt = AttemptResult::kNotRun;
  } else if (Successful(head.status) && !head.has_server_stamp) {
    throw TransportError(
        "The response has no server stamp: it does not come from the "
        "upstream.");
  } else if (head.event_stream && Successful(head.status)) {
    stage_ = RunStage::kBegun;
    attempt = co_await RelayEvents(connection, *header, upstream);
  } else if (events_ > 0) {
    throw TransportError("The stream could not be resumed: status " +
                         std::to_string(head.status) + ".");
  } else {
    attempt = co_await RelayBuffered(connection, *header);
  }
  co_return attempt;
}

uint64_t GatewayCall::HeldBytes() const {
  // The history is sent on as a copy.
  constexpr uint64_t kHistoryCopies = 2;
  return history_.size() * kHistoryCopies + output_.size();
}

asio::awaitable<void> GatewayCall::Account(uint64_t more) {
  const uint64_t bytes = HeldBytes() + more;
  // Most calls never get this far.
  if (bytes < accounted_bytes_ + kAccountStepBytes) co_return;
  accounted_bytes_ = bytes;
  co_await response_.Hold(bytes, deadline_);
}

asio::awaitable<std::string> GatewayCall::CollectBody(
    PooledConnection& connection) {
  std::string body;
  for (;;) {
    const std::string piece = co_await connection.ReadSome(deadline_);
    if (piece.empty()) co_return body;
    const size_t size = body.size() + piece.size();
    if (size > kMaxResponseBytes)
      throw TransportError("A response is longer than " +
                           std::to_string(kMaxResponseBytes) + " bytes.");
    if (size > body.capacity()) {
      // To the announced length, else by a quarter: doubling would hold twice
      // what has arrived.
      const auto announced = static_cast<size_t>(
          std::min<uint64_t>(connection.announced_bytes(), kMaxResponseBytes));
      const size_t capacity =
          size + (announced > 0 ? announced
                                : std::max(piece.size(), size / kGrowthShare));
      if (capacity >= kAccountStepBytes) co_await Account(capacity);
      body.reserve(capacity);
    }
    body += piece;
  }
}

asio::awaitable<AttemptResult> GatewayCall::RelayBuffered(
    PooledConnection& connection,
    const PooledConnection::ResponseHeader& header) {
  ResponseWriter::Header out = platform::HeaderForCaller(header);
  const auto head = platform::DecodeResponse(header);
  std::string body = co_await CollectBody(connection);
  answer_.emplace(BufferedAnswer{.status = head.status,
                                 .header = std::move(out),
                                 .body = std::move(body)});
  co_return AttemptResult::kDone;
}

asio::awaitable<void> GatewayCall::SendAnswer() {
  if (!answer_) co_return;
  BufferedAnswer answer = std::move(*answer_);
  answer_.reset();
  Leave();
  co_await response_.Send(std::move(answer.header), std::move(answer.body));
  LogEnd("answered", answer.status);
}

asio::awaitable<bool> GatewayCall::ForwardEvents(
    std::vector<StreamEvent> events,
    const PooledConnection::ResponseHeader& header) {
  std::string bytes;
  for (StreamEvent& event : events) {
    bytes += event.raw;
    if (event.has_data) {
      stage_ = RunStage::kProducing;
      if (!first_event_ms_) {
        first_event_ms_ = std::chrono::duration_cast<milliseconds>(
                              steady_clock::now() - attempt_started_)
                              .count();
      }
      output_bytes_ += event.data.size() + 1;
      if (route_->keeps_history) {
        output_ += event.data;
        output_ += '\n';
      }
      ++events_;
    }
    if (!event.id.empty()) last_event_id_ = event.id;
  }
  if (bytes.empty()) co_return true;
  if (!response_.begun() &&
      !co_await response_.Begin(platform::HeaderForCaller(header)))
    co_return false;
  co_return co_await response_.Write(std::move(bytes));
}

asio::awaitable<AttemptResult> GatewayCall::RelayEvents(
    PooledConnection& connection,
    const PooledConnection::ResponseHeader& header,
    const UpstreamEntry& upstream) {
  EventSplitter splitter;
  const int64_t events_before = events_;
  for (;;) {
    const std::string piece = co_await connection.ReadSome(deadline_);
    if (piece.empty()) break;
    auto events = splitter.Feed(piece);
    if (splitter.too_long() || output_bytes_ > kMaxResponseBytes)
      throw TransportError("The stream of " + upstream.id +
                           " has an event or a total without end.");
    if (HeldBytes() >= accounted_bytes_ + kAccountStepBytes)
      co_await Account(0);
    if (!co_await ForwardEvents(std::move(events), header)) {
      token_.Stop(StopReason::kCallerLeft);
      throw TransportError(
          "The caller closed the connection during the response.");
    }
  }
  if (splitter.partial())
    throw TransportError("The stream ended in the middle of an event.");
  if (events_ == events_before && connection.ends_with_close())
    throw TransportError("The connection closed before the first event.");
  if (!response_.begun() &&
      !co_await response_.Begin(platform::HeaderForCaller(header)))
    throw TransportError("The caller closed the connection.");
  co_return co_await FinishStream(upstream);
}

asio::awaitable<AttemptResult> GatewayCall::FinishStream(
    const UpstreamEntry& upstream) {
  if (route_->keeps_history) {
    const int64_t per_event =
        service_ == nullptr ? 1 : service_->tokens_per_event;
    TurnRecord record{
        .turn = head_.request_id,
        .previous = head_.previous_turn,
        .team = team_ == nullptr ? "" : team_->name,
        .input = request_.body,
        .output = output_,
        .upstream = upstream.id,
        .retain_ms = static_cast<int64_t>(route_->retain_s * 1'000)};
    if (reserved_) {
      record.program = head_.program;
      record.tokens = static_cast<uint64_t>(events_ * per_event);
    }
    // Each member is sent a copy.
    const uint64_t copies = 1 + state_.archive().list().All().size();
    co_await Account(copies * (record.input.size() + record.output.size()));
    co_await StoreTurn(std::move(record));
    reserved_ = false;
    EventLine(Event::kTurnKept)
        .Text("request", head_.request_id)
        .Number("events", events_)
        .Number("took_ms", ElapsedMs());
  }
  token_.clear_on_stop();
  co_await response_.End();
  LogEnd("streamed", kHttpOk);
  co_return AttemptResult::kDone;
}

asio::awaitable<void> GatewayCall::StoreTurn(TurnRecord record) {
  for (int attempt = 1;; ++attempt) {
    std::string failure;
    try {
      co_await state_.archive().SaveTurn(record);
      co_return;
    } catch (const ArchiveError& e) {
      failure = e.what();
    }
    const bool again =
        !token_.stopped() && RemainingMs() > kStoreRetryPause.count();
    EventLine(Event::kArchiveFailed)
        .Text("request", head_.request_id)
        .Text("what", again ? "turn, stored again" : "turn")
        .Text("error", failure)
        .Number("attempt", attempt)
        .Number("left_ms", RemainingMs());
    if (!again) {
      archive_failed_ = true;
      throw TransportError("The turn could not be stored: " + failure);
    }
    state_.metrics().Add(Counter::kTurnsStoredAgain);
    asio::steady_timer pause(state_.io(), kStoreRetryPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

milliseconds GatewayCall::PoolIdleTimeout() const {
  if (keep_alive_ms_ == 0) return kDefaultKeepAlive;
  const milliseconds stated(keep_alive_ms_);
  return std::clamp(stated - kKeepAliveMargin, milliseconds(0), kMaxKeepAlive);
}

}  // namespace pimento::Internal
