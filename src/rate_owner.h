// Which gateway decides on a rate limit that all gateways share.
//
// Load pattern: tens or hundreds of gateways receive requests of one team, and
// each sees one in a while. If each of them decides by itself, all may admit
// what the bucket holds before they hear of each other. So each limit has an
// owner among the gateways in contact, chosen by rendezvous hashing: every
// gateway computes the same owner from the same set of hosts, and a host that
// leaves moves only its own limits. The next host in the order is the
// stand-in, which is asked when the owner does not reply.
//
//   hosts a, b, c; limit 7: order b, a, c   b decides, a stands in
//   b does not reply                        a is asked first for a second
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimento {

class RateOwners {
 public:
  // Sets the gateways that can decide.
  void set_hosts(const std::vector<std::string>& hosts);
  // The first `count` hosts in the order of `limit`, fewer when there are not
  // as many; among them, those that recently did not reply come last.
  std::vector<std::string> Ranked(uint64_t limit, size_t count,
                                  int64_t now_ms) const;
  // True when `host` is the first in the order of `limit`, whether or not the
  // hosts reply.
  bool Owns(const std::string& host, uint64_t limit) const;
  void OnNoReply(const std::string& host, int64_t now_ms);
  void OnReply(const std::string& host);

 private:
  struct Host {
    std::string name;
    uint64_t hash = 0;
  };
  std::vector<Host> hosts_;
  // Until when a host that did not reply comes last.
  std::unordered_map<std::string, int64_t> suspect_until_ms_;
};

}  // namespace pimento
