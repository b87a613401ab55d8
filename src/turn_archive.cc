#include "src/turn_archive.h"

#include <algorithm>
#include <unordered_set>

namespace pimento {
namespace {

// A program's reservations are kept this long after its last record: long
// enough for its whole lifetime and the retention of its turns.
constexpr int64_t kProgramRetentionMs = 180'000;
// Added to a turn's retention to allow for clock differences and responses in
// flight.
constexpr int64_t kTurnRetentionSlackMs = 30'000;

size_t BytesOf(const TurnRecord& record) {
  constexpr size_t kOverhead = 400;
  return record.input.size() + record.output.size() + kOverhead;
}

}  // namespace

void TurnArchive::Apply(const ArchiveRecord& record, int64_t now_ms) {
  if (const auto* reservation = std::get_if<TokenReservation>(&record)) {
    ApplyReservation(*reservation, now_ms + kProgramRetentionMs);
    return;
  }
  ApplyTurn(std::get<TurnRecord>(record), now_ms);
}

void TurnArchive::ApplyReservation(const TokenReservation& reservation,
                                   int64_t expires_ms) {
  const auto [it, added] = programs_.try_emplace(reservation.program);
  if (added) arrivals_.push_back("/" + reservation.program);
  Program& program = it->second;
  program.expires_ms = std::max(program.expires_ms, expires_ms);
  TokenReservation& held = program.reservations[reservation.turn];
  // A settled reservation is final; an open one that arrives later is ignored.
  if (held.settled && !reservation.settled) return;
  if (held.settled && held.tokens >= reservation.tokens) return;
  held = reservation;
}

void TurnArchive::ApplyTurn(const TurnRecord& record, int64_t now_ms) {
  const int64_t expires_ms = now_ms + record.retain_ms + kTurnRetentionSlackMs;
  if (!record.program.empty()) {
    ApplyReservation({.program = record.program,
                      .turn = record.turn,
                      .tokens = record.tokens,
                      .settled = true},
                     std::max(expires_ms, now_ms + kProgramRetentionMs));
  }
  const auto [it, added] = turns_.try_emplace(record.turn);
  if (added) {
    it->second.record = record;
    arrivals_.push_back(record.turn);
    bytes_ += BytesOf(record);
  }
  // Extend the expiry of all predecessors, so that the chain stays complete.
  for (auto turn = it; turn != turns_.end();
       turn = turns_.find(turn->second.record.previous)) {
    if (turn->second.expires_ms >= expires_ms) break;
    turn->second.expires_ms = expires_ms;
  }
}

std::vector<TokenReservation> TurnArchive::ReservationsOf(
    const std::string& program) const {
  std::vector<TokenReservation> reservations;
  const auto it = programs_.find(program);
  if (it == programs_.end()) return reservations;
  for (const auto& [turn, reservation] : it->second.reservations) {
    reservations.push_back(reservation);
  }
  return reservations;
}

TurnArchive::History TurnArchive::HistoryOf(const std::string& turn,
                                            const std::string& team) const {
  History history;
  std::unordered_set<std::string> found;
  std::string next = turn;
  while (!next.empty()) {
    const auto it = turns_.find(next);
    // A turn cannot come before itself: what leads there is not known.
    const bool circular = !found.insert(next).second;
    if (circular || it == turns_.end() || it->second.record.team != team) {
      history.missing = next;
      return history;
    }
    history.turns.push_back(it->second.record);
    next = it->second.record.previous;
  }
  return history;
}

TurnArchive::Page TurnArchive::ReadPage(uint64_t from, size_t max_bytes) const {
  Page page;
  uint64_t position = std::max(from, first_position_);
  size_t bytes = 0;
  const uint64_t end = first_position_ + arrivals_.size();
  for (; position < end && bytes < max_bytes; ++position) {
    const std::string& key = arrivals_[position - first_position_];
    if (key.starts_with('/')) {
      constexpr size_t kReservationBytes = 80;
      for (auto& reservation : ReservationsOf(key.substr(1))) {
        page.records.emplace_back(std::move(reservation));
        bytes += kReservationBytes;
      }
      continue;
    }
    const auto it = turns_.find(key);
    if (it == turns_.end()) continue;
    page.records.emplace_back(it->second.record);
    bytes += BytesOf(it->second.record);
  }
  page.next = position;
  page.more = position < end;
  return page;
}

void TurnArchive::RemoveExpired(int64_t now_ms) {
  for (auto it = turns_.begin(); it != turns_.end();) {
    if (it->second.expires_ms > now_ms) {
      ++it;
      continue;
    }
    bytes_ -= BytesOf(it->second.record);
    it = turns_.erase(it);
  }
  std::erase_if(programs_, [now_ms](const auto& program) {
    return program.second.expires_ms <= now_ms;
  });
  while (!arrivals_.empty()) {
    const std::string& key = arrivals_.front();
    const bool held = key.starts_with('/') ? programs_.contains(key.substr(1))
                                           : turns_.contains(key);
    if (held) break;
    arrivals_.pop_front();
    ++first_position_;
  }
}

}  // namespace pimento
