// In-memory state of one archive member: turns with their history, and the
// tokens that programs reserved and used.
//
// Records merge by key in any order: a turn is written once and never changes,
// and a reservation is settled once, which outranks its open state. Members
// converge by holding the same records and need neither a common log nor an
// owner. What a member lacks it finds in the digests of the others' records
// (archive_repair.cc).
//
// Load: members that are away one after the other, each without the turns that
// were stored meanwhile, while conversations go on:
//
//   turns 1 to 9, member 0 lacks 4, member 1 lacks 6, member 2 lacks 8
//
// A turn keeps its predecessors only as far back as the member holds them, so
// without repair every member lets the beginning of this chain expire.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "src/archive_time.h"

namespace pimento {

// Tokens that one turn may generate or, once settled, did generate.
struct TokenReservation {
  std::string program = {};
  // Request id of the turn.
  std::string turn = {};
  uint64_t tokens = 0;
  bool settled = false;
  // Empty on a route that is open to all.
  std::string team = {};
  // In a copy from another member: how long that one would have kept the
  // program, milliseconds. 0 in a new record.
  int64_t remaining_ms = 0;
};

// A finished turn.
struct TurnRecord {
  // Request id of the turn.
  std::string turn = {};
  // Request id of the turn that it continues; empty at the start of a chain.
  std::string previous = {};
  std::string team = {};
  std::string input = {};
  // Data of the response's events, each followed by a line feed.
  std::string output = {};
  // Id of the upstream that ran the turn.
  std::string upstream = {};
  int64_t retain_ms = 0;
  // Reservation that is settled together with the record: program and tokens
  // used. Without a program there is no reservation.
  std::string program = {};
  uint64_t tokens = 0;
  // In a copy from another member: how long that one would have kept the turn,
  // milliseconds. 0 in a new record.
  int64_t remaining_ms = 0;
};

// Names a record in the state in which a member holds it: a turn, or a
// reservation that is open or settled with so many tokens.
using RecordHash = uint64_t;
RecordHash HashOf(const TokenReservation& reservation);
RecordHash HashOf(const TurnRecord& record);

using ArchiveRecord = std::variant<TokenReservation, TurnRecord>;

// Which of its records a member names and hands out.
enum class RecordScope : uint8_t {
  // To other members: those that have settled and are kept for some time yet,
  // by both clocks.
  kSettled,
  // To a member that joins: all that it still holds.
  kAll
};

// Load: a client with a valid key whose turns are as long as they may be, a
// hundred a second, each kept for a minute. So no turn begins once nine tenths
// of the room are taken, but of a team that has little, nor one of a team that
// has taken half of it. What is left is for turns that have begun.
class TurnArchive {
 public:
  TurnArchive() = default;
  // `max_bytes`: approximate memory of all records; 0: not limited.
  explicit TurnArchive(size_t max_bytes) : max_bytes_(max_bytes) {}

  // Whether a turn of `team` may begin, and whether one that has run may be
  // kept. Records that are copied from other members are always applied.
  bool MayBegin(const std::string& team) const;
  bool MayKeep(const TurnRecord& record) const;
  // False while what is left of the room is for turns that have begun.
  bool HasRoomForRepair() const;

  // Whether the reservation's turn has a reservation here.
  bool HasReservation(const TokenReservation& reservation) const;

  // Merges a record; applying it again has no effect but a later expiry. A copy
  // is kept for as long as the member that it came from would have kept it.
  void Apply(const ArchiveRecord& record, ArchiveTime now);
  // The same, where both clocks show `now_ms`.
  void Apply(const ArchiveRecord& record, int64_t now_ms) {
    Apply(record, ArchiveTime{.uptime_ms = now_ms, .unix_ms = now_ms});
  }

  std::vector<TokenReservation> ReservationsOf(
      const std::string& program) const;

  struct History {
    // Newest first.
    std::vector<TurnRecord> turns = {};
    // First turn of the chain, going back, that is not stored here; empty when
    // the chain is complete.
    std::string missing = {};
  };
  // Returns the chain that ends with `turn`. Turns of other teams count as
  // missing.
  History HistoryOf(const std::string& turn, const std::string& team) const;

  // Approximate memory of the turns that HistoryOf() returns.
  size_t HistoryBytes(const std::string& turn, const std::string& team) const;
  // A longer history is not handed out: each is copied more than once. 0: any
  // is.
  size_t max_history_bytes() const;

  struct Page {
    std::vector<ArchiveRecord> records = {};
    // Position from which the next page is read.
    uint64_t next = 0;
    bool more = false;
  };
  // Returns the records from position `from` on, about `max_bytes` of them, for
  // a member that copies this archive.
  Page ReadPage(uint64_t from, size_t max_bytes, ArchiveTime now) const;

  struct DigestEntry {
    RecordHash hash = 0;
    // Of the record, for ReadRecords().
    uint64_t position = 0;
  };
  struct Digest {
    std::vector<DigestEntry> entries = {};
    // As in Page.
    uint64_t next = 0;
    bool more = false;
  };
  // Names the records of `scope` from position `from` on, at most
  // `max_entries`. Those have settled that arrived before `settled_ms` (by the
  // uptime); later ones may still be on their way to the other members.
  Digest ReadDigest(uint64_t from, size_t max_entries, int64_t settled_ms,
                    ArchiveTime now,
                    RecordScope scope = RecordScope::kSettled) const;
  // Whether this member lacks a record that another one named. A reservation
  // that is settled here stands for its open state too.
  bool Lacks(RecordHash hash) const { return !hashes_.contains(hash); }
  // Returns the records at the first of `positions`, about `max_bytes` of them,
  // and in `next` how many of the positions were looked at. Those that have
  // changed or gone since are left out.
  Page ReadRecords(const std::vector<uint64_t>& positions, size_t max_bytes,
                   ArchiveTime now,
                   RecordScope scope = RecordScope::kSettled) const;

  // Whether a turn is held whose predecessor is not.
  bool HasGaps() const { return !gaps_.empty(); }
  size_t gaps() const { return gaps_.size(); }

  // Removes turns and programs whose retention has ended.
  void RemoveExpired(int64_t now_ms);
  size_t turns() const { return turns_.size(); }
  size_t programs() const { return programs_.size(); }
  size_t bytes() const { return bytes_; }
  size_t max_bytes() const { return max_bytes_; }

 private:
  // Names a record in the log. The texts are the keys of the tables below.
  struct LogKey {
    // Null for a turn.
    const std::string* program = nullptr;
    const std::string* turn = nullptr;
    // Arrival, by the uptime.
    int64_t arrived_ms = 0;
  };
  struct Turn {
    TurnRecord record;
    ArchiveLifetime lifetime;
    uint64_t position = 0;
  };
  struct Reservation {
    TokenReservation record;
    uint64_t position = 0;
  };
  struct Program {
    std::unordered_map<std::string, Reservation> reservations;
    ArchiveLifetime lifetime;
    // Memory of its reservations, and the team that it counts for.
    size_t bytes = 0;
    std::string team;
  };
  void AddBytes(const std::string& team, size_t bytes);
  void RemoveBytes(const std::string& team, size_t bytes);
  void ApplyReservation(const TokenReservation& reservation, ArchiveTime now,
                        ArchiveLifetime lifetime);
  void ApplyTurn(const TurnRecord& record, ArchiveTime now);
  // Extends the lifetime of `turn` and of its predecessors, as far back as they
  // are held.
  void ExtendChain(const std::string& turn, ArchiveLifetime lifetime);
  uint64_t AddToLog(const LogKey& key);
  void RemoveTurn(const Turn& turn);
  void RemoveProgram(const Program& program);
  const ArchiveLifetime& LifetimeOf(const LogKey& key) const;
  // How long the record is handed out for yet, milliseconds; 0: not any more.
  int64_t HandedMs(const LogKey& key, ArchiveTime now, RecordScope scope) const;
  RecordHash HashAt(const LogKey& key) const;
  // Adds a copy of the record to `page`, and returns its size.
  size_t AddToPage(const LogKey& key, int64_t remaining_ms, Page& page) const;

  std::unordered_map<std::string, Turn> turns_;
  std::unordered_map<std::string, Program> programs_;
  // All records in order of arrival, by position. A reservation moves to the
  // end when it changes.
  std::map<uint64_t, LogKey> log_;
  uint64_t next_position_ = 0;
  // Of all records that are held, and of their earlier states.
  std::unordered_set<RecordHash> hashes_;
  // Predecessors that are not held, with the lifetime that the chain would have
  // given them.
  std::unordered_map<std::string, ArchiveLifetime> gaps_;
  size_t max_bytes_ = 0;
  // Approximate memory of all records, and of those of each team that has any.
  size_t bytes_ = 0;
  std::unordered_map<std::string, size_t> bytes_by_team_;
};

}  // namespace pimento
