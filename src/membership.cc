#include "src/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace pimento {
namespace {

// Each piece of news is told this many times the logarithm of the fleet's size.
constexpr uint32_t kTellFactor = 3;

bool Newer(const HostNews& a, const HostNews& b) {
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
  entry.news.info.host = host;
  entry.news.info.rpc_address = rpc_address;
  entry.since_ms = now_ms;
  // Nobody else gains from an address without news.
  entry.times_told = TellLimit();
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
    // The dead are probed too: a host that comes back is found again.
    if (it != hosts_.end()) return it->second.news.info;
  }
  return std::nullopt;
}

std::vector<HostInfo> Membership::Helpers(const std::string& host,
                                          size_t count) {
  std::vector<HostInfo> live;
  for (const auto& [name, entry] : hosts_) {
    if (name != host && entry.news.state == HostState::kAlive) {
      live.push_back(entry.news.info);
    }
  }
  std::shuffle(live.begin(), live.end(), random_);
  if (live.size() > count) live.resize(count);
  return live;
}

void Membership::ProbeFailed(const std::string& host, int64_t now_ms) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end() || it->second.news.state != HostState::kAlive) return;
  ++revision_;
  it->second.news.state = HostState::kSuspect;
  it->second.since_ms = now_ms;
  it->second.times_told = 0;
}

std::vector<HostNews> Membership::News() {
  std::vector<Entry*> fresh;
  for (auto& [host, entry] : hosts_) {
    if (entry.times_told < TellLimit()) fresh.push_back(&entry);
  }
  std::sort(fresh.begin(), fresh.end(), [](const Entry* a, const Entry* b) {
    return a->times_told < b->times_told;
  });
  // A host always tells about itself: that is its heartbeat.
  std::vector<HostNews> news = {{.info = self_, .state = HostState::kAlive}};
  for (Entry* entry : fresh) {
    if (news.size() >= options_.news_per_message) break;
    ++entry->times_told;
    news.push_back(entry->news);
  }
  return news;
}

void Membership::Learn(const std::vector<HostNews>& news, int64_t now_ms) {
  for (const HostNews& item : news) {
    if (item.info.host == self_.host) {
      Refute(item);
    } else {
      LearnOne(item, now_ms);
    }
  }
}

void Membership::LearnOne(const HostNews& news, int64_t now_ms) {
  auto [it, inserted] = hosts_.try_emplace(news.info.host);
  Entry& entry = it->second;
  if (!inserted && !Newer(news, entry.news)) return;
  const bool changed = inserted || entry.news.state != news.state;
  entry.news = news;
  ++revision_;
  entry.times_told = 0;
  if (changed) entry.since_ms = now_ms;
}

void Membership::Refute(const HostNews& news) {
  if (news.state == HostState::kAlive || news.info.boot != self_.boot) return;
  if (news.info.counter >= self_.counter) {
    self_.counter = news.info.counter + 1;
    ++revision_;
  }
}

void Membership::Tick(int64_t now_ms) {
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    Entry& entry = it->second;
    const int64_t age_ms = now_ms - entry.since_ms;
    if (entry.news.state == HostState::kSuspect &&
        age_ms >= options_.suspect_ms) {
      entry.news.state = HostState::kDead;
      ++revision_;
      entry.since_ms = now_ms;
      entry.times_told = 0;
    }
    const bool forget =
        entry.news.state == HostState::kDead && age_ms >= options_.forget_ms;
    if (forget) ++revision_;
    it = forget ? hosts_.erase(it) : std::next(it);
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

std::vector<HostNews> Membership::All() const {
  std::vector<HostNews> all = {{.info = self_, .state = HostState::kAlive}};
  for (const auto& [host, entry] : hosts_) all.push_back(entry.news);
  return all;
}

uint32_t Membership::TellLimit() const {
  return kTellFactor * static_cast<uint32_t>(std::bit_width(hosts_.size() + 1));
}

}  // namespace pimento
