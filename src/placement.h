// Proposes which hosts hold a shard, by rendezvous hashing spread over
// availability zones.
//
// Every host computes the same proposal from the same view. A proposal moves
// nothing by itself: ownership changes only through the shard protocol.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "src/shard_ids.h"

namespace pimento {

struct Candidate {
  Member member;
  std::string zone;
};

// Returns up to `count` members for `shard`, best first, in as many different
// zones as there are candidates for. Worked example with zones a, a, b and c:
// the best host of each of three zones, never the two of zone a while c has
// one.
std::vector<Member> ProposeMembers(uint32_t shard,
                                   const std::vector<Candidate>& candidates,
                                   size_t count = kMembersPerShard);

// Replaces the members of `present` that are not among `candidates`, keeping
// the order of those that stay. Newcomers go last and into zones not yet used.
std::vector<Member> ProposeReplacement(
    uint32_t shard, const std::vector<Member>& present,
    const std::vector<Candidate>& candidates);

// The shard that keeps the state named `name`, of `shards` in all.
uint32_t ShardOf(std::string_view name, uint32_t shards);

}  // namespace pimento
