// Clocks by which an archive member keeps its records.
//
// A member counts the life of its records by its own uptime, summed over its
// runs: time for which the process was not there does not count, so that no
// step of the wall clock makes it forget a record. By the wall clock it decides
// what it still hands to other members: after a long absence it must not bring
// back what the others have let expire.
#pragma once

#include <algorithm>
#include <cstdint>

namespace pimento {

struct ArchiveTime {
  // Milliseconds for which the member has run since its disk was new.
  int64_t uptime_ms = 0;
  // Unix time, milliseconds.
  int64_t unix_ms = 0;
};

// The end of a record's retention, by both clocks.
struct ArchiveLifetime {
  int64_t uptime_ms = 0;
  int64_t unix_ms = 0;

  static ArchiveLifetime From(ArchiveTime now, int64_t ms) {
    return {.uptime_ms = now.uptime_ms + ms, .unix_ms = now.unix_ms + ms};
  }
  // True when this one ends no earlier than `other` by either clock.
  bool Covers(const ArchiveLifetime& other) const {
    return uptime_ms >= other.uptime_ms && unix_ms >= other.unix_ms;
  }
  void Extend(const ArchiveLifetime& other) {
    uptime_ms = std::max(uptime_ms, other.uptime_ms);
    unix_ms = std::max(unix_ms, other.unix_ms);
  }
  // What is left of it by the clock that has come further, milliseconds; 0 once
  // it has ended.
  int64_t RemainingMs(ArchiveTime now) const {
    return std::max<int64_t>(
        0, std::min(uptime_ms - now.uptime_ms, unix_ms - now.unix_ms));
  }
};

}  // namespace pimento
