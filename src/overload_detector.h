// Detects that this host is overloaded, from how late its timers fire.
//
// Load pattern: one host of several becomes slow for seconds while callers keep
// arriving. Its answers are late although the other hosts have capacity. A host
// whose timers fire late reports itself as overloaded, and callers are directed
// to other hosts until it has recovered. When many hosts are overloaded at once
// none is excluded, since there is no spare capacity to move to.
//
//   timers late by 2, 2, 40, 60, 55 ms  -> overloaded from the fifth on
#pragma once

#include <cstddef>
#include <cstdint>

namespace pimento {

struct OverloadOptions {
  // Average timer lateness, in milliseconds, at which a host becomes overloaded
  // and below which it counts as recovered.
  double enter_threshold_ms = 12;
  double exit_threshold_ms = 5;
  // Weight of a new sample in the exponential moving average.
  double weight = 0.12;
  // Minimum time for which a host stays overloaded, since callers need that
  // long to move to other hosts.
  int64_t hold_ms = 5'000;
};

class OverloadDetector {
 public:
  explicit OverloadDetector(OverloadOptions options) : options_(options) {}

  // Adds one sample: a timer fired `late_ms` milliseconds after it was due.
  void Observe(double late_ms, int64_t now_ms);
  bool overloaded() const { return overloaded_; }
  double average_ms() const { return average_ms_; }

 private:
  OverloadOptions options_;
  double average_ms_ = 0;
  bool overloaded_ = false;
  int64_t overloaded_since_ms_ = 0;
};

// Returns whether the `overloaded` hosts among `ready` ones may be excluded
// from the directory that callers connect by.
bool MayExcludeOverloaded(size_t overloaded, size_t ready);

}  // namespace pimento
