// Gossip between gateways over UDP: which of them are up and ready, how many
// calls each has in flight, how many requests it admitted for each team, and
// the age of its desired state.
//
// Each message acknowledges the newest one received from every peer (an echo).
// A gateway that finds one of its own messages acknowledged knows that the
// answer was written after that message was sent, which bounds the age of what
// the peer reports without comparing clocks.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/boot_clock.h"
#include "src/crash_suspects.h"
#include "src/rate_server.h"
#include "src/upstream_entry.h"
#include "src/upstream_pace.h"
#include "src/usage_gossip.h"
#include "src/version_sample.h"

namespace pimento {

// Acknowledges the newest message that a gateway received from a peer.
struct GossipEcho {
  // SenderHash() of the peer; 48 bits.
  uint64_t sender = 0;
  // The lowest 16 bits of that message's sequence number.
  uint16_t sequence = 0;
};

// Identifies the messages of `host`, started at `boot`, in echoes.
uint64_t SenderHash(const std::string& host, uint64_t boot);

// The gossip message of one gateway; GatewayNews in the schema.
struct GatewayGossip {
  std::string host = {};
  // Start of the process, Unix microseconds.
  uint64_t boot = 0;
  uint64_t sequence = 0;
  std::string zone = {};
  // Address at which callers connect.
  std::string callers_address = {};
  bool ready = false;
  // True while the sender is overloaded.
  bool strained = false;
  int64_t state_version = 0;
  // Time since that version was known to be the newest, milliseconds.
  int64_t state_age_ms = 0;
  // How long an answer of the store to the sender, or to the gateway that it
  // follows, has been overdue, milliseconds; 0 if none is.
  int64_t store_overdue_ms = 0;
  // Calls in flight, by upstream.
  std::vector<UpstreamLoad> loads = {};
  // Cumulative usage since the process started.
  std::vector<UsageGossip::Entry> teams = {};
  // Hashes of programs whose first request this gateway admitted recently.
  std::vector<uint64_t> programs = {};
  std::vector<GossipEcho> echoes = {};
  // Asks for rate limits that the receiver owns, and replies to its asks.
  std::vector<RateAsk> rate_asks = {};
  std::vector<RateReply> rate_replies = {};
  // Hashes of upstream processes that told the sender that they are about to
  // stop.
  std::vector<uint64_t> leaving_upstreams = {};
  // Requests that were in flight on upstreams when those crashed.
  std::vector<CrashReport> crashes = {};
  // What the sender saw of services that are moved to another version, and the
  // orders that it follows. Only the hosts that decide get them.
  std::vector<VersionSample> version_samples = {};
  std::vector<VersionStep> version_steps = {};
  // What the sender learned about upstreams that served it recently.
  std::vector<PaceSample> paces = {};
  // Callers that the host can carry in relation to others; 0 if not stated.
  int64_t caller_weight = 0;
  // True for a message that only carries `teams`, `rate_asks`, `rate_replies`
  // and `crashes` and is sent between two regular ones; the other fields then
  // keep their last values.
  bool teams_only = false;
};

std::string EncodeGossip(const GatewayGossip& gossip);
// Throws StateError when `bytes` is not a valid message.
GatewayGossip DecodeGossip(const std::string& bytes);

// The last message of each peer. Performs no I/O; times are passed in.
class GatewayView {
 public:
  // `silent_after_ms`: time without a message after which a peer is silent.
  explicit GatewayView(int64_t silent_after_ms)
      : silent_after_ms_(silent_after_ms) {}
  int64_t silent_after_ms() const { return silent_after_ms_; }
  void set_silent_after_ms(int64_t time) { silent_after_ms_ = time; }

  // Stores the message. Returns what the sender admitted since its previous
  // one, by team; empty for a message that is older than the stored one.
  PeerUsage::Increase ApplyGossip(const GatewayGossip& gossip, int64_t now_ms);
  // The last messages of all peers that are not silent.
  std::vector<const GatewayGossip*> ReachablePeers(int64_t now_ms) const;
  // Number of peers whose last regular message is at most `age_ms` old.
  int64_t PeersHeardWithin(int64_t age_ms, int64_t now_ms) const;
  // Load by the peers that are not silent, by upstream hash.
  std::unordered_map<uint64_t, UpstreamLoad> LoadByUpstream(
      int64_t now_ms) const;
  // Time since the last regular message of `host`; `now_ms` if there was none.
  int64_t SinceLastGossipMs(const std::string& host, int64_t now_ms) const;
  // True if no regular message of `host` has arrived yet, or none for
  // `silent_after_ms`.
  bool IsSilent(const std::string& host, int64_t now_ms) const;
  // Acknowledgements for the next message of this gateway.
  std::vector<GossipEcho> Echoes(int64_t now_ms) const;

 private:
  struct Peer {
    GatewayGossip gossip;
    int64_t last_gossip_ms = 0;
    PeerUsage use;
  };
  // False when too many peers that are not silent are known to add `host`.
  bool MakeRoomFor(const std::string& host, int64_t now_ms);

  int64_t silent_after_ms_;
  std::map<std::string, Peer> peers_;
};

// Sends this gateway's messages to all peers and receives theirs.
class GatewayPeers {
 public:
  // Binds the UDP socket. Throws TransportError when that fails.
  GatewayPeers(boost::asio::io_context& io, const std::string& ip,
               uint16_t port);

  // `build_gossip` returns this gateway's next message; `on_gossip` receives
  // those of peers.
  void Start(std::function<GatewayGossip()> build_gossip,
             std::function<void(const GatewayGossip&)> on_gossip);
  // Sets the addresses ("10.0.0.1:7780") of the other gateways. Throws
  // TransportError for an invalid address.
  void set_peers(const std::vector<std::string>& addresses);
  // Time between regular messages. Grows with the number of peers, so that a
  // gateway sends and receives a bounded number of datagrams per second.
  std::chrono::milliseconds interval() const;
  // Sends a regular message immediately instead of at the next interval.
  void Announce();
  // Sends a message to one peer, immediately.
  void SendTo(const std::string& address, const GatewayGossip& gossip);
  // Sends a message to all peers, immediately.
  void SendToAll(const GatewayGossip& gossip);
  // When this gateway sent the message whose sequence number ends in these
  // bits; empty unless it is one of the newest 64.
  std::optional<BootClock::time_point> SentAt(uint16_t sequence) const;

 private:
  void SendToAll(const std::string& bytes);
  boost::asio::awaitable<void> Send();
  boost::asio::awaitable<void> Receive();

  boost::asio::io_context& io_;
  boost::asio::ip::udp::socket socket_;
  std::vector<boost::asio::ip::udp::endpoint> peers_;
  std::function<GatewayGossip()> build_gossip_;
  std::function<void(const GatewayGossip&)> on_gossip_;
  uint64_t sequence_ = 0;
  // Send times of the newest messages, by sequence number modulo the size.
  std::array<BootClock::time_point, 64> sent_{};
};

}  // namespace pimento
