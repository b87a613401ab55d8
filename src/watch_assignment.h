// Decides which gateways watch the platform's store directly (the watchers) and
// which watcher each of the other gateways follows.
//
// Load pattern: a zone has tens of gateways and every one needs each change of
// an object, while the store's capacity is limited and each call to it is
// billed. A few gateways of each zone watch the store; the others follow one of
// those over the zone's own network. Every gateway decides locally, without
// agreement: two gateways that disagree cost an extra call but never lose a
// change. A gateway whose watcher has no fresh data tries the next one, and
// then the store itself.
//
//   zone a, 2 watchers:          a1 and a2 watch the store; a3 follows a1, a4
//                                follows a2
//   a1 is silent:                a2 and a3 watch the store; a4 follows a2 or a3
//   only a1 loses the store:     a1 follows a2 or a3 and retries the store from
//                                time to time
//   the store is unreachable:    a1 and a2 keep retrying it; a3 and a4 try it
//                                once every 3 s and learn of its return from a1
//                                or a2
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimento {

struct WatchAssignmentOptions {
  // Number of gateways of a zone that watch the store directly.
  size_t watchers = 2;
  // A source that failed is avoided for this long.
  int64_t backoff_ms = 3'000;
};

class WatchAssignment {
 public:
  WatchAssignment(std::string self, WatchAssignmentOptions options)
      : self_(std::move(self)), options_(options) {}

  // Returns the gateway to follow, or an empty string for the store itself.
  // `ready_hosts`: the reachable and ready gateways of this zone; includes this
  // one if it is ready.
  std::string ChooseSource(std::vector<std::string> ready_hosts,
                           int64_t now_ms) const;
  // `host` did not answer or has no fresh data. An empty name is the store.
  void NoteFailure(const std::string& host, int64_t now_ms);
  // The store did not answer this gateway.
  void NoteStoreFailure(int64_t now_ms) { NoteFailure({}, now_ms); }

 private:
  std::string LeastRecentlyFailed(const std::vector<std::string>& hosts) const;
  bool InBackoff(const std::string& host, int64_t now_ms) const;

  std::string self_;
  WatchAssignmentOptions options_;
  // Time of the last failure by host; the empty name is the store.
  std::map<std::string, int64_t> last_failure_ms_;
};

}  // namespace pimento
