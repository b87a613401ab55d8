#include "src/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace pimento {
namespace {

// Rendezvous weight of `host` for `shard`; the highest wins.
uint64_t Score(uint32_t shard, const std::string& host) {
  return XXH3_64bits_withSeed(host.data(), host.size(), shard);
}

// Sorts by descending score.
std::vector<Candidate> Ranked(uint32_t shard,
                              std::vector<Candidate> candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [shard](const Candidate& a, const Candidate& b) {
              const uint64_t score_a = Score(shard, a.member.host);
              const uint64_t score_b = Score(shard, b.member.host);
              return score_a != score_b ? score_a > score_b
                                        : a.member < b.member;
            });
  return candidates;
}

bool Contains(const std::vector<Member>& members, const std::string& host) {
  return std::any_of(members.begin(), members.end(),
                     [&](const Member& member) { return member.host == host; });
}

// Appends ranked candidates to `chosen` until it has `count` members: first
// only from zones that are not in `zones`, then from any zone.
void Fill(const std::vector<Candidate>& ranked, std::set<std::string> zones,
          size_t count, std::vector<Member>& chosen) {
  for (const bool new_zone_only : {true, false}) {
    for (const Candidate& candidate : ranked) {
      if (chosen.size() >= count) return;
      if (Contains(chosen, candidate.member.host)) continue;
      if (new_zone_only && zones.contains(candidate.zone)) continue;
      chosen.push_back(candidate.member);
      zones.insert(candidate.zone);
    }
  }
}

}  // namespace

std::vector<Member> ProposeMembers(uint32_t shard,
                                   const std::vector<Candidate>& candidates,
                                   size_t count) {
  std::vector<Member> chosen;
  Fill(Ranked(shard, candidates), {}, count, chosen);
  return chosen;
}

std::vector<Member> ProposeReplacement(
    uint32_t shard, const std::vector<Member>& present,
    const std::vector<Candidate>& candidates) {
  std::vector<Member> kept;
  std::set<std::string> zones;
  for (const Member& member : present) {
    const auto match =
        std::find_if(candidates.begin(), candidates.end(),
                     [&](const Candidate& c) { return c.member == member; });
    if (match == candidates.end()) continue;
    kept.push_back(member);
    zones.insert(match->zone);
  }
  Fill(Ranked(shard, candidates), zones, kMembersPerShard, kept);
  return kept;
}

uint32_t ShardOf(std::string_view name, uint32_t shards) {
  return static_cast<uint32_t>(XXH3_64bits(name.data(), name.size()) % shards);
}

}  // namespace pimento
