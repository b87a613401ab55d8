// What the parts of one scheduler process share: who this host is, its clients,
// and the latest snapshots of the fleet and the document.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <memory>
#include <string>

#include "src/document.h"
#include "src/host_view.h"
#include "src/metrics.h"
#include "src/peer_relay.h"
#include "src/shard_ids.h"

namespace pimento {

class PeerClient;
class PlatformClient;

// A document in force.
struct EnvironmentState {
  uint64_t generation = 0;
  std::string environment;
  std::string text;
  Document document;
};

// Bounds and pauses of a scheduler. Settings may change them.
struct SchedulerTiming {
  int64_t rpc_ms = 1'000;
  // How long an append waits for the second witness once one holds it.
  int64_t append_grace_ms = 40;
  // How long records may wait to be counted before the owner steps down.
  int64_t commit_ms = 3'000;
  int64_t claim_ms = 2'000;
  // A lost member is replaced after this long, so that a short absence costs no
  // copying.
  int64_t replace_hold_ms = 3'000;
  // The fleet must be unchanged for this long before shards move for balance.
  int64_t rebalance_after_ms = 6'000;
  int64_t flush_ms = 500;
  int64_t tick_ms = 150;
  // How long a missing earlier call is waited for.
  int64_t gap_ms = 2'000;
  // How long a planned stop waits for calls that must not repeat.
  int64_t quiesce_ms = 8'000;
  // Ended programs are forgotten after this long.
  int64_t retention_ms = 600'000;
};

struct SchedulerContext {
  // Used on `shards_io` only.
  PeerRelays peer_relays = {};
  Member self;
  std::string zone;
  SchedulerTiming timing;
  boost::asio::io_context* shards_io = nullptr;
  PeerClient* peers = nullptr;
  PlatformClient* platform = nullptr;
  Metrics* metrics = nullptr;
  std::atomic<std::shared_ptr<const HostView>> view{
      std::make_shared<const HostView>()};
  std::atomic<std::shared_ptr<const EnvironmentState>> environment{
      std::make_shared<const EnvironmentState>()};
  // True from the start of a planned stop.
  std::atomic<bool> leaving{false};

  std::string AddressOf(const std::string& host) const {
    return view.load()->RpcAddress(host);
  }
};

}  // namespace pimento
