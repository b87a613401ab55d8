#include "src/shared_rates.h"

#include <algorithm>
#include <utility>

#include "src/boot_clock.h"
#include "src/event_log.h"
#include "src/loop_clock.h"
#include "src/name_hash.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// The owner of a limit and its stand-in.
constexpr size_t kDeciders = 2;
// Times that a host is asked, since datagrams may be lost.
constexpr int kSendsPerAsk = 2;
constexpr milliseconds kReplyTimeout{50};
// An upstream with a limit is not used for this long when nobody decides on it.
constexpr int64_t kNoDeciderRetryMs = 200;

}  // namespace

SharedRates::SharedRates(asio::io_context& io, Metrics& metrics,
                         SharedRatesOptions options, Send send)
    : io_(io),
      metrics_(metrics),
      options_(std::move(options)),
      send_(std::move(send)) {}

void SharedRates::set_hosts(const std::vector<std::string>& hosts) {
  owners_.set_hosts(hosts);
}

GatewayGossip SharedRates::NewMessage() const {
  return {.host = options_.host, .boot = options_.boot, .teams_only = true};
}

asio::awaitable<std::optional<RateReply>> SharedRates::Ask(
    const std::string& host, RateAsk ask) {
  ask.id = next_id_++;
  const auto pending = std::make_shared<PendingAsk>(io_);
  pending_[ask.id] = pending;
  Message message = NewMessage();
  message.rate_asks.push_back(ask);
  metrics_.Add(Counter::kRateAsked);
  for (int sends = 0; sends < kSendsPerAsk && !pending->reply; ++sends) {
    send_(host, message);
    const std::function<bool()> replied = [pending] {
      return pending->reply.has_value();
    };
    co_await WaitForPeer(pending->wakeup, kReplyTimeout, replied);
  }
  pending_.erase(ask.id);
  if (!pending->reply) {
    metrics_.Add(Counter::kRateUnanswered);
    owners_.OnNoReply(host, SteadyMs());
    EventLine(Event::kRateUnanswered).Text("host", host);
    co_return std::nullopt;
  }
  owners_.OnReply(host);
  if (pending->reply->wait_ms == kUnknownLimit) co_return std::nullopt;
  co_return pending->reply;
}

asio::awaitable<RateDecision> SharedRates::Acquire(std::string team,
                                                   ProgramStatus status) {
  if (quota_.TryAcquireUnreported(team, status, SteadyMs()))
    co_return RateDecision{.tokens_milli = TokensMilli(team)};
  const RateAsk ask{.limit = HashName(team), .program = status};
  const auto answer = co_await AskDeciders(ask);
  if (!answer) co_return DecideAlone(team, status);
  co_return RateDecision{.wait_ms = answer->reply.wait_ms,
                         .host = answer->host,
                         .tokens_milli = answer->reply.tokens_milli};
}

asio::awaitable<std::optional<SharedRates::HostReply>> SharedRates::AskDeciders(
    RateAsk ask) {
  const auto deciders = owners_.Ranked(ask.limit, kDeciders, SteadyMs());
  for (const std::string& host : deciders) {
    if (host != options_.host) {
      const auto reply = co_await Ask(host, ask);
      if (reply) co_return HostReply{host, *reply};
      continue;
    }
    ask.id = next_id_++;
    const bool owner = owners_.Owns(options_.host, ask.limit);
    const RateReply reply =
        server_.Reply(options_.sender, ask, owner, SteadyMs());
    if (reply.wait_ms == kUnknownLimit) continue;
    if (reply.wait_ms == 0) ReportGrant(ask);
    co_return HostReply{host, reply};
  }
  co_return std::nullopt;
}

asio::awaitable<int64_t> SharedRates::AcquireUpstream(uint64_t upstream_hash,
                                                      double per_second) {
  const auto answer = co_await AskDeciders({.kind = RateAskKind::kUpstream,
                                            .limit = upstream_hash,
                                            .per_second = per_second});
  co_return answer ? answer->reply.wait_ms : kNoDeciderRetryMs;
}

int64_t SharedRates::TokensMilli(const std::string& team) const {
  const auto level = quota_.level(team);
  return level ? Milli(level->tokens) : 0;
}

RateDecision SharedRates::DecideAlone(const std::string& team,
                                      ProgramStatus status) {
  const int64_t now_ms = SteadyMs();
  RateDecision decision;
  decision.wait_ms = quota_.TryAcquire(team, status, now_ms);
  if (decision.wait_ms == 0) ReportUsage(team);
  if (decision.wait_ms > 0 && status == ProgramStatus::kRunningProgram)
    decision.wait_ms = std::max(
        decision.wait_ms, quota_.ReserveRetryDelay(team, reachable_, now_ms));
  decision.tokens_milli = TokensMilli(team);
  metrics_.Add(Counter::kRateDecidedAlone);
  return decision;
}

void SharedRates::ReportGrant(const RateAsk& ask) {
  if (ask.kind == RateAskKind::kTeam) {
    ReportUsage(quota_.NameOf(ask.limit));
    return;
  }
  RateAsk granted = ask;
  granted.kind = RateAskKind::kUpstreamGranted;
  granted.id = next_id_++;
  Message message = NewMessage();
  message.rate_asks.push_back(granted);
  SendToDeciders(ask.limit, message);
}

void SharedRates::ReportUsage(const std::string& team) {
  const auto usage = quota_.local_usage().find(team);
  if (usage == quota_.local_usage().end()) return;
  Message message = NewMessage();
  message.teams.push_back({HashName(team), usage->second});
  SendToDeciders(HashName(team), message);
}

void SharedRates::SendToDeciders(uint64_t limit, const Message& message) {
  for (const std::string& host : owners_.Ranked(limit, kDeciders, SteadyMs())) {
    if (host != options_.host) send_(host, message);
  }
}

void SharedRates::Refund(const std::string& team,
                         const std::string& decided_by) {
  if (decided_by.empty() || decided_by == options_.host) {
    quota_.Refund(team, SteadyMs());
    return;
  }
  // A lost datagram only means that the team has one request less.
  Message message = NewMessage();
  message.rate_asks.push_back({.kind = RateAskKind::kTeamRefund,
                               .limit = HashName(team),
                               .id = next_id_++});
  send_(decided_by, message);
}

void SharedRates::OnMessage(const Message& message) {
  for (const RateReply& reply : message.rate_replies) {
    const auto it = pending_.find(reply.id);
    if (it == pending_.end()) continue;
    it->second->reply = reply;
    it->second->wakeup.cancel();
  }
  if (message.rate_asks.empty()) return;
  const uint64_t sender = SenderHash(message.host, message.boot);
  Message replies = NewMessage();
  for (const RateAsk& ask : message.rate_asks) {
    const bool owner = owners_.Owns(options_.host, ask.limit);
    const RateReply reply = server_.Reply(sender, ask, owner, SteadyMs());
    metrics_.Add(Counter::kRateDecidedForPeers);
    const bool wants_reply =
        ask.kind == RateAskKind::kTeam || ask.kind == RateAskKind::kUpstream;
    if (!wants_reply) continue;
    replies.rate_replies.push_back(reply);
    if (reply.wait_ms == 0 && !reply.repeated) ReportGrant(ask);
  }
  if (!replies.rate_replies.empty()) send_(message.host, replies);
}

}  // namespace pimento
