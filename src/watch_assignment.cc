#include "src/watch_assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace pimento {

bool WatchAssignment::InBackoff(const std::string& host, int64_t now_ms) const {
  const auto it = last_failure_ms_.find(host);
  return it != last_failure_ms_.end() &&
         now_ms - it->second < options_.backoff_ms;
}

std::string WatchAssignment::LeastRecentlyFailed(
    const std::vector<std::string>& hosts) const {
  const auto failed_ms = [this](const std::string& host) {
    const auto it = last_failure_ms_.find(host);
    return it == last_failure_ms_.end() ? INT64_MIN : it->second;
  };
  return *std::min_element(hosts.begin(), hosts.end(),
                           [&](const std::string& a, const std::string& b) {
                             return failed_ms(a) < failed_ms(b);
                           });
}

std::string WatchAssignment::ChooseSource(std::vector<std::string> ready_hosts,
                                          int64_t now_ms) const {
  const auto choose_watchers = [this](std::vector<std::string> hosts) {
    if (hosts.size() > options_.watchers) hosts.resize(options_.watchers);
    return hosts;
  };
  const auto contains_self = [this](const std::vector<std::string>& hosts) {
    return std::find(hosts.begin(), hosts.end(), self_) != hosts.end();
  };
  std::sort(ready_hosts.begin(), ready_hosts.end());
  const bool store_failed = InBackoff({}, now_ms);
  const bool is_watcher = contains_self(choose_watchers(ready_hosts));
  if (store_failed) std::erase(ready_hosts, self_);
  const std::vector<std::string> watchers =
      choose_watchers(std::move(ready_hosts));
  if (contains_self(watchers)) return {};
  std::vector<std::string> available = watchers;
  std::erase_if(available, [&](const std::string& host) {
    return InBackoff(host, now_ms);
  });
  if (!available.empty()) {
    return available[XXH3_64bits(self_.data(), self_.size()) %
                     available.size()];
  }
  // No gateway of this zone reaches the store. Its watchers keep retrying it on
  // behalf of the others, which bounds the calls during an outage.
  const bool defer_to_watchers =
      store_failed && !is_watcher && !watchers.empty();
  return defer_to_watchers ? LeastRecentlyFailed(watchers) : std::string();
}

void WatchAssignment::NoteFailure(const std::string& host, int64_t now_ms) {
  last_failure_ms_[host] = now_ms;
}

}  // namespace pimento
