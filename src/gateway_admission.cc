// What a request must be granted before it is offered: its team's rate, its
// program's budget, and the chain of turns that it goes on from.
#include <array>
#include <utility>

#include "src/event_log.h"
#include "src/gateway_call_state.h"

namespace pimento::Internal {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Longest wait of a running program for its team's rate.
constexpr int64_t kMostShapingMs = 450;
constexpr std::array<std::string_view, 3> kStandingNames = {
    "new programs.", "programs that run.", "programs whose budget is spent."};
constexpr int kSettleTries = 4;
constexpr milliseconds kSettlePause{300};

}  // namespace

asio::awaitable<void> GatewayCall::Admit() {
  if (team_ == nullptr) co_return;
  const ProgramStatus standing = Standing();
  int64_t wait_ms =
      state_.quota().TryAcquire(team_->name, standing, SteadyMs());
  // A running program waits for its turn here: refused, it would come back at
  // once, and lose its whole work when it is refused too often.
  if (wait_ms > 0 && standing == ProgramStatus::kRunningProgram) {
    const int64_t place_ms = std::max(
        wait_ms, state_.quota().ReserveRetryDelay(team_->name, SteadyMs()));
    if (place_ms <= kMostShapingMs) {
      EventLine(Event::kRateWaited)
          .Text("request", head_.request_id)
          .Text("program", head_.program)
          .Text("team", team_->name)
          .Number("wait_ms", place_ms)
          .Number("state_version", desired_->version())
          .Number("state_age_ms", state_.StateAgeMs());
      co_await Wait(milliseconds(place_ms));
      if (token_.stopped()) co_return;
      wait_ms = state_.quota().TryAcquire(team_->name, standing, SteadyMs());
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
    state_.programs().OnAdmitted(head_.program, SteadyMs());
}

ProgramStatus GatewayCall::Standing() const {
  if (head_.program.empty()) return ProgramStatus::kRunningProgram;
  const ProgramFacts facts{
      .known = state_.programs().Contains(head_.program),
      .spent = state_.programs().BudgetSpent(head_.program),
      .may_be_first_request =
          route_->kind == RouteKind::kStreaming && head_.previous_turn.empty()};
  return TeamQuota::StatusOf(facts);
}

asio::awaitable<void> GatewayCall::Wait(milliseconds time) {
  asio::steady_timer timer(state_.io(), time);
  token_.set_on_stop([&timer] { timer.cancel(); });
  boost::system::error_code ignored;  // time over, or the caller left
  if (!token_.stopped())
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  token_.clear_on_stop();
}

asio::awaitable<void> GatewayCall::LoadHistory() {
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

asio::awaitable<void> GatewayCall::Begin() {
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
    state_.programs().set_budget_spent(head_.program, !fits);
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

void GatewayCall::SettleLater() {
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

void GatewayCall::GiveBack() {
  const bool ran = done_ || may_have_run_;
  if (admitted_ && !ran) state_.quota().Refund(team_->name);
  SettleLater();
}

}  // namespace pimento::Internal
