// Calls and replies of the archive, and their Cap'n Proto bytes.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/turn_archive.h"

namespace pimento {

// Reads a program's reservations.
struct CollectCall {
  std::string program = {};
};
// Reads a turn and those before it.
struct HistoryCall {
  std::string turn = {};
  std::string team = {};
};
// Refuses callers with a list older than `version` from now on.
struct FenceCall {
  uint64_t version = 0;
};
// Reads a page of all records.
struct CopyCall {
  uint64_t from = 0;
};
struct PingCall {};

struct ArchiveCall {
  // Version of the member list that the caller goes by.
  uint64_t list_version = 0;
  std::variant<PingCall, TokenReservation, CollectCall, TurnRecord, HistoryCall,
               FenceCall, CopyCall>
      body = {};
};

enum class ArchiveVerdict : uint8_t { kDone, kStaleList, kNotIntact, kFailed };

struct ArchiveReply {
  ArchiveVerdict verdict = ArchiveVerdict::kFailed;
  uint64_t member = 0;
  // Version of the newest list that the member knows.
  uint64_t list_version = 0;
  // True when the member holds all that counted before it joined.
  bool intact = false;
  std::vector<TokenReservation> reservations = {};
  std::vector<TurnRecord> turns = {};
  // The first turn that the member lacks; empty when the chain is whole.
  std::string missing = {};
  uint64_t next = 0;
  bool more = false;
  // The newer member list, encoded, for kStaleList.
  std::string members = {};
  // How long ago the store last answered the member, milliseconds.
  int64_t store_silent_ms = 0;
};

std::string EncodeCall(const ArchiveCall& call);
std::string EncodeReply(const ArchiveReply& reply);
// Throw StateError when `bytes` are no message.
ArchiveCall DecodeCall(const std::string& bytes);
ArchiveReply DecodeReply(const std::string& bytes);

// What the journal holds: a record, or the list version that is fenced.
using JournalEntry = std::variant<TokenReservation, TurnRecord, FenceCall>;
std::string EncodeEntry(const JournalEntry& entry);
JournalEntry DecodeEntry(const std::string& bytes);

}  // namespace pimento
