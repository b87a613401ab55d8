#include "src/leaving_processes.h"

#include <xxhash.h>

#include "src/name_hash.h"

namespace pimento {
namespace {

constexpr int64_t kForgetAfterMs = 600'000;

}  // namespace

uint64_t LeavingProcesses::HashOf(const UpstreamEntry& entry) {
  const uint64_t pair[2] = {HashName(entry.id),
                            static_cast<uint64_t>(entry.started_at_ms)};
  return XXH3_64bits(pair, sizeof pair);
}

bool LeavingProcesses::AddStated(uint64_t process) {
  State& state = known_[process];
  const bool first = !state.stated_here;
  state.stated_here = true;
  return first;
}

bool LeavingProcesses::AddReported(uint64_t process) {
  return known_.try_emplace(process).second;
}

bool LeavingProcesses::StatedHere(uint64_t process) const {
  const auto it = known_.find(process);
  return it != known_.end() && it->second.stated_here;
}

void LeavingProcesses::Sweep(const std::set<uint64_t>& present,
                             int64_t now_ms) {
  for (auto& [process, state] : known_) {
    if (present.count(process) > 0) {
      state.absent_since_ms = 0;
    } else if (state.absent_since_ms == 0) {
      state.absent_since_ms = now_ms;
    }
  }
  std::erase_if(known_, [now_ms](const auto& item) {
    const int64_t since_ms = item.second.absent_since_ms;
    return since_ms > 0 && now_ms - since_ms >= kForgetAfterMs;
  });
}

}  // namespace pimento
