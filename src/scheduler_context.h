// State that the parts of one scheduler process share: the identity of this
// host, its clients, and the latest snapshots of the fleet and of the
// environment document.
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

// An environment document that is in use, with its generation. Generation 0
// means that none has been read yet.
struct EnvironmentState {
  uint64_t generation = 0;
  std::string environment;
  std::string text;
  Document document;
};

// Timeouts and intervals of a scheduler, in milliseconds. Most can be set in
// the settings file.
struct SchedulerTiming {
  int64_t rpc_timeout_ms = 1'000;
  // How long an append that a quorum has accepted waits for the remaining
  // members of the shard.
  int64_t append_grace_ms = 40;
  // How long a batch of records may take to reach a quorum. After that the
  // owner steps down.
  int64_t commit_timeout_ms = 3'000;
  // How long a claim may take to reach a quorum of the members, and then how
  // long writing the records to them may take.
  int64_t claim_timeout_ms = 2'000;
  // A lost member of a shard is replaced after this delay, so that a short
  // absence does not cause a copy of the records.
  int64_t replacement_delay_ms = 3'000;
  // The set of hosts that may hold shards must be unchanged for this long
  // before shards move for balance.
  int64_t rebalance_delay_ms = 6'000;
  // Pause between flushes of changed records to the platform.
  int64_t flush_interval_ms = 500;
  // Pause between two checks of each shard's ownership and members.
  int64_t tick_interval_ms = 150;
  // How long a call waits for an earlier call of its program that has not come.
  int64_t gap_timeout_ms = 2'000;
  // How long a planned hand-over of a shard waits for running calls that are
  // not idempotent.
  int64_t quiesce_timeout_ms = 8'000;
  // The records of an ended program are removed after this time.
  int64_t retention_ms = 600'000;
};

// Members without a comment are set before the threads start and not changed
// afterwards.
struct SchedulerContext {
  // Relays to peers that this host cannot reach. Used on `shards_io` only.
  PeerRelays peer_relays = {};
  Member self;
  std::string zone;
  SchedulerTiming timing;
  boost::asio::io_context* shards_io = nullptr;
  PeerClient* peers = nullptr;
  PlatformClient* platform = nullptr;
  Metrics* metrics = nullptr;
  // The latest snapshots. Replaced as a whole, so that any thread may read
  // them.
  std::atomic<std::shared_ptr<const HostView>> view{
      std::make_shared<const HostView>()};
  std::atomic<std::shared_ptr<const EnvironmentState>> environment{
      std::make_shared<const EnvironmentState>()};
  // True from the beginning of a planned stop.
  std::atomic<bool> leaving{false};

  // RPC address of `host`, or empty when it is not known.
  std::string AddressOf(const std::string& host) const {
    return view.load()->RpcAddress(host);
  }
};

}  // namespace pimento
