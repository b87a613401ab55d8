// Checks and resources that a request needs before it is sent to an upstream:
// the rate limit of its team, the token budget of its program, and the history
// of the turns it continues.
#include <array>
#include <utility>

#include "src/background_loop.h"
#include "src/event_log.h"
#include "src/gateway_call_state.h"
#include "src/program_admission.h"

namespace pimento::Internal {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Longest time that a request of a running program is delayed to stay within
// its team's rate.
constexpr int64_t kMaxRateWaitMs = 450;
// Texts for messages, by ProgramStatus.
constexpr std::array<std::string_view, 3> kStandingNames = {
    "new programs.", "running programs.", "programs whose budget is spent."};
constexpr int kSettleAttempts = 4;
// Records leave an archive with time only.
constexpr int64_t kArchiveFullRetryAfterMs = 1'000;
constexpr milliseconds kSettleRetryDelay{300};

}  // namespace

void GatewayCall::RefuseNewProgram() const {
  if (head_.program.empty() || head_.prompt_tokens.value_or(0) == 0 ||
      ClassifyProgram() != ProgramStatus::kNewProgram) {
    return;
  }
  const SlotUse use = state_.table().UseOf(service_name_);
  const ProgramRequest program{.program_hash = HashName(head_.program),
                               .call_hash = HashName(head_.request_id),
                               .most_urgent = state_.dispatcher().MostUrgent(
                                   service_name_, route_->priority)};
  const int64_t wait_ms = RefuseProgramForMs(program, use);
  if (wait_ms == 0) return;
  throw Refusal(Reason::kNoRoom, RunState::kNotRun,
                std::to_string(use.own + use.peers) +
                    " calls are in flight on " + std::to_string(use.slots) +
                    " slots of service " + service_name_ + ": no new programs.",
                wait_ms);
}

asio::awaitable<void> GatewayCall::Admit() {
  RefuseNewProgram();
  if (team_ == nullptr) {
    NoteAdmittedProgram();
    co_return;
  }
  const ProgramStatus standing = ClassifyProgram();
  rate_decision_ = co_await state_.rates().Acquire(team_->name, standing);
  // Requests of a running program are delayed rather than refused: the program
  // would retry immediately, and would lose all its work after too many
  // refusals.
  const int64_t delay_ms = rate_decision_.wait_ms;
  if (delay_ms > 0 && delay_ms <= kMaxRateWaitMs &&
      standing == ProgramStatus::kRunningProgram) {
    EventLine(Event::kRateWaited)
        .Text("request", head_.request_id)
        .Text("program", head_.program)
        .Text("team", team_->name)
        .Number("wait_ms", delay_ms)
        .Number("state_version", desired_->version())
        .Number("state_age_ms", state_.StateAgeMs());
    co_await Sleep(milliseconds(delay_ms));
    if (token_.stopped()) co_return;
    rate_decision_ = co_await state_.rates().Acquire(team_->name, standing);
  }
  if (rate_decision_.wait_ms > 0)
    throw Refusal(
        Reason::kRateLimited, RunState::kNotRun,
        "Team " + team_->name + " is over its rate for " +
            std::string(kStandingNames[static_cast<size_t>(standing)]) +
            " Decided by " + rate_decision_.host +
            "; thousandths of requests left: " +
            std::to_string(rate_decision_.tokens_milli) + ".",
        rate_decision_.wait_ms);
  admitted_ = true;
  LogRateDecision(Event::kRateCharged);
  state_.metrics().Add(Counter::kRateCharged);
  NoteAdmittedProgram();
}

void GatewayCall::NoteAdmittedProgram() const {
  if (!head_.program.empty())
    state_.programs().OnAdmitted(head_.program, TeamName(), SteadyMs());
}

void GatewayCall::LogRateDecision(Event event) const {
  EventLine(event)
      .Text("request", head_.request_id)
      .Text("team", team_->name)
      .Text("decided_by", rate_decision_.host)
      .Number("tokens_milli", rate_decision_.tokens_milli)
      .Number("gateways", state_.reachable_gateways())
      .Number("took_ms", ElapsedMs());
}

ProgramStatus GatewayCall::ClassifyProgram() const {
  if (head_.program.empty()) return ProgramStatus::kRunningProgram;
  const ProgramFacts facts{
      .known = state_.programs().Contains(head_.program),
      .spent = state_.programs().BudgetSpent(head_.program),
      .may_be_first_request =
          route_->kind == RouteKind::kStreaming && head_.previous_turn.empty()};
  return TeamQuota::StatusOf(facts);
}

asio::awaitable<void> GatewayCall::Sleep(milliseconds time) {
  asio::steady_timer timer(state_.io(), time);
  token_.set_on_stop([&timer] { timer.cancel(); });
  boost::system::error_code ignored;  // expired or cancelled by the stop token
  if (!token_.stopped())
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  token_.clear_on_stop();
}

asio::awaitable<void> GatewayCall::LoadHistory() {
  auto turns =
      co_await state_.archive().History(head_.previous_turn, TeamName());
  if (!turns)
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "Turn " + head_.previous_turn + " does not exist.");
  for (const TurnRecord& turn : *turns) {
    history_ += turn.input;
    history_ += turn.output;
  }
  co_await Account(0);
  if (!turns->empty()) previous_upstream_ = turns->back().upstream;
}

asio::awaitable<void> GatewayCall::BeginTurn() {
  if (route_->kind != RouteKind::kStreaming) co_return;
  try {
    if (route_->keeps_history && !head_.previous_turn.empty())
      co_await LoadHistory();
    if (!IsTurn()) co_return;
    reserved_ = true;
    const TokenReservation reservation{
        .program = head_.program,
        .turn = head_.request_id,
        .tokens = static_cast<uint64_t>(head_.max_output_tokens.value_or(0)),
        .team = TeamName()};
    const auto budget = static_cast<uint64_t>(*head_.token_budget);
    const bool fits = co_await state_.archive().Reserve(reservation, budget);
    state_.programs().set_budget_spent(head_.program, !fits);
    if (!fits)
      throw Refusal(Reason::kBudgetTokens, RunState::kNotRun,
                    "The program's budget of " + std::to_string(budget) +
                        " tokens is exhausted.");
    EventLine(Event::kTurnBegun)
        .Text("request", head_.request_id)
        .Text("program", head_.program)
        .Number("reserved", static_cast<int64_t>(reservation.tokens))
        .Number("prompt_parts", static_cast<int64_t>(head_.prompt.size()))
        .Number("list_version",
                static_cast<int64_t>(state_.archive().list().version))
        .Number("took_ms", ElapsedMs());
  } catch (const ArchiveFullError& e) {
    throw Refusal(Reason::kArchiveFull, RunState::kNotRun, e.what(),
                  kArchiveFullRetryAfterMs);
  } catch (const ArchiveError& e) {
    throw Refusal(Reason::kRecordNotCommitted, RunState::kNotRun, e.what(),
                  kShortRetryAfterMs);
  }
}

void GatewayCall::SettleInBackground() {
  if (!reserved_) return;
  reserved_ = false;
  const int64_t per_event =
      service_ == nullptr ? 1 : service_->tokens_per_event;
  const TokenReservation used{
      .program = head_.program,
      .turn = head_.request_id,
      .tokens = static_cast<uint64_t>(events_ * per_event),
      .settled = true,
      .team = TeamName()};
  RunTask(state_.io(), "settle",
          [&state = state_, used]() -> asio::awaitable<void> {
            for (int tries = 0; tries < kSettleAttempts; ++tries) {
              try {
                co_await state.archive().Settle(used);
                co_return;
              } catch (const std::exception& e) {
                // Of any type: it is tried again as long as it may help.
                EventLine(Event::kArchiveFailed)
                    .Text("what", "settle")
                    .Text("request", used.turn)
                    .Text("error", e.what());
              }
              asio::steady_timer pause(state.io(), kSettleRetryDelay);
              co_await pause.async_wait(asio::use_awaitable);
            }
          });
}

void GatewayCall::ReleaseUnused() {
  const bool ran = done_ || may_have_run_;
  if (admitted_ && !ran) {
    state_.rates().Refund(team_->name, rate_decision_.host);
    state_.metrics().Add(Counter::kRateRefunded);
    LogRateDecision(Event::kRateRefunded);
  }
  SettleInBackground();
}

}  // namespace pimento::Internal
