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

// Of a record, beside its texts.
constexpr size_t kOverheadBytes = 400;
// Copies of a record's key: in the record, in the table, in order of arrival.
constexpr size_t kKeyCopies = 3;
// Parts of the room: what one team may have, what a team with little has, and
// what is left to turns that have begun.
constexpr size_t kTeamShare = 2;
constexpr size_t kLittleShare = 32;
constexpr size_t kBegunShare = 10;
// Share of the room of one history.
constexpr size_t kHistoryShare = 8;

size_t BytesOf(const TurnRecord& record) {
  return record.input.size() + record.output.size() +
         record.turn.size() * kKeyCopies + record.previous.size() +
         record.program.size() + kOverheadBytes;
}

size_t BytesOf(const TokenReservation& reservation) {
  return reservation.turn.size() * kKeyCopies + reservation.program.size() +
         kOverheadBytes;
}

}  // namespace

bool TurnArchive::MayBegin(const std::string& team) const {
  if (max_bytes_ == 0) return true;
  const auto it = bytes_by_team_.find(team);
  const size_t own = it == bytes_by_team_.end() ? 0 : it->second;
  const bool crowded = bytes_ >= max_bytes_ - max_bytes_ / kBegunShare;
  if (crowded) return bytes_ < max_bytes_ && own < max_bytes_ / kLittleShare;
  return own < max_bytes_ / kTeamShare;
}

bool TurnArchive::MayKeep(const TurnRecord& record) const {
  return max_bytes_ == 0 || turns_.contains(record.turn) ||
         bytes_ + BytesOf(record) <= max_bytes_;
}

bool TurnArchive::HasReservation(const TokenReservation& reservation) const {
  const auto it = programs_.find(reservation.program);
  return it != programs_.end() &&
         it->second.reservations.contains(reservation.turn);
}

void TurnArchive::AddBytes(const std::string& team, size_t bytes) {
  bytes_ += bytes;
  bytes_by_team_[team] += bytes;
}

void TurnArchive::RemoveBytes(const std::string& team, size_t bytes) {
  bytes_ -= bytes;
  const auto it = bytes_by_team_.find(team);
  it->second -= bytes;
  if (it->second == 0) bytes_by_team_.erase(it);
}

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
  Program& program = it->second;
  if (added) {
    arrivals_.push_back("/" + reservation.program);
    program.team = reservation.team;
  }
  program.expires_ms = std::max(program.expires_ms, expires_ms);
  const auto [entry, is_new] =
      program.reservations.try_emplace(reservation.turn);
  TokenReservation& held = entry->second;
  if (is_new) {
    program.bytes += BytesOf(reservation);
    AddBytes(program.team, BytesOf(reservation));
  }
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
                      .settled = true,
                      .team = record.team},
                     std::max(expires_ms, now_ms + kProgramRetentionMs));
  }
  const auto [it, added] = turns_.try_emplace(record.turn);
  if (added) {
    it->second.record = record;
    arrivals_.push_back(record.turn);
    AddBytes(record.team, BytesOf(record));
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

size_t TurnArchive::HistoryBytes(const std::string& turn,
                                 const std::string& team) const {
  size_t bytes = 0;
  size_t turns = 0;
  // Longer than all turns is a circle.
  for (auto it = turns_.find(turn);
       it != turns_.end() && it->second.record.team == team &&
       turns < turns_.size();
       it = turns_.find(it->second.record.previous)) {
    bytes += BytesOf(it->second.record);
    ++turns;
  }
  return bytes;
}

size_t TurnArchive::max_history_bytes() const {
  return max_bytes_ / kHistoryShare;
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
    RemoveBytes(it->second.record.team, BytesOf(it->second.record));
    it = turns_.erase(it);
  }
  std::erase_if(programs_, [this, now_ms](const auto& program) {
    if (program.second.expires_ms > now_ms) return false;
    RemoveBytes(program.second.team, program.second.bytes);
    return true;
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
