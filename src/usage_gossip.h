// What a gateway tells the others of its teams' use: the counters that changed,
// a few times over, and the others in turn.
//
// Load pattern: tens of gateways tell each other the use of hundreds of teams
// several times a second, most of it unchanged. A counter says all of the use
// since the gateway's start, so a lost datagram costs only time.
//
//   100 teams, 3 of them busy    3 counters and 4 others in each news
//   a counter that rests         told 4 times, then each 25th news or so
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
  // One team's counters, under the hash of its name.
  struct Entry {
    uint64_t team = 0;
    TeamQuota::Use use = {};
  };

  // What the next news say of `used`.
  std::vector<Entry> NextEntries(
      const std::unordered_map<std::string, TeamQuota::Use>& used);

 private:
  struct SentCounter {
    TeamQuota::Use use = {};
    int sends_left = 0;
  };
  // Ordered, so that taking turns reaches each.
  std::map<uint64_t, SentCounter> counters_;
  // The team that took its turn last.
  uint64_t last_refreshed_ = 0;
};

// The counters of another gateway, as far as they are known.
class PeerUsage {
 public:
  // `from_start`: this gateway's news were heard from its start on, so that a
  // counter not told yet was zero. Otherwise a counter's first value is past
  // use, which others have charged.
  explicit PeerUsage(bool from_start = false) : from_start_(from_start) {}

  // Returns what was used since the counters were last told.
  std::vector<UsageGossip::Entry> ApplyCounters(
      const std::vector<UsageGossip::Entry>& entries);

 private:
  bool from_start_;
  std::unordered_map<uint64_t, TeamQuota::Use> known_;
};

}  // namespace pimento
