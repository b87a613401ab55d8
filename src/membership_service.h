// Runs the membership protocol on a thread of its own: sends and answers
// probes, reads the platform's host list, and publishes each change as a
// HostView.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

#include "src/membership.h"
#include "src/peer_client.h"
#include "src/platform_client.h"
#include "src/scheduler_context.h"
#include "src/worker_thread.h"

namespace pimento {

struct MembershipServiceOptions {
  HostInfo self;
  // RPC addresses of other hosts, used when the platform is not available.
  std::vector<std::string> seeds;
  int64_t probe_interval_ms = 200;
  int64_t probe_timeout_ms = 400;
  MembershipOptions membership;
};

// Runs on `thread`, except where a member says otherwise.
class MembershipService {
 public:
  MembershipService(WorkerThread& thread, SchedulerContext& context,
                    MembershipServiceOptions options);
  void Start();

  // Merges the gossip of a peer and returns the gossip to answer with. Call
  // from any thread. Throws Refusal(kRingFull) when the thread's ring is full.
  boost::asio::awaitable<std::vector<HostGossip>> Exchange(
      std::vector<HostGossip> gossip);
  // Publishes to the fleet which shards this host owns now. Call from any
  // thread.
  void Announce(std::vector<OwnedShard> owned);
  // When this host last exchanged a message with a peer or read the host list
  // from the platform, in milliseconds since 1970.
  int64_t last_contact_ms() const { return last_contact_ms_; }
  // When this host last exchanged a message with a peer, in milliseconds since
  // 1970.
  int64_t last_peer_ms() const { return last_peer_ms_; }

 private:
  boost::asio::awaitable<void> ProbeLoop();
  // Probes `target`, then indirectly; marks it as suspect when both fail.
  boost::asio::awaitable<void> ProbeOne(HostInfo target);
  // Exchanges gossip with a seed address, whichever host is there.
  boost::asio::awaitable<void> ProbeAddress(std::string address);
  // Asks other hosts to probe `target` at `address`. Returns true as soon as
  // one of them reaches it.
  boost::asio::awaitable<bool> ProbeIndirectly(std::string target,
                                               std::string address);
  boost::asio::awaitable<void> HostListLoop();
  void UpdateSelf();
  // Replaces the HostView of the context when the membership has changed.
  void Publish();

  WorkerThread& thread_;
  SchedulerContext& context_;
  MembershipServiceOptions options_;
  Membership membership_;
  std::vector<OwnedShard> owned_;
  // Notes that a message from or to a peer succeeded just now.
  void RecordPeerContact();

  std::atomic<int64_t> last_contact_ms_{0};
  std::atomic<int64_t> last_peer_ms_{0};
  size_t next_seed_ = 0;
  // Revision of the membership in the latest published HostView.
  uint64_t published_revision_ = 0;
};

}  // namespace pimento
