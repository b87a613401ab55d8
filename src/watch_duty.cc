#include "src/watch_duty.h"

#include <xxhash.h>

#include <algorithm>

namespace pimento {

bool WatchDuty::Avoided(const std::string& host, int64_t now_ms) const {
  const auto it = failed_.find(host);
  return it != failed_.end() && now_ms - it->second < options_.avoid_ms;
}

std::string WatchDuty::Ask(std::vector<std::string> sound,
                           int64_t now_ms) const {
  if (Avoided({}, now_ms)) std::erase(sound, self_);
  std::sort(sound.begin(), sound.end());
  if (sound.size() > options_.watchers) sound.resize(options_.watchers);
  if (std::binary_search(sound.begin(), sound.end(), self_)) return {};
  std::erase_if(sound,
                [&](const std::string& host) { return Avoided(host, now_ms); });
  if (sound.empty()) return {};
  return sound[XXH3_64bits(self_.data(), self_.size()) % sound.size()];
}

void WatchDuty::Failed(const std::string& host, int64_t now_ms) {
  failed_[host] = now_ms;
}

}  // namespace pimento
