// Tells an outage of the platform's store from a store that only some hosts
// cannot reach.
//
// Load pattern: the store is gone for longer than a withdrawn key may go on
// working, under full load. A host that alone cannot reach the store must stop
// serving keyed requests: others may be told of a withdrawal. While no host of
// the system reaches it, no operator's change can have been told to any of
// them, and stopping everywhere would turn an outage of the store into one of
// all teams. So a host goes on only while it has proof that nearly all hosts,
// over all zones, have had no answer either; one host that hears the store ends
// it.
//
//   9 hosts, 8 say "no answer for 3 s", one is silent  -> outage
//   9 hosts, 6 say so (a zone is cut off)              -> no proof
//   9 hosts, 8 say so, one had an answer just now      -> no outage
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pimento {

struct StoreOutageOptions {
  // Share of all hosts that must say so.
  double min_share = 0.75;
  // Time without an answer after which a host has lost the store.
  int64_t lost_after_ms = 1'800;
  // A host's word counts this long.
  int64_t report_ttl_ms = 900;
};

class StoreOutage {
 public:
  explicit StoreOutage(StoreOutageOptions options) : options_(options) {}

  // At `as_of_ms`, `host` had no answer from the store for `silent_ms`.
  void AddReport(const std::string& host, int64_t silent_ms, int64_t as_of_ms);
  // `hosts`: all that belong to the system, this one included.
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
