// What the gateways saw of the versions of one service while it is moved to
// another version, and whether the newer one is worse.
//
// Load pattern: a small share of a service's requests goes to a new version, of
// which a portion of the answers may be failures or several times slower: from
// the start or later, under load, or on one route. Both versions meet bursts,
// faulty upstreams and slow hosts meanwhile. So both are compared over the same
// seconds, route by route, over a short, a long and the whole time, and a
// difference counts only if it is large and unlikely to be chance:
//
//   failures  old 2 of 400, target 5 of 60: the target fails more
//   times     one in 200 old answers takes over 100 ms, 9 of 60 of the target
//             take over 200 ms: the target is slower
//   one upstream crashes under 6 calls: all fail at one moment, which counts as
//             one failure
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/version_sample.h"

namespace pimento {

struct AnswerCounts {
  int64_t answers = 0;
  int64_t failures = 0;
  // Moments (see RolloutEvidence::Tick) in which there were failures.
  int64_t failing_ticks = 0;
  std::array<int64_t, kTimeBuckets> times = {};

  void Add(const AnswerCounts& other);
  void Subtract(const AnswerCounts& other);
};

struct VersionCounts {
  AnswerCounts old_versions = {};
  AnswerCounts target = {};
};

// By HashName() of the route; 0 stands for all routes together.
using RouteCounts = std::map<uint64_t, VersionCounts>;

// The bucket of AnswerCounts::times for an answer of `ms`.
size_t TimeBucket(double ms);

enum class VersionFault : uint8_t { kNone, kFailures, kSlow };
std::string_view Name(VersionFault fault);

// The figures behind a decision.
struct VersionComparison {
  VersionFault fault = VersionFault::kNone;
  // HashName() of the route; 0 for all routes together.
  uint64_t route = 0;
  // Answers, and those among them that are failures or slow.
  int64_t target_answers = 0;
  int64_t target_bad = 0;
  int64_t old_answers = 0;
  int64_t old_bad = 0;
};

// Compares what both versions did in `window`. Where the old versions answered
// too little in it, what they did in `whole` is taken instead.
VersionComparison CompareVersions(const RouteCounts& window,
                                  const RouteCounts& whole);

class RolloutEvidence {
 public:
  // Sets the versions to compare, by hash.
  void set_versions(uint64_t target, std::set<uint64_t> old_versions);
  // A gateway's counters; they only grow while its process runs. Reports that
  // cannot be true are dropped and counted.
  void OnReport(const std::string& host, uint64_t boot,
                const std::vector<VersionSample>& samples);
  // Ends a moment. Call it every kTickMs.
  void Tick();
  VersionComparison Compare() const;
  // Answers so far.
  int64_t answers() const;
  int64_t target_answers() const;
  // Reports dropped.
  int64_t dropped() const { return dropped_; }

  static constexpr int64_t kTickMs = 250;

 private:
  struct Reported {
    uint64_t boot = 0;
    // Last counters, by version and route.
    std::map<std::pair<uint64_t, uint64_t>, AnswerCounts> counts = {};
  };

  uint64_t target_ = 0;
  std::set<uint64_t> old_versions_;
  std::map<std::string, Reported> hosts_;
  RouteCounts whole_;
  // Counts at the ends of the last moments, oldest first.
  std::deque<RouteCounts> history_;
  int64_t dropped_ = 0;
};

}  // namespace pimento
