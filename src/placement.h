// Places shards on hosts by rendezvous hashing, spread over availability zones.
//
// Every host computes the same proposal from the same view. A proposal by
// itself moves nothing: ownership changes only through the shard protocol.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "src/shard_ids.h"

namespace pimento {

// A member that may hold shards, and the zone of its host.
struct Candidate {
  Member member;
  std::string zone;
};

// Returns up to `count` members for `shard`, highest score first, in as many
// different zones as possible. Example: of candidates in zones a, a, b and c it
// returns the best host of each of the three zones, never both hosts of zone a.
std::vector<Member> ProposeMembers(uint32_t shard,
                                   const std::vector<Candidate>& candidates,
                                   size_t count = kMembersPerShard);

// Replaces the members of `present` that are not among `candidates`, keeping
// the order of those that stay. New members are added at the end, preferably
// from zones not used yet.
std::vector<Member> ProposeReplacement(
    uint32_t shard, const std::vector<Member>& present,
    const std::vector<Candidate>& candidates);

// Returns the shard, of `shards` in all, that stores the state named `name`.
uint32_t ShardOf(std::string_view name, uint32_t shards);

}  // namespace pimento
