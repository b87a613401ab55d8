// The programs of one shard: their calls in order, their answers and budgets.
//
// The ledger makes decisions and writes nothing itself. A change is a Record
// that the shard first commits to a quorum of its members and then applies
// here. The ledger therefore never shows a record that the next owner would not
// find.
//
// Keys of records: "p/ID" for a program, "c/ID/000007" for its seventh call.
#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/reason.h"
#include "src/shard_ids.h"

namespace pimento {

BOOST_DEFINE_ENUM_CLASS(ProgramState, kLive, kEnded, kExpired)
// kIntent: recorded before the dispatch, which may have begun. kUnknown:
// whether the call ran cannot be determined.
BOOST_DEFINE_ENUM_CLASS(CallState, kIntent, kDone, kUnknown)

struct ProgramRecord {
  std::string team = {};
  // Program whose budget this one draws on, or empty.
  std::string parent = {};
  // CallDigest() of a plain service call, to detect that its idempotency key is
  // reused for another request. Empty for other programs.
  std::string digest = {};
  int64_t created_ms = 0;
  int64_t deadline_ms = 0;
  uint32_t budget_calls = 0;
  uint64_t budget_tokens = 0;
  ProgramState state = ProgramState::kLive;
  int64_t ended_ms = 0;
  // Upstreams that have confirmed the release of the program's memory.
  std::vector<std::string> released = {};
};
BOOST_DESCRIBE_STRUCT(ProgramRecord, (),
                      (team, parent, digest, created_ms, deadline_ms,
                       budget_calls, budget_tokens, state, ended_ms, released))

struct CallRecord {
  CallState state = CallState::kIntent;
  std::string service = {};
  std::string path = {};
  std::string input = {};
  std::string digest = {};
  uint64_t max_tokens = 0;
  // The upstream of the latest attempt, and those of earlier attempts.
  std::string upstream = {};
  std::vector<std::string> earlier_upstreams = {};
  uint32_t attempt = 1;
  std::string output = {};
  uint64_t tokens = 0;
  int http_status = 0;
  std::string content_type = {};
  int64_t started_ms = 0;
  int64_t finished_ms = 0;
};
BOOST_DESCRIBE_STRUCT(CallRecord, (),
                      (state, service, path, input, digest, max_tokens,
                       upstream, earlier_upstreams, attempt, output, tokens,
                       http_status, content_type, started_ms, finished_ms))

// What a program has used of its budget or reserved.
struct Usage {
  uint64_t calls = 0;
  uint64_t tokens = 0;
};

// A program in the ledger: its record and calls, and state of this owner that
// is not recorded.
struct Program {
  ProgramRecord record;
  // By sequence number: 1 to calls.size(), without gaps.
  std::map<uint32_t, CallRecord> calls;
  // Programs whose parent is this one.
  std::vector<std::string> children;
  // Sequence number of the call in flight on this owner, or 0.
  uint32_t running_sequence = 0;
  // Maximum tokens of the running call. Counts against the budget until the
  // intent of the call is recorded.
  uint64_t reserved_tokens = 0;
  // Total budgets of children whose records are being committed.
  Usage pending_children;
  int64_t last_activity_ms = 0;

  uint32_t NextSequence() const {
    return static_cast<uint32_t>(calls.size()) + 1;
  }
};

// The position of a call relative to the calls that its program has made.
enum class CallPosition {
  kNext,         // the next one: it may run now
  kRunning,      // in flight: the request joins it
  kRecorded,     // finished: the answer is in the records
  kInterrupted,  // a former owner left an intent without an answer
  kAhead,        // an earlier call is missing or unfinished
  kMismatch,     // the recorded call has another digest
};

class ProgramLedger {
 public:
  // Applies one committed record; an empty value erases the key. Unknown keys
  // are ignored.
  void Apply(const Record& record);
  // Replaces the contents by `records`.
  void Load(const std::map<std::string, Record>& records);

  // Null when there is no such program.
  Program* Find(const std::string& id);
  const Program* Find(const std::string& id) const;

  // `digest` is the CallDigest() of the request.
  CallPosition PositionOf(const Program& program, uint32_t sequence,
                          const std::string& digest) const;

  // Finished calls count with the tokens they used, others with their maximum;
  // live children count with their whole budgets, ended ones with their usage.
  Usage Used(const Program& program) const;
  // Why the budget does not allow one more call of up to `tokens` tokens, or
  // nothing when it does.
  std::optional<Reason> OverBudget(const Program& program, uint64_t tokens,
                                   int64_t now_ms) const;
  // Why the budget does not allow a child program with a budget of `calls` and
  // `tokens`, or nothing when it does.
  std::optional<Reason> OverBudgetForChild(const Program& program,
                                           uint32_t calls, uint64_t tokens,
                                           int64_t now_ms) const;

  // Upstreams that may still hold session memory of the program.
  std::set<std::string> UpstreamsWithMemory(const Program& program) const;
  // Session memory of ended programs that is still to be released, as (program,
  // upstream).
  std::vector<std::pair<std::string, std::string>> PendingReleases() const;
  // Live programs past their deadline.
  std::vector<std::string> Overdue(int64_t now_ms) const;
  // Programs that ended before `before_ms` and have no memory left to release.
  std::vector<std::string> Removable(int64_t before_ms) const;
  // Calls of live programs that have an intent and no answer and are not in
  // flight on this owner, as (program, sequence number).
  std::vector<std::pair<std::string, uint32_t>> InterruptedCalls() const;

  size_t size() const { return programs_.size(); }
  const std::map<std::string, Program>& programs() const { return programs_; }

 private:
  void LinkToParent(const std::string& id, const std::string& parent);

  std::map<std::string, Program> programs_;
};

// Keys of records, see above.
std::string ProgramKey(const std::string& id);
std::string CallKey(const std::string& id, uint32_t sequence);
// Records to commit; the shard sets their epoch and version.
Record MakeRecord(const std::string& id, const ProgramRecord& program);
Record MakeRecord(const std::string& id, uint32_t sequence,
                  const CallRecord& call);

// Program names contain their shard: "0007-9f86d081884c7d65" is in shard 7. The
// rest is a hash of `unique`.
std::string ProgramId(uint32_t shard, const std::string& unique);
// The shard of program `id`, or nothing when `id` does not have the form of a
// program name.
std::optional<uint32_t> ShardOfProgram(const std::string& id);

// Digest of the contents of a call, to detect that one sequence number is used
// for two different requests.
std::string CallDigest(const std::string& service, const std::string& path,
                       const std::string& input, uint64_t max_tokens);

}  // namespace pimento
