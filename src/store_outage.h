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
// answer either. One report of a host with nothing overdue ends the outage.
//
// A report states for how long an answer of the store has been overdue (see
// store_contact.h), not when the last one came: a host that makes few calls
// must not be taken for one that has lost the store. Rejections count as
// missing answers, because a store that rejects every host serves none of them.
//
//   9 hosts, 8 report "overdue for 3 s", one is silent    -> outage for 3 s
//   9 hosts, 6 report it (a zone is cut off)              -> not confirmed
//   9 hosts, 8 report it, one has nothing overdue         -> no outage
//   9 hosts, 7 report it, two "overdue for 20 s"          -> outage for 3 s
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

struct StoreOutageOptions {
  // Share of all hosts that must report the store as unreachable.
  double min_share = 0.75;
  // The store is unreachable for a host once an answer is overdue for longer.
  int64_t lost_after_ms = 500;
  // Reports older than this are ignored.
  int64_t report_ttl_ms = 900;
};

// Each host keeps a watch of the store that waits no longer than this, so that
// all know of an outage while the state that they have may still be used. Also
// the longest wait of a watch of the desired state, each answer of which
// confirms that no key was revoked. `revoke_ms`: the time allowed for revoking
// a key.
std::chrono::milliseconds MaxContactWait(int64_t revoke_ms);

class StoreOutage {
 public:
  explicit StoreOutage(StoreOutageOptions options) : options_(options) {}

  // At `as_of_ms`, an answer of the store to `host` had been overdue for
  // `overdue_ms`. Ignored when a newer report of that host is known.
  void AddReport(const std::string& host, int64_t overdue_ms, int64_t as_of_ms);
  // Returns for how long the store has been unreachable for nearly all hosts,
  // if current reports confirm an outage at `now_ms`. A few hosts may have lost
  // it before, or have started since. `hosts`: the number of hosts in the
  // system, this one included.
  std::optional<int64_t> DurationMs(int64_t hosts, int64_t now_ms) const;
  // The hosts whose current reports say that the store is unreachable, for the
  // log.
  std::vector<std::string> LostHosts(int64_t now_ms) const;

 private:
  struct OutageReport {
    int64_t overdue_ms = 0;
    int64_t as_of_ms = 0;
  };
  bool IsCurrent(const OutageReport& report, int64_t now_ms) const;
  bool IsLost(const OutageReport& report) const;

  StoreOutageOptions options_;
  std::map<std::string, OutageReport> reports_;
};

}  // namespace pimento
