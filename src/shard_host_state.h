// The per-shard state of ShardHost, shared by its source files: shard_host.cc
// (when to change ownership), shard_claims.cc (changing owners and members),
// shard_records.cc (committing records and flushing them to the platform).
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/async_condition.h"
#include "src/shard_host.h"
#include "src/shard_protocol.h"

namespace pimento {

namespace Internal {

inline bool Contains(const std::vector<Member>& members, const Member& member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}

// Name prefix of the platform objects that hold a shard's flushed records.
inline std::string FlushPrefix(uint32_t shard) {
  return "flush/" + std::to_string(shard) + "/";
}

// Delay before the next ownership change of a shard, and between rebalancing
// moves.
inline constexpr int64_t kClaimBackoffMs = 400;
// Key of the record that stores when two members were lost together, in
// milliseconds since 1970.
inline constexpr const char* kLossKey = "l/loss";

}  // namespace Internal

// kClaiming: a claim is in progress. kReplacing: the owner changes the members;
// it stays the owner, and new records wait in the queue.
enum class ShardHost::Role { kNone, kClaiming, kOwner, kReplacing };

// One call of Commit() that waits for its records to be committed.
struct ShardHost::Pending {
  std::vector<Record> records;
  bool done = false;
  std::optional<Reason> failure;
  AsyncCondition signal;
};

struct ShardHost::Shard {
  uint32_t id = 0;
  std::unique_ptr<Replica> replica;
  Role role = Role::kNone;
  // `epoch` and `list` are valid while kOwner.
  Epoch epoch;
  MemberList list;
  ProgramLedger ledger;
  // Version of the last record written at this epoch.
  uint64_t version = 0;
  // Number of appends sent at this epoch.
  uint64_t appends = 0;
  // Records that wait to be sent, in order. Bounded by the number of callers,
  // since each waits for its own entry.
  std::deque<std::shared_ptr<Pending>> queue;
  // True while SendLoop() runs.
  bool sending = false;
  // True while SendLoop() must not start another batch.
  bool paused = false;
  // Members whose replica lacks committed records, and when to send the full
  // copy again, in milliseconds since 1970.
  std::map<Member, int64_t> lagging;
  // When each unavailable member was first found missing.
  std::map<Member, int64_t> missing_since_ms;
  // True while a claim, replacement or handover runs.
  bool busy = false;
  // False during a handover: no new calls are accepted.
  bool admits = true;
  // True when the platform's ownership object must be brought up to date.
  bool publish_due = false;
  // Since when no live owner is known; 0 while there is one.
  int64_t ownerless_since_ms = 0;
  // No ownership change of the shard starts before this time.
  int64_t next_attempt_ms = 0;
  // Committed records that are not yet in the platform.
  std::map<std::string, Record> unflushed;
  // Number of objects written by this run, part of their names.
  uint64_t flushes = 0;
  // Names of the objects of this epoch that compaction has not removed.
  std::vector<std::string> flushed_names;
};

// A claim and the requests in flight for it. Shared by those requests: it lives
// until the last of them has ended.
struct ShardHost::ClaimRun {
  explicit ClaimRun(ClaimOptions options) : claim(std::move(options)) {}
  Claim claim;
  AsyncCondition changed;
};

// The same for the append of one batch.
struct ShardHost::AppendRun {
  AppendRun(MemberList list, Epoch round_epoch)
      : round(std::move(list)), epoch(round_epoch) {}
  AppendRound round;
  Epoch epoch;
  AsyncCondition changed;
};

}  // namespace pimento
