// The programs of one shard: their calls in order, their answers and budgets.
//
// The ledger decides; it writes nothing. A change is a Record that the shard
// commits to its members first and then applies here, so that what the ledger
// shows is what a successor would find.
//
// Keys of records: "p/ID" a program, "c/ID/000007" its seventh call.
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
// kIntent: dispatch may have begun. kUnknown: it may have run, nobody can tell.
BOOST_DEFINE_ENUM_CLASS(CallState, kIntent, kDone, kUnknown)

struct ProgramRecord {
  std::string team = {};
  // Program whose budget this one draws on, or empty.
  std::string parent = {};
  // Digest of what a plain service call asked for, to notice a reused key.
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
  // The upstream that got the call, and the ones before it.
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

// What a program has used or set aside.
struct Usage {
  uint64_t calls = 0;
  uint64_t tokens = 0;
};

// A program as the ledger holds it.
struct Program {
  ProgramRecord record;
  // Sequence numbers 1 to calls.size(), without gaps.
  std::map<uint32_t, CallRecord> calls;
  std::vector<std::string> children;
  // Sequence number under way on this owner, or 0. Not recorded.
  uint32_t running_sequence = 0;
  // Tokens that the running call may still use, before its intent is recorded.
  uint64_t reserved_tokens = 0;
  // Budgets of children that are being recorded.
  Usage pending_children;
  int64_t last_activity_ms = 0;

  uint32_t NextSequence() const {
    return static_cast<uint32_t>(calls.size()) + 1;
  }
};

// Where a call stands in its program's order.
enum class CallPosition {
  kNext,         // may run now
  kRunning,      // is running; join it
  kRecorded,     // has its answer
  kInterrupted,  // has an intent and no answer, from a former owner
  kAhead,        // an earlier one is missing
  kMismatch,     // the same number with other contents
};

class ProgramLedger {
 public:
  // Applies one counted record. Unknown keys are ignored.
  void Apply(const Record& record);
  void Load(const std::map<std::string, Record>& records);

  Program* Find(const std::string& id);
  const Program* Find(const std::string& id) const;

  CallPosition PositionOf(const Program& program, uint32_t sequence,
                          const std::string& digest) const;

  Usage Used(const Program& program) const;
  // Why the budget does not allow one more call of `tokens`, or nothing.
  std::optional<Reason> OverBudget(const Program& program, uint64_t tokens,
                                   int64_t now_ms) const;
  // Why the budget does not allow a child with this budget, or nothing.
  std::optional<Reason> OverBudgetForChild(const Program& program,
                                           uint32_t calls, uint64_t tokens,
                                           int64_t now_ms) const;

  // Engines that may still hold memory of the program.
  std::set<std::string> Residences(const Program& program) const;
  // Ended programs with memory to release, as (program, upstream).
  std::vector<std::pair<std::string, std::string>> PendingReleases() const;
  // Live programs past their deadline.
  std::vector<std::string> Overdue(int64_t now_ms) const;
  // Ended programs, fully released, that ended before `before_ms`.
  std::vector<std::string> Removable(int64_t before_ms) const;
  // Calls of live programs with an intent and no answer that do not run here.
  std::vector<std::pair<std::string, uint32_t>> InterruptedCalls() const;

  size_t size() const { return programs_.size(); }
  const std::map<std::string, Program>& programs() const { return programs_; }

 private:
  void LinkToParent(const std::string& id, const std::string& parent);

  std::map<std::string, Program> programs_;
};

std::string ProgramKey(const std::string& id);
std::string CallKey(const std::string& id, uint32_t sequence);
Record MakeRecord(const std::string& id, const ProgramRecord& program);
Record MakeRecord(const std::string& id, uint32_t sequence,
                  const CallRecord& call);

// Program names carry their shard: "0007-9f86d081884c7d65".
std::string ProgramId(uint32_t shard, const std::string& unique);
// The shard in `id`, or nothing when `id` is no program name.
std::optional<uint32_t> ShardOfProgram(const std::string& id);

// Digest of what a call asks for.
std::string CallDigest(const std::string& service, const std::string& path,
                       const std::string& input, uint64_t max_tokens);

}  // namespace pimento
