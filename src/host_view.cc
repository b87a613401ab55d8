#include "src/host_view.h"

#include <utility>

namespace pimento {

HostView::HostView(std::vector<HostGossip> hosts, std::string self)
    : hosts_(std::move(hosts)), self_(std::move(self)) {
  std::unordered_map<uint32_t, Epoch> best;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    by_name_[hosts_[i].info.host] = i;
    if (hosts_[i].state == HostState::kDead) continue;
    for (const OwnedShard& owned : hosts_[i].info.owned) {
      const auto [it, first] = best.emplace(owned.shard, owned.epoch);
      if (!first && owned.epoch <= it->second) continue;
      it->second = owned.epoch;
      owners_[owned.shard] = i;
    }
  }
}

const HostGossip* HostView::Find(const std::string& host) const {
  const auto it = by_name_.find(host);
  return it == by_name_.end() ? nullptr : &hosts_[it->second];
}

bool HostView::MayBeAlive(const Member& member) const {
  const HostGossip* known = Find(member.host);
  if (known == nullptr || known->state == HostState::kDead) return false;
  // A host known only by its address (boot 0) has not published its run yet.
  return known->info.boot == member.boot || known->info.boot == 0;
}

bool HostView::Restarted(const Member& member) const {
  const HostGossip* known = Find(member.host);
  return known != nullptr && known->info.boot > member.boot;
}

std::string HostView::RpcAddress(const std::string& host) const {
  const HostGossip* known = Find(host);
  return known == nullptr ? "" : known->info.rpc_address;
}

const HostGossip* HostView::OwnerOf(uint32_t shard) const {
  const auto it = owners_.find(shard);
  return it == owners_.end() ? nullptr : &hosts_[it->second];
}

std::vector<Candidate> HostView::Candidates(const Document& document) const {
  std::vector<Candidate> candidates;
  for (const HostGossip& host : hosts_) {
    const HostInfo& info = host.info;
    const bool usable = host.state == HostState::kAlive && !info.leaving &&
                        info.boot != 0 &&
                        InService(document, info.host, info.zone);
    if (!usable) continue;
    candidates.push_back(
        {.member = {.host = info.host, .boot = info.boot}, .zone = info.zone});
  }
  return candidates;
}

bool InService(const Document& document, const std::string& host,
               const std::string& zone) {
  return !document.drained_hosts.contains(host) &&
         !document.lost_hosts.contains(host) &&
         !document.drained_zones.contains(zone);
}

}  // namespace pimento
