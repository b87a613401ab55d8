// One request at the gateway: its passes, and what they find out about it.
//
//   Read          header, route, service                 gateway_call.cc
//   Authenticate  key, team, priority                    gateway_call.cc
//   LimitTime     the time that is left                  gateway_call.cc
//   Admit         the team's rate                        gateway_admission.cc
//   Begin         chain of turns, the program's budget   gateway_admission.cc
//   Offer         place, upstream, answer, next upstream gateway_exchange.cc
//   AfterOffers   what the caller is told                gateway_call.cc
//   GiveBack      what was taken and not used            gateway_admission.cc
//
// For the files named here only.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/call_codec.h"
#include "src/event_splitter.h"
#include "src/gateway_call.h"
#include "src/reason.h"

namespace pimento::Internal {

inline constexpr int64_t kShortRetryMs = 200;
inline constexpr int kOk = 200;

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

class GatewayCall {
 public:
  GatewayCall(GatewayState& state, const CallerRequest& request,
              AnswerSink& answer, StopToken& token)
      : state_(state),
        request_(request),
        answer_(answer),
        token_(token),
        timer_(state.io()) {}

  boost::asio::awaitable<void> Run();

 private:
  // Passes; each throws Refusal.
  void Read();
  void Authenticate();
  boost::asio::awaitable<void> Admit();
  ProgramStatus Standing() const;
  boost::asio::awaitable<void> Wait(std::chrono::milliseconds time);
  void LimitTime();
  boost::asio::awaitable<void> Begin();
  boost::asio::awaitable<void> Offer();

  boost::asio::awaitable<void> LoadHistory();
  boost::asio::awaitable<OfferEnd> OfferOnce(const UpstreamEntry& upstream);
  boost::asio::awaitable<OfferEnd> Exchange(const UpstreamEntry& upstream,
                                            KeptConnection& connection);
  boost::asio::awaitable<const KeptConnection::ResponseHeader*> ReadOwnHeader(
      KeptConnection& connection, platform::AnswerHead& head);
  boost::asio::awaitable<OfferEnd> RelayWhole(
      KeptConnection& connection, const KeptConnection::ResponseHeader& header);
  boost::asio::awaitable<OfferEnd> RelayEvents(
      KeptConnection& connection, const KeptConnection::ResponseHeader& header,
      const UpstreamEntry& upstream);
  boost::asio::awaitable<bool> PassOn(
      std::vector<StreamEvent> events,
      const KeptConnection::ResponseHeader& header);
  boost::asio::awaitable<OfferEnd> FinishStream(const UpstreamEntry& upstream);
  std::shared_ptr<KeptConnection::Request> Compose(
      const UpstreamEntry& upstream) const;
  void SettleLater();
  void AfterOffers();
  void GiveBack();
  boost::asio::awaitable<void> Refuse(const Refusal& refusal);
  void LogEnd(std::string_view outcome, int status);

  std::chrono::milliseconds IdleTime() const;
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
  boost::asio::steady_timer timer_;
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

}  // namespace pimento::Internal
