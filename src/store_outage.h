// Distinguishes an outage of the platform's store from a store that only some
// hosts cannot reach.
//
// Load pattern: the store is down for longer than a revoked key may stay valid,
// under full load. A host that is cut off from the store alone must stop
// serving requests with keys, because the other hosts may have received a
// revocation. While no host of the system reaches the store, none of them can
// have received an operator's change, and stopping everywhere would turn an
// outage of the store into an outage for all teams. So a host continues only
// while it has current reports that nearly all hosts, across all zones, get no
// answer either. One report of a recent answer ends the outage.
//
//   9 hosts, 8 report "no answer for 3 s", one is silent  -> outage
//   9 hosts, 6 report it (a zone is cut off)              -> not confirmed
//   9 hosts, 8 report it, one had an answer just now      -> no outage
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pimento {

struct StoreOutageOptions {
  // Share of all hosts that must report the store as unreachable.
  double min_share = 0.75;
  // Time without an answer after which the store is unreachable for a host.
  int64_t lost_after_ms = 1'800;
  // Reports older than this are ignored.
  int64_t report_ttl_ms = 900;
};

class StoreOutage {
 public:
  explicit StoreOutage(StoreOutageOptions options) : options_(options) {}

  // At `as_of_ms`, `host` had been without an answer from the store for
  // `silent_ms`. Ignored when a newer report of that host is known.
  void AddReport(const std::string& host, int64_t silent_ms, int64_t as_of_ms);
  // Returns whether current reports confirm an outage at `now_ms`. `hosts`: the
  // number of hosts in the system, this one included.
  bool Confirmed(int64_t hosts, int64_t now_ms) const;

 private:
  struct OutageReport {
    int64_t silent_ms = 0;
    int64_t as_of_ms = 0;
  };
  StoreOutageOptions options_;
  std::map<std::string, OutageReport> reports_;
};

}  // namespace pimento
