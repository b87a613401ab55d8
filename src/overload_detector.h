// Whether this host keeps up with its work, from how late its timers fire.
//
// Load pattern: one host of several turns slow for seconds while callers keep
// coming. What it serves is late, and the others have room. A host that finds
// its timers late says so, and callers are sent elsewhere until it keeps up;
// not when many are late at once, since then there is no elsewhere.
//
//   timers 2 ms late  2 ms  40 ms  60 ms  55 ms   -> overloaded after the third
#pragma once

#include <cstddef>
#include <cstdint>

namespace pimento {

struct OverloadOptions {
  // Average lateness from which a host is overloaded, and below which it is not
  // any more, milliseconds.
  double enter_threshold_ms = 12;
  double exit_threshold_ms = 5;
  // Weight of a new sample in the average.
  double weight = 0.12;
  // A host stays overloaded at least this long: callers need as long to move.
  int64_t hold_ms = 5'000;
};

class OverloadDetector {
 public:
  explicit OverloadDetector(OverloadOptions options) : options_(options) {}

  void Observe(double late_ms, int64_t now_ms);
  bool overloaded() const { return overloaded_; }
  double average_ms() const { return average_ms_; }

 private:
  OverloadOptions options_;
  double average_ms_ = 0;
  bool overloaded_ = false;
  int64_t overloaded_since_ms_ = 0;
};

// True when `overloaded` of `ready` hosts may be left out of the directory.
bool MayExcludeOverloaded(size_t overloaded, size_t ready);

}  // namespace pimento
