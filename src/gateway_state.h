// What one gateway believes: the desired state and its age, upstreams, zones
// taken out, the archive's members, the other gateways. Everything a request
// needs is here in memory.
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
#include "src/desired_state.h"
#include "src/dispatcher.h"
#include "src/gateway_peers.h"
#include "src/metrics.h"
#include "src/overload_detector.h"
#include "src/program_memory.h"
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
  // Says "not ready" from now on.
  void Drain();

  // The desired state in force, or null when none is known or its age does not
  // allow its use any more.
  DesiredStatePtr UsableState() const;
  // The same without regard to its age, for limits on callers.
  DesiredStatePtr LatestState() const { return desired_; }
  // Milliseconds since the desired state was known to be the newest.
  int64_t StateAgeMs() const;
  bool Ready() const;
  // Where callers should connect: ready gateways, but for strained ones while
  // the others can do without.
  std::vector<std::string> ReadyAddresses() const;

  UpstreamTable& table() { return table_; }
  Dispatcher& dispatcher() { return dispatcher_; }
  TeamQuota& quota() { return quota_; }
  ProgramMemory& programs() { return programs_; }
  ArchiveClient& archive() { return archive_; }
  ConnectionPool& pool() { return pool_; }
  // Gateways that are reachable_gateways, this one included.
  int64_t reachable_gateways() const { return reachable_gateways_; }
  // The copy of the store's objects of `kind`; null for another kind.
  StoreWatch* FindWatch(const std::string& kind);
  // A request of `team` was admitted: tells the others at once where they would
  // hear of it too late.
  void NoteAdmission(const std::string& team);
  Metrics& metrics() { return metrics_; }
  const platform::BootSettings& settings() const { return settings_; }
  boost::asio::io_context& io() { return io_; }

 private:
  void OnConfig();
  void OnUpstreams();
  void OnDrainedZones();
  void OnMembers();
  void OnGateways();
  void OnGossip(const GatewayGossip& gossip);
  GatewayGossip BuildGossip();
  boost::asio::awaitable<void> Register();
  boost::asio::awaitable<void> Housekeeping();
  void UpdateFleet();
  // Options of a watch of `kind`, over another gateway or at the store itself.
  StoreWatchOptions WatchOptions(std::string kind,
                                 std::chrono::milliseconds wait);
  StoreSource WatchSource();
  void AbortStaleSources();
  // How long ago the store last answered this host, or the one that it asks.
  int64_t StoreSilentMs();
  // True while it is proved that no host reaches the store.
  bool StoreIsDown() const;
  void SampleTimerLag(std::chrono::steady_clock::time_point due);

  boost::asio::io_context& io_;
  platform::BootSettings settings_;
  Metrics& metrics_;
  ConnectionPool pool_;
  platform::StoreClient store_;
  UpstreamTable table_;
  Dispatcher dispatcher_;
  TeamQuota quota_;
  ProgramMemory programs_;
  ArchiveClient archive_;
  GatewayView view_;
  GatewayPeers peers_;
  WatchAssignment watch_assignment_;
  // Addresses of the other gateways by host, and clients of their copies by
  // address; a client stays, since calls of it may be under way.
  std::map<std::string, std::string> gateway_addresses_;
  std::map<std::string, std::unique_ptr<platform::StoreClient>>
      replica_clients_;
  StoreWatch config_watch_;
  StoreWatch upstream_watch_;
  StoreWatch zone_watch_;
  StoreWatch member_watch_;
  StoreWatch gateway_watch_;
  const std::array<StoreWatch*, 5> watches_{&config_watch_, &upstream_watch_,
                                            &zone_watch_, &member_watch_,
                                            &gateway_watch_};
  DesiredStatePtr desired_;
  // When `desired_` was last known to be the newest, by a peer's word.
  BootClock::time_point relayed_fresh_as_of_{};
  // When the store last answered the gateway that this one asks.
  BootClock::time_point relayed_contact_{};
  // Registered gateways, this one included.
  int64_t registered_gateways_ = 1;
  int64_t reachable_gateways_ = 1;
  uint64_t boot_ = 0;
  // Under which others echo this gateway's gossip.
  uint64_t sender_hash_ = 0;
  UsageGossip usage_gossip_;
  bool draining_ = false;
  bool was_usable_ = false;
  int64_t last_housekeeping_ms_ = 0;
  OverloadDetector overload_{{}};
  StoreOutage outage_{{}};
};

inline constexpr const char* kGatewayKind = "pimento-gateways";

}  // namespace pimento
