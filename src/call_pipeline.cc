// Creating, viewing and ending programs, and deciding which call of a program
// may run.
#include "src/call_pipeline.h"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "src/owner_lookup.h"
#include "src/running_call.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

namespace json = boost::json;

using Internal::kPollMs;

constexpr int64_t kDefaultPatienceMs = 15'000;
// A plain service call is a program of its own. It lives this long, so that a
// retry finds its record.
constexpr int64_t kSingleCallLifetimeMs = 600'000;

}  // namespace

CallPipeline::CallPipeline(Dependencies deps) : deps_(deps) {}

void CallPipeline::Note(const RunningCall& call,
                        const std::string& text) const {
  deps_.explain->Note(call.request_id, call.program, call.sequence, text);
}

// ---- Programs --------------------------------------------------------------

uint32_t CallPipeline::AdmittedShard(const std::string& program) const {
  const std::optional<uint32_t> shard = ShardOfProgram(program);
  if (!shard || *shard >= deps_.context->environment.load()->document.shards) {
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "There is no program " + program + ".");
  }
  if (!deps_.shards->Owns(*shard)) {
    throw Refusal(Reason::kNotOwner, RunState::kUnknown,
                  "Another host owns the program.");
  }
  if (!deps_.shards->Admits(*shard)) {
    throw Refusal(Reason::kOwnerChanging, RunState::kUnknown,
                  "The program's shard is moving to another host.");
  }
  return *shard;
}

Program& CallPipeline::ProgramOf(uint32_t shard, const std::string& id,
                                 const std::string& team) {
  Program* program = deps_.shards->Ledger(shard).Find(id);
  // Another team's program is reported as missing, so that its existence is not
  // revealed.
  if (program == nullptr || program->record.team != team) {
    const bool uncertain = NowMs() < deps_.shards->UncertainUntil(shard);
    throw Refusal(Reason::kNotFound,
                  uncertain ? RunState::kUnknown : RunState::kNotRun,
                  "There is no program " + id + ".");
  }
  return *program;
}

CallPipeline::Async<ProgramView> CallPipeline::Create(CreateRequest request) {
  const uint32_t shard = AdmittedShard(request.id);
  ProgramLedger& ledger = deps_.shards->Ledger(shard);
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
    co_await deps_.shards->ConfirmOwnership(shard);
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
    deps_.context->metrics->Add(Counter::kProgramsCreated);
  }
  const Program& program = ProgramOf(shard, request.id, request.team);
  co_return ProgramView{.outcome = {}, .json = ViewJson(request.id, program)};
}

// Records a new program. A child's share of its parent's budget is reserved
// before the commit starts, so that a concurrent child or call cannot use it as
// well.
CallPipeline::Async<void> CallPipeline::RecordProgram(uint32_t shard,
                                                      CreateRequest request,
                                                      ProgramRecord record) {
  ProgramLedger& ledger = deps_.shards->Ledger(shard);
  const Usage share{.calls = request.budget_calls,
                    .tokens = request.budget_tokens};
  if (Program* parent = ledger.Find(request.parent); parent != nullptr) {
    parent->pending_children.calls += share.calls;
    parent->pending_children.tokens += share.tokens;
  }
  std::vector<Record> records = {MakeRecord(request.id, record)};
  std::exception_ptr failure;
  try {
    co_await deps_.shards->Commit(shard, std::move(records));
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
  // Ensures that a stale owner does not return an outdated history.
  co_await deps_.shards->ConfirmOwnership(shard);
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
    deps_.context->metrics->Add(Counter::kProgramsEnded);
    deps_.context->metrics->Observe(Latency::kProgram,
                                    static_cast<double>(NowMs() - created_ms));
  } else {
    co_await deps_.shards->ConfirmOwnership(shard);
  }
  const Program& ended = ProgramOf(shard, id, team);
  co_return ProgramView{.outcome = {}, .json = ViewJson(id, ended)};
}

CallPipeline::Async<void> CallPipeline::Expire(std::string id) {
  co_await EndAs(id, ProgramState::kExpired);
  deps_.context->metrics->Add(Counter::kProgramsExpired);
}

CallPipeline::Async<void> CallPipeline::EndAs(std::string id,
                                              ProgramState state) {
  const std::optional<uint32_t> shard = ShardOfProgram(id);
  if (!shard || !deps_.shards->Owns(*shard)) co_return;
  Program* program = deps_.shards->Ledger(*shard).Find(id);
  if (program == nullptr || program->record.state != ProgramState::kLive)
    co_return;
  // Running calls of an ended program are cancelled, except non-idempotent
  // ones: their outcome must be recorded.
  for (auto& [call_id, call] : running_) {
    if (call_id.first == id && call->idempotent) call->cancelled = true;
  }
  std::vector<Record> records;
  ProgramRecord ended = program->record;
  ended.state = state;
  ended.ended_ms = NowMs();
  records.push_back(MakeRecord(id, ended));
  const std::vector<std::string> children = program->children;
  co_await deps_.shards->Commit(*shard, std::move(records));
  for (const std::string& child : children) co_await EndAs(child, state);
}

std::string CallPipeline::ViewJson(const std::string& id,
                                   const Program& program) const {
  const uint32_t shard = *ShardOfProgram(id);
  const Usage used = deps_.shards->Ledger(shard).Used(program);
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

// ---- Starting and joining calls --------------------------------------------

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

// Creates the program of a plain service call unless it exists. The program has
// a budget of one call, and its id derives from the Idempotency-Key, if any.
CallPipeline::Async<void> CallPipeline::EnsureSingleCallProgram(
    uint32_t shard, const CallRequest& request) {
  ProgramLedger& ledger = deps_.shards->Ledger(shard);
  if (ledger.Find(request.program) != nullptr) co_return;
  const int64_t now_ms = NowMs();
  const ProgramRecord record{.team = request.team,
                             .parent = {},
                             .digest = {},
                             .created_ms = now_ms,
                             .deadline_ms = now_ms + kSingleCallLifetimeMs,
                             .budget_calls = 1,
                             .budget_tokens = request.max_tokens};
  std::vector<Record> records = {MakeRecord(request.program, record)};
  co_await deps_.shards->Commit(shard, std::move(records));
}

void CallPipeline::RefuseIfUncertain(uint32_t shard, const Program& program,
                                     const Service& service) const {
  const int64_t until_ms = deps_.shards->UncertainUntil(shard);
  const bool uncertain = NowMs() < until_ms;
  if (!uncertain || service.idempotent) return;
  // The uncertain period lasts kSingleCallLifetimeMs after the loss, so this
  // lets programs created after the loss pass. A single-call program is created
  // together with its call, so its creation time proves nothing.
  if (program.record.budget_calls != 1 &&
      program.record.created_ms > until_ms - kSingleCallLifetimeMs) {
    return;
  }
  throw Refusal(
      Reason::kOutcomeUnknown, RunState::kUnknown,
      "Records of this call may have been lost when two hosts failed.");
}

CallPipeline::Async<CallReply> CallPipeline::Call(CallRequest request,
                                                  PieceSink sink) {
  const uint32_t shard = AdmittedShard(request.program);
  const auto environment = deps_.context->environment.load();
  const int64_t patience_ms =
      request.patience_ms > 0 ? request.patience_ms : kDefaultPatienceMs;
  const int64_t deadline_ms = NowMs() + patience_ms;
  const std::string digest = CallDigest(request.service, request.path,
                                        request.input, request.max_tokens);
  bool confirmed = false;
  for (;;) {
    if (!deps_.shards->Admits(shard)) AdmittedShard(request.program);
    ProgramLedger& ledger = deps_.shards->Ledger(shard);
    if (request.single && !request.read_only &&
        ledger.Find(request.program) == nullptr) {
      ServiceOf(environment->document, request);
      co_await EnsureSingleCallProgram(shard, request);
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
      deps_.context->metrics->Add(Counter::kCallsJoined);
      co_return co_await Join(running->second, request, sink);
    }
    const CallPosition position = ClassifyCall(shard, request, digest);
    if (position == CallPosition::kRunning) {
      co_await Sleep(kPollMs);
      continue;
    }
    if (position == CallPosition::kAhead) {
      co_await WaitForTurn(
          shard, request,
          std::min(deadline_ms,
                   NowMs() + deps_.context->timing.gap_timeout_ms));
      confirmed = false;
      continue;
    }
    // A new call is fenced by the commit of its intent. Any other reply could
    // come from a stale owner, so a member of the shard must first confirm,
    // after the request has arrived, that this host is still the owner.
    const bool begins = position == CallPosition::kNext &&
                        MayBegin(shard, request, environment->document);
    if (!begins && !confirmed) {
      co_await deps_.shards->ConfirmOwnership(shard);
      confirmed = true;
      continue;
    }
    if (position == CallPosition::kNext)
      CheckMayBegin(shard, request, environment->document);
    Program& program = ProgramOf(shard, request.program, request.team);
    const auto known = program.calls.find(request.sequence);
    if (position == CallPosition::kMismatch) {
      throw Refusal(request.single ? Reason::kIdempotencyKeyReused
                                   : Reason::kSequenceMismatch,
                    RunState::kUnknown,
                    "This sequence number belongs to another call.");
    }
    if (position == CallPosition::kRecorded) {
      deps_.context->metrics->Add(Counter::kCallsReplayed);
      co_return ReplyFromRecord(known->second);
    }
    if (position == CallPosition::kInterrupted) {
      const CallRecord record = known->second;
      co_return co_await Join(Begin(shard, request, record.digest, &record),
                              request, sink);
    }
    co_return co_await Join(Begin(shard, request, digest, nullptr), request,
                            sink);
  }
}

CallPosition CallPipeline::ClassifyCall(uint32_t shard,
                                        const CallRequest& request,
                                        const std::string& digest) const {
  const ProgramLedger& ledger = deps_.shards->Ledger(shard);
  const Program* program = ledger.Find(request.program);
  // CheckMayBegin() refuses a missing program once the ownership is confirmed.
  if (program == nullptr || program->record.team != request.team)
    return CallPosition::kNext;
  const auto known = program->calls.find(request.sequence);
  const bool exists = known != program->calls.end() ||
                      program->running_sequence == request.sequence;
  // Reading a call that does not exist must not wait for earlier calls.
  if (request.read_only && !exists) return CallPosition::kNext;
  const bool read = request.read_only && known != program->calls.end();
  return ledger.PositionOf(*program, request.sequence,
                           read ? known->second.digest : digest);
}

void CallPipeline::CheckMayBegin(uint32_t shard, const CallRequest& request,
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
    CheckMayBegin(shard, request, document);
  } catch (const Refusal&) {
    return false;
  }
  return true;
}

// Waits until the calls before this one have ended. Throws kSequenceGap, or
// kOutcomeUnknown after a loss of records, when one of them does not arrive in
// time.
CallPipeline::Async<void> CallPipeline::WaitForTurn(uint32_t shard,
                                                    const CallRequest& request,
                                                    int64_t deadline_ms) {
  for (;;) {
    const Program* program = deps_.shards->Ledger(shard).Find(request.program);
    if (program == nullptr || !deps_.shards->Owns(shard)) co_return;
    const bool turn = request.sequence <= program->NextSequence() &&
                      program->running_sequence == 0;
    if (turn) co_return;
    // There is no time limit for the call directly before this one while it is
    // running.
    const bool follows_running =
        program->running_sequence != 0 &&
        request.sequence <= program->running_sequence + 1;
    if (NowMs() >= deadline_ms && !follows_running) {
      co_await deps_.shards->ConfirmOwnership(shard);
      ThrowSequenceGap(shard);
    }
    const auto running =
        running_.find({request.program, program->running_sequence});
    if (running != running_.end()) {
      const RunningCallPtr predecessor = running->second;
      co_await predecessor->done.Wait(500);
    } else {
      co_await Sleep(kPollMs);
    }
  }
}

// Refuses a call because an earlier one is missing. After a loss of records,
// the missing call may have run.
void CallPipeline::ThrowSequenceGap(uint32_t shard) const {
  if (NowMs() < deps_.shards->UncertainUntil(shard)) {
    throw Refusal(
        Reason::kOutcomeUnknown, RunState::kUnknown,
        "Records of an earlier call may have been lost when two hosts "
        "failed.");
  }
  throw Refusal(Reason::kSequenceGap, RunState::kNotRun,
                "An earlier call of the program is missing.", kPollMs);
}

CallReply CallPipeline::ReplyFromRecord(const CallRecord& record) const {
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

CallPipeline::RunningCallPtr CallPipeline::Begin(uint32_t shard,
                                                 const CallRequest& request,
                                                 const std::string& digest,
                                                 const CallRecord* reopened) {
  const auto environment = deps_.context->environment.load();
  auto call = std::make_shared<RunningCall>();
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
  Program& program = *deps_.shards->Ledger(shard).Find(request.program);
  call->team = program.record.team;
  call->single = call->single || program.record.budget_calls == 1;
  for (const auto& [sequence, earlier] : program.calls) {
    call->attained += static_cast<double>(earlier.tokens);
    if (earlier.service == call->record.service && !earlier.upstream.empty()) {
      call->last_upstream = earlier.upstream;
    }
  }
  call->prompt = Prompt(program, call->record.input);
  program.running_sequence = call->sequence;
  program.reserved_tokens = call->record.max_tokens;
  program.last_activity_ms = NowMs();
  running_[{call->program, call->sequence}] = call;
  Spawn(*deps_.context->shards_io, "call", RunCall(call));
  return call;
}

CallPipeline::Async<CallReply> CallPipeline::Join(RunningCallPtr call,
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
  co_return ReplyFromRecord(call->record);
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
  for (const auto& [id, sequence] :
       deps_.shards->Ledger(shard).InterruptedCalls()) {
    Program& program = *deps_.shards->Ledger(shard).Find(id);
    const CallRecord record = program.calls.at(sequence);
    CallRequest request;
    request.program = id;
    request.sequence = sequence;
    request.patience_ms = kDefaultPatienceMs;
    Begin(shard, request, record.digest, &record);
  }
}

void CallPipeline::OnLost(uint32_t shard) {
  std::vector<RunningCallPtr> lost;
  for (const auto& [id, call] : running_) {
    if (call->shard == shard) lost.push_back(call);
  }
  for (const RunningCallPtr& call : lost) {
    call->orphaned = true;
    // The engine continues to generate; the new owner resumes the stream.
    if (call->idempotent) call->cancelled = true;
    call->refusal = Refusal(Reason::kFenced, RunState::kUnknown,
                            "Another host owns the program now.");
    call->finished = true;
    running_.erase({call->program, call->sequence});
    call->subscribers.clear();
    call->done.Notify();
  }
}

CallPipeline::Async<void> CallPipeline::Quiesce(uint32_t shard) {
  const int64_t deadline_ms =
      NowMs() + deps_.context->timing.quiesce_timeout_ms;
  const auto must_finish = [&] {
    return std::any_of(
        running_.begin(), running_.end(), [&](const auto& entry) {
          return entry.second->shard == shard && !entry.second->idempotent;
        });
  };
  while (must_finish() && NowMs() < deadline_ms) co_await Sleep(10);
}

}  // namespace pimento
