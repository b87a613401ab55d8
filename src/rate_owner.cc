#include "src/rate_owner.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/name_hash.h"

namespace pimento {
namespace {

constexpr int64_t kSuspectMs = 1'000;

uint64_t Weight(uint64_t host, uint64_t limit) {
  const uint64_t pair[2] = {host, limit};
  return XXH3_64bits(pair, sizeof pair);
}

}  // namespace

void RateOwners::set_hosts(const std::vector<std::string>& hosts) {
  hosts_.clear();
  for (const std::string& host : hosts) {
    hosts_.push_back({.name = host, .hash = HashName(host)});
  }
}

std::vector<std::string> RateOwners::Ranked(uint64_t limit, size_t count,
                                            int64_t now_ms) const {
  std::vector<std::pair<uint64_t, const Host*>> order;
  order.reserve(hosts_.size());
  for (const Host& host : hosts_) {
    order.emplace_back(Weight(host.hash, limit), &host);
  }
  const size_t first = std::min(count, order.size());
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(first);
  std::partial_sort(
      order.begin(), end, order.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::stable_partition(order.begin(), end, [&](const auto& item) {
    const auto suspect = suspect_until_ms_.find(item.second->name);
    return suspect == suspect_until_ms_.end() || suspect->second <= now_ms;
  });
  std::vector<std::string> ranked;
  for (auto it = order.begin(); it != end; ++it) {
    ranked.push_back(it->second->name);
  }
  return ranked;
}

bool RateOwners::Owns(const std::string& host, uint64_t limit) const {
  const auto owner = std::max_element(
      hosts_.begin(), hosts_.end(), [limit](const Host& a, const Host& b) {
        return Weight(a.hash, limit) < Weight(b.hash, limit);
      });
  return owner != hosts_.end() && owner->name == host;
}

void RateOwners::OnNoReply(const std::string& host, int64_t now_ms) {
  suspect_until_ms_[host] = now_ms + kSuspectMs;
}

void RateOwners::OnReply(const std::string& host) {
  suspect_until_ms_.erase(host);
}

}  // namespace pimento
