// Which gateways watch the platform's store themselves, and whom the others
// ask instead.
//
// Load pattern: tens of gateways a zone, each change of an object told to every
// one of them, while the store bears and charges each call. A few gateways of
// each zone watch the store; the others watch one of those, over the zone's own
// network. Every gateway decides for itself from whom it hears: two that
// disagree cost a call, never a change. Whoever gets no fresh word from its
// watcher tries the next one, and then the store itself.
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

struct WatchDutyOptions {
  // Gateways of a zone that watch the store themselves.
  size_t watchers = 2;
  // A watcher that failed is not asked again for this long.
  int64_t avoid_ms = 3'000;
};

class WatchDuty {
 public:
  WatchDuty(std::string self, WatchDutyOptions options)
      : self_(std::move(self)), options_(options) {}

  // The gateway to ask; empty when this one is to ask the store. `sound`: names
  // of the gateways of this zone that are heard and ready, this one among them
  // when it is.
  std::string Ask(std::vector<std::string> sound, int64_t now_ms) const;
  // `host` did not answer, or has no fresh word of the store.
  void Failed(const std::string& host, int64_t now_ms);
  // The store did not answer this gateway.
  void StoreFailed(int64_t now_ms) { Failed({}, now_ms); }

 private:
  std::string LongestFailed(const std::vector<std::string>& hosts) const;
  bool Avoided(const std::string& host, int64_t now_ms) const;

  std::string self_;
  WatchDutyOptions options_;
  // When a watcher last failed; under the empty name, the store.
  std::map<std::string, int64_t> failed_;
};

}  // namespace pimento
