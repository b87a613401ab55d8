// Failure detection and gossip in the manner of SWIM: which hosts are alive, as
// seen from one host. In each period a host probes one peer. When the peer does
// not answer, it asks a few other peers to probe it (indirect probes). Every
// message carries gossip about other hosts. The cost for a host does not grow
// with the size of the fleet.
//
//   h1 probes h2: no answer; h3 and h4 cannot reach h2 either
//   h1 marks h2 suspect and gossips it; h2 may refute with a greater counter
//   without a refutation within the suspicion timeout, h2 is dead
//
// A suspicion redirects traffic. It never changes the ownership of a shard:
// only the shard protocol does.
#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "src/placement.h"
#include "src/shard_ids.h"

namespace pimento {

enum class HostState : uint8_t { kAlive, kSuspect, kDead };

// A shard that a host owns, and the epoch of its ownership.
struct OwnedShard {
  uint32_t shard = 0;
  Epoch epoch;
  auto operator<=>(const OwnedShard&) const = default;
};

// What a host publishes about itself.
struct HostInfo {
  std::string host;
  std::string zone;
  std::string rpc_address;
  std::string http_address;
  // Identifies the run of the process: greater after each restart. 0 for a host
  // that is known only by its address.
  uint64_t boot = 0;
  // Incremented by the host itself with every change and to refute a suspicion
  // (SWIM's incarnation number).
  uint64_t counter = 0;
  // True while the host is stopping or being drained: it takes no new work.
  bool leaving = false;
  // Generation of the environment document that the host uses.
  uint64_t generation = 0;
  std::vector<OwnedShard> owned;
};

// A gossip entry: the latest information that a host published about itself,
// and its state as seen by the sender.
struct HostGossip {
  HostInfo info;
  HostState state = HostState::kAlive;
};

struct MembershipOptions {
  // A suspect that does not refute the suspicion in this time is dead.
  int64_t suspicion_timeout_ms = 800;
  // A dead host is removed from the list after this time.
  int64_t dead_retention_ms = 600'000;
  size_t max_entries_per_message = 16;
};

// Single-threaded. Times are passed in, in milliseconds of any one clock.
class Membership {
 public:
  Membership(HostInfo self, MembershipOptions options, uint64_t seed);

  // Adds a host of which only the address is known, from the settings or the
  // platform's host list. Does nothing when the host is already known.
  void Seed(const std::string& host, const std::string& rpc_address,
            int64_t now_ms);

  // The next host to probe, or nothing when no other host is known. Each round
  // visits every known host once, in random order.
  std::optional<HostInfo> NextProbe();
  // Up to `count` other live hosts, chosen at random, for indirect probes of
  // `host`.
  std::vector<HostInfo> Helpers(const std::string& host, size_t count);
  // Marks `host` as suspect if it was alive.
  void ProbeFailed(const std::string& host, int64_t now_ms);

  // The gossip for the next message: this host, then the entries that were sent
  // the fewest times. Counts them as sent.
  std::vector<HostGossip> NextGossip();
  // Merges gossip that was received. Refutes suspicions of this host.
  void ApplyGossip(const std::vector<HostGossip>& gossip, int64_t now_ms);
  // Declares suspects dead after the suspicion timeout, and removes hosts that
  // have been dead for the retention time.
  void Tick(int64_t now_ms);

  // Changes the information that this host publishes about itself.
  void UpdateSelf(bool leaving, uint64_t generation,
                  std::vector<OwnedShard> owned);

  const HostInfo& self() const { return self_; }
  // This host first, then the others sorted by name.
  std::vector<HostGossip> All() const;
  // Number of known hosts, this one included.
  size_t size() const { return hosts_.size() + 1; }
  // Increases whenever the result of All() changes.
  uint64_t revision() const { return revision_; }

 private:
  struct Entry {
    HostGossip gossip;
    // When the host was first seen or last changed its state.
    int64_t state_since_ms = 0;
    // How many messages carried the entry since its last change.
    uint32_t times_sent = 0;
  };

  void MergeEntry(const HostGossip& update, int64_t now_ms);
  // Raises the counter of this host when `update` claims that it is not alive.
  void Refute(const HostGossip& update);
  // How many messages carry a changed entry.
  uint32_t RetransmitLimit() const;

  HostInfo self_;
  MembershipOptions options_;
  std::mt19937_64 random_;
  uint64_t revision_ = 1;
  std::map<std::string, Entry> hosts_;
  // Hosts that are still to be probed in the current round, in random order.
  std::vector<std::string> round_;
};

}  // namespace pimento
