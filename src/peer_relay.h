// The way to a peer that this host cannot reach and others can.
//
// Load pattern: one link between two live hosts is cut, in one direction or in
// both. Membership rightly keeps both alive, so nothing moves away from either,
// and whoever needs state of the other would wait for as long as the link is
// cut. After a failed call, requests to that peer go through a third host for a
// while; after that the direct way is tried again.
//
//   h4 -> h1 fails at t = 0   requests of h4 for h1 go over h2, then h3, ...
//   t = 10 s                  h4 tries h1 itself
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimento {

class PeerRelays {
 public:
  // A call to `address` itself failed. One that a helper was to pass on says
  // nothing of the helper: its way may be cut, or the owner dead.
  void OnCallFailed(const std::string& address, int64_t now_ms);
  // True while the direct way to `address` is not worth a try. Nothing is moved
  // to such a host: what stops for the move would wait for its timeout.
  bool FailedRecently(const std::string& address, int64_t now_ms) const;
  // The peer to send to for `address`: itself, or a helper out of `live` that
  // is to pass the request on. Helpers take turns; one that failed lately is
  // left out. `self` is never chosen.
  std::string SelectHop(const std::string& address, const std::string& self,
                        const std::vector<std::string>& live, int64_t now_ms);

 private:
  // When calls to an address last failed.
  std::map<std::string, int64_t> lost_;
  size_t next_ = 0;
};

}  // namespace pimento
