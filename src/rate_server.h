// Decides on the rate limits of which this gateway is the owner or stand-in.
//
// Gateways ask by datagram and ask again when no reply arrives, so a repeated
// ask gets the reply of the first and is charged once.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "src/team_quota.h"
#include "src/upstream_limits.h"

namespace pimento {

// One request of a gateway for a limit. kTeam: admit a request of the team.
// kTeamRefund: a request that was admitted did not run. kUpstream: admit a
// request to an upstream that names a limit. kUpstreamGranted: the sender has
// admitted one. Only kTeam and kUpstream have a reply.
enum class RateAskKind : uint8_t {
  kTeam,
  kTeamRefund,
  kUpstream,
  kUpstreamGranted
};

struct RateAsk {
  RateAskKind kind = RateAskKind::kTeam;
  // Hash of the team's name or of the upstream's id.
  uint64_t limit = 0;
  // Identifies the ask among those of the sender's process.
  uint64_t id = 0;
  ProgramStatus program = ProgramStatus::kRunningProgram;
  // For an upstream: the requests a second that it accepts from all gateways.
  double per_second = 0;
};

// Reply to an ask for a limit that the receiver does not know.
inline constexpr int64_t kUnknownLimit = -1;

struct RateReply {
  uint64_t id = 0;
  // 0 when granted, kUnknownLimit, or the time after which a retry may be
  // granted, milliseconds.
  int64_t wait_ms = 0;
  // What is left of a team's tokens, thousandths.
  int64_t tokens_milli = 0;
  // True for the reply to a repeated ask; not sent.
  bool repeated = false;
};

class RateServer {
 public:
  explicit RateServer(TeamQuota& quota) : quota_(quota) {}

  // `sender` identifies the asking process. Retry times of running programs are
  // handed out one after the other, over all gateways. `owner`: false while
  // another gateway in contact owns the limit. It may still decide for those
  // that reach it, so a stand-in then charges twice for each request.
  RateReply Reply(uint64_t sender, const RateAsk& ask, bool owner,
                  int64_t now_ms);

 private:
  using AskKey = std::pair<uint64_t, uint64_t>;

  RateReply Decide(const RateAsk& ask, bool owner, int64_t now_ms);
  RateReply DecideTeam(const RateAsk& ask, bool owner, int64_t now_ms);
  void ForgetOldReplies(int64_t now_ms);

  TeamQuota& quota_;
  UpstreamLimits upstreams_;
  // Replies of the last second, by sender and id, and their times in order.
  std::map<AskKey, RateReply> replies_;
  std::deque<std::pair<int64_t, AskKey>> reply_times_;
};

}  // namespace pimento
