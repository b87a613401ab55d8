#include "src/store_contact.h"

#include <algorithm>

namespace pimento {

uint64_t StoreContact::Begin(int64_t now_ms, int64_t wait_ms) {
  const uint64_t ticket = next_ticket_++;
  due_ms_[ticket] = now_ms + wait_ms;
  return ticket;
}

void StoreContact::EndServed(uint64_t ticket, int64_t now_ms) {
  due_ms_.erase(ticket);
  NoteServed(now_ms);
}

void StoreContact::EndFailed(uint64_t ticket, int64_t now_ms) {
  const auto call = due_ms_.find(ticket);
  if (call == due_ms_.end()) return;
  NoteMissing(std::min(call->second, now_ms));
  due_ms_.erase(call);
}

void StoreContact::AddRelayed(int64_t overdue_ms, int64_t now_ms) {
  if (overdue_ms > 0) {
    NoteMissing(now_ms - overdue_ms);
  } else {
    NoteServed(now_ms);
  }
}

int64_t StoreContact::OverdueMs(int64_t now_ms) const {
  int64_t since_ms = missing_since_ms_.value_or(now_ms);
  for (const auto& [ticket, due_ms] : due_ms_) {
    since_ms = std::min(since_ms, std::max(due_ms, served_at_ms_));
  }
  return std::max<int64_t>(0, now_ms - since_ms);
}

void StoreContact::NoteMissing(int64_t since_ms) {
  const int64_t from_ms = std::max(since_ms, served_at_ms_);
  missing_since_ms_ = std::min(missing_since_ms_.value_or(from_ms), from_ms);
}

void StoreContact::NoteServed(int64_t now_ms) {
  const bool outage = missing_since_ms_ && served_at_ms_ != 0 &&
                      now_ms - served_at_ms_ >= options_.min_outage_ms;
  if (outage) outage_ended_ms_ = now_ms;
  missing_since_ms_.reset();
  served_at_ms_ = std::max(served_at_ms_, now_ms);
}

}  // namespace pimento
