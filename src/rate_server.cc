#include "src/rate_server.h"

#include <algorithm>
#include <cmath>

namespace pimento {
namespace {

// Longer than a sender goes on asking.
constexpr int64_t kKeepReplyMs = 1'000;
constexpr double kMilliPerUnit = 1'000;

}  // namespace

RateReply RateServer::Reply(uint64_t sender, const RateAsk& ask, bool owner,
                            int64_t now_ms) {
  ForgetOldReplies(now_ms);
  const AskKey key{sender, ask.id};
  const auto known = replies_.find(key);
  if (known != replies_.end()) {
    RateReply reply = known->second;
    reply.repeated = true;
    return reply;
  }
  RateReply reply = Decide(ask, owner, now_ms);
  reply.id = ask.id;
  replies_[key] = reply;
  reply_times_.emplace_back(now_ms, key);
  return reply;
}

RateReply RateServer::Decide(const RateAsk& ask, bool owner, int64_t now_ms) {
  UpstreamLimits::Ask request{.upstream = ask.limit,
                              .per_second = ask.per_second};
  if (ask.kind == RateAskKind::kUpstreamGranted) {
    upstreams_.OnGrantedElsewhere(request, now_ms);
    return {};
  }
  if (ask.kind != RateAskKind::kUpstream) return DecideTeam(ask, owner, now_ms);
  if (!owner) request.charge = 2;
  return {.wait_ms = upstreams_.TryAcquire(request, now_ms)};
}

RateReply RateServer::DecideTeam(const RateAsk& ask, bool owner,
                                 int64_t now_ms) {
  const std::string team = quota_.NameOf(ask.limit);
  if (team.empty()) return {.wait_ms = kUnknownLimit};
  RateReply reply;
  if (ask.kind == RateAskKind::kTeamRefund) {
    quota_.Refund(team, now_ms);
  } else {
    reply.wait_ms = quota_.TryAcquire(team, ask.program, now_ms);
    if (reply.wait_ms == 0 && !owner) quota_.ChargeElsewhere(team);
    const bool queues =
        reply.wait_ms > 0 && ask.program == ProgramStatus::kRunningProgram;
    if (queues) {
      reply.wait_ms =
          std::max(reply.wait_ms, quota_.ReserveRetryDelay(team, 1, now_ms));
    }
  }
  const auto level = quota_.level(team);
  if (level) reply.tokens_milli = std::llround(level->tokens * kMilliPerUnit);
  return reply;
}

void RateServer::ForgetOldReplies(int64_t now_ms) {
  while (!reply_times_.empty() &&
         reply_times_.front().first <= now_ms - kKeepReplyMs) {
    replies_.erase(reply_times_.front().second);
    reply_times_.pop_front();
  }
}

}  // namespace pimento
