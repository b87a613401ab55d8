// Connects the decisions about new versions of services to the rest of a
// gateway: orders come from the store's mirror, rules go to the table of
// upstreams, reports to the deciding hosts, and records to the store.
// What is decided, and by whom: rollout_director.h, rollout_plan.h.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform/boot_settings.h"
#include "platform/store_client.h"
#include "src/desired_state.h"
#include "src/gateway_peers.h"
#include "src/metrics.h"
#include "src/rollout_director.h"
#include "src/store_watch.h"
#include "src/upstream_table.h"

namespace pimento {

// What the rest of the gateway provides.
struct RolloutSurroundings {
  std::function<RolloutFleet()> fleet = {};
  std::function<void(const std::string& host, const GatewayGossip& message)>
      send = {};
  // Time between regular messages to peers, milliseconds.
  std::function<int64_t()> interval_ms = {};
  // Null while no desired state is known.
  std::function<DesiredStatePtr()> desired = {};
};

class RolloutControl {
 public:
  RolloutControl(boost::asio::io_context& io, platform::StoreClient& store,
                 StoreWatch& watch, UpstreamTable& table, Metrics& metrics,
                 const platform::BootSettings& settings, uint64_t boot,
                 RolloutSurroundings surroundings);

  // The mirror of the orders changed.
  void OnOrders();
  // The table of upstreams changed.
  void OnUpstreams();
  // Call it about every 50 ms.
  void Tick();
  // A message of a peer, regular or not.
  void OnGossip(const GatewayGossip& gossip);

  // The versions that may serve a call of `service`. `key` is the same for all
  // calls of a program.
  VersionSide SideOf(const std::string& service, const std::string& key) const;
  void OnAnswer(const UpstreamEntry& upstream, const std::string& route,
                const VersionAnswer& answer);
  // Prometheus text.
  std::string MetricsText() const;

 private:
  std::map<std::string, ServiceUpstreams> Upstreams() const;
  void ApplyRules();
  void SendReports(int64_t now_ms);
  boost::asio::awaitable<void> Write(RolloutWrite write);
  void LogWrite(const RolloutWrite& write, platform::StoreWrite outcome) const;

  boost::asio::io_context& io_;
  platform::StoreClient& store_;
  StoreWatch& watch_;
  UpstreamTable& table_;
  Metrics& metrics_;
  std::string host_;
  uint64_t boot_;
  std::chrono::milliseconds idle_wait_;
  RolloutSurroundings surroundings_;
  RolloutDirector director_;
  // In force, by service.
  std::map<std::string, VersionRule> rules_;
  int64_t last_apply_ms_ = 0;
  int64_t last_plan_ms_ = 0;
};

}  // namespace pimento
