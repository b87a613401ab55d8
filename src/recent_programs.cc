#include "src/recent_programs.h"

#include <algorithm>

#include "src/name_hash.h"

namespace pimento {
namespace {

// Longer than any pause between two requests of a program.
constexpr int64_t kTtlMs = 30'000;
// Gossip messages that name a program.
constexpr uint8_t kGossipSends = 3;
// Programs in one gossip message.
constexpr size_t kMaxGossipBatch = 64;
// Longer than it takes a peer to name a program kGossipSends times.
constexpr int64_t kRepeatedGossipMs = 2'000;

}  // namespace

bool RecentPrograms::Contains(const std::string& program) const {
  return programs_.contains(HashName(program));
}

bool RecentPrograms::BudgetSpent(const std::string& program) const {
  const auto it = programs_.find(HashName(program));
  return it != programs_.end() && it->second.budget_spent;
}

void RecentPrograms::set_budget_spent(const std::string& program, bool spent) {
  const auto it = programs_.find(HashName(program));
  if (it != programs_.end()) it->second.budget_spent = spent;
}

void RecentPrograms::OnAdmitted(const std::string& program,
                                const std::string& team, int64_t now_ms) {
  const uint64_t hash = HashName(program);
  const auto it = programs_.find(hash);
  if (it == programs_.end()) {
    Add(hash, now_ms).sends_left = kGossipSends;
    QueueGossip(team, hash, false);
    return;
  }
  NoteRequest(it->second, true, now_ms);
  if (it->second.sends_left == kGossipSends) QueueGossip(team, hash, true);
}

void RecentPrograms::OnPeerAdmitted(uint64_t program_hash, int64_t now_ms) {
  const auto it = programs_.find(program_hash);
  if (it == programs_.end()) {
    Add(program_hash, now_ms);
    return;
  }
  const int64_t age_ms = now_ms - it->second.first_request_ms;
  NoteRequest(it->second, age_ms >= kRepeatedGossipMs, now_ms);
}

RecentPrograms::Program& RecentPrograms::Add(uint64_t hash, int64_t now_ms) {
  if (programs_.size() >= options_.max_programs) {
    const uint64_t oldest =
        named_once_.empty() ? going_on_.front() : named_once_.front();
    Forget(programs_.find(oldest));
    ++forgotten_;
  }
  const auto position = named_once_.insert(named_once_.end(), hash);
  return programs_
      .emplace(hash, Program{.first_request_ms = now_ms,
                             .last_request_ms = now_ms,
                             .position = position})
      .first->second;
}

void RecentPrograms::NoteRequest(Program& program, bool goes_on,
                                 int64_t now_ms) {
  auto& from = program.goes_on ? going_on_ : named_once_;
  program.goes_on |= goes_on;
  auto& to = program.goes_on ? going_on_ : named_once_;
  to.splice(to.end(), from, program.position);
  program.last_request_ms = now_ms;
}

void RecentPrograms::Forget(Programs::iterator program) {
  auto& list = program->second.goes_on ? going_on_ : named_once_;
  list.erase(program->second.position);
  programs_.erase(program);
}

void RecentPrograms::QueueGossip(const std::string& team, uint64_t hash,
                                 bool first) {
  PendingGossip& pending = pending_gossip_[team];
  auto& queue = first ? pending.first : pending.others;
  // One that sends request after request is queued once.
  if (first && !queue.empty() && queue.back() == hash) return;
  queue.push_back(hash);
  ++pending_count_;
  if (pending_count_ > options_.max_pending_gossip) DropOldestGossip();
}

void RecentPrograms::DropOldestGossip() {
  const auto longest =
      std::max_element(pending_gossip_.begin(), pending_gossip_.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.size() < b.second.size();
                       });
  PendingGossip& pending = longest->second;
  auto& queue = pending.others.empty() ? pending.first : pending.others;
  queue.pop_front();
  if (pending.size() == 0) pending_gossip_.erase(longest);
  --pending_count_;
  ++gossip_dropped_;
}

std::optional<uint64_t> RecentPrograms::PopGossip(PendingGossip& pending) {
  while (pending.size() > 0) {
    auto& queue = pending.first.empty() ? pending.others : pending.first;
    const uint64_t hash = queue.front();
    const auto it = programs_.find(hash);
    const bool known = it != programs_.end();
    if (known && it->second.last_message == message_) return std::nullopt;
    queue.pop_front();
    --pending_count_;
    if (!known || it->second.sends_left == 0) continue;
    it->second.last_message = message_;
    if (--it->second.sends_left > 0) {
      pending.others.push_back(hash);
      ++pending_count_;
    }
    return hash;
  }
  return std::nullopt;
}

std::vector<uint64_t> RecentPrograms::NextGossipBatch() {
  ++message_;
  std::vector<uint64_t> hashes;
  // Teams in a row that had nothing more to tell.
  size_t without_news = 0;
  while (hashes.size() < kMaxGossipBatch &&
         without_news < pending_gossip_.size()) {
    auto turn = pending_gossip_.upper_bound(last_team_);
    if (turn == pending_gossip_.end()) turn = pending_gossip_.begin();
    last_team_ = turn->first;
    const auto hash = PopGossip(turn->second);
    without_news = hash ? 0 : without_news + 1;
    if (hash) hashes.push_back(*hash);
    if (turn->second.size() == 0) pending_gossip_.erase(turn);
  }
  return hashes;
}

void RecentPrograms::Sweep(int64_t now_ms) {
  for (auto* list : {&named_once_, &going_on_}) {
    while (!list->empty()) {
      const auto oldest = programs_.find(list->front());
      if (oldest->second.last_request_ms >= now_ms - kTtlMs) break;
      Forget(oldest);
    }
  }
}

}  // namespace pimento
