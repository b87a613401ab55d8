#include "src/recent_programs.h"

#include <algorithm>

#include "src/name_hash.h"

namespace pimento {
namespace {

// Longer than any pause between two requests of a program.
constexpr int64_t kTtlMs = 30'000;
// Bounds the memory; programs beyond it are not recorded.
constexpr size_t kMaxPrograms = 200'000;
// Gossip messages that name a program.
constexpr int kGossipSends = 3;
// Programs in one gossip message.
constexpr size_t kMaxGossipBatch = 64;

}  // namespace

bool RecentPrograms::Contains(const std::string& program) const {
  return programs_.count(HashName(program)) > 0;
}

bool RecentPrograms::BudgetSpent(const std::string& program) const {
  const auto it = programs_.find(HashName(program));
  return it != programs_.end() && it->second.budget_spent;
}

void RecentPrograms::set_budget_spent(const std::string& program, bool spent) {
  const auto it = programs_.find(HashName(program));
  if (it != programs_.end()) it->second.budget_spent = spent;
}

void RecentPrograms::OnAdmitted(const std::string& program, int64_t now_ms) {
  const uint64_t hash = HashName(program);
  if (programs_.size() >= kMaxPrograms) return;
  const auto [it, added] = programs_.try_emplace(hash);
  it->second.last_request_ms = now_ms;
  if (added) pending_gossip_.push_back({hash, kGossipSends});
}

void RecentPrograms::OnPeerAdmitted(uint64_t program_hash, int64_t now_ms) {
  if (programs_.size() < kMaxPrograms) {
    programs_[program_hash].last_request_ms = now_ms;
  }
}

std::vector<uint64_t> RecentPrograms::NextGossipBatch() {
  std::vector<uint64_t> hashes;
  const size_t count = std::min(pending_gossip_.size(), kMaxGossipBatch);
  for (size_t i = 0; i < count; ++i) {
    PendingGossip pending = pending_gossip_.front();
    pending_gossip_.pop_front();
    hashes.push_back(pending.program_hash);
    if (--pending.sends_left > 0) pending_gossip_.push_back(pending);
  }
  return hashes;
}

void RecentPrograms::Sweep(int64_t now_ms) {
  std::erase_if(programs_, [now_ms](const auto& program) {
    return program.second.last_request_ms < now_ms - kTtlMs;
  });
}

}  // namespace pimento
