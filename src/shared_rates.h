// Rate limits over all gateways: asks the gateway that owns a limit, and
// answers the asks of others for the limits that this gateway owns.
//
// Far from its limit a team's request is admitted here at once. Otherwise the
// owner decides. When the owner does not reply the stand-in is asked, and when
// that does not reply either, this gateway decides from the usage that its
// peers have reported.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/gateway_peers.h"
#include "src/metrics.h"
#include "src/rate_owner.h"
#include "src/rate_server.h"
#include "src/team_quota.h"

namespace pimento {

// Result of asking for a limit.
struct RateDecision {
  // 0 when granted, otherwise the time after which a retry may be granted,
  // milliseconds.
  int64_t wait_ms = 0;
  // The host that decided; empty when it was this gateway alone.
  std::string host = {};
  // What was left of a team's tokens, thousandths.
  int64_t tokens_milli = 0;
};

struct SharedRatesOptions {
  std::string host = {};
  // Start of this process and the hash of host and start, as in gossip.
  uint64_t boot = 0;
  uint64_t sender = 0;
};

class SharedRates {
 public:
  using Message = GatewayGossip;
  // Sends a message to a host; does nothing for an unknown one.
  using Send = std::function<void(const std::string& host, const Message&)>;

  SharedRates(boost::asio::io_context& io, Metrics& metrics,
              SharedRatesOptions options, Send send);

  TeamQuota& quota() { return quota_; }
  // The gateways that can decide, this one included if it can.
  void set_hosts(const std::vector<std::string>& hosts);
  // Gateways that exchange gossip with this one, itself included.
  void set_reachable(int64_t gateways) { reachable_ = gateways; }

  // Admits one request of `team`.
  boost::asio::awaitable<RateDecision> Acquire(std::string team,
                                               ProgramStatus status);
  // Gives back a request that was admitted by `decided_by` and did not run.
  void Refund(const std::string& team, const std::string& decided_by);
  // Asks for one request to an upstream that accepts `per_second` from all
  // gateways. Returns 0 when granted, otherwise the time after which a retry
  // may be granted, milliseconds.
  boost::asio::awaitable<int64_t> AcquireUpstream(uint64_t upstream_hash,
                                                  double per_second);
  // Answers the asks of a message and passes on the replies that it holds.
  void OnMessage(const Message& message);

 private:
  struct PendingAsk {
    explicit PendingAsk(boost::asio::io_context& io) : wakeup(io) {}
    // Cancelled when the reply has arrived.
    boost::asio::steady_timer wakeup;
    std::optional<RateReply> reply;
  };

  Message NewMessage() const;
  // Asks `host`; nullopt when it does not reply or does not know the limit.
  boost::asio::awaitable<std::optional<RateReply>> Ask(const std::string& host,
                                                       RateAsk ask);
  int64_t TokensMilli(const std::string& team) const;
  // The reply of the owner of the ask's limit or of its stand-in, and its host.
  struct HostReply {
    std::string host;
    RateReply reply;
  };
  boost::asio::awaitable<std::optional<HostReply>> AskDeciders(RateAsk ask);
  RateDecision DecideAlone(const std::string& team, ProgramStatus status);
  // Tells the owner and the stand-in what this gateway has granted: its usage
  // of a team, or one request to an upstream.
  void ReportGrant(const RateAsk& ask);
  void ReportUsage(const std::string& team);
  void SendToDeciders(uint64_t limit, const Message& message);

  boost::asio::io_context& io_;
  Metrics& metrics_;
  SharedRatesOptions options_;
  Send send_;
  TeamQuota quota_;
  RateOwners owners_;
  RateServer server_{quota_};
  int64_t reachable_ = 1;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, std::shared_ptr<PendingAsk>> pending_;
};

}  // namespace pimento
