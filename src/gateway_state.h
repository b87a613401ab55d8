// The state of one gateway: the desired state and its age, upstreams, drained
// zones, archive members and peer gateways. Everything that a request needs is
// held here in memory.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "platform/boot_settings.h"
#include "platform/store_client.h"
#include "src/archive_client.h"
#include "src/calls_in_progress.h"
#include "src/crash_detector.h"
#include "src/crash_suspects.h"
#include "src/desired_state.h"
#include "src/dispatcher.h"
#include "src/gateway_peers.h"
#include "src/hedge_policy.h"
#include "src/metrics.h"
#include "src/overload_detector.h"
#include "src/recent_programs.h"
#include "src/rollout_control.h"
#include "src/shared_rates.h"
#include "src/store_outage.h"
#include "src/store_watch.h"
#include "src/team_quota.h"
#include "src/upstream_table.h"
#include "src/watch_assignment.h"

namespace pimento {

class GatewayState {
 public:
  GatewayState(boost::asio::io_context& io,
               const platform::BootSettings& settings, Metrics& metrics);

  void Start();
  // Reports this gateway as not ready from now on.
  void Drain();

  // The desired state in force; null when none is known or it is too old to be
  // used.
  DesiredStatePtr UsableState() const;
  // The latest desired state regardless of its age, for limits on callers.
  DesiredStatePtr LatestState() const { return desired_; }
  // Milliseconds since the desired state was last known to be the newest.
  int64_t StateAgeMs() const;
  bool Ready() const;
  // Addresses for callers to connect to: the ready gateways, without overloaded
  // ones as long as the others can take their load.
  std::vector<std::string> ReadyAddresses() const;

  UpstreamTable& table() { return table_; }
  Dispatcher& dispatcher() { return dispatcher_; }
  SharedRates& rates() { return rates_; }
  RecentPrograms& programs() { return programs_; }
  CallsInProgress& calls() { return calls_; }
  ArchiveClient& archive() { return archive_; }
  RolloutControl& rollouts() { return rollouts_; }
  const CrashSuspects& suspects() const { return suspects_; }
  // Finds out whether the upstream crashed under the request; if so, the
  // request is recorded and the peers are told.
  boost::asio::awaitable<void> OnBrokenOff(const BrokenRun& run);
  // The request ran to its end on an upstream.
  void OnRunCompleted(const RequestFingerprints& request);
  ConnectionPool& pool() { return pool_; }
  HedgePolicy& hedging() { return hedging_; }
  // Number of gateways that exchange gossip with this one, itself included.
  int64_t reachable_gateways() const { return reachable_gateways_; }
  // The mirror of the store's objects of `kind`; null for a kind that is not
  // mirrored.
  StoreWatch* FindWatch(const std::string& kind);
  // The mirror of the upstreams' entries, from which calls are placed.
  const StoreWatch& upstream_view() const { return upstream_watch_; }
  // Age, revision and held objects of each mirror, Prometheus text.
  std::string ViewMetrics() const;
  Metrics& metrics() { return metrics_; }
  const platform::BootSettings& settings() const { return settings_; }
  boost::asio::io_context& io() { return io_; }

 private:
  // Time by which the peers' silence is judged, milliseconds.
  int64_t PeerNowMs() const;
  // Takes in the configuration step by step. The one before stays in force
  // meanwhile.
  boost::asio::awaitable<void> OnConfig();
  // Null, with a log line, for one that cannot be read, and null for one that
  // is not newer.
  boost::asio::awaitable<DesiredStatePtr> DecodeConfig(
      const boost::json::value& spec);
  void OnUpstreams();
  void OnDrainedZones();
  void OnMembers();
  void OnGateways();
  void OnGossip(const GatewayGossip& gossip);
  void SendToPeer(const std::string& host, const GatewayGossip& message);
  RolloutSurroundings MakeRolloutSurroundings();
  // The gateways in contact that serve requests, this one included.
  std::vector<std::string> ReadyHosts() const;
  void OnPeerReportsLeaving(const std::string& host, uint64_t process);
  // An upstream on which a run broke off does not refuse connections yet.
  boost::asio::awaitable<void> AskAgain(UpstreamEntry upstream);
  void OnCrash(const BrokenRun& run);
  void OnPeerCrashReport(const std::string& host, const CrashReport& report);
  // Sends what is new about crashes to the peers, once for all requests that
  // broke off together.
  void SendCrashNews();
  // A peer that has started anew knows of no crash: tells it what is refused.
  void TellStartedPeer(const GatewayGossip& gossip);
  void ChargePeerUsage(const std::string& host,
                       const PeerUsage::Increase& increase);
  // Logs each team's rate limit once, and again when it has changed.
  void LogRateLimits();
  GatewayGossip BuildGossip();
  boost::asio::awaitable<void> Register();
  boost::asio::awaitable<void> Housekeeping();
  void UpdateFleet();
  // Options of a watch of `kind`, at another gateway or at the store itself.
  StoreWatchOptions WatchOptions(std::string kind,
                                 std::chrono::milliseconds wait);
  StoreSource WatchSource();
  // Aborts calls to sources that are silent or whose data is too old.
  void AbortLostSources();
  // For how long no host has reached the store, if current reports confirm it.
  std::optional<int64_t> StoreOutageMs() const;
  // Logs the start and the end of an outage of the store.
  void LogOutage();
  void SampleTimerLag(std::chrono::steady_clock::time_point due);

  boost::asio::io_context& io_;
  platform::BootSettings settings_;
  Metrics& metrics_;
  ConnectionPool pool_;
  platform::StoreClient store_;
  UpstreamTable table_;
  Dispatcher dispatcher_;
  RecentPrograms programs_;
  CallsInProgress calls_;
  ArchiveClient archive_;
  GatewayView view_;
  GatewayPeers peers_;
  WatchAssignment watch_assignment_;
  // Addresses of the other gateways by host, and clients of their mirrors by
  // address. Clients are never removed, since calls may be in flight on them.
  std::map<std::string, std::string> gateway_addresses_;
  std::map<std::string, std::unique_ptr<platform::StoreClient>> mirror_clients_;
  StoreWatch config_watch_;
  StoreWatch upstream_watch_;
  StoreWatch zone_watch_;
  StoreWatch member_watch_;
  StoreWatch gateway_watch_;
  StoreWatch rollout_watch_;
  const std::array<StoreWatch*, 6> watches_{&config_watch_,  &upstream_watch_,
                                            &zone_watch_,    &member_watch_,
                                            &gateway_watch_, &rollout_watch_};
  DesiredStatePtr desired_;
  // When `desired_` was last known to be the newest, as reported by peers.
  BootClock::time_point relayed_fresh_as_of_{};
  // Highest version of the desired state that a peer has reported.
  int64_t newest_peer_version_ = 0;
  // Registered gateways, this one included.
  int64_t registered_gateways_ = 1;
  int64_t reachable_gateways_ = 1;
  uint64_t boot_ = 0;
  // SenderHash() of this process, by which peers acknowledge its messages.
  uint64_t sender_hash_ = 0;
  SharedRates rates_;
  UsageGossip usage_gossip_;
  CrashSuspects suspects_{{}};
  CrashDetector crash_detector_;
  HedgePolicy hedging_;
  RolloutControl rollouts_;
  int64_t started_ms_ = SteadyMs();
  // Start of each peer's process, as last heard.
  std::unordered_map<std::string, uint64_t> peer_boots_;
  // True while SendCrashNews() is posted.
  bool crash_news_posted_ = false;
  // Requests a second by team, as last logged.
  std::unordered_map<std::string, double> logged_rates_;
  bool draining_ = false;
  // True once peers have been told that this process has started.
  bool announced_ = false;
  bool was_usable_ = false;
  // Whether an outage was confirmed at the last log line about it.
  bool was_down_ = false;
  int64_t last_sweep_ms_ = 0;
  OverloadDetector overload_{{}};
  StoreOutage outage_{{}};
};

inline constexpr const char* kGatewayKind = "pimento-gateways";

}  // namespace pimento
