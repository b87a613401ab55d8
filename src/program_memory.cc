#include "src/program_memory.h"

#include <algorithm>

#include "src/name_hash.h"

namespace pimento {
namespace {

// Longer than any pause between two requests of a program.
constexpr int64_t kLifeMs = 30'000;
constexpr size_t kMostPrograms = 200'000;
constexpr int kTimesTold = 3;
constexpr size_t kMostTold = 64;

}  // namespace

bool ProgramMemory::Known(const std::string& program) const {
  return seen_.count(HashOf(program)) > 0;
}

bool ProgramMemory::Spent(const std::string& program) const {
  const auto it = seen_.find(HashOf(program));
  return it != seen_.end() && it->second.spent;
}

void ProgramMemory::set_spent(const std::string& program, bool spent) {
  const auto it = seen_.find(HashOf(program));
  if (it != seen_.end()) it->second.spent = spent;
}

void ProgramMemory::Admitted(const std::string& program, int64_t now_ms) {
  const uint64_t hash = HashOf(program);
  if (seen_.size() >= kMostPrograms) return;
  const auto [it, added] = seen_.try_emplace(hash);
  it->second.last_ms = now_ms;
  if (added) telling_.push_back({hash, kTimesTold});
}

void ProgramMemory::Heard(uint64_t program_hash, int64_t now_ms) {
  if (seen_.size() < kMostPrograms) seen_[program_hash].last_ms = now_ms;
}

std::vector<uint64_t> ProgramMemory::ToTell() {
  std::vector<uint64_t> told;
  const size_t count = std::min(telling_.size(), kMostTold);
  for (size_t i = 0; i < count; ++i) {
    Telling telling = telling_.front();
    telling_.pop_front();
    told.push_back(telling.program_hash);
    if (--telling.times_left > 0) telling_.push_back(telling);
  }
  return told;
}

void ProgramMemory::Sweep(int64_t now_ms) {
  std::erase_if(seen_, [now_ms](const auto& program) {
    return program.second.last_ms < now_ms - kLifeMs;
  });
}

}  // namespace pimento
