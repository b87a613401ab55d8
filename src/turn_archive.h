// What one member of the archive holds: turns with their history, and the
// tokens that programs reserved and used.
//
// Records merge by key whatever order they come in: a turn is written once and
// never changes; a reservation is settled once. So members agree by holding the
// same records, and need no log in common and no owner.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace pimento {

// Tokens that one turn may generate, or did generate once it is settled.
struct TokenReservation {
  std::string program = {};
  std::string turn = {};
  uint64_t tokens = 0;
  bool settled = false;
};

struct TurnRecord {
  // Request id of the turn.
  std::string turn = {};
  // The turn that it continues from; empty at the start of a chain.
  std::string previous = {};
  std::string team = {};
  std::string input = {};
  // The data of its events, each followed by a line feed.
  std::string output = {};
  // The upstream that ran it.
  std::string upstream = {};
  int64_t retain_ms = 0;
  // Its reservation, settled with the record; no program, none.
  std::string program = {};
  uint64_t tokens = 0;
};

using ArchiveRecord = std::variant<TokenReservation, TurnRecord>;

class TurnArchive {
 public:
  void Apply(const ArchiveRecord& record, int64_t now_ms);

  std::vector<TokenReservation> ReservationsOf(
      const std::string& program) const;

  struct History {
    // Newest first.
    std::vector<TurnRecord> turns = {};
    // The first turn of the chain that is not here; empty when it is whole.
    std::string missing = {};
  };
  // A turn of another team counts as missing.
  History HistoryOf(const std::string& turn, const std::string& team) const;

  struct Page {
    std::vector<ArchiveRecord> records = {};
    uint64_t next = 0;
    bool more = false;
  };
  // Records from position `from` on, about `max_bytes` of them.
  Page ReadPage(uint64_t from, size_t max_bytes) const;

  // Drops what is past its time.
  void RemoveExpired(int64_t now_ms);
  size_t turns() const { return turns_.size(); }
  size_t programs() const { return programs_.size(); }
  size_t bytes() const { return bytes_; }

 private:
  struct Turn {
    TurnRecord record;
    int64_t expires_ms = 0;
  };
  struct Program {
    std::unordered_map<std::string, TokenReservation> reservations;
    int64_t expires_ms = 0;
  };
  void ApplyReservation(const TokenReservation& reservation,
                        int64_t expires_ms);
  void ApplyTurn(const TurnRecord& record, int64_t now_ms);

  std::unordered_map<std::string, Turn> turns_;
  std::unordered_map<std::string, Program> programs_;
  // Keys in order of arrival, for copies: a turn's id, or a program's with a
  // leading slash.
  std::deque<std::string> arrivals_;
  // Position of the front of `arrivals_`.
  uint64_t first_position_ = 0;
  size_t bytes_ = 0;
};

}  // namespace pimento
