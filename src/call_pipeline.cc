#include "src/call_pipeline.h"

#include <algorithm>
#include <boost/json.hpp>
#include <mutex>
#include <optional>
#include <utility>

#include "src/duty.h"
#include "src/log.h"
#include "src/owner_view.h"
#include "src/signal.h"

namespace pimento {
namespace {

namespace json = boost::json;

const Log kLog("call");

constexpr uint32_t kMostAttempts = 4;
constexpr int64_t kPollMs = 40;
constexpr int64_t kDefaultPatienceMs = 15'000;
// A plain service call is a program of its own, kept this long for retries.
constexpr int64_t kSingleLifeMs = 600'000;
constexpr size_t kBytesPerToken = 4;
constexpr int kFreeTries = 20;
// A token of prompt costs an engine this share of a generated one.
constexpr double kPromptShare = 0.05;

struct Subscriber {
  PieceSink sink;
};

// Collects tokens from the dispatch duty; at most one wake-up is on its way.
class TokenBuffer {
 public:
  // Returns true when the reader must be woken.
  bool Add(const std::string& text) {
    const std::lock_guard lock(mutex_);
    text_ += text;
    const bool wake = !woken_;
    woken_ = true;
    return wake;
  }
  std::string Take() {
    const std::lock_guard lock(mutex_);
    woken_ = false;
    return std::move(text_);
  }

 private:
  std::mutex mutex_;
  std::string text_;
  bool woken_ = false;
};

}  // namespace

struct CallPipeline::Running {
  uint32_t shard = 0;
  std::string program;
  std::string team;
  uint32_t sequence = 0;
  std::string request_id;
  CallRecord record;
  bool single = false;
  bool idempotent = true;
  bool engine = true;
  // Began under a former owner.
  bool reopened = false;
  // True from the intent's commit on.
  bool dispatched = false;
  // Set when nobody wants the answer any more: the dispatch ends early.
  std::atomic<bool> given_up{false};
  // This owner lost the shard.
  bool orphaned = false;
  // Answer so far, of the present attempt.
  std::string text;
  std::vector<Subscriber> subscribers;
  std::set<std::string> failed;
  std::string last_upstream;
  double attained = 0;
  std::string prompt;
  int64_t started_ms = 0;
  int64_t deadline_ms = 0;
  bool finished = false;
  std::optional<Refusal> refusal;
  Signal done;
};

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

// ---- The passes ------------------------------------------------------------

CallPipeline::Async<void> CallPipeline::RunCall(RunningPtr call) {
  try {
    if (!call->reopened) {
      ReserveBudget(*call);
      co_await TakeCredit(call);
    }
    co_await RunAttempts(call);
  } catch (const Refusal& refusal) {
    call->refusal = refusal;
  } catch (const std::exception& e) {
    kLog.Error() << "A call failed inside: " << e.what();
    call->refusal = Refusal(Reason::kInternal, RunState::kUnknown,
                            "The call failed inside.");
  }
  const bool says_not_run =
      call->refusal && call->refusal->run() == RunState::kNotRun;
  if (says_not_run && !call->orphaned) co_await ConfirmRefusal(call);
  Finish(call);
  const bool fenced =
      call->refusal && call->refusal->reason() == Reason::kFenced;
  if (fenced && call->engine && call->dispatched)
    co_await FreeAfterFencing(call);
}

// "Not run" goes out only while this host is still the owner.
CallPipeline::Async<void> CallPipeline::ConfirmRefusal(RunningPtr call) {
  try {
    co_await parts_.shards->Confirm(call->shard);
  } catch (const Refusal& refusal) {
    call->refusal = refusal;
  }
}

void CallPipeline::Finish(const RunningPtr& call) {
  call->finished = true;
  const auto it = running_.find({call->program, call->sequence});
  if (it != running_.end() && it->second == call) running_.erase(it);
  if (parts_.shards->Owns(call->shard) && !call->orphaned) {
    Program* program = parts_.shards->Ledger(call->shard).Find(call->program);
    if (program != nullptr && program->running == call->sequence) {
      program->running = 0;
      program->reserved_tokens = 0;
    }
  }
  const auto took_ms = static_cast<double>(NowMs() - call->started_ms);
  if (call->refusal) {
    Note(*call, "refused: " + std::string(Name(call->refusal->reason())) +
                    ", " + std::string(Name(call->refusal->run())) + ".");
  } else {
    parts_.context->metrics->Add(Counter::kCallsAnswered);
    parts_.context->metrics->Observe(Latency::kCall, took_ms);
    Note(*call, "answered after " +
                    std::to_string(static_cast<int64_t>(took_ms)) + " ms.");
  }
  call->subscribers.clear();
  call->done.Notify();
}

void CallPipeline::ReserveBudget(Running& call) {
  ProgramLedger& ledger = parts_.shards->Ledger(call.shard);
  Program& program = *ledger.Find(call.program);
  // The reservation of this call is counted already; take it out to ask for it.
  program.running = 0;
  const std::optional<Reason> over =
      ledger.OverBudget(program, call.record.max_tokens, NowMs());
  program.running = call.sequence;
  if (over)
    throw Refusal(*over, RunState::kNotRun,
                  "The program's budget does not allow this.");
}

CallPipeline::Async<void> CallPipeline::TakeCredit(RunningPtr call) {
  const auto environment = parts_.context->environment.load();
  const Service* service =
      environment->document.FindService(call->record.service);
  // Open routes have no team whose rate could be charged.
  if (service != nullptr && service->open && call->team.empty()) co_return;
  co_await parts_.credits->TakeOne(call->team);
}

CallPipeline::Async<void> CallPipeline::RunAttempts(RunningPtr call) {
  bool resume = call->reopened && call->engine;
  if (call->reopened && !call->idempotent) {
    co_await RecordUnknown(call,
                           "The owner was lost while the call was under way.");
    co_return;
  }
  std::string detail;
  Reason last_failure = Reason::kUpstreamFailed;
  for (uint32_t tries = 0; tries < kMostAttempts; ++tries) {
    std::string upstream;
    uint64_t ticket = 0;
    if (resume) {
      upstream = call->record.upstream;
    } else {
      upstream = co_await ChooseUpstream(call);
      ticket = co_await AcquireSlot(call, upstream);
      co_await RecordIntent(call, upstream);
    }
    const UpstreamAnswer answer = co_await Dispatch(call, upstream, resume);
    if (!resume) {
      const SlotDone done = ResultFor(*call, upstream, ticket, answer);
      Spawn(*parts_.context->shards_io, "call", parts_.slots->Release(done));
    }
    if (call->orphaned) {
      throw Refusal(Reason::kFenced, RunState::kUnknown,
                    "Another host owns the program now.");
    }
    if (answer.failure == Reason::kNone) {
      co_await RecordAnswer(call, answer);
      co_return;
    }
    if (call->given_up) {
      co_await GiveUp(call, Reason::kProgramEnded, "The program ended.");
    }
    if (answer.sent && !call->idempotent) {
      co_await RecordUnknown(call, answer.detail);
      co_return;
    }
    last_failure = answer.failure;
    detail = answer.detail;
    parts_.context->metrics->Retried(answer.failure);
    Note(*call, "attempt " + std::to_string(call->record.attempt) + " at " +
                    upstream + " failed: " + std::string(Name(answer.failure)) +
                    ".");
    if (!resume) call->failed.insert(upstream);
    resume = false;
    Restart(*call);
  }
  co_await GiveUp(call, last_failure, detail);
}

CallPipeline::Async<std::string> CallPipeline::ChooseUpstream(RunningPtr call) {
  for (;;) {
    const auto environment = parts_.context->environment.load();
    ChoiceInput input{.document = &environment->document,
                      .service = call->record.service,
                      .last = call->last_upstream,
                      .failed = call->failed,
                      .load = [this](const std::string& name) {
                        return parts_.slots->Hint(name);
                      }};
    const std::string upstream = parts_.choice->Choose(input);
    if (!upstream.empty()) co_return upstream;
    // Every upstream failed once: they all get another chance.
    call->failed.clear();
    if (NowMs() >= call->deadline_ms || call->given_up) {
      co_await GiveUp(call, Reason::kNoUpstream,
                      "No upstream of the service takes work.");
    }
    co_await Sleep(kPollMs);
  }
}

CallPipeline::Async<uint64_t> CallPipeline::AcquireSlot(RunningPtr call,
                                                        std::string upstream) {
  const int64_t asked_ms = NowMs();
  const double prompt_tokens =
      static_cast<double>(call->prompt.size()) / kBytesPerToken;
  SlotBroker::Want want{
      .team = call->team,
      .program = call->program,
      .cost = static_cast<double>(call->record.max_tokens) +
              kPromptShare * prompt_tokens + 1,
      .attained = call->attained,
      .patience_ms = std::max<int64_t>(1, call->deadline_ms - asked_ms),
      .max_queue = 256};
  std::optional<Refusal> refusal;
  uint64_t ticket = 0;
  try {
    ticket = co_await parts_.slots->Acquire(upstream, want);
  } catch (const Refusal& e) {
    refusal = e;
  }
  parts_.context->metrics->Observe(Latency::kQueueWait,
                                   static_cast<double>(NowMs() - asked_ms));
  if (!refusal) co_return ticket;
  const bool another =
      refusal->reason() == Reason::kNoUpstream && NowMs() < call->deadline_ms;
  if (another) {
    // The upstream left while the call waited: start over with another one.
    call->failed.insert(upstream);
    const std::string next = co_await ChooseUpstream(call);
    if (next != upstream) co_return co_await AcquireSlot(call, next);
  }
  co_await GiveUp(call, refusal->reason(), refusal->what());
  co_return 0;
}

CallPipeline::Async<void> CallPipeline::RecordIntent(RunningPtr call,
                                                     std::string upstream) {
  CallRecord& record = call->record;
  if (call->dispatched && record.upstream != upstream) {
    record.earlier_upstreams.push_back(record.upstream);
  }
  record.state = CallState::kIntent;
  record.upstream = upstream;
  if (record.started_ms == 0) record.started_ms = NowMs();
  std::vector<Record> records = {
      MakeRecord(call->program, call->sequence, record)};
  co_await parts_.shards->Commit(call->shard, std::move(records));
  call->dispatched = true;
  Note(*call, "intent recorded for " + upstream + ".");
}

CallPipeline::Async<UpstreamAnswer> CallPipeline::Dispatch(RunningPtr call,
                                                           std::string upstream,
                                                           bool resume) {
  const auto environment = parts_.context->environment.load();
  const Document& document = environment->document;
  const auto declared = document.upstreams.find(upstream);
  const Service* service = document.FindService(call->record.service);
  const bool usable = declared != document.upstreams.end() &&
                      service != nullptr &&
                      (resume || document.Usable(declared->second));
  if (!usable) {
    UpstreamAnswer answer;
    answer.failure = Reason::kNoUpstream;
    answer.sent = false;
    co_return answer;
  }
  if (call->engine) {
    co_return co_await DispatchToEngine(call, declared->second, *service,
                                        resume);
  }
  ServiceOrder order{
      .address = declared->second.address,
      .request_id = call->request_id,
      .operation = call->program + "/" + std::to_string(call->sequence),
      .path = call->record.path.empty() ? "/" : call->record.path,
      .body = call->record.input,
      .silence_ms = service->silence_limit_ms,
      .total_ms = service->call_limit_ms};
  co_return co_await parts_.upstreams->Operate(std::move(order));
}

CallPipeline::Async<UpstreamAnswer> CallPipeline::DispatchToEngine(
    RunningPtr call, const Upstream& upstream, const Service& service,
    bool resume) {
  auto buffer = std::make_shared<TokenBuffer>();
  boost::asio::io_context* shards_io = parts_.context->shards_io;
  EngineOrder order{.address = upstream.address,
                    .request_id = call->request_id,
                    .program = call->program,
                    .prompt = call->prompt,
                    .sequence = call->sequence,
                    .attempt = call->record.attempt,
                    .max_tokens = call->record.max_tokens,
                    .fence = parts_.shards->Fence(call->shard),
                    .resume = resume,
                    .silence_ms = service.silence_limit_ms,
                    .total_ms = service.call_limit_ms,
                    .on_token = {}};
  order.on_token = [this, call, buffer, shards_io](const std::string& text) {
    if (buffer->Add(text)) {
      boost::asio::post(
          *shards_io, [this, call, buffer] { Deliver(*call, buffer->Take()); });
    }
    return !call->given_up;
  };
  UpstreamAnswer answer = co_await parts_.upstreams->Generate(std::move(order));
  Deliver(*call, buffer->Take());
  if (answer.first_token_ms > 0 && !resume) {
    parts_.context->metrics->Observe(Latency::kFirstToken,
                                     answer.first_token_ms);
  }
  co_return answer;
}

void CallPipeline::Deliver(Running& call, const std::string& text) {
  if (text.empty()) return;
  const uint64_t offset = call.text.size();
  call.text += text;
  for (const Subscriber& subscriber : call.subscribers) {
    subscriber.sink(call.record.attempt, offset, text);
  }
}

// The next attempt makes its own text; what was made before is thrown away.
void CallPipeline::Restart(Running& call) {
  const uint64_t wasted =
      (call.text.size() + call.prompt.size()) / kBytesPerToken;
  if (call.engine) parts_.context->metrics->Add(Counter::kTokensWasted, wasted);
  call.text.clear();
  ++call.record.attempt;
}

SlotDone CallPipeline::ResultFor(const Running& call,
                                 const std::string& upstream, uint64_t ticket,
                                 const UpstreamAnswer& answer) const {
  const bool ok = answer.failure == Reason::kNone;
  const bool gave_up = call.given_up || call.orphaned;
  const double tokens = call.engine ? static_cast<double>(answer.tokens) : 1.0;
  const double decode_ms = answer.total_ms - answer.first_token_ms;
  const double pace_ms =
      call.engine ? decode_ms / std::max(1.0, tokens) : answer.total_ms;
  return {.upstream = upstream,
          .ticket = ticket,
          .succeeded = ok,
          .cold_sign = !ok && !gave_up && answer.failure != Reason::kNoUpstream,
          .tokens = tokens,
          .pace_ms = pace_ms};
}

CallPipeline::Async<void> CallPipeline::RecordAnswer(RunningPtr call,
                                                     UpstreamAnswer answer) {
  CallRecord& record = call->record;
  record.state = CallState::kDone;
  record.output = call->engine ? call->text : answer.body;
  record.tokens = answer.tokens;
  record.http_status = answer.http_status;
  record.content_type = answer.content_type;
  record.finished_ms = NowMs();
  std::vector<Record> records = {
      MakeRecord(call->program, call->sequence, record)};
  const Program* program =
      parts_.shards->Owns(call->shard)
          ? parts_.shards->Ledger(call->shard).Find(call->program)
          : nullptr;
  if (call->single && !call->engine && program != nullptr) {
    ProgramRecord ended = program->record;
    ended.state = ProgramState::kEnded;
    ended.ended_ms = record.finished_ms;
    records.push_back(MakeRecord(call->program, ended));
  }
  co_await parts_.shards->Commit(call->shard, std::move(records));
  parts_.context->metrics->Add(Counter::kTokensStreamed, record.tokens);
}

CallPipeline::Async<void> CallPipeline::RecordUnknown(RunningPtr call,
                                                      std::string detail) {
  call->record.state = CallState::kUnknown;
  call->record.finished_ms = NowMs();
  std::vector<Record> records = {
      MakeRecord(call->program, call->sequence, call->record)};
  co_await parts_.shards->Commit(call->shard, std::move(records));
  parts_.context->metrics->Refused(Reason::kOutcomeUnknown);
  Note(*call, "outcome unknown: " + detail);
}

// Refuses a call that could not be made. Always throws.
//
// An intent of a call that must not repeat is taken back, because no byte of it
// went out: the caller may try the same number again. Other intents stay: they
// tell which engines hold memory, and a retry goes on from them.
CallPipeline::Async<void> CallPipeline::GiveUp(RunningPtr call, Reason reason,
                                               std::string detail) {
  RunState run = RunState::kNotRun;
  if (call->dispatched && call->idempotent) run = RunState::kUnknown;
  if (call->dispatched && !call->idempotent) {
    std::vector<Record> records = {
        {.key = CallKey(call->program, call->sequence),
         .epoch = {},
         .version = 0,
         .value = {}}};
    co_await parts_.shards->Commit(call->shard, std::move(records));
  }
  throw Refusal(reason, run, detail, kPollMs);
}

// A stale owner's order may reach an engine that ignores fencing numbers after
// the present owner released the program's memory. So the stale owner, once its
// order has ended, asks whether the program is gone and releases again if so.
CallPipeline::Async<void> CallPipeline::FreeAfterFencing(RunningPtr call) {
  for (int i = 0; i < kFreeTries; ++i) {
    const auto environment = parts_.context->environment.load();
    const auto upstream =
        environment->document.upstreams.find(call->record.upstream);
    const Service* service =
        environment->document.FindService(call->record.service);
    const bool ignores = service != nullptr && !service->fencing;
    if (!ignores || upstream == environment->document.upstreams.end())
      co_return;
    try {
      const std::string owner =
          OwnerAddress(*parts_.context, *parts_.shards, call->shard);
      // Back in charge of the shard, this host releases like any owner.
      if (owner.empty()) co_return;
      const ProgramView view = co_await parts_.context->peers->View(
          owner, call->program, call->team, parts_.context->timing.rpc_ms);
      const bool missing = view.outcome.reason == Reason::kNotFound;
      if (view.outcome.ok() || missing) {
        const bool live =
            !missing &&
            json::parse(view.json).at("state").as_string() == "live";
        if (live) co_return;
        const bool freed = co_await parts_.upstreams->ReleaseSession(
            upstream->second.address, call->program,
            parts_.shards->Fence(call->shard));
        if (freed) co_return;
      }
    } catch (const std::exception& e) {
      kLog.Debug() << "The state of a program is not known yet: " << e.what();
    }
    co_await Sleep(500);
  }
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
