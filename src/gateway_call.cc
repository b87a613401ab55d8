#include "src/gateway_call.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <utility>

#include "platform/call_codec.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/event_splitter.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kConnectLimit{500};
// Less than upstreams are known to keep idle connections when they do not say.
constexpr milliseconds kUsualKeepAlive{2'000};
constexpr milliseconds kKeepAliveMargin{600};
constexpr milliseconds kLongestKeepAlive{10'000};
constexpr size_t kMostAnswerBytes = 8 * 1024 * 1024;
constexpr int64_t kUsualDeadlineMs = 30'000;
constexpr int64_t kShortRetryMs = 200;
constexpr int kStrayAnswers = 4;
// Longest wait of a running program for its team's rate.
constexpr int64_t kMostShapingMs = 450;
constexpr std::array<std::string_view, 3> kStandingNames = {
    "new programs.", "programs that run.", "programs whose budget is spent."};
constexpr int kSettleTries = 4;
constexpr milliseconds kSettlePause{300};
constexpr int kOk = 200;
constexpr int kFirstFailure = 300;

double Draw() {
  static thread_local std::minstd_rand engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(engine);
}

bool Successful(int status) { return status >= kOk && status < kFirstFailure; }

// What the answer of one upstream came to.
enum class OfferEnd : uint8_t {
  // The caller has the whole answer.
  kDone,
  // The upstream did not run the request.
  kNotRun,
  // It may have run; nothing of it reached the caller.
  kLost,
  // It ran; a part of its stream reached the caller.
  kBroken,
};

class Call {
 public:
  Call(GatewayState& state, const CallerRequest& request, AnswerSink& answer,
       StopToken& token)
      : state_(state),
        request_(request),
        answer_(answer),
        token_(token),
        timer_(state.io()) {}

  asio::awaitable<void> Run();

 private:
  // Passes; each throws Refusal.
  void Read();
  void Authenticate();
  asio::awaitable<void> Admit();
  ProgramStanding Standing() const;
  asio::awaitable<void> Wait(milliseconds time);
  void LimitTime();
  asio::awaitable<void> Begin();
  asio::awaitable<void> Offer();

  asio::awaitable<void> LoadHistory();
  asio::awaitable<OfferEnd> OfferOnce(const UpstreamEntry& upstream);
  asio::awaitable<OfferEnd> Exchange(const UpstreamEntry& upstream,
                                     KeptConnection& connection);
  asio::awaitable<const KeptConnection::ResponseHeader*> ReadOwnHeader(
      KeptConnection& connection, platform::AnswerHead& head);
  asio::awaitable<OfferEnd> RelayWhole(
      KeptConnection& connection, const KeptConnection::ResponseHeader& header);
  asio::awaitable<OfferEnd> RelayEvents(
      KeptConnection& connection, const KeptConnection::ResponseHeader& header,
      const UpstreamEntry& upstream);
  asio::awaitable<bool> PassOn(std::vector<StreamEvent> events,
                               const KeptConnection::ResponseHeader& header);
  asio::awaitable<OfferEnd> FinishStream(const UpstreamEntry& upstream);
  std::shared_ptr<KeptConnection::Request> Compose(
      const UpstreamEntry& upstream) const;
  void SettleLater();
  void AfterOffers();
  void GiveBack();
  asio::awaitable<void> Refuse(const Refusal& refusal);
  void LogEnd(std::string_view outcome, int status);

  milliseconds IdleTime() const;
  int64_t LeftMs() const;
  int64_t TookMs() const;
  bool IsTurn() const {
    return route_->kind == RouteKind::kStreaming && head_.token_budget &&
           !head_.program.empty();
  }
  bool Repeatable() const {
    return route_->kind == RouteKind::kIdempotent ||
           (route_->kind == RouteKind::kStreaming && route_->resumable);
  }

  GatewayState& state_;
  const CallerRequest& request_;
  AnswerSink& answer_;
  StopToken& token_;
  asio::steady_timer timer_;
  // False once the call has ended and its token is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  DesiredStatePtr desired_;
  CallHead head_;
  const Route* route_ = nullptr;
  const ServiceSpec* service_ = nullptr;
  // Null on open routes and where there are no teams.
  const TeamSpec* team_ = nullptr;
  std::string service_name_;
  int priority_ = 0;
  SteadyTime limit_{};

  // True once a quota was taken from the team's rate.
  bool admitted_ = false;
  // True from the time a reservation may exist until it is settled.
  bool reserved_ = false;
  // Earlier inputs and outputs of the chain.
  std::string history_;
  std::string held_at_;

  std::set<std::string> tried_;
  int sends_ = 0;
  // True once an upstream may have run the request.
  bool may_have_run_ = false;
  // True once the caller has the whole answer.
  bool done_ = false;
  // True when a whole turn could not be kept: it must not run again.
  bool keep_failed_ = false;
  // How long the upstream keeps the connection idle.
  int64_t keep_alive_ms_ = 0;
  std::string last_failure_;

  // Events that reached the caller.
  int64_t events_ = 0;
  std::string last_event_id_;
  std::string output_;
};

int64_t Call::LeftMs() const {
  return std::chrono::duration_cast<milliseconds>(limit_ - steady_clock::now())
      .count();
}

int64_t Call::TookMs() const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                  request_.arrived)
      .count();
}

milliseconds Call::IdleTime() const {
  if (keep_alive_ms_ == 0) return kUsualKeepAlive;
  const milliseconds stated(keep_alive_ms_);
  return std::clamp(stated - kKeepAliveMargin, milliseconds(0),
                    kLongestKeepAlive);
}

void Call::Read() {
  try {
    head_ = platform::DecodeCall(request_.header);
  } catch (const platform::HeaderError& e) {
    throw Refusal(Reason::kBadRequest, RunState::kNotRun, e.what());
  }
  desired_ = state_.Usable();
  if (!desired_)
    throw Refusal(Reason::kNoConfiguration, RunState::kNotRun,
                  "The desired state is not known to be the newest.",
                  kShortRetryMs);
  route_ = desired_->FindRoute(head_.host, head_.path);
  if (route_ == nullptr)
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "No route leads to " + head_.host + head_.path + ".");
  service_name_ = PickService(*route_, Draw());
  service_ = desired_->FindService(service_name_);
}

void Call::Authenticate() {
  priority_ = route_->priority;
  if (route_->open || desired_->teams().empty()) return;
  team_ = head_.key.empty() ? nullptr : desired_->TeamOfKey(head_.key);
  if (team_ == nullptr)
    throw Refusal(head_.key.empty() ? Reason::kKeyMissing : Reason::kKeyUnknown,
                  RunState::kNotRun, "The request has no valid key.");
  if (team_->priority >= 0) priority_ = team_->priority;
}

void Call::LimitTime() {
  const int64_t own = head_.deadline_ms.value_or(kUsualDeadlineMs);
  limit_ = request_.arrived + milliseconds(std::min(own, route_->timeout_ms));
  timer_.expires_at(limit_);
  timer_.async_wait([alive = alive_,
                     &token = token_](const boost::system::error_code& error) {
    if (!error && *alive) token.Stop(StopReason::kTimeLimit);
  });
}

ProgramStanding Call::Standing() const {
  if (head_.program.empty()) return ProgramStanding::kRuns;
  const ProgramFacts facts{
      .known = state_.programs().Known(head_.program),
      .spent = state_.programs().Spent(head_.program),
      .may_be_start =
          route_->kind == RouteKind::kStreaming && head_.previous_turn.empty()};
  return TeamQuota::StandingOf(facts);
}

asio::awaitable<void> Call::Admit() {
  if (team_ == nullptr) co_return;
  const ProgramStanding standing = Standing();
  int64_t wait_ms = state_.quota().Take(team_->name, standing, SteadyMs());
  // A running program waits for its turn here: refused, it would come back at
  // once, and lose its whole work when it is refused too often.
  if (wait_ms > 0 && standing == ProgramStanding::kRuns) {
    const int64_t place_ms =
        std::max(wait_ms, state_.quota().TakePlace(team_->name, SteadyMs()));
    if (place_ms <= kMostShapingMs) {
      co_await Wait(milliseconds(place_ms));
      if (token_.stopped()) co_return;
      wait_ms = state_.quota().Take(team_->name, standing, SteadyMs());
    }
  }
  if (wait_ms > 0)
    throw Refusal(
        Reason::kRateLimited, RunState::kNotRun,
        "Team " + team_->name + " is over its rate for " +
            std::string(kStandingNames[static_cast<size_t>(standing)]),
        wait_ms);
  admitted_ = true;
  state_.NoteAdmission(team_->name);
  if (!head_.program.empty())
    state_.programs().Admitted(head_.program, SteadyMs());
}

asio::awaitable<void> Call::Wait(milliseconds time) {
  asio::steady_timer timer(state_.io(), time);
  token_.set_on_stop([&timer] { timer.cancel(); });
  boost::system::error_code ignored;  // time over, or the caller left
  if (!token_.stopped())
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  token_.clear_on_stop();
}

asio::awaitable<void> Call::LoadHistory() {
  const std::string team = team_ == nullptr ? "" : team_->name;
  auto turns = co_await state_.archive().History(head_.previous_turn, team);
  if (!turns)
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "There is no turn " + head_.previous_turn + ".");
  for (const TurnRecord& turn : *turns) {
    history_ += turn.input;
    history_ += turn.output;
  }
  if (!turns->empty()) held_at_ = turns->back().upstream;
}

asio::awaitable<void> Call::Begin() {
  if (route_->kind != RouteKind::kStreaming) co_return;
  try {
    if (route_->keeps_history && !head_.previous_turn.empty())
      co_await LoadHistory();
    if (!IsTurn()) co_return;
    reserved_ = true;
    const TokenReservation reservation{
        .program = head_.program,
        .turn = head_.request_id,
        .tokens = static_cast<uint64_t>(head_.most_output_tokens.value_or(0))};
    const auto budget = static_cast<uint64_t>(*head_.token_budget);
    const bool fits = co_await state_.archive().Reserve(reservation, budget);
    state_.programs().set_spent(head_.program, !fits);
    if (!fits)
      throw Refusal(Reason::kBudgetTokens, RunState::kNotRun,
                    "The program's budget of " + std::to_string(budget) +
                        " tokens is spent.");
    EventLine(Event::kTurnBegun)
        .Text("request", head_.request_id)
        .Text("program", head_.program)
        .Number("reserved", static_cast<int64_t>(reservation.tokens))
        .Number("prompt_parts", static_cast<int64_t>(head_.prompt.size()))
        .Number("list_version",
                static_cast<int64_t>(state_.archive().list().version))
        .Number("took_ms", TookMs());
  } catch (const ArchiveError& e) {
    throw Refusal(Reason::kRecordNotCounted, RunState::kNotRun, e.what(),
                  kShortRetryMs);
  }
}

asio::awaitable<void> Call::Offer() {
  for (;;) {
    if (token_.stopped()) co_return;
    PlaceRequest place{.request_id = head_.request_id,
                       .team = team_ == nullptr ? "" : team_->name,
                       .program = head_.program,
                       .priority = priority_};
    place.input = {.service = service_name_,
                   .prompt = &head_.prompt,
                   .output_tokens = head_.most_output_tokens.value_or(0),
                   .tokens_per_event =
                       service_ == nullptr ? 1 : service_->tokens_per_event,
                   .held_at = held_at_,
                   .tried = tried_};
    place.give_up_ms = SteadyMs() + LeftMs();
    UpstreamEntry upstream;
    try {
      upstream = co_await state_.dispatcher().Acquire(std::move(place), token_);
    } catch (const Refusal& refusal) {
      // Whether it ran is for the end to say; here only the reason counts.
      if (sends_ == 0) throw;
      last_failure_ += std::string(" Then: ") + refusal.what();
      co_return;
    }
    const OfferEnd end = co_await OfferOnce(upstream);
    done_ = end == OfferEnd::kDone;
    if (done_) co_return;
    if (end != OfferEnd::kNotRun) may_have_run_ = true;
    const bool again =
        !keep_failed_ && (end == OfferEnd::kNotRun || Repeatable());
    if (!again || sends_ >= route_->attempts) co_return;
    state_.metrics().Retried(end == OfferEnd::kNotRun
                                 ? Reason::kUpstreamUnreachable
                                 : Reason::kUpstreamBroken);
  }
}

asio::awaitable<OfferEnd> Call::OfferOnce(const UpstreamEntry& upstream) {
  const auto started = steady_clock::now();
  const int64_t events_before = events_;
  tried_.insert(upstream.id);
  OfferEnd end = OfferEnd::kNotRun;
  std::string failure;
  bool refused = false;
  std::unique_ptr<KeptConnection> connection;
  try {
    connection = co_await state_.pool().Acquire(
        upstream.address,
        std::min(kConnectLimit, milliseconds(std::max<int64_t>(1, LeftMs()))));
    ++sends_;
    EventLine(Event::kCallOffered)
        .Text("request", head_.request_id)
        .Text("upstream", upstream.id)
        .Text("address", upstream.address)
        .Number("attempt", sends_)
        .Number("left_ms", LeftMs())
        .Number("state_version", desired_->version());
    token_.set_on_stop([&connection] {
      if (connection) connection->Close();
    });
    end = OfferEnd::kLost;
    end = co_await Exchange(upstream, *connection);
    refused = end == OfferEnd::kNotRun;
    state_.pool().Release(std::move(connection), IdleTime());
  } catch (const TransportError& e) {
    failure = e.what();
    if (end == OfferEnd::kLost && events_ > events_before)
      end = OfferEnd::kBroken;
  }
  token_.clear_on_stop();
  CallResult result{.outcome = CallOutcome::kServed};
  result.duration_ms =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - started)
          .count();
  result.events = events_ - events_before;
  if (refused) result.outcome = CallOutcome::kRefused;
  if (!refused && end != OfferEnd::kDone)
    result.outcome =
        token_.stopped() ? CallOutcome::kAbandoned : CallOutcome::kFailed;
  state_.dispatcher().Release(upstream.id, result);
  if (end != OfferEnd::kDone) {
    last_failure_ = failure.empty() ? "The upstream did not run it." : failure;
    EventLine(Event::kOfferFailed)
        .Text("request", head_.request_id)
        .Text("upstream", upstream.id)
        .Text("error", last_failure_)
        .Number("events", result.events)
        .Number("took_ms", result.duration_ms);
  }
  co_return end;
}

std::shared_ptr<KeptConnection::Request> Call::Compose(
    const UpstreamEntry& upstream) const {
  const platform::UpstreamOrder order{
      .upstream_id = upstream.id,
      .team = team_ == nullptr ? "" : team_->name,
      .deadline_left_ms = std::max<int64_t>(1, LeftMs()),
      .last_event_id = last_event_id_};
  auto request = std::make_shared<KeptConnection::Request>(
      platform::HeaderForUpstream(request_.header, order));
  request->body() = history_ + request_.body;
  request->prepare_payload();
  return request;
}

asio::awaitable<const KeptConnection::ResponseHeader*> Call::ReadOwnHeader(
    KeptConnection& connection, platform::AnswerHead& head) {
  for (int strays = 0; strays < kStrayAnswers; ++strays) {
    const auto* header = co_await connection.ReadHeader(limit_);
    head = platform::DecodeAnswer(*header);
    keep_alive_ms_ = head.keep_alive_ms;
    const bool interim = head.status < kOk;
    const bool own = head.request_id == head_.request_id ||
                     (head.request_id.empty() && !Successful(head.status));
    if (own && !interim) co_return header;
    // The answer to another request: nobody waits for it any more.
    co_await connection.ReadRest(limit_, kMostAnswerBytes);
    EventLine(Event::kOfferFailed)
        .Text("request", head_.request_id)
        .Text("error", "an answer to another request came first")
        .Text("answer_to", head.request_id);
  }
  throw TransportError("The upstream answers other requests only.");
}

asio::awaitable<OfferEnd> Call::Exchange(const UpstreamEntry& upstream,
                                         KeptConnection& connection) {
  co_await connection.Send(Compose(upstream), limit_);
  platform::AnswerHead head;
  const auto* header = co_await ReadOwnHeader(connection, head);
  OfferEnd end = OfferEnd::kDone;
  if (head.not_run) {
    co_await connection.ReadRest(limit_, kMostAnswerBytes);
    constexpr int kMisdirected = 421;
    if (head.status == kMisdirected) state_.table().Misdirected(upstream.id);
    end = OfferEnd::kNotRun;
  } else if (Successful(head.status) && !head.stamped) {
    throw TransportError("The answer is not the upstream's own.");
  } else if (head.event_stream && Successful(head.status)) {
    end = co_await RelayEvents(connection, *header, upstream);
  } else if (events_ > 0) {
    throw TransportError("The stream could not be resumed: status " +
                         std::to_string(head.status) + ".");
  } else {
    end = co_await RelayWhole(connection, *header);
  }
  co_return end;
}

asio::awaitable<OfferEnd> Call::RelayWhole(
    KeptConnection& connection, const KeptConnection::ResponseHeader& header) {
  AnswerSink::Header out = platform::HeaderForCaller(header);
  const auto head = platform::DecodeAnswer(header);
  std::string body = co_await connection.ReadRest(limit_, kMostAnswerBytes);
  token_.clear_on_stop();
  co_await answer_.Send(std::move(out), std::move(body));
  LogEnd("answered", head.status);
  co_return OfferEnd::kDone;
}

asio::awaitable<bool> Call::PassOn(
    std::vector<StreamEvent> events,
    const KeptConnection::ResponseHeader& header) {
  std::string bytes;
  for (StreamEvent& event : events) {
    bytes += event.raw;
    if (event.has_data) {
      output_ += event.data;
      output_ += '\n';
      ++events_;
    }
    if (!event.id.empty()) last_event_id_ = event.id;
  }
  if (bytes.empty()) co_return true;
  if (!answer_.begun() &&
      !co_await answer_.Begin(platform::HeaderForCaller(header)))
    co_return false;
  co_return co_await answer_.Write(std::move(bytes));
}

asio::awaitable<OfferEnd> Call::RelayEvents(
    KeptConnection& connection, const KeptConnection::ResponseHeader& header,
    const UpstreamEntry& upstream) {
  EventSplitter splitter;
  for (;;) {
    const std::string piece = co_await connection.ReadPiece(limit_);
    if (piece.empty()) break;
    if (!co_await PassOn(splitter.Feed(piece), header)) {
      token_.Stop(StopReason::kCallerLeft);
      throw TransportError("The caller takes no more of the answer.");
    }
  }
  if (splitter.partial())
    throw TransportError("The stream ended in the middle of an event.");
  if (!answer_.begun() &&
      !co_await answer_.Begin(platform::HeaderForCaller(header)))
    throw TransportError("The caller left.");
  co_return co_await FinishStream(upstream);
}

asio::awaitable<OfferEnd> Call::FinishStream(const UpstreamEntry& upstream) {
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
    try {
      co_await state_.archive().Keep(std::move(record));
    } catch (const ArchiveError& e) {
      keep_failed_ = true;
      throw TransportError(std::string("The turn could not be kept: ") +
                           e.what());
    }
    reserved_ = false;
    EventLine(Event::kTurnKept)
        .Text("request", head_.request_id)
        .Number("events", events_)
        .Number("took_ms", TookMs());
  }
  token_.clear_on_stop();
  co_await answer_.End();
  LogEnd("streamed", kOk);
  co_return OfferEnd::kDone;
}

void Call::SettleLater() {
  if (!reserved_) return;
  reserved_ = false;
  const int64_t per_event =
      service_ == nullptr ? 1 : service_->tokens_per_event;
  const TokenReservation used{
      .program = head_.program,
      .turn = head_.request_id,
      .tokens = static_cast<uint64_t>(events_ * per_event),
      .settled = true};
  asio::co_spawn(
      state_.io(),
      [&state = state_, used]() -> asio::awaitable<void> {
        for (int tries = 0; tries < kSettleTries; ++tries) {
          try {
            co_await state.archive().Settle(used);
            co_return;
          } catch (const ArchiveError& e) {
            EventLine(Event::kArchiveFailed)
                .Text("what", "settle")
                .Text("request", used.turn)
                .Text("error", e.what());
          }
          asio::steady_timer pause(state.io(), kSettlePause);
          co_await pause.async_wait(asio::use_awaitable);
        }
      },
      asio::detached);
}

// Says how the offers ended where none gave the caller a whole answer.
void Call::AfterOffers() {
  if (answer_.begun()) {
    answer_.BreakOff();
    EventLine(Event::kCallBroken)
        .Text("request", head_.request_id)
        .Text("error", last_failure_)
        .Number("events", events_)
        .Number("took_ms", TookMs());
    return;
  }
  if (token_.reason() == StopReason::kCallerLeft) {
    LogEnd("caller_left", 0);
    answer_.BreakOff();
    return;
  }
  const bool late = token_.reason() == StopReason::kTimeLimit;
  if (!may_have_run_)
    throw Refusal(late ? Reason::kQueueTimeout : Reason::kUpstreamUnreachable,
                  RunState::kNotRun, last_failure_, kShortRetryMs);
  throw Refusal(late ? Reason::kDeadlinePassed : Reason::kOutcomeUnknown,
                RunState::kUnknown, last_failure_);
}

asio::awaitable<void> Call::Refuse(const Refusal& refusal) {
  state_.metrics().Refused(refusal.reason());
  AnswerSink::Header header;
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
      .Number("took_ms", TookMs());
  co_await answer_.Send(std::move(header),
                        std::string(Name(refusal.reason())) + "\n");
}

void Call::LogEnd(std::string_view outcome, int status) {
  state_.metrics().Add(Counter::kCallsAnswered);
  state_.metrics().Observe(Latency::kCall, static_cast<double>(TookMs()));
  EventLine(Event::kCallEnded)
      .Text("request", head_.request_id)
      .Text("program", head_.program)
      .Text("route", route_ == nullptr ? "" : route_->name)
      .Text("outcome", outcome)
      .Number("status", status)
      .Number("attempts", sends_)
      .Number("events", events_)
      .Number("took_ms", TookMs());
}

void Call::GiveBack() {
  const bool ran = done_ || may_have_run_;
  if (admitted_ && !ran) state_.quota().Return(team_->name);
  SettleLater();
}

asio::awaitable<void> Call::Run() {
  std::optional<Refusal> refusal;
  try {
    Read();
    Authenticate();
    LimitTime();
    co_await Admit();
    co_await Begin();
    co_await Offer();
    if (!done_) AfterOffers();
  } catch (const Refusal& e) {
    refusal = e;
  }
  timer_.cancel();
  *alive_ = false;
  GiveBack();
  if (!refusal) co_return;
  if (token_.reason() != StopReason::kCallerLeft) {
    co_await Refuse(*refusal);
    co_return;
  }
  LogEnd("caller_left", 0);
  answer_.BreakOff();
}

}  // namespace

asio::awaitable<void> ServeCall(GatewayState& state,
                                const CallerRequest& request,
                                AnswerSink& answer, StopToken& token) {
  Call call(state, request, answer, token);
  co_await call.Run();
}

}  // namespace pimento
