// Relays requests through a third host when a peer is unreachable from here.
//
// Load pattern: the link between two live hosts is down, in one direction or
// both. Membership correctly keeps both hosts alive, because others still reach
// them, so no shard moves away from either. Without a relay, every request that
// needs state of the other host would wait until the link is up again. After a
// failed call, requests to that peer go through a third host for a while; then
// the direct connection is tried again.
//
//   h4 -> h1 fails at t = 0   requests from h4 to h1 go via h2, then h3, ...
//   t = 10 s                  h4 tries h1 directly
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimento {

class PeerRelays {
 public:
  // Records a failed direct call to `address`. Not for a relayed request: that
  // says nothing about the relay, as its own link to the owner may be down, or
  // the owner dead.
  void OnCallFailed(const std::string& address, int64_t now_ms);
  // True for a while after a direct call to `address` failed. No shard is moved
  // to such a host: the shard stops for the move, and would stay stopped until
  // the call times out.
  bool FailedRecently(const std::string& address, int64_t now_ms) const;
  // Returns the address to send a request for `address` to: itself, or a relay
  // from `live`. Relays take turns; those that failed recently are skipped, and
  // `self` is never selected. Returns `address` if no relay is left.
  std::string SelectHop(const std::string& address, const std::string& self,
                        const std::vector<std::string>& live, int64_t now_ms);

 private:
  // Time of the last failed direct call, by address.
  std::map<std::string, int64_t> last_failure_ms_;
  size_t next_ = 0;
};

}  // namespace pimento
