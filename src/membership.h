// Which hosts are alive, as seen from one host. SWIM-like: each period a host
// probes one other, asks a few to probe it too when it does not answer, and
// carries news along. What it costs a host does not grow with the fleet.
//
// Suspicion moves traffic. It never moves ownership: that takes the shard
// protocol.
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

struct OwnedShard {
  uint32_t shard = 0;
  Epoch epoch;
  auto operator<=>(const OwnedShard&) const = default;
};

// What a host tells about itself.
struct HostInfo {
  std::string host;
  std::string zone;
  std::string rpc_address;
  std::string http_address;
  uint64_t boot = 0;
  // Raised by the host itself with every change and to refute a suspicion.
  uint64_t counter = 0;
  // True while the host stops or is drained: it takes no new work.
  bool leaving = false;
  uint64_t generation = 0;
  std::vector<OwnedShard> owned;
};

// News about a host: the latest that it said, and whether it is reachable.
struct HostNews {
  HostInfo info;
  HostState state = HostState::kAlive;
};

struct MembershipOptions {
  int64_t suspect_ms = 800;
  // How long a dead host is remembered.
  int64_t forget_ms = 600'000;
  size_t news_per_message = 16;
};

class Membership {
 public:
  Membership(HostInfo self, MembershipOptions options, uint64_t seed);

  // Adds a host known only by its address, from settings or the host list.
  void Seed(const std::string& host, const std::string& rpc_address,
            int64_t now_ms);

  // The next host to probe, or nothing when there is no other.
  std::optional<HostInfo> NextProbe();
  // Up to `count` other live hosts to probe `host` in our place.
  std::vector<HostInfo> Helpers(const std::string& host, size_t count);
  void ProbeFailed(const std::string& host, int64_t now_ms);

  // News to carry in the next message, least often told first.
  std::vector<HostNews> News();
  void Learn(const std::vector<HostNews>& news, int64_t now_ms);
  // Turns suspects dead and forgets the long dead.
  void Tick(int64_t now_ms);

  // Changes what this host says of itself.
  void UpdateSelf(bool leaving, uint64_t generation,
                  std::vector<OwnedShard> owned);

  const HostInfo& self() const { return self_; }
  // Every other host and this one, by name.
  std::vector<HostNews> All() const;
  size_t size() const { return hosts_.size() + 1; }
  // Rises whenever All() would change.
  uint64_t revision() const { return revision_; }

 private:
  struct Entry {
    HostNews news;
    int64_t since_ms = 0;
    uint32_t times_told = 0;
  };

  void LearnOne(const HostNews& news, int64_t now_ms);
  void Refute(const HostNews& news);
  uint32_t TellLimit() const;

  HostInfo self_;
  MembershipOptions options_;
  std::mt19937_64 random_;
  uint64_t revision_ = 1;
  std::map<std::string, Entry> hosts_;
  // The rest of the present probe round, in random order.
  std::vector<std::string> round_;
};

}  // namespace pimento
