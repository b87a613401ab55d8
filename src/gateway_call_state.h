// State of one request at the gateway and the stages that process it:
//
//   ParseRequest    headers, route, service               gateway_call.cc
//   Authenticate    key, team, priority                   gateway_call.cc
//   Enter           calls in progress of the team         gateway_call.cc
//   StartDeadline   deadline timer                        gateway_call.cc
//   RefuseSuspect   request that crashes upstreams        gateway_call.cc
//   Admit           rate limit of the team                gateway_admission.cc
//   BeginTurn       turn history, token budget            gateway_admission.cc
//   TryUpstreams    upstream choice, exchange, retries    gateway_exchange.cc
//   TryWithSecond   second try of a slow answer           gateway_hedge.cc
//   ReportFailure   outcome when no attempt completed     gateway_call.cc
//   ReleaseUnused   refunds unused quota and reservation  gateway_admission.cc
//
// Internal header: include it only in the files listed above.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/call_codec.h"
#include "src/crash_suspects.h"
#include "src/event_log.h"
#include "src/event_splitter.h"
#include "src/gateway_call.h"
#include "src/reason.h"

namespace pimento::Internal {

inline constexpr int64_t kShortRetryAfterMs = 200;
inline constexpr int kHttpOk = 200;

// Result of sending the request to one upstream.
enum class AttemptResult : uint8_t {
  // The caller received the complete response.
  kDone,
  // The upstream did not run the request.
  kNotRun,
  // The upstream may have run the request; the caller received nothing.
  kLost,
  // The upstream ran the request; the caller received part of the stream.
  kBroken,
};

class GatewayCall {
 public:
  GatewayCall(GatewayState& state, const CallerRequest& request,
              ResponseWriter& response, StopToken& token)
      : state_(state),
        request_(request),
        response_(response),
        token_(token),
        timer_(state.io()) {}
  ~GatewayCall() { Leave(); }
  GatewayCall(const GatewayCall&) = delete;
  GatewayCall& operator=(const GatewayCall&) = delete;

  boost::asio::awaitable<void> Run();

 private:
  // The stages listed above and their helpers; they may throw Refusal.
  void ParseRequest();
  void Authenticate();
  // Counts the call as in progress for its team, until Leave(): it needs no
  // upstream any more.
  void Enter();
  void Leave();
  std::string TeamName() const { return team_ == nullptr ? "" : team_->name; }
  // Throws Refusal while the request is refused for crashing upstreams.
  void RefuseSuspect() const;
  // For how long it is; 0 when it may be sent.
  int64_t RefusedForMs() const;
  boost::asio::awaitable<void> Admit();
  // Throws Refusal for the first turn of a program while its service is full.
  void RefuseNewProgram() const;
  ProgramStatus ClassifyProgram() const;
  // From now on, requests of the program count as those of a running one.
  void NoteAdmittedProgram() const;
  // Logs what was charged to or refunded to the team's rate.
  void LogRateDecision(Event event) const;
  boost::asio::awaitable<void> Sleep(std::chrono::milliseconds time);
  void StartDeadline();
  boost::asio::awaitable<void> BeginTurn();
  boost::asio::awaitable<void> TryUpstreams();

  boost::asio::awaitable<void> LoadHistory();
  // The versions of the service that may serve the next attempt.
  VersionSide VersionSideOfCall() const;
  // Waits for an upstream with capacity whose limit, if it names one, is not
  // used up. Throws Refusal.
  boost::asio::awaitable<UpstreamEntry> AcquireUpstream(
      DispatchRequest request);
  boost::asio::awaitable<AttemptResult> TryUpstream(
      const UpstreamEntry& upstream);

  struct HedgeTry;
  struct HedgeRace;
  // One try of `parent`'s request, with an answer and a token of its own.
  GatewayCall(const GatewayCall& parent, const CallerRequest& request,
              ResponseWriter& response, StopToken& token);
  // True when the request may be sent to two upstreams at a time.
  bool MayHedge() const;
  // Like TryUpstream(), and sends the request to another upstream as well once
  // the answer is late. Forwards the first good answer.
  boost::asio::awaitable<AttemptResult> TryWithSecond(
      const UpstreamEntry& upstream);
  void StartTry(const std::shared_ptr<HedgeRace>& race,
                const UpstreamEntry& upstream);
  void StartSecondTry(const std::shared_ptr<HedgeRace>& race, int64_t delay_ms);
  // Waits until the race is decided, the request is stopped or `until` is over.
  boost::asio::awaitable<void> WaitForRace(std::shared_ptr<HedgeRace> race,
                                           SteadyTime until);
  boost::asio::awaitable<AttemptResult> EndRace(
      std::shared_ptr<HedgeRace> race);

  // Counts the answer for its version, where versions are compared.
  void NoteVersion(const UpstreamEntry& upstream, const CallResult& result);
  // Called after TryUpstream(): records that the upstream crashed under the
  // request, or ran it to its end.
  boost::asio::awaitable<void> NoteRun(const UpstreamEntry& upstream,
                                       AttemptResult attempt);
  boost::asio::awaitable<AttemptResult> Exchange(const UpstreamEntry& upstream,
                                                 PooledConnection& connection);
  boost::asio::awaitable<const PooledConnection::ResponseHeader*>
  ReadMatchingHeader(PooledConnection& connection,
                     platform::ResponseHead& head);
  // Keeps the limit that the upstream names in its answer, or that it names
  // none.
  void NoteNamedLimit(const UpstreamEntry& upstream,
                      const platform::ResponseHead& head);
  // Keeps that the upstream states in its answer that it is about to stop.
  void NoteLeaving(const UpstreamEntry& upstream,
                   const platform::ResponseHead& head);
  // Why the request must not be sent to the upstream that it was assigned to;
  // empty when it may be.
  std::string WithholdReason(const UpstreamEntry& upstream) const;
  // Gives back what was reserved at an upstream that the request is not sent
  // to.
  void WithholdFrom(const UpstreamEntry& upstream,
                    std::unique_ptr<PooledConnection> connection);
  // What this call holds beside the caller's request: history and output.
  uint64_t HeldBytes() const;
  // Tells the account of the process of these and of `more` bytes. Waits while
  // there is no room.
  boost::asio::awaitable<void> Account(uint64_t more);
  // Reads the rest of a response, on the account of the process.
  boost::asio::awaitable<std::string> CollectBody(PooledConnection& connection);
  // Reads a whole answer, which SendAnswer() sends.
  boost::asio::awaitable<AttemptResult> RelayBuffered(
      PooledConnection& connection,
      const PooledConnection::ResponseHeader& header);
  // Sends the answer that was read, if there is one.
  boost::asio::awaitable<void> SendAnswer();
  boost::asio::awaitable<AttemptResult> RelayEvents(
      PooledConnection& connection,
      const PooledConnection::ResponseHeader& header,
      const UpstreamEntry& upstream);
  boost::asio::awaitable<bool> ForwardEvents(
      std::vector<StreamEvent> events,
      const PooledConnection::ResponseHeader& header);
  boost::asio::awaitable<AttemptResult> FinishStream(
      const UpstreamEntry& upstream);
  // Stores the finished turn, again after a failure as long as the caller
  // waits: the same record may be stored any number of times. Throws
  // TransportError.
  boost::asio::awaitable<void> StoreTurn(TurnRecord record);
  std::shared_ptr<PooledConnection::Request> BuildUpstreamRequest(
      const UpstreamEntry& upstream) const;
  void SettleInBackground();
  void ReportFailure();
  void ReleaseUnused();
  boost::asio::awaitable<void> SendRefusal(const Refusal& refusal);
  void LogEnd(std::string_view outcome, int status);

  std::chrono::milliseconds PoolIdleTimeout() const;
  int64_t RemainingMs() const;
  int64_t ElapsedMs() const;
  RequestFingerprints Fingerprints() const;
  bool IsTurn() const {
    return route_->kind == RouteKind::kStreaming && head_.token_budget &&
           !head_.program.empty();
  }
  // True when the request may be sent again although it may have run.
  bool IsRetryable() const {
    return route_->kind == RouteKind::kIdempotent ||
           (route_->kind == RouteKind::kStreaming && route_->resumable);
  }

  GatewayState& state_;
  const CallerRequest& request_;
  ResponseWriter& response_;
  StopToken& token_;
  boost::asio::steady_timer timer_;
  // Shared with the timer's handler, which may run after this object is
  // destroyed; false once `token_` must not be used any more.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // True for a try of another GatewayCall's request, which does not log the
  // request's end.
  const bool is_copy_ = false;

  DesiredStatePtr desired_;
  CallHead head_;
  const Route* route_ = nullptr;
  const ServiceSpec* service_ = nullptr;
  // Null on open routes and when no teams are configured.
  const TeamSpec* team_ = nullptr;
  std::string service_name_;
  int priority_ = 0;
  SteadyTime deadline_{};

  // Answer of the team's rate limit, and true once the request was charged.
  RateDecision rate_decision_;
  bool admitted_ = false;
  // True while the call is counted as in progress.
  bool entered_ = false;
  // True while the archive may hold an unsettled token reservation.
  bool reserved_ = false;
  // Inputs and outputs of the previous turns, oldest first.
  std::string history_;
  struct BufferedAnswer {
    int status = 0;
    ResponseWriter::Header header = {};
    std::string body = {};
  };
  // A whole answer of an upstream that was not sent yet.
  std::optional<BufferedAnswer> answer_;
  // Upstream that ran the previous turn; empty when unknown.
  std::string previous_upstream_;

  // Ids of the upstreams already tried.
  std::set<std::string> tried_;
  int attempts_ = 0;
  // True once an upstream may have run the request.
  bool may_have_run_ = false;
  // True once the caller received the complete response.
  bool done_ = false;
  // True when a completed turn could not be stored: it must not run again.
  bool archive_failed_ = false;
  // Idle time announced by the upstream's Keep-Alive header; 0 when absent.
  int64_t keep_alive_ms_ = 0;
  std::string last_failure_;
  // How far the running attempt has got, and whether its connection ended
  // without a timeout.
  RunStage stage_ = RunStage::kSent;
  bool broken_off_ = false;
  // Start of the running attempt, and the time until its first event with data.
  SteadyTime attempt_started_{};
  std::optional<int64_t> first_event_ms_ = {};
  // Whether the last response carried the header that only an upstream adds,
  // and its status; 0 if the running attempt got none.
  bool stamped_ = false;
  int answer_status_ = 0;

  // Events with data forwarded to the caller, over all attempts.
  int64_t events_ = 0;
  std::string last_event_id_;
  // Data of these events, on a route that keeps history, and its length on any.
  std::string output_;
  uint64_t output_bytes_ = 0;
  // What Account() last told.
  uint64_t accounted_bytes_ = 0;
};

}  // namespace pimento::Internal
