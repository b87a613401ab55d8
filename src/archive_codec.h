// Calls and replies of the archive protocol, and their Cap'n Proto encoding
// (schema/fleet.capnp). The journal stores its entries in the same encoding.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "src/turn_archive.h"

namespace pimento {

// Reads the token reservations of a program.
struct CollectCall {
  std::string program = {};
};
// Reads a turn and the turns that it continues from.
struct HistoryCall {
  std::string turn = {};
  std::string team = {};
};
// Makes the member refuse all later calls made under a member list older than
// `version`.
struct FenceCall {
  uint64_t version = 0;
};
// Reads one page of all the member's records, starting at position `from`. For
// hosts of earlier versions that join; later ones read digests.
struct CopyCall {
  uint64_t from = 0;
};
// Reads the digest of the member's records from position `from` on.
struct DigestCall {
  uint64_t from = 0;
  RecordScope scope = RecordScope::kSettled;
};
// Reads the records at positions that a digest of the run `run` named.
struct FetchCall {
  uint64_t run = 0;
  std::vector<uint64_t> positions = {};
  RecordScope scope = RecordScope::kSettled;
};
// Checks that the member is alive. In the reply, `next` is the version of the
// member list for which the member has completed its copy.
struct PingCall {};

struct ArchiveCall {
  // Version of the member list that the caller uses.
  uint64_t list_version = 0;
  // A TokenReservation or a TurnRecord is a request to store that record.
  std::variant<PingCall, TokenReservation, CollectCall, TurnRecord, HistoryCall,
               FenceCall, CopyCall, DigestCall, FetchCall>
      body = {};
};

// Same values as the schema's ArchiveReply.Verdict.
enum class ArchiveVerdict : uint8_t {
  kDone,
  // The call was made under a member list older than the member's fence.
  kStaleList,
  // The member is still copying records from the others.
  kNotIntact,
  // The record could not be synced to disk.
  kFailed,
  // There is no room for the record.
  kFull
};

struct ArchiveReply {
  ArchiveVerdict verdict = ArchiveVerdict::kFailed;
  // Id of the member that replies.
  uint64_t member = 0;
  // Version of the newest member list that the member knows.
  uint64_t list_version = 0;
  // True when the member has finished joining: it has copied the records that
  // were committed before it joined.
  bool intact = false;
  std::vector<TokenReservation> reservations = {};
  std::vector<TurnRecord> turns = {};
  // For a HistoryCall, the first turn of the chain that the member does not
  // have; empty when the chain is complete.
  std::string missing = {};
  // For a CopyCall or a DigestCall, the position of the next page; for a
  // FetchCall, how many of its positions were looked at; see also PingCall.
  uint64_t next = 0;
  // For these calls, true when there is another page.
  bool more = false;
  // For a DigestCall, the run of the member's process: positions of another run
  // mean nothing.
  uint64_t run = 0;
  // Whether the member went by the scope of the DigestCall or FetchCall; one of
  // an earlier version does not know kAll.
  RecordScope scope = RecordScope::kSettled;
  std::vector<TurnArchive::DigestEntry> digest = {};
  // For kStaleList, the member's newer member list, encoded; empty when it has
  // none.
  std::string members = {};
  // How long an answer of the platform's store to the member has been overdue,
  // milliseconds; 0 if none is.
  int64_t store_overdue_ms = 0;
};

std::string EncodeCall(const ArchiveCall& call);
std::string EncodeReply(const ArchiveReply& reply);
// Throw StateError when `bytes` is not a valid message.
ArchiveCall DecodeCall(const std::string& bytes);
ArchiveReply DecodeReply(const std::string& bytes);

// An entry of the journal: a record, or the fenced version of the member list.
using JournalEntry = std::variant<TokenReservation, TurnRecord, FenceCall>;
std::string EncodeEntry(const JournalEntry& entry, ArchiveTime written = {});

struct JournalRecord {
  JournalEntry entry = {};
  // Zero in entries of earlier versions.
  ArchiveTime written = {};
};
// Throws StateError when `bytes` is not a valid entry.
JournalRecord DecodeEntry(const std::string& bytes);

}  // namespace pimento
