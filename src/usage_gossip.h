// Selects which per-team usage counters a gateway includes in its next gossip
// message: those that changed recently, a few times each, and a few of the
// unchanged ones in round-robin order.
//
// Load pattern: tens of gateways exchange the usage of hundreds of teams
// several times a second, and most of it is unchanged. Counters are cumulative
// since the gateway's start, so a lost datagram delays an update but loses no
// usage.
//
//   100 teams, 3 of them active  3 changed and 4 unchanged counters a message
//   one unchanged counter        sent in 4 messages after its last change, then
//                                in about every 25th
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/team_quota.h"

namespace pimento {

class UsageGossip {
 public:
  // Cumulative usage of one team, identified by the hash of its name.
  struct Entry {
    uint64_t team = 0;
    TeamQuota::AdmissionCounts use = {};
  };

  // Returns the counters to include in the next message. `used`: cumulative
  // usage by team name.
  std::vector<Entry> NextEntries(
      const std::unordered_map<std::string, TeamQuota::AdmissionCounts>& used);

 private:
  struct SentCounter {
    TeamQuota::AdmissionCounts use = {};
    // Messages that still include this value because it changed recently.
    int sends_left = 0;
  };
  // By team hash; ordered so that the round robin covers every team.
  std::map<uint64_t, SentCounter> counters_;
  // Team hash at which the last round-robin step ended.
  uint64_t last_refreshed_ = 0;
};

// The last known counters of one peer gateway.
class PeerUsage {
 public:
  // `from_start`: the peer's messages have been received since the peer
  // started, so a counter that has not been received yet was zero. Otherwise
  // the first value of a counter is earlier usage that has been charged
  // already.
  explicit PeerUsage(bool from_start = false) : from_start_(from_start) {}

  // What a message adds to the usage known before.
  struct Increase {
    // The increase since the previous values, for the teams where it is not
    // zero.
    std::vector<UsageGossip::Entry> charged;
    // First values that are taken as charged before.
    std::vector<UsageGossip::Entry> uncharged;
  };
  // Stores the received counters.
  Increase ApplyCounters(const std::vector<UsageGossip::Entry>& entries);

 private:
  bool from_start_;
  // Last received value by team hash.
  std::unordered_map<uint64_t, TeamQuota::AdmissionCounts> known_;
};

}  // namespace pimento
