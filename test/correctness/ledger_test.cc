// Tests of the program ledger: the order of calls, interrupted calls, budgets,
// the release of engine memory, and records.
#include <doctest/doctest.h>

#include "src/program_ledger.h"

namespace pimento {
namespace {

const std::string kProgram = "0001-00000000000000aa";

void PutProgram(ProgramLedger& ledger, const std::string& id, uint32_t calls,
                uint64_t tokens, const std::string& parent = "") {
  ProgramRecord record;
  record.team = "t";
  record.parent = parent;
  record.deadline_ms = 10'000;
  record.budget_calls = calls;
  record.budget_tokens = tokens;
  ledger.Apply(MakeRecord(id, record));
}

void PutCall(ProgramLedger& ledger, uint32_t sequence, CallState state,
             uint64_t tokens, const std::string& upstream = "e1",
             const std::string& id = kProgram) {
  CallRecord call;
  call.state = state;
  call.digest = "d" + std::to_string(sequence);
  call.max_tokens = 100;
  call.tokens = tokens;
  call.upstream = upstream;
  ledger.Apply(MakeRecord(id, sequence, call));
}

}  // namespace

TEST_CASE("calls run in the order of their sequence numbers") {
  ProgramLedger ledger;
  PutProgram(ledger, kProgram, 10, 1'000);
  Program& program = *ledger.Find(kProgram);
  CHECK(ledger.PositionOf(program, 1, "d1") == CallPosition::kNext);
  CHECK(ledger.PositionOf(program, 2, "d2") == CallPosition::kAhead);
  program.running_sequence = 1;
  CHECK(ledger.PositionOf(program, 1, "d1") == CallPosition::kRunning);
  CHECK(ledger.PositionOf(program, 2, "d2") == CallPosition::kAhead);
  PutCall(ledger, 1, CallState::kDone, 10);
  program.running_sequence = 0;
  CHECK(ledger.PositionOf(program, 1, "d1") == CallPosition::kRecorded);
  CHECK(ledger.PositionOf(program, 1, "other") == CallPosition::kMismatch);
  CHECK(ledger.PositionOf(program, 2, "d2") == CallPosition::kNext);
}

TEST_CASE("an intent without an answer blocks later calls") {
  ProgramLedger ledger;
  PutProgram(ledger, kProgram, 10, 1'000);
  PutCall(ledger, 1, CallState::kIntent, 0);
  const Program& program = *ledger.Find(kProgram);
  CHECK(ledger.PositionOf(program, 1, "d1") == CallPosition::kInterrupted);
  CHECK(ledger.PositionOf(program, 2, "d2") == CallPosition::kAhead);
  CHECK(ledger.InterruptedCalls().size() == 1);
}

TEST_CASE(
    "an intent counts with its maximum tokens, an answer with those it used") {
  ProgramLedger ledger;
  PutProgram(ledger, kProgram, 10, 150);
  PutCall(ledger, 1, CallState::kIntent, 0);
  const Program& program = *ledger.Find(kProgram);
  CHECK(ledger.OverBudget(program, 100, 0) == Reason::kBudgetTokens);
  PutCall(ledger, 1, CallState::kDone, 20);
  CHECK_FALSE(ledger.OverBudget(program, 100, 0).has_value());
}

TEST_CASE("a budget limits calls, tokens and time") {
  ProgramLedger ledger;
  PutProgram(ledger, kProgram, 1, 1'000);
  const Program& program = *ledger.Find(kProgram);
  CHECK_FALSE(ledger.OverBudget(program, 1'000, 9'999).has_value());
  CHECK(ledger.OverBudget(program, 1'001, 0) == Reason::kBudgetTokens);
  CHECK(ledger.OverBudget(program, 1, 10'000) == Reason::kBudgetTime);
  PutCall(ledger, 1, CallState::kDone, 1);
  CHECK(ledger.OverBudget(program, 1, 0) == Reason::kBudgetCalls);
}

TEST_CASE("sub-agents draw on the budget of their parent") {
  ProgramLedger ledger;
  const std::string child = "0001-00000000000000bb";
  PutProgram(ledger, kProgram, 4, 1'000);
  PutProgram(ledger, child, 3, 600, kProgram);
  const Program& parent = *ledger.Find(kProgram);
  CHECK_FALSE(ledger.OverBudget(parent, 400, 0).has_value());
  CHECK(ledger.OverBudget(parent, 401, 0) == Reason::kBudgetTokens);
  CHECK(ledger.OverBudgetForChild(parent, 2, 1, 0) == Reason::kBudgetCalls);
  // An ended child returns the unused part of its budget.
  PutCall(ledger, 1, CallState::kDone, 50, "e1", child);
  ProgramRecord ended = ledger.Find(child)->record;
  ended.state = ProgramState::kEnded;
  ledger.Apply(MakeRecord(child, ended));
  CHECK(ledger.Used(parent).tokens == 50);
  CHECK(ledger.Used(parent).calls == 1);
}

TEST_CASE("a child reserves its budget while its record is being committed") {
  ProgramLedger ledger;
  PutProgram(ledger, kProgram, 4, 1'000);
  Program& parent = *ledger.Find(kProgram);
  parent.pending_children = {.calls = 4, .tokens = 10};
  CHECK(ledger.OverBudgetForChild(parent, 1, 1, 0) == Reason::kBudgetCalls);
}

TEST_CASE(
    "a release of engine memory is pending until the engine confirms it") {
  ProgramLedger ledger;
  PutProgram(ledger, kProgram, 10, 1'000);
  PutCall(ledger, 1, CallState::kDone, 1, "e1");
  PutCall(ledger, 2, CallState::kDone, 1, "e2");
  CHECK(ledger.PendingReleases().empty());
  ProgramRecord record = ledger.Find(kProgram)->record;
  record.state = ProgramState::kEnded;
  ledger.Apply(MakeRecord(kProgram, record));
  CHECK(ledger.PendingReleases().size() == 2);
  CHECK(ledger.Removable(1'000'000).empty());
  record.released = {"e1", "e2"};
  ledger.Apply(MakeRecord(kProgram, record));
  CHECK(ledger.PendingReleases().empty());
  CHECK(ledger.Removable(1'000'000).size() == 1);
}

TEST_CASE("a ledger loaded from records has their programs and calls") {
  ProgramLedger ledger;
  const std::string child = "0001-0000000000000001";
  std::map<std::string, Record> records;
  const auto put = [&](const Record& record) { records[record.key] = record; };
  ProgramRecord parent;
  parent.team = "t";
  parent.budget_calls = 9;
  put(MakeRecord(kProgram, parent));
  ProgramRecord sub = parent;
  sub.parent = kProgram;
  put(MakeRecord(child, sub));
  CallRecord call;
  call.output = "answer with \"quotes\" and \n lines";
  call.state = CallState::kDone;
  put(MakeRecord(kProgram, 1, call));
  ledger.Load(records);
  CHECK(ledger.Find(kProgram)->calls.at(1).output == call.output);
  CHECK(ledger.Find(kProgram)->children == std::vector<std::string>{child});
  CHECK(ledger.Find(child)->calls.empty());
}

TEST_CASE("an answer with arbitrary bytes is recorded unchanged") {
  ProgramLedger ledger;
  PutProgram(ledger, kProgram, 10, 1'000);
  CallRecord call;
  call.state = CallState::kDone;
  call.output = std::string("\xff\xfe \0 \xc3", 7);
  ledger.Apply(MakeRecord(kProgram, 1, call));
  CHECK(ledger.Find(kProgram)->calls.at(1).output == call.output);
}

TEST_CASE("program names contain their shard") {
  const std::string id = ProgramId(26, "some key");
  CHECK(ShardOfProgram(id) == 26);
  CHECK_FALSE(ShardOfProgram("nonsense").has_value());
  CHECK_FALSE(ShardOfProgram("001a-xyz").has_value());
}

}  // namespace pimento
