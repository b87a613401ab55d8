#include "src/watch_duty.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace pimento {

bool WatchDuty::Avoided(const std::string& host, int64_t now_ms) const {
  const auto it = failed_.find(host);
  return it != failed_.end() && now_ms - it->second < options_.avoid_ms;
}

std::string WatchDuty::LongestFailed(
    const std::vector<std::string>& hosts) const {
  const auto failed_ms = [this](const std::string& host) {
    const auto it = failed_.find(host);
    return it == failed_.end() ? INT64_MIN : it->second;
  };
  return *std::min_element(hosts.begin(), hosts.end(),
                           [&](const std::string& a, const std::string& b) {
                             return failed_ms(a) < failed_ms(b);
                           });
}

std::string WatchDuty::Ask(std::vector<std::string> sound,
                           int64_t now_ms) const {
  const auto watchers_of = [this](std::vector<std::string> hosts) {
    if (hosts.size() > options_.watchers) hosts.resize(options_.watchers);
    return hosts;
  };
  const auto holds_self = [this](const std::vector<std::string>& hosts) {
    return std::find(hosts.begin(), hosts.end(), self_) != hosts.end();
  };
  std::sort(sound.begin(), sound.end());
  const bool store_failed = Avoided({}, now_ms);
  const bool watcher = holds_self(watchers_of(sound));
  if (store_failed) std::erase(sound, self_);
  const std::vector<std::string> asked = watchers_of(std::move(sound));
  if (holds_self(asked)) return {};
  std::vector<std::string> rested = asked;
  std::erase_if(rested,
                [&](const std::string& host) { return Avoided(host, now_ms); });
  if (!rested.empty()) {
    return rested[XXH3_64bits(self_.data(), self_.size()) % rested.size()];
  }
  // Nobody here hears the store. Its watchers go on trying for all.
  const bool leaves_it_to_them = store_failed && !watcher && !asked.empty();
  return leaves_it_to_them ? LongestFailed(asked) : std::string();
}

void WatchDuty::Failed(const std::string& host, int64_t now_ms) {
  failed_[host] = now_ms;
}

}  // namespace pimento
