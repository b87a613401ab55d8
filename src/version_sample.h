// What gateways tell each other about a service that is moved to another
// version.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace pimento {

// Answers are counted by their time in steps of half an octave: bucket b holds
// times of 2^(b/2) up to 2^((b+1)/2) milliseconds.
inline constexpr size_t kTimeBuckets = 28;

// Counters of one version of a service on one route, since the sender knows the
// order. Service, version and route are hashes of their names.
struct VersionSample {
  uint64_t service = 0;
  uint64_t version = 0;
  uint64_t route = 0;
  int64_t answers = 0;
  int64_t failures = 0;
  // Sum of the answers' durations.
  int64_t total_ms = 0;
  // Answers by their time per event, or as a whole where there are no events.
  std::array<int64_t, kTimeBuckets> times = {};
};

// Which state of an order the sender follows.
struct VersionStep {
  // HashName() of the service.
  uint64_t service = 0;
  // Store revision of the order as last read.
  uint64_t revision = 0;
  // The sender's calls in flight on upstreams of the versions to be replaced.
  int64_t old_in_flight = 0;
};

}  // namespace pimento
