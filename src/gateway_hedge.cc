// Sends a repeatable request to a second upstream when the first one is slow,
// and forwards the first good answer.
//
// Each try is a GatewayCall of its own that exchanges with one upstream and
// keeps the whole answer. The try that is not needed any more is stopped, which
// closes its connection and gives its slot back. It may outlive the request, so
// it owns a copy of all that it needs.
#include <utility>

#include "src/background_loop.h"
#include "src/event_log.h"
#include "src/gateway_call_state.h"

namespace pimento::Internal {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kFirstServerError = 500;

// Keeps a whole answer in place of a caller's connection.
class AnswerKeeper : public ResponseWriter {
 public:
  asio::awaitable<bool> Send(Header header, std::string body) override {
    header_ = std::move(header);
    body_ = std::move(body);
    begun_ = true;
    co_return true;
  }
  // Requests with streamed answers are not sent twice.
  asio::awaitable<bool> Begin(Header /*header*/) override { co_return false; }
  asio::awaitable<bool> Write(std::string /*piece*/) override {
    co_return false;
  }
  asio::awaitable<bool> End() override { co_return false; }
  // The caller's connection accounts for the answer that is forwarded.
  asio::awaitable<void> Hold(uint64_t /*bytes*/,
                             SteadyTime /*deadline*/) override {
    co_return;
  }
  void Abort() override {}
  bool begun() const override { return begun_; }

  int status() const { return static_cast<int>(header_.result_int()); }
  Header TakeHeader() { return std::move(header_); }
  std::string TakeBody() { return std::move(body_); }

 private:
  Header header_;
  std::string body_;
  bool begun_ = false;
};

}  // namespace

// One try of a request at one upstream.
struct GatewayCall::HedgeTry {
  HedgeTry(const GatewayCall& parent, UpstreamEntry target)
      : request(parent.request_),
        upstream(std::move(target)),
        call(parent, request, answer, token) {}

  const CallerRequest request;
  const UpstreamEntry upstream;
  AnswerKeeper answer;
  StopToken token;
  GatewayCall call;
  const SteadyTime started = steady_clock::now();
  AttemptResult result = AttemptResult::kLost;
  bool finished = false;

  bool Good() const {
    return finished && result == AttemptResult::kDone &&
           answer.status() < kFirstServerError;
  }
  double ElapsedMs() const {
    return std::chrono::duration<double, std::milli>(steady_clock::now() -
                                                     started)
        .count();
  }
};

// The tries of one request.
struct GatewayCall::HedgeRace {
  explicit HedgeRace(asio::io_context& io)
      : wakeup(io, steady_clock::time_point::max()) {}

  // Cancelled when a try ends and when the request is stopped.
  asio::steady_timer wakeup;
  std::vector<std::shared_ptr<HedgeTry>> tries;

  // True once waiting longer cannot bring a better answer.
  bool Decided() const {
    bool running = false;
    for (const auto& entry : tries) {
      if (entry->Good()) return true;
      running = running || !entry->finished;
    }
    return !running;
  }

  // The try whose answer the caller gets; the first one that was good, else any
  // that brought an answer. Null if none did.
  std::shared_ptr<HedgeTry> Winner() const {
    std::shared_ptr<HedgeTry> winner;
    for (const auto& entry : tries) {
      if (entry->Good()) return entry;
      const bool answered =
          entry->finished && entry->result == AttemptResult::kDone;
      if (answered && !winner) winner = entry;
    }
    return winner;
  }
};

GatewayCall::GatewayCall(const GatewayCall& parent,
                         const CallerRequest& request, ResponseWriter& response,
                         StopToken& token)
    : state_(parent.state_),
      request_(request),
      response_(response),
      token_(token),
      timer_(parent.state_.io()),
      is_copy_(true),
      desired_(parent.desired_),
      head_(parent.head_),
      route_(parent.route_),
      service_(parent.service_),
      team_(parent.team_),
      service_name_(parent.service_name_),
      priority_(parent.priority_),
      deadline_(parent.deadline_),
      attempts_(parent.attempts_) {}

bool GatewayCall::MayHedge() const {
  return state_.hedging().enabled() && route_->kind == RouteKind::kIdempotent &&
         attempts_ + 2 <= route_->attempts;
}

void GatewayCall::StartTry(const std::shared_ptr<HedgeRace>& race,
                           const UpstreamEntry& upstream) {
  auto entry = std::make_shared<HedgeTry>(*this, upstream);
  entry->call.attempts_ += static_cast<int>(race->tries.size());
  race->tries.push_back(entry);
  tried_.insert(upstream.id);
  RunTask(state_.io(), "try of a request",
          [race, entry]() -> asio::awaitable<void> {
            try {
              entry->result = co_await entry->call.TryUpstream(entry->upstream);
              // The request's own call reports a complete answer.
              if (entry->result != AttemptResult::kDone)
                co_await entry->call.NoteRun(entry->upstream, entry->result);
            } catch (...) {
              LogEscaped("try of a request", std::current_exception());
            }
            entry->finished = true;
            race->wakeup.cancel();
          });
}

void GatewayCall::StartSecondTry(const std::shared_ptr<HedgeRace>& race,
                                 int64_t delay_ms) {
  if (!state_.hedging().TryTake()) {
    state_.metrics().Add(Counter::kHedgesOverLimit);
    return;
  }
  // Like a second attempt, it does not go to a version that is being tried.
  const VersionSide side = VersionSideOfCall();
  const PlacementInput input{
      .service = service_name_,
      .tried = tried_,
      .version_side = side == VersionSide::kTarget ? VersionSide::kOld : side};
  const auto spare = state_.dispatcher().AcquireSpare(input);
  if (!spare) {
    state_.hedging().GiveBack();
    state_.metrics().Add(Counter::kHedgesWithoutRoom);
    return;
  }
  state_.metrics().Add(Counter::kHedgesSent);
  EventLine(Event::kSecondTry)
      .Text("request", head_.request_id)
      .Text("route", route_->name)
      .Text("first", race->tries.front()->upstream.id)
      .Text("second", spare->id)
      .Number("delay_ms", delay_ms);
  StartTry(race, *spare);
}

asio::awaitable<void> GatewayCall::WaitForRace(std::shared_ptr<HedgeRace> race,
                                               SteadyTime until) {
  while (!race->Decided() && !token_.stopped() && steady_clock::now() < until) {
    race->wakeup.expires_at(until);
    boost::system::error_code ignored;  // woken by cancellation
    co_await race->wakeup.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<AttemptResult> GatewayCall::TryWithSecond(
    const UpstreamEntry& upstream) {
  const auto delay_ms = state_.hedging().DelayMs(route_->name, SteadyMs());
  auto race = std::make_shared<HedgeRace>(state_.io());
  StartTry(race, upstream);
  token_.set_on_stop([race] { race->wakeup.cancel(); });
  if (delay_ms) {
    co_await WaitForRace(race, steady_clock::now() + milliseconds(*delay_ms));
    if (!race->Decided() && !token_.stopped()) StartSecondTry(race, *delay_ms);
  }
  co_await WaitForRace(race, SteadyTime::max());
  token_.clear_on_stop();
  for (const auto& entry : race->tries) {
    if (!entry->finished) entry->token.Stop(StopReason::kCallerLeft);
  }
  co_return co_await EndRace(race);
}

asio::awaitable<AttemptResult> GatewayCall::EndRace(
    std::shared_ptr<HedgeRace> race) {
  const auto winner = race->Winner();
  AttemptResult result = AttemptResult::kNotRun;
  for (const auto& entry : race->tries) {
    attempts_ = std::max(attempts_, entry->call.attempts_);
    // A try that is still running may be run by its upstream.
    const bool ran =
        !entry->finished || entry->result != AttemptResult::kNotRun;
    if (ran) result = AttemptResult::kLost;
    if (!entry->call.last_failure_.empty())
      last_failure_ = entry->call.last_failure_;
    const bool answered = entry == winner || (winner && !entry->finished);
    if (answered)
      state_.hedging().OnAnswer(route_->name, entry->ElapsedMs(), SteadyMs());
  }
  if (!winner) co_return result;
  if (winner != race->tries.front()) state_.metrics().Add(Counter::kHedgesWon);
  stamped_ = winner->call.stamped_;
  const int status = winner->answer.status();
  ResponseWriter::Header header = winner->answer.TakeHeader();
  std::string body = winner->answer.TakeBody();
  co_await response_.Hold(body.size(), deadline_);
  co_await response_.Send(std::move(header), std::move(body));
  LogEnd("answered", status);
  co_return AttemptResult::kDone;
}

}  // namespace pimento::Internal
