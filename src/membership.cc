#include "src/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace pimento {
namespace {

// A changed entry is sent this many times the binary logarithm of the fleet's
// size.
constexpr uint32_t kRetransmitFactor = 3;

// Orders by run of the process, then by the host's own counter. For the same
// counter a worse state wins, so that only the host itself can refute it.
bool Newer(const HostGossip& a, const HostGossip& b) {
  return std::tuple(a.info.boot, a.info.counter, a.state) >
         std::tuple(b.info.boot, b.info.counter, b.state);
}

}  // namespace

Membership::Membership(HostInfo self, MembershipOptions options, uint64_t seed)
    : self_(std::move(self)), options_(options), random_(seed) {
  self_.counter = 1;
}

void Membership::Seed(const std::string& host, const std::string& rpc_address,
                      int64_t now_ms) {
  if (host == self_.host || hosts_.contains(host)) return;
  Entry entry;
  entry.gossip.info.host = host;
  entry.gossip.info.rpc_address = rpc_address;
  entry.state_since_ms = now_ms;
  // An address alone is not worth gossiping: mark the entry as sent.
  entry.times_sent = RetransmitLimit();
  hosts_.emplace(host, std::move(entry));
  ++revision_;
}

std::optional<HostInfo> Membership::NextProbe() {
  if (round_.empty()) {
    for (const auto& [host, entry] : hosts_) round_.push_back(host);
    std::shuffle(round_.begin(), round_.end(), random_);
  }
  while (!round_.empty()) {
    const std::string host = round_.back();
    round_.pop_back();
    const auto it = hosts_.find(host);
    // Dead hosts are probed too, so that a host that comes back is found.
    if (it != hosts_.end()) return it->second.gossip.info;
  }
  return std::nullopt;
}

std::vector<HostInfo> Membership::Helpers(const std::string& host,
                                          size_t count) {
  std::vector<HostInfo> live;
  for (const auto& [name, entry] : hosts_) {
    if (name != host && entry.gossip.state == HostState::kAlive) {
      live.push_back(entry.gossip.info);
    }
  }
  std::shuffle(live.begin(), live.end(), random_);
  if (live.size() > count) live.resize(count);
  return live;
}

void Membership::ProbeFailed(const std::string& host, int64_t now_ms) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end() || it->second.gossip.state != HostState::kAlive) {
    return;
  }
  ++revision_;
  it->second.gossip.state = HostState::kSuspect;
  it->second.state_since_ms = now_ms;
  it->second.times_sent = 0;
}

std::vector<HostGossip> Membership::NextGossip() {
  std::vector<Entry*> fresh;
  for (auto& [host, entry] : hosts_) {
    if (entry.times_sent < RetransmitLimit()) fresh.push_back(&entry);
  }
  std::sort(fresh.begin(), fresh.end(), [](const Entry* a, const Entry* b) {
    return a->times_sent < b->times_sent;
  });
  // The entry about this host is always sent: it serves as a heartbeat.
  std::vector<HostGossip> gossip = {
      {.info = self_, .state = HostState::kAlive}};
  for (Entry* entry : fresh) {
    if (gossip.size() >= options_.max_entries_per_message) break;
    ++entry->times_sent;
    gossip.push_back(entry->gossip);
  }
  return gossip;
}

void Membership::ApplyGossip(const std::vector<HostGossip>& gossip,
                             int64_t now_ms) {
  for (const HostGossip& update : gossip) {
    if (update.info.host == self_.host) {
      Refute(update);
    } else {
      MergeEntry(update, now_ms);
    }
  }
}

void Membership::MergeEntry(const HostGossip& update, int64_t now_ms) {
  auto [it, inserted] = hosts_.try_emplace(update.info.host);
  Entry& entry = it->second;
  if (!inserted && !Newer(update, entry.gossip)) return;
  const bool changed = inserted || entry.gossip.state != update.state;
  entry.gossip = update;
  ++revision_;
  entry.times_sent = 0;
  if (changed) entry.state_since_ms = now_ms;
}

void Membership::Refute(const HostGossip& update) {
  if (update.state == HostState::kAlive || update.info.boot != self_.boot) {
    return;
  }
  if (update.info.counter >= self_.counter) {
    self_.counter = update.info.counter + 1;
    ++revision_;
  }
}

void Membership::Tick(int64_t now_ms) {
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    Entry& entry = it->second;
    const int64_t age_ms = now_ms - entry.state_since_ms;
    if (entry.gossip.state == HostState::kSuspect &&
        age_ms >= options_.suspicion_timeout_ms) {
      entry.gossip.state = HostState::kDead;
      ++revision_;
      entry.state_since_ms = now_ms;
      entry.times_sent = 0;
    }
    const bool expired = entry.gossip.state == HostState::kDead &&
                         age_ms >= options_.dead_retention_ms;
    if (expired) ++revision_;
    it = expired ? hosts_.erase(it) : std::next(it);
  }
}

void Membership::UpdateSelf(bool leaving, uint64_t generation,
                            std::vector<OwnedShard> owned) {
  if (leaving == self_.leaving && generation == self_.generation &&
      owned == self_.owned) {
    return;
  }
  self_.leaving = leaving;
  self_.generation = generation;
  self_.owned = std::move(owned);
  ++self_.counter;
  ++revision_;
}

std::vector<HostGossip> Membership::All() const {
  std::vector<HostGossip> all = {{.info = self_, .state = HostState::kAlive}};
  for (const auto& [host, entry] : hosts_) all.push_back(entry.gossip);
  return all;
}

uint32_t Membership::RetransmitLimit() const {
  return kRetransmitFactor *
         static_cast<uint32_t>(std::bit_width(hosts_.size() + 1));
}

}  // namespace pimento
