// What ShardHost keeps for each shard, shared by its source files:
// shard_host.cc (deciding), shard_claims.cc (changing owners and members),
// shard_records.cc (records and the platform's copy).
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

// Prefix of the objects that hold a shard's records in the platform.
inline std::string FlushPrefix(uint32_t shard) {
  return "flush/" + std::to_string(shard) + "/";
}

// A shard is tried again no sooner than this after a claim.
inline constexpr int64_t kClaimPauseMs = 400;
// Record that tells when two members were lost together.
inline constexpr const char* kLossKey = "l/loss";

}  // namespace Internal

// kReplacing: the owner changes the members. It stays the owner, and records
// wait.
enum class ShardHost::Role { kNone, kTaking, kOwner, kReplacing };

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
  // Valid while kOwner.
  Epoch epoch;
  MemberList list;
  ProgramLedger ledger;
  uint64_t version = 0;
  // Appends sent at this epoch.
  uint64_t appends = 0;
  // Records that wait to be sent, in order. Bounded by the callers, each of
  // which waits for its own.
  std::deque<std::shared_ptr<Pending>> queue;
  bool sending = false;
  // True while no further batch may be sent.
  bool paused = false;
  // Members that miss records, and when to try them again.
  std::map<Member, int64_t> lagging;
  // When each lost member was first missed.
  std::map<Member, int64_t> missed;
  // True while a claim, replacement or hand-over runs.
  bool busy = false;
  // False while a hand-over runs: no new calls.
  bool admits = true;
  bool publish_due = false;
  int64_t headless_since_ms = 0;
  int64_t next_try_ms = 0;
  // Counted records that the platform does not hold yet.
  std::map<std::string, Record> unflushed;
  uint64_t flushes = 0;
  std::vector<std::string> flushed_names;
};

// Lives until the last of its requests has been answered.
struct ShardHost::ClaimRun {
  explicit ClaimRun(ClaimOptions options) : claim(std::move(options)) {}
  Claim claim;
  AsyncCondition changed;
};

struct ShardHost::RoundRun {
  RoundRun(MemberList list, Epoch round_epoch)
      : round(std::move(list)), epoch(round_epoch) {}
  AppendRound round;
  Epoch epoch;
  AsyncCondition changed;
};

}  // namespace pimento
