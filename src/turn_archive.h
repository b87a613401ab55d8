// In-memory state of one archive member: turns with their history, and the
// tokens that programs reserved and used.
//
// Records merge by key in any order: a turn is written once and never changes,
// and a reservation is settled once, which outranks its open state. Members
// converge by holding the same records and need neither a common log nor an
// owner.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

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
};

using ArchiveRecord = std::variant<TokenReservation, TurnRecord>;

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

  // Whether the reservation's turn has a reservation here.
  bool HasReservation(const TokenReservation& reservation) const;

  // Merges a record; applying it again has no effect but a later expiry.
  void Apply(const ArchiveRecord& record, int64_t now_ms);

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
  Page ReadPage(uint64_t from, size_t max_bytes) const;

  // Removes turns and programs whose retention has ended.
  void RemoveExpired(int64_t now_ms);
  size_t turns() const { return turns_.size(); }
  size_t programs() const { return programs_.size(); }
  size_t bytes() const { return bytes_; }
  size_t max_bytes() const { return max_bytes_; }

 private:
  struct Turn {
    TurnRecord record;
    int64_t expires_ms = 0;
  };
  struct Program {
    std::unordered_map<std::string, TokenReservation> reservations;
    int64_t expires_ms = 0;
    // Memory of its reservations, and the team that it counts for.
    size_t bytes = 0;
    std::string team;
  };
  void AddBytes(const std::string& team, size_t bytes);
  void RemoveBytes(const std::string& team, size_t bytes);
  void ApplyReservation(const TokenReservation& reservation,
                        int64_t expires_ms);
  void ApplyTurn(const TurnRecord& record, int64_t now_ms);

  std::unordered_map<std::string, Turn> turns_;
  std::unordered_map<std::string, Program> programs_;
  // Keys in order of arrival, which ReadPage() goes by: a turn's id, or a
  // program's id with a leading slash.
  std::deque<std::string> arrivals_;
  // Position of the first key in `arrivals_`.
  uint64_t first_position_ = 0;
  size_t max_bytes_ = 0;
  // Approximate memory of all records, and of those of each team that has any.
  size_t bytes_ = 0;
  std::unordered_map<std::string, size_t> bytes_by_team_;
};

}  // namespace pimento
