// News among gateways by datagram: who is up and ready, what each has in
// flight, what each admitted for teams, and the age of its desired state.
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
#include "src/usage_gossip.h"

namespace pimento {

// Newest gossip that a gateway has of another.
struct GossipEcho {
  // Of its host and start; 48 bits.
  uint64_t sender = 0;
  // The lowest bits of the gossip' number.
  uint16_t sequence = 0;
};

// Under which the gossip of `host`, started at `boot`, are echoed.
uint64_t SenderHash(const std::string& host, uint64_t boot);

// What one gateway says.
struct GatewayGossip {
  std::string host = {};
  // Start of the process, Unix microseconds.
  uint64_t boot = 0;
  uint64_t sequence = 0;
  std::string zone = {};
  // Where callers connect.
  std::string callers_address = {};
  bool ready = false;
  // True while it is behind with its work.
  bool strained = false;
  int64_t state_version = 0;
  // How long ago that version was known to be the newest, milliseconds.
  int64_t state_age_ms = 0;
  // How long ago the store last answered it, milliseconds.
  int64_t store_silent_ms = 0;
  // Calls in flight, by upstream hash.
  std::vector<std::pair<uint64_t, int64_t>> loads = {};
  // Use since the start.
  std::vector<UsageGossip::Entry> teams = {};
  // Hashes of programs that it saw first, lately.
  std::vector<uint64_t> programs = {};
  std::vector<GossipEcho> echoes = {};
  // True for gossip of teams alone, sent at once; all else is as last told.
  bool teams_only = false;
};

std::string EncodeGossip(const GatewayGossip& gossip);
// Throws StateError.
GatewayGossip DecodeGossip(const std::string& bytes);

// What is known of the others. Pure: times come in.
class GatewayView {
 public:
  // Milliseconds without gossip after which a gateway counts as silent.
  explicit GatewayView(int64_t silent_after_ms)
      : silent_after_ms_(silent_after_ms) {}
  int64_t silent_after_ms() const { return silent_after_ms_; }
  void set_silent_after_ms(int64_t time) { silent_after_ms_ = time; }

  // Returns what the gateway admitted since its last gossip, by team; nothing
  // for gossip that is older than what is known.
  std::vector<UsageGossip::Entry> ApplyGossip(const GatewayGossip& gossip,
                                              int64_t now_ms);
  // Gateways that are heard.
  std::vector<const GatewayGossip*> ReachablePeers(int64_t now_ms) const;
  // Calls in flight at those, by upstream hash.
  std::unordered_map<uint64_t, int64_t> InFlightByUpstream(
      int64_t now_ms) const;
  int64_t SinceHeardMs(const std::string& host, int64_t now_ms) const;
  // True for a gateway without gossip for too long, or never heard.
  bool IsSilent(const std::string& host, int64_t now_ms) const;
  std::vector<GossipEcho> Echoes(int64_t now_ms) const;

 private:
  struct Peer {
    GatewayGossip gossip;
    int64_t heard_ms = 0;
    PeerUsage use;
  };
  int64_t silent_after_ms_;
  std::map<std::string, Peer> peers_;
};

// Sends and receives the gossip of one gateway.
class GatewayPeers {
 public:
  GatewayPeers(boost::asio::io_context& io, const std::string& ip,
               uint16_t port);

  // `build_gossip` makes this gateway's gossip; `on_gossip` gets those of
  // others.
  void Start(std::function<GatewayGossip()> build_gossip,
             std::function<void(const GatewayGossip&)> on_gossip);
  // Addresses ("10.0.0.1:7780") of the other gateways.
  void set_peers(const std::vector<std::string>& addresses);
  // Time between gossip: longer where there are many peers, so that a gateway
  // sends and receives a bounded number of datagrams a second.
  std::chrono::milliseconds interval() const;
  // Sends at once, not only at the next interval.
  void Announce();
  // Sends the use of teams at once.
  void SendTeamUsage(GatewayGossip teams_only);
  // When the gossip were sent whose number ends in these bits; nothing when
  // that is long ago.
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
  // Times of the newest sends, by number modulo the size.
  std::array<BootClock::time_point, 64> sent_{};
};

}  // namespace pimento
