// Runs the membership on a thread of its own and publishes what it learns.
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

struct MembershipDutyOptions {
  HostInfo self;
  // RPC addresses of other hosts, for the time when the platform is down.
  std::vector<std::string> seeds;
  int64_t probe_every_ms = 200;
  int64_t probe_timeout_ms = 400;
  MembershipOptions membership;
};

class MembershipDuty {
 public:
  MembershipDuty(WorkerThread& duty, SchedulerContext& context,
                 MembershipDutyOptions options);
  void Start();

  // Answers another host's news. Call from any duty.
  boost::asio::awaitable<std::vector<HostNews>> Exchange(
      std::vector<HostNews> news);
  // Tells the fleet what this host owns now. Call from any thread.
  void Announce(std::vector<OwnedShard> owned);
  // When a peer or the platform was last heard, milliseconds since 1970.
  int64_t last_contact_ms() const { return last_contact_ms_; }
  // When a peer was last heard.
  int64_t last_peer_ms() const { return last_peer_ms_; }

 private:
  boost::asio::awaitable<void> ProbeLoop();
  boost::asio::awaitable<void> ProbeOne(HostInfo target);
  boost::asio::awaitable<void> ProbeAddress(std::string address);
  boost::asio::awaitable<bool> AskHelpers(std::string target,
                                          std::string address);
  boost::asio::awaitable<void> HostListLoop();
  void UpdateSelf();
  void Publish();

  WorkerThread& duty_;
  SchedulerContext& context_;
  MembershipDutyOptions options_;
  Membership membership_;
  std::vector<OwnedShard> owned_;
  void NotePeer();

  std::atomic<int64_t> last_contact_ms_{0};
  std::atomic<int64_t> last_peer_ms_{0};
  size_t next_seed_ = 0;
  // Revision of the membership that was published last.
  uint64_t published_ = 0;
};

}  // namespace pimento
