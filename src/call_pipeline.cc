// Programs, and which call of a program may run.
#include "src/call_pipeline.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "src/call_running.h"
#include "src/owner_view.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

namespace json = boost::json;

using Internal::kPollMs;

constexpr int64_t kDefaultPatienceMs = 15'000;
// A plain service call is a program of its own, kept this long for retries.
constexpr int64_t kSingleLifeMs = 600'000;

}  // namespace

CallPipeline::CallPipeline(Parts parts) : parts_(parts) {}

void CallPipeline::Note(const Running& call, const std::string& text) const {
  parts_.explain->Note(call.request_id, call.program, call.sequence, text);
}

// ---- Programs --------------------------------------------------------------

uint32_t CallPipeline::AdmittedShard(const std::string& program) const {
  const std::optional<uint32_t> shard = ShardOfProgram(program);
  if (!shard || *shard >= parts_.context->environment.load()->document.shards) {
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "There is no program " + program + ".");
  }
  if (!parts_.shards->Owns(*shard)) {
    throw Refusal(Reason::kNotOwner, RunState::kUnknown,
                  "Another host owns the program.");
  }
  if (!parts_.shards->Admits(*shard)) {
    throw Refusal(Reason::kOwnerChanging, RunState::kUnknown,
                  "The program is being moved.");
  }
  return *shard;
}

Program& CallPipeline::ProgramOf(uint32_t shard, const std::string& id,
                                 const std::string& team) {
  Program* program = parts_.shards->Ledger(shard).Find(id);
  // Another team's program looks like none at all.
  if (program == nullptr || program->record.team != team) {
    const bool uncertain = NowMs() < parts_.shards->UncertainUntil(shard);
    throw Refusal(Reason::kNotFound,
                  uncertain ? RunState::kUnknown : RunState::kNotRun,
                  "There is no program " + id + ".");
  }
  return *program;
}

CallPipeline::Async<ProgramView> CallPipeline::Create(CreateRequest request) {
  const uint32_t shard = AdmittedShard(request.id);
  ProgramLedger& ledger = parts_.shards->Ledger(shard);
  const int64_t now_ms = NowMs();
  ProgramRecord record{.team = request.team,
                       .parent = request.parent,
                       .digest = request.digest,
                       .created_ms = now_ms,
                       .deadline_ms = now_ms + request.time_ms,
                       .budget_calls = request.budget_calls,
                       .budget_tokens = request.budget_tokens};
  const Program* known = ledger.Find(request.id);
  if (known != nullptr) {
    const bool same = known->record.team == request.team &&
                      known->record.digest == request.digest;
    if (!same) {
      throw Refusal(Reason::kIdempotencyKeyReused, RunState::kNotRun,
                    "The Idempotency-Key was used for another program.");
    }
    co_await parts_.shards->Confirm(shard);
  } else {
    if (!request.parent.empty()) {
      const Program& parent = ProgramOf(shard, request.parent, request.team);
      const bool live = parent.record.state == ProgramState::kLive;
      if (!live)
        throw Refusal(Reason::kProgramEnded, RunState::kNotRun,
                      "The parent has ended.");
      const std::optional<Reason> over = ledger.OverBudgetForChild(
          parent, request.budget_calls, request.budget_tokens, now_ms);
      if (over) {
        throw Refusal(*over, RunState::kNotRun,
                      "The parent's budget does not allow this child.");
      }
      record.deadline_ms =
          std::min(record.deadline_ms, parent.record.deadline_ms);
    }
    co_await RecordProgram(shard, request, record);
    parts_.context->metrics->Add(Counter::kProgramsCreated);
  }
  const Program& program = ProgramOf(shard, request.id, request.team);
  co_return ProgramView{.outcome = {}, .json = ViewJson(request.id, program)};
}

// Records a new program. What a child takes of its parent's budget is set aside
// before the record is on its way, so that no other child or call takes it too.
CallPipeline::Async<void> CallPipeline::RecordProgram(uint32_t shard,
                                                      CreateRequest request,
                                                      ProgramRecord record) {
  ProgramLedger& ledger = parts_.shards->Ledger(shard);
  const Usage share{.calls = request.budget_calls,
                    .tokens = request.budget_tokens};
  if (Program* parent = ledger.Find(request.parent); parent != nullptr) {
    parent->pending_children.calls += share.calls;
    parent->pending_children.tokens += share.tokens;
  }
  std::vector<Record> records = {MakeRecord(request.id, record)};
  std::exception_ptr failure;
  try {
    co_await parts_.shards->Commit(shard, std::move(records));
  } catch (const Refusal&) {
    failure = std::current_exception();
  }
  if (Program* parent = ledger.Find(request.parent); parent != nullptr) {
    parent->pending_children.calls -=
        std::min(parent->pending_children.calls, share.calls);
    parent->pending_children.tokens -=
        std::min(parent->pending_children.tokens, share.tokens);
  }
  if (failure) std::rethrow_exception(failure);
}

CallPipeline::Async<ProgramView> CallPipeline::View(std::string id,
                                                    std::string team) {
  const uint32_t shard = AdmittedShard(id);
  // A stale owner must not read out an old history.
  co_await parts_.shards->Confirm(shard);
  const Program& program = ProgramOf(shard, id, team);
  co_return ProgramView{.outcome = {}, .json = ViewJson(id, program)};
}

CallPipeline::Async<ProgramView> CallPipeline::End(std::string id,
                                                   std::string team) {
  const uint32_t shard = AdmittedShard(id);
  const Program& program = ProgramOf(shard, id, team);
  if (program.record.state == ProgramState::kLive) {
    const int64_t created_ms = program.record.created_ms;
    co_await EndAs(id, ProgramState::kEnded);
    parts_.context->metrics->Add(Counter::kProgramsEnded);
    parts_.context->metrics->Observe(Latency::kProgram,
                                     static_cast<double>(NowMs() - created_ms));
  } else {
    co_await parts_.shards->Confirm(shard);
  }
  const Program& ended = ProgramOf(shard, id, team);
  co_return ProgramView{.outcome = {}, .json = ViewJson(id, ended)};
}

CallPipeline::Async<void> CallPipeline::Expire(std::string id) {
  co_await EndAs(id, ProgramState::kExpired);
  parts_.context->metrics->Add(Counter::kProgramsExpired);
}

CallPipeline::Async<void> CallPipeline::EndAs(std::string id,
                                              ProgramState state) {
  const std::optional<uint32_t> shard = ShardOfProgram(id);
  if (!shard || !parts_.shards->Owns(*shard)) co_return;
  Program* program = parts_.shards->Ledger(*shard).Find(id);
  if (program == nullptr || program->record.state != ProgramState::kLive)
    co_return;
  // What runs for a program that is gone ends early, unless it must not be
  // lost.
  for (auto& [call_id, call] : running_) {
    if (call_id.first == id && call->idempotent) call->given_up = true;
  }
  std::vector<Record> records;
  ProgramRecord ended = program->record;
  ended.state = state;
  ended.ended_ms = NowMs();
  records.push_back(MakeRecord(id, ended));
  const std::vector<std::string> children = program->children;
  co_await parts_.shards->Commit(*shard, std::move(records));
  for (const std::string& child : children) co_await EndAs(child, state);
}

std::string CallPipeline::ViewJson(const std::string& id,
                                   const Program& program) const {
  const uint32_t shard = *ShardOfProgram(id);
  const Usage used = parts_.shards->Ledger(shard).Used(program);
  json::array calls;
  for (const auto& [sequence, call] : program.calls) {
    json::object item = {
        {"sequence", sequence},
        {"service", call.service},
        {"state", call.state == CallState::kDone      ? "done"
                  : call.state == CallState::kUnknown ? "unknown"
                                                      : "running"},
        {"input", call.input},
        {"output", call.output},
        {"tokens", call.tokens}};
    if (!call.path.empty()) item["path"] = call.path;
    if (call.http_status != 0) item["http_status"] = call.http_status;
    calls.push_back(std::move(item));
  }
  const char* state = program.record.state == ProgramState::kLive ? "live"
                      : program.record.state == ProgramState::kEnded
                          ? "ended"
                          : "expired";
  json::object view = {
      {"program", id},
      {"state", state},
      {"budget",
       {{"calls", program.record.budget_calls},
        {"tokens", program.record.budget_tokens}}},
      {"used", {{"calls", used.calls}, {"tokens", used.tokens}}},
      {"calls", std::move(calls)}};
  if (!program.record.parent.empty()) view["parent"] = program.record.parent;
  return json::serialize(view);
}

// ---- Taking a call ---------------------------------------------------------

const Service& CallPipeline::ServiceOf(const Document& document,
                                       const CallRequest& request) const {
  const Service* service = document.FindService(request.service);
  if (service == nullptr) {
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "There is no service " + request.service + ".");
  }
  const auto team = document.teams.find(request.team);
  const bool allowed =
      service->open || (team != document.teams.end() &&
                        team->second.services.contains(service->name));
  if (!allowed) {
    throw Refusal(Reason::kServiceNotAllowed, RunState::kNotRun,
                  "The team may not use the service " + service->name + ".");
  }
  return *service;
}

// A plain service call is a program with one call, named by its
// Idempotency-Key.
CallPipeline::Async<void> CallPipeline::EnsureSingle(
    uint32_t shard, const CallRequest& request) {
  ProgramLedger& ledger = parts_.shards->Ledger(shard);
  if (ledger.Find(request.program) != nullptr) co_return;
  const int64_t now_ms = NowMs();
  const ProgramRecord record{.team = request.team,
                             .parent = {},
                             .digest = {},
                             .created_ms = now_ms,
                             .deadline_ms = now_ms + kSingleLifeMs,
                             .budget_calls = 1,
                             .budget_tokens = request.max_tokens};
  std::vector<Record> records = {MakeRecord(request.program, record)};
  co_await parts_.shards->Commit(shard, std::move(records));
}

void CallPipeline::RefuseIfUncertain(uint32_t shard, const Program& program,
                                     const Service& service) const {
  const int64_t until_ms = parts_.shards->UncertainUntil(shard);
  const bool uncertain = NowMs() < until_ms;
  if (!uncertain || service.idempotent) return;
  if (program.record.budget_calls != 1 &&
      program.record.created_ms > until_ms - kSingleLifeMs) {
    return;
  }
  throw Refusal(Reason::kOutcomeUnknown, RunState::kUnknown,
                "Records of this call may have been lost with two hosts.");
}

CallPipeline::Async<CallReply> CallPipeline::Call(CallRequest request,
                                                  PieceSink sink) {
  const uint32_t shard = AdmittedShard(request.program);
  const auto environment = parts_.context->environment.load();
  const int64_t patience_ms =
      request.patience_ms > 0 ? request.patience_ms : kDefaultPatienceMs;
  const int64_t deadline_ms = NowMs() + patience_ms;
  const std::string digest = CallDigest(request.service, request.path,
                                        request.input, request.max_tokens);
  bool confirmed = false;
  for (;;) {
    if (!parts_.shards->Admits(shard)) AdmittedShard(request.program);
    ProgramLedger& ledger = parts_.shards->Ledger(shard);
    if (request.single && !request.read_only &&
        ledger.Find(request.program) == nullptr) {
      ServiceOf(environment->document, request);
      co_await EnsureSingle(shard, request);
      continue;
    }
    const auto running = running_.find({request.program, request.sequence});
    if (running != running_.end() && !running->second->orphaned) {
      const bool same =
          running->second->record.digest == digest || request.read_only;
      if (!same) {
        throw Refusal(Reason::kSequenceMismatch, RunState::kUnknown,
                      "This sequence number belongs to another call.");
      }
      parts_.context->metrics->Add(Counter::kCallsJoined);
      co_return co_await Join(running->second, request, sink);
    }
    const Turn turn = TurnFor(shard, request, digest);
    if (turn == Turn::kRunning) {
      co_await Sleep(kPollMs);
      continue;
    }
    if (turn == Turn::kAhead) {
      co_await WaitForTurn(
          shard, request,
          std::min(deadline_ms, NowMs() + parts_.context->timing.gap_ms));
      confirmed = false;
      continue;
    }
    // A new call is fenced by its own intent. Anything else that is said here
    // may be a stale owner's word until a member has accepted this owner after
    // the request came.
    const bool begins =
        turn == Turn::kNext && MayBegin(shard, request, environment->document);
    if (!begins && !confirmed) {
      co_await parts_.shards->Confirm(shard);
      confirmed = true;
      continue;
    }
    if (turn == Turn::kNext) CheckNext(shard, request, environment->document);
    Program& program = ProgramOf(shard, request.program, request.team);
    const auto known = program.calls.find(request.sequence);
    if (turn == Turn::kMismatch) {
      throw Refusal(request.single ? Reason::kIdempotencyKeyReused
                                   : Reason::kSequenceMismatch,
                    RunState::kUnknown,
                    "This sequence number belongs to another call.");
    }
    if (turn == Turn::kRecorded) {
      parts_.context->metrics->Add(Counter::kCallsReplayed);
      co_return Recorded(known->second);
    }
    if (turn == Turn::kReopened) {
      const CallRecord record = known->second;
      co_return co_await Join(Begin(shard, request, record.digest, &record),
                              request, sink);
    }
    co_return co_await Join(Begin(shard, request, digest, nullptr), request,
                            sink);
  }
}

Turn CallPipeline::TurnFor(uint32_t shard, const CallRequest& request,
                           const std::string& digest) const {
  const ProgramLedger& ledger = parts_.shards->Ledger(shard);
  const Program* program = ledger.Find(request.program);
  // A missing program is refused by CheckNext(), once that is certain.
  if (program == nullptr || program->record.team != request.team)
    return Turn::kNext;
  const auto known = program->calls.find(request.sequence);
  const bool made =
      known != program->calls.end() || program->running == request.sequence;
  // A call that was never made is no reason to wait for others.
  if (request.read_only && !made) return Turn::kNext;
  const bool read = request.read_only && known != program->calls.end();
  return ledger.TurnOf(*program, request.sequence,
                       read ? known->second.digest : digest);
}

// Throws why the call, whose turn it is, may not begin.
void CallPipeline::CheckNext(uint32_t shard, const CallRequest& request,
                             const Document& document) {
  const Program& program = ProgramOf(shard, request.program, request.team);
  if (request.read_only) {
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "This call has not been made.");
  }
  if (program.record.state != ProgramState::kLive) {
    throw Refusal(Reason::kProgramEnded, RunState::kNotRun,
                  "The program has ended.");
  }
  RefuseIfUncertain(shard, program, ServiceOf(document, request));
}

bool CallPipeline::MayBegin(uint32_t shard, const CallRequest& request,
                            const Document& document) {
  try {
    CheckNext(shard, request, document);
  } catch (const Refusal&) {
    return false;
  }
  return true;
}

// Waits for the calls before this one. Throws kSequenceGap when they do not
// come.
CallPipeline::Async<void> CallPipeline::WaitForTurn(uint32_t shard,
                                                    const CallRequest& request,
                                                    int64_t deadline_ms) {
  for (;;) {
    const Program* program = parts_.shards->Ledger(shard).Find(request.program);
    if (program == nullptr || !parts_.shards->Owns(shard)) co_return;
    const bool turn =
        request.sequence <= program->NextSequence() && program->running == 0;
    if (turn) co_return;
    // The call right before this one may take as long as it likes.
    const bool follows_running =
        program->running != 0 && request.sequence <= program->running + 1;
    if (NowMs() >= deadline_ms && !follows_running) {
      co_await parts_.shards->Confirm(shard);
      ThrowGap(shard);
    }
    const auto running = running_.find({request.program, program->running});
    if (running != running_.end()) {
      const RunningPtr predecessor = running->second;
      co_await predecessor->done.Wait(500);
    } else {
      co_await Sleep(kPollMs);
    }
  }
}

// An earlier call is missing. After a loss of records it may have run.
void CallPipeline::ThrowGap(uint32_t shard) const {
  if (NowMs() < parts_.shards->UncertainUntil(shard)) {
    throw Refusal(Reason::kOutcomeUnknown, RunState::kUnknown,
                  "Records of an earlier call were lost with two hosts.");
  }
  throw Refusal(Reason::kSequenceGap, RunState::kNotRun,
                "An earlier call of the program is missing.", kPollMs);
}

CallReply CallPipeline::Recorded(const CallRecord& record) const {
  return {.outcome = {.reason = Reason::kNone,
                      .run = RunState::kDone,
                      .message = {},
                      .owner = {}},
          .http_status = record.http_status,
          .content_type = record.content_type,
          .output = record.output,
          .tokens = record.tokens,
          .attempt = record.attempt,
          .unknown = record.state == CallState::kUnknown};
}

CallPipeline::RunningPtr CallPipeline::Begin(uint32_t shard,
                                             const CallRequest& request,
                                             const std::string& digest,
                                             const CallRecord* reopened) {
  const auto environment = parts_.context->environment.load();
  auto call = std::make_shared<Running>();
  call->shard = shard;
  call->program = request.program;
  call->sequence = request.sequence;
  call->request_id = request.request_id;
  if (call->request_id.empty()) call->request_id = request.program + "/resumed";
  call->single = request.single;
  call->started_ms = NowMs();
  call->reopened = reopened != nullptr;
  if (reopened != nullptr) {
    call->record = *reopened;
    call->dispatched = true;
    call->last_upstream = reopened->upstream;
  } else {
    call->record.service = request.service;
    call->record.path = request.path;
    call->record.input = request.input;
    call->record.digest = digest;
    call->record.max_tokens = request.max_tokens;
  }
  const Service* service =
      environment->document.FindService(call->record.service);
  call->idempotent = service != nullptr && service->idempotent;
  call->engine = call->record.max_tokens > 0;
  const int64_t patience_ms =
      request.patience_ms > 0 ? request.patience_ms : kDefaultPatienceMs;
  call->deadline_ms = NowMs() + patience_ms;
  Program& program = *parts_.shards->Ledger(shard).Find(request.program);
  call->team = program.record.team;
  call->single = call->single || program.record.budget_calls == 1;
  for (const auto& [sequence, earlier] : program.calls) {
    call->attained += static_cast<double>(earlier.tokens);
    if (earlier.service == call->record.service && !earlier.upstream.empty()) {
      call->last_upstream = earlier.upstream;
    }
  }
  call->prompt = Prompt(program, call->record.input);
  program.running = call->sequence;
  program.reserved_tokens = call->record.max_tokens;
  program.touched_ms = NowMs();
  running_[{call->program, call->sequence}] = call;
  Spawn(*parts_.context->shards_io, "call", RunCall(call));
  return call;
}

CallPipeline::Async<CallReply> CallPipeline::Join(RunningPtr call,
                                                  const CallRequest& request,
                                                  PieceSink sink) {
  const bool same_attempt = request.attempt == call->record.attempt;
  const uint64_t from =
      same_attempt ? std::min<uint64_t>(request.offset, call->text.size()) : 0;
  if (sink) {
    if (call->text.size() > from)
      sink(call->record.attempt, from, call->text.substr(from));
    call->subscribers.push_back({.sink = sink});
  }
  while (!call->finished) co_await call->done.Wait(5'000);
  if (call->refusal) throw Refusal(*call->refusal);
  co_return Recorded(call->record);
}

std::string CallPipeline::Prompt(const Program& program,
                                 const std::string& input) const {
  std::string prompt;
  for (const auto& [sequence, call] : program.calls) {
    if (call.state == CallState::kIntent) continue;
    prompt += "user: " + call.input + "\nassistant: " + call.output + "\n";
  }
  return prompt + "user: " + input + "\nassistant: ";
}

// ---- Ownership -------------------------------------------------------------

void CallPipeline::OnGained(uint32_t shard) {
  for (const auto& [id, sequence] : parts_.shards->Ledger(shard).Reopened()) {
    Program& program = *parts_.shards->Ledger(shard).Find(id);
    const CallRecord record = program.calls.at(sequence);
    CallRequest request;
    request.program = id;
    request.sequence = sequence;
    request.patience_ms = kDefaultPatienceMs;
    Begin(shard, request, record.digest, &record);
  }
}

void CallPipeline::OnLost(uint32_t shard) {
  std::vector<RunningPtr> lost;
  for (const auto& [id, call] : running_) {
    if (call->shard == shard) lost.push_back(call);
  }
  for (const RunningPtr& call : lost) {
    call->orphaned = true;
    // The stream goes on at the engine; the new owner joins it.
    if (call->idempotent) call->given_up = true;
    call->refusal = Refusal(Reason::kFenced, RunState::kUnknown,
                            "Another host owns the program now.");
    call->finished = true;
    running_.erase({call->program, call->sequence});
    call->subscribers.clear();
    call->done.Notify();
  }
}

CallPipeline::Async<void> CallPipeline::Quiesce(uint32_t shard) {
  const int64_t deadline_ms = NowMs() + parts_.context->timing.quiesce_ms;
  const auto must_finish = [&] {
    return std::any_of(
        running_.begin(), running_.end(), [&](const auto& entry) {
          return entry.second->shard == shard && !entry.second->idempotent;
        });
  };
  while (must_finish() && NowMs() < deadline_ms) co_await Sleep(10);
}

}  // namespace pimento
