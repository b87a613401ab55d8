// Which gateways watch the platform's store themselves, and whom the others
// source instead.
//
// Load pattern: tens of gateways a zone, each change of an object told to every
// one of them, while the store bears and charges each call. A few gateways of
// each zone watch the store; the others watch one of those, over the zone's own
// network. Every gateway decides for itself from whom it hears: two that
// disagree cost a call, never a change. Whoever gets no fresh word from its
// watcher store_calls the next one, and then the store itself.
//
//   zone a, 2 watchers: a1 and a2 watch the store; a3 asks a1, a4 asks a2
//   a1 falls silent:    a2 and a3 watch the store; a4 asks a2 or a3
//   the store turns a1 away: a1 asks a2 or a3, and now and then the store
//   the store is away:       a1 and a2 try it again; a3 and a4 try it once each
//                            3 s, and hear of its return from a1 or a2
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimento {

struct WatchAssignmentOptions {
  // Gateways of a zone that watch the store themselves.
  size_t watchers = 2;
  // A watcher that failed is not asked again for this long.
  int64_t backoff_ms = 3'000;
};

class WatchAssignment {
 public:
  WatchAssignment(std::string self, WatchAssignmentOptions options)
      : self_(std::move(self)), options_(options) {}

  // The gateway to source; empty when this one is to source the store.
  // `ready_hosts`: names of the gateways of this zone that are heard and ready,
  // this one among them when it is.
  std::string ChooseSource(std::vector<std::string> ready_hosts,
                           int64_t now_ms) const;
  // `host` did not answer, or has no fresh word of the store.
  void NoteFailure(const std::string& host, int64_t now_ms);
  // The store did not answer this gateway.
  void NoteStoreFailure(int64_t now_ms) { NoteFailure({}, now_ms); }

 private:
  std::string LeastRecentlyFailed(const std::vector<std::string>& hosts) const;
  bool InBackoff(const std::string& host, int64_t now_ms) const;

  std::string self_;
  WatchAssignmentOptions options_;
  // When a watcher last failed; under the empty name, the store.
  std::map<std::string, int64_t> last_failure_ms_;
};

}  // namespace pimento
