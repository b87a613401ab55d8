// The upstream processes that stated in a response that they are about to stop.
//
// Load pattern: an upstream begins to leave under load, and its entry in the
// store says so seconds later or never; what is sent to it meanwhile is likely
// to be cut off. A process is identified by the upstream's id and its start, so
// that a rewritten entry changes nothing and a new process under the id is not
// affected.
#pragma once

#include <cstdint>
#include <set>
#include <unordered_map>

#include "src/upstream_entry.h"

namespace pimento {

class LeavingProcesses {
 public:
  // Hash of the id and the start time of an upstream.
  static uint64_t HashOf(const UpstreamEntry& entry);

  // A response to this gateway stated it. Returns true the first time.
  bool AddStated(uint64_t process);
  // A peer reported it. Returns true unless it was known.
  bool AddReported(uint64_t process);
  bool Contains(uint64_t process) const { return known_.count(process) > 0; }
  // True when a response to this gateway stated it, so that peers may be told.
  bool StatedHere(uint64_t process) const;
  bool empty() const { return known_.empty(); }
  // Forgets processes that have not been among `present` for ten minutes: until
  // then, an entry that was away may return unchanged.
  void Sweep(const std::set<uint64_t>& present, int64_t now_ms);

 private:
  struct State {
    bool stated_here = false;
    // Since when the process has had no entry; 0 while it has one.
    int64_t absent_since_ms = 0;
  };
  std::unordered_map<uint64_t, State> known_;
};

}  // namespace pimento
