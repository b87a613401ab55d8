#include "src/turn_archive.h"

#include <xxhash.h>

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

// Records with less left are not handed to other members, which let them
// expire at about the same time.
constexpr int64_t kMinHandedMs = 5'000;

// Of a record, beside its texts.
constexpr size_t kOverheadBytes = 400;
// Copies of a record's key: in the record, in the table, and as much again for
// its place in the log and its hashes.
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

// Of texts and a number; texts of other lengths do not run into each other.
RecordHash HashOfParts(const std::string& first, const std::string& second,
                       uint64_t number) {
  const uint64_t parts[] = {XXH3_64bits(first.data(), first.size()),
                            XXH3_64bits(second.data(), second.size()), number};
  return XXH3_64bits(parts, sizeof parts);
}

RecordHash HashOfOpen(const TokenReservation& reservation) {
  return HashOfParts(reservation.program, reservation.turn, 0);
}

}  // namespace

RecordHash HashOf(const TokenReservation& reservation) {
  if (!reservation.settled) return HashOfOpen(reservation);
  return HashOfParts(reservation.program, reservation.turn,
                     1 + reservation.tokens);
}

RecordHash HashOf(const TurnRecord& record) {
  // No program begins with this, as ids are header fields.
  return HashOfParts("\n", record.turn, 0);
}

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

bool TurnArchive::HasRoomForRepair() const {
  return max_bytes_ == 0 || bytes_ < max_bytes_ - max_bytes_ / kBegunShare;
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

uint64_t TurnArchive::AddToLog(const LogKey& key) {
  const uint64_t position = next_position_++;
  log_.emplace(position, key);
  return position;
}

void TurnArchive::Apply(const ArchiveRecord& record, ArchiveTime now) {
  if (const auto* turn = std::get_if<TurnRecord>(&record)) {
    ApplyTurn(*turn, now);
    return;
  }
  const auto& reservation = std::get<TokenReservation>(record);
  const int64_t keep_ms = reservation.remaining_ms > 0
                              ? reservation.remaining_ms
                              : kProgramRetentionMs;
  ApplyReservation(reservation, now, ArchiveLifetime::From(now, keep_ms));
}

void TurnArchive::ApplyReservation(const TokenReservation& reservation,
                                   ArchiveTime now, ArchiveLifetime lifetime) {
  const auto [it, added] = programs_.try_emplace(reservation.program);
  Program& program = it->second;
  if (added) program.team = reservation.team;
  program.lifetime.Extend(lifetime);
  const auto [entry, is_new] =
      program.reservations.try_emplace(reservation.turn);
  Reservation& held = entry->second;
  if (is_new) {
    program.bytes += BytesOf(reservation);
    AddBytes(program.team, BytesOf(reservation));
  }
  // A settled reservation is final; an open one that arrives later is ignored.
  const TokenReservation& before = held.record;
  if (before.settled && !reservation.settled) return;
  if (before.settled && before.tokens >= reservation.tokens) return;
  const bool again = !is_new && before.settled == reservation.settled &&
                     before.tokens == reservation.tokens;
  if (again) return;
  if (!is_new) log_.erase(held.position);
  if (before.settled) hashes_.erase(HashOf(before));
  held.record = reservation;
  held.record.remaining_ms = 0;
  held.position = AddToLog({.program = &it->first,
                            .turn = &entry->first,
                            .arrived_ms = now.uptime_ms});
  hashes_.insert(HashOfOpen(reservation));
  hashes_.insert(HashOf(reservation));
}

void TurnArchive::ApplyTurn(const TurnRecord& record, ArchiveTime now) {
  const bool copy = record.remaining_ms > 0;
  const int64_t keep_ms =
      copy ? record.remaining_ms : record.retain_ms + kTurnRetentionSlackMs;
  ArchiveLifetime lifetime = ArchiveLifetime::From(now, keep_ms);
  if (!record.program.empty()) {
    ArchiveLifetime of_program = lifetime;
    if (!copy) {
      of_program.Extend(ArchiveLifetime::From(now, kProgramRetentionMs));
    }
    ApplyReservation({.program = record.program,
                      .turn = record.turn,
                      .tokens = record.tokens,
                      .settled = true,
                      .team = record.team},
                     now, of_program);
  }
  const auto [it, added] = turns_.try_emplace(record.turn);
  if (added) {
    it->second.record = record;
    it->second.record.remaining_ms = 0;
    it->second.position = AddToLog(
        {.program = nullptr, .turn = &it->first, .arrived_ms = now.uptime_ms});
    hashes_.insert(HashOf(record));
    AddBytes(record.team, BytesOf(record));
    // Turns that continue it may have come first.
    if (const auto gap = gaps_.find(record.turn); gap != gaps_.end()) {
      lifetime.Extend(gap->second);
      gaps_.erase(gap);
    }
  }
  ExtendChain(record.turn, lifetime);
}

void TurnArchive::ExtendChain(const std::string& turn,
                              ArchiveLifetime lifetime) {
  const std::string* next = &turn;
  while (!next->empty()) {
    const auto it = turns_.find(*next);
    if (it == turns_.end()) {
      gaps_[*next].Extend(lifetime);
      return;
    }
    if (it->second.lifetime.Covers(lifetime)) return;
    it->second.lifetime.Extend(lifetime);
    next = &it->second.record.previous;
  }
}

std::vector<TokenReservation> TurnArchive::ReservationsOf(
    const std::string& program) const {
  std::vector<TokenReservation> reservations;
  const auto it = programs_.find(program);
  if (it == programs_.end()) return reservations;
  for (const auto& [turn, reservation] : it->second.reservations) {
    reservations.push_back(reservation.record);
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

const ArchiveLifetime& TurnArchive::LifetimeOf(const LogKey& key) const {
  return key.program == nullptr ? turns_.at(*key.turn).lifetime
                                : programs_.at(*key.program).lifetime;
}

int64_t TurnArchive::HandedMs(const LogKey& key, ArchiveTime now,
                              RecordScope scope) const {
  const ArchiveLifetime& lifetime = LifetimeOf(key);
  if (scope == RecordScope::kAll) {
    return std::max<int64_t>(0, lifetime.uptime_ms - now.uptime_ms);
  }
  const int64_t left_ms = lifetime.RemainingMs(now);
  return left_ms < kMinHandedMs ? 0 : left_ms;
}

RecordHash TurnArchive::HashAt(const LogKey& key) const {
  if (key.program == nullptr) return HashOf(turns_.at(*key.turn).record);
  return HashOf(programs_.at(*key.program).reservations.at(*key.turn).record);
}

size_t TurnArchive::AddToPage(const LogKey& key, int64_t remaining_ms,
                              Page& page) const {
  if (key.program == nullptr) {
    TurnRecord record = turns_.at(*key.turn).record;
    record.remaining_ms = remaining_ms;
    const size_t bytes = BytesOf(record);
    page.records.emplace_back(std::move(record));
    return bytes;
  }
  TokenReservation record =
      programs_.at(*key.program).reservations.at(*key.turn).record;
  record.remaining_ms = remaining_ms;
  page.records.emplace_back(std::move(record));
  constexpr size_t kReservationBytes = 80;
  return kReservationBytes;
}

TurnArchive::Page TurnArchive::ReadPage(uint64_t from, size_t max_bytes,
                                        ArchiveTime now) const {
  Page page;
  size_t bytes = 0;
  auto it = log_.lower_bound(from);
  for (; it != log_.end() && bytes < max_bytes; ++it) {
    const int64_t left_ms = HandedMs(it->second, now, RecordScope::kAll);
    if (left_ms > 0) bytes += AddToPage(it->second, left_ms, page);
  }
  page.next = it == log_.end() ? next_position_ : it->first;
  page.more = it != log_.end();
  return page;
}

TurnArchive::Digest TurnArchive::ReadDigest(uint64_t from, size_t max_entries,
                                            int64_t settled_ms, ArchiveTime now,
                                            RecordScope scope) const {
  Digest digest;
  auto it = log_.lower_bound(from);
  for (; it != log_.end() && digest.entries.size() < max_entries; ++it) {
    const LogKey& key = it->second;
    const bool young =
        scope == RecordScope::kSettled && key.arrived_ms >= settled_ms;
    if (young) {
      digest.next = it->first;
      return digest;
    }
    if (HandedMs(key, now, scope) == 0) continue;
    digest.entries.push_back({.hash = HashAt(key), .position = it->first});
  }
  digest.more = it != log_.end();
  digest.next = digest.more ? it->first : next_position_;
  return digest;
}

TurnArchive::Page TurnArchive::ReadRecords(
    const std::vector<uint64_t>& positions, size_t max_bytes, ArchiveTime now,
    RecordScope scope) const {
  Page page;
  size_t bytes = 0;
  for (const uint64_t position : positions) {
    if (bytes >= max_bytes) break;
    ++page.next;
    const auto it = log_.find(position);
    if (it == log_.end()) continue;
    const int64_t left_ms = HandedMs(it->second, now, scope);
    if (left_ms == 0) continue;
    bytes += AddToPage(it->second, left_ms, page);
  }
  page.more = page.next < positions.size();
  return page;
}

void TurnArchive::RemoveTurn(const Turn& turn) {
  RemoveBytes(turn.record.team, BytesOf(turn.record));
  hashes_.erase(HashOf(turn.record));
  log_.erase(turn.position);
}

void TurnArchive::RemoveProgram(const Program& program) {
  RemoveBytes(program.team, program.bytes);
  for (const auto& [turn, reservation] : program.reservations) {
    hashes_.erase(HashOfOpen(reservation.record));
    hashes_.erase(HashOf(reservation.record));
    log_.erase(reservation.position);
  }
}

void TurnArchive::RemoveExpired(int64_t now_ms) {
  std::erase_if(turns_, [this, now_ms](const auto& entry) {
    if (entry.second.lifetime.uptime_ms > now_ms) return false;
    RemoveTurn(entry.second);
    return true;
  });
  std::erase_if(programs_, [this, now_ms](const auto& entry) {
    if (entry.second.lifetime.uptime_ms > now_ms) return false;
    RemoveProgram(entry.second);
    return true;
  });
  std::erase_if(gaps_, [now_ms](const auto& gap) {
    return gap.second.uptime_ms <= now_ms;
  });
}

}  // namespace pimento
