// The stages of a call, from reserving its budget to recording its answer.
#include <algorithm>
#include <boost/json.hpp>
#include <mutex>
#include <optional>
#include <utility>

#include "src/call_pipeline.h"
#include "src/log.h"
#include "src/owner_lookup.h"
#include "src/running_call.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

namespace json = boost::json;

using Internal::kPollMs;
using Internal::Subscriber;

const Log kLog("call");

constexpr uint32_t kMaxAttempts = 4;
constexpr size_t kBytesPerToken = 4;
constexpr int kMaxReleaseAttempts = 20;
// Cost of a prompt token for an engine, relative to a generated token.
constexpr double kPromptTokenCost = 0.05;

// Hands tokens from the dispatch thread to the shards thread. At most one
// wake-up of the reader is pending, however many tokens arrive.
class TokenBuffer {
 public:
  // Returns true when the caller must wake the reader.
  bool Add(const std::string& text) {
    const std::lock_guard lock(mutex_);
    text_ += text;
    const bool wake = !wake_pending_;
    wake_pending_ = true;
    return wake;
  }
  // Returns the text added since the last call.
  std::string Take() {
    const std::lock_guard lock(mutex_);
    wake_pending_ = false;
    return std::move(text_);
  }

 private:
  std::mutex mutex_;
  std::string text_;
  bool wake_pending_ = false;
};

}  // namespace

// ---- Stages ----------------------------------------------------------------

CallPipeline::Async<void> CallPipeline::RunCall(RunningCallPtr call) {
  try {
    if (!call->reopened) {
      ReserveBudget(*call);
      co_await AcquireCredit(call);
    }
    co_await RunAttempts(call);
  } catch (const Refusal& refusal) {
    call->refusal = refusal;
  } catch (const std::exception& e) {
    kLog.Error() << "A call failed with an internal error: " << e.what();
    call->refusal = Refusal(Reason::kInternal, RunState::kUnknown,
                            "The call failed with an internal error.");
  }
  const bool reports_not_run =
      call->refusal && call->refusal->run() == RunState::kNotRun;
  if (reports_not_run && !call->orphaned) co_await ConfirmRefusal(call);
  Finish(call);
  const bool fenced =
      call->refusal && call->refusal->reason() == Reason::kFenced;
  if (fenced && call->engine && call->dispatched)
    co_await ReleaseAfterFencing(call);
}

// A refusal may say "not run" only while this host is still the owner: a newer
// owner may have run the call. Otherwise replaces it by a refusal that says so.
CallPipeline::Async<void> CallPipeline::ConfirmRefusal(RunningCallPtr call) {
  try {
    co_await deps_.shards->ConfirmOwnership(call->shard);
  } catch (const Refusal& refusal) {
    call->refusal = refusal;
  }
}

void CallPipeline::Finish(const RunningCallPtr& call) {
  call->finished = true;
  const auto it = running_.find({call->program, call->sequence});
  if (it != running_.end() && it->second == call) running_.erase(it);
  if (deps_.shards->Owns(call->shard) && !call->orphaned) {
    Program* program = deps_.shards->Ledger(call->shard).Find(call->program);
    if (program != nullptr && program->running_sequence == call->sequence) {
      program->running_sequence = 0;
      program->reserved_tokens = 0;
    }
  }
  const auto took_ms = static_cast<double>(NowMs() - call->started_ms);
  if (call->refusal) {
    Note(*call, "refused: " + std::string(Name(call->refusal->reason())) +
                    ", " + std::string(Name(call->refusal->run())) + ".");
  } else {
    deps_.context->metrics->Add(Counter::kCallsAnswered);
    deps_.context->metrics->Observe(Latency::kCall, took_ms);
    Note(*call, "answered after " +
                    std::to_string(static_cast<int64_t>(took_ms)) + " ms.");
  }
  call->subscribers.clear();
  call->done.Notify();
}

void CallPipeline::ReserveBudget(RunningCall& call) {
  ProgramLedger& ledger = deps_.shards->Ledger(call.shard);
  Program& program = *ledger.Find(call.program);
  // The program already counts this call's reservation. Exclude it during the
  // check, so that the call is not counted twice.
  program.running_sequence = 0;
  const std::optional<Reason> over =
      ledger.OverBudget(program, call.record.max_tokens, NowMs());
  program.running_sequence = call.sequence;
  if (over)
    throw Refusal(*over, RunState::kNotRun,
                  "The program's budget does not allow this.");
}

CallPipeline::Async<void> CallPipeline::AcquireCredit(RunningCallPtr call) {
  const auto environment = deps_.context->environment.load();
  const Service* service =
      environment->document.FindService(call->record.service);
  // A call to an open service without a key has no team to charge.
  if (service != nullptr && service->open && call->team.empty()) co_return;
  co_await deps_.credits->AcquireGrant(call->team);
}

CallPipeline::Async<void> CallPipeline::RunAttempts(RunningCallPtr call) {
  bool resume = call->reopened && call->engine;
  if (call->reopened && !call->idempotent) {
    co_await RecordOutcomeUnknown(
        call, "The owner of the program changed while the call was running.");
    co_return;
  }
  std::string detail;
  Reason last_failure = Reason::kUpstreamFailed;
  for (uint32_t tries = 0; tries < kMaxAttempts; ++tries) {
    std::string upstream;
    uint64_t ticket = 0;
    if (resume) {
      upstream = call->record.upstream;
    } else {
      upstream = co_await ChooseUpstream(call);
      ticket = co_await AcquireSlot(call, upstream);
      co_await RecordIntentOrRelease(call, upstream, ticket);
    }
    const UpstreamAnswer answer = co_await Dispatch(call, upstream, resume);
    if (!resume) {
      const SlotDone done = ResultFor(*call, upstream, ticket, answer);
      Spawn(*deps_.context->shards_io, "call", deps_.slots->Release(done));
    }
    if (call->orphaned) {
      throw Refusal(Reason::kFenced, RunState::kUnknown,
                    "Another host owns the program now.");
    }
    if (answer.failure == Reason::kNone) {
      co_await RecordAnswer(call, answer);
      co_return;
    }
    if (call->cancelled) {
      co_await RefuseCall(call, Reason::kProgramEnded, "The program ended.");
    }
    if (answer.sent && !call->idempotent) {
      co_await RecordOutcomeUnknown(call, answer.detail);
      co_return;
    }
    last_failure = answer.failure;
    detail = answer.detail;
    deps_.context->metrics->CountRetry(answer.failure);
    Note(*call, "attempt " + std::to_string(call->record.attempt) + " at " +
                    upstream + " failed: " + std::string(Name(answer.failure)) +
                    ".");
    if (!resume) call->failed.insert(upstream);
    resume = false;
    ResetForRetry(*call);
  }
  co_await RefuseCall(call, last_failure, detail);
}

CallPipeline::Async<std::string> CallPipeline::ChooseUpstream(
    RunningCallPtr call) {
  for (;;) {
    const auto environment = deps_.context->environment.load();
    ChoiceInput input{.document = &environment->document,
                      .service = call->record.service,
                      .last = call->last_upstream,
                      .failed = call->failed,
                      .load = [this](const std::string& name) {
                        return deps_.slots->CachedLoad(name);
                      }};
    const std::string upstream = deps_.choice->Choose(input);
    if (!upstream.empty()) co_return upstream;
    // Every usable upstream has failed once; make all of them eligible again.
    call->failed.clear();
    if (NowMs() >= call->deadline_ms || call->cancelled) {
      co_await RefuseCall(call, Reason::kNoUpstream,
                          "No upstream of the service accepts calls.");
    }
    co_await Sleep(kPollMs);
  }
}

CallPipeline::Async<uint64_t> CallPipeline::AcquireSlot(RunningCallPtr call,
                                                        std::string upstream) {
  const int64_t asked_ms = NowMs();
  const double prompt_tokens =
      static_cast<double>(call->prompt.size()) / kBytesPerToken;
  SlotBroker::AcquireParams want{
      .team = call->team,
      .program = call->program,
      .cost = static_cast<double>(call->record.max_tokens) +
              kPromptTokenCost * prompt_tokens + 1,
      .attained = call->attained,
      .patience_ms = std::max<int64_t>(1, call->deadline_ms - asked_ms),
      .max_queue = 256};
  std::optional<Refusal> refusal;
  uint64_t ticket = 0;
  try {
    ticket = co_await deps_.slots->Acquire(upstream, want);
  } catch (const Refusal& e) {
    refusal = e;
  }
  deps_.context->metrics->Observe(Latency::kQueueWait,
                                  static_cast<double>(NowMs() - asked_ms));
  if (!refusal) co_return ticket;
  const bool another =
      refusal->reason() == Reason::kNoUpstream && NowMs() < call->deadline_ms;
  if (another) {
    // The upstream went out of service while the call waited; choose another
    // one.
    call->failed.insert(upstream);
    const std::string next = co_await ChooseUpstream(call);
    if (next != upstream) co_return co_await AcquireSlot(call, next);
  }
  co_await RefuseCall(call, refusal->reason(), refusal->what());
  co_return 0;
}

CallPipeline::Async<void> CallPipeline::RecordIntent(RunningCallPtr call,
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
  co_await deps_.shards->Commit(call->shard, std::move(records));
  call->dispatched = true;
  Note(*call, "intent recorded for " + upstream + ".");
}

// Releases the slot when the intent cannot be committed, because nothing is
// dispatched then. If kept until it expires, the slot would use up one of the
// few that a gate grants before a completed call shows that its upstream is
// warm.
CallPipeline::Async<void> CallPipeline::RecordIntentOrRelease(
    RunningCallPtr call, std::string upstream, uint64_t ticket) {
  std::exception_ptr failure;
  try {
    co_await RecordIntent(call, upstream);
  } catch (const Refusal&) {
    failure = std::current_exception();
  }
  if (!failure) co_return;
  SlotDone unused;
  unused.upstream = upstream;
  unused.ticket = ticket;
  unused.abandoned = true;
  Spawn(*deps_.context->shards_io, "call", deps_.slots->Release(unused));
  std::rethrow_exception(failure);
}

CallPipeline::Async<UpstreamAnswer> CallPipeline::Dispatch(RunningCallPtr call,
                                                           std::string upstream,
                                                           bool resume) {
  const auto environment = deps_.context->environment.load();
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
  ServiceRequest request{
      .address = declared->second.address,
      .request_id = call->request_id,
      .operation = call->program + "/" + std::to_string(call->sequence),
      .path = call->record.path.empty() ? "/" : call->record.path,
      .body = call->record.input,
      .silence_ms = service->silence_limit_ms,
      .total_ms = service->call_limit_ms};
  co_return co_await deps_.upstreams->InvokeService(std::move(request));
}

CallPipeline::Async<UpstreamAnswer> CallPipeline::DispatchToEngine(
    RunningCallPtr call, const Upstream& upstream, const Service& service,
    bool resume) {
  auto buffer = std::make_shared<TokenBuffer>();
  boost::asio::io_context* shards_io = deps_.context->shards_io;
  EngineRequest request{.address = upstream.address,
                        .request_id = call->request_id,
                        .program = call->program,
                        .prompt = call->prompt,
                        .sequence = call->sequence,
                        .attempt = call->record.attempt,
                        .max_tokens = call->record.max_tokens,
                        .fence = deps_.shards->FencingToken(call->shard),
                        .resume = resume,
                        .silence_ms = service.silence_limit_ms,
                        .total_ms = service.call_limit_ms,
                        .on_token = {}};
  request.on_token = [this, call, buffer, shards_io](const std::string& text) {
    if (buffer->Add(text)) {
      boost::asio::post(
          *shards_io, [this, call, buffer] { Deliver(*call, buffer->Take()); });
    }
    return !call->cancelled;
  };
  UpstreamAnswer answer =
      co_await deps_.upstreams->Generate(std::move(request));
  Deliver(*call, buffer->Take());
  if (answer.first_token_ms > 0 && !resume) {
    deps_.context->metrics->Observe(Latency::kFirstToken,
                                    answer.first_token_ms);
  }
  co_return answer;
}

void CallPipeline::Deliver(RunningCall& call, const std::string& text) {
  if (text.empty()) return;
  const uint64_t offset = call.text.size();
  call.text += text;
  for (const Subscriber& subscriber : call.subscribers) {
    subscriber.sink(call.record.attempt, offset, text);
  }
}

// Discards the text of the failed attempt; the next attempt generates its own.
void CallPipeline::ResetForRetry(RunningCall& call) {
  const uint64_t wasted =
      (call.text.size() + call.prompt.size()) / kBytesPerToken;
  if (call.engine) deps_.context->metrics->Add(Counter::kTokensWasted, wasted);
  call.text.clear();
  ++call.record.attempt;
}

SlotDone CallPipeline::ResultFor(const RunningCall& call,
                                 const std::string& upstream, uint64_t ticket,
                                 const UpstreamAnswer& answer) const {
  const bool ok = answer.failure == Reason::kNone;
  const bool aborted = call.cancelled || call.orphaned;
  const double tokens = call.engine ? static_cast<double>(answer.tokens) : 1.0;
  const double decode_ms = answer.total_ms - answer.first_token_ms;
  const double pace_ms =
      call.engine ? decode_ms / std::max(1.0, tokens) : answer.total_ms;
  return {.upstream = upstream,
          .ticket = ticket,
          .succeeded = ok,
          .cold_sign = !ok && !aborted && answer.failure != Reason::kNoUpstream,
          .tokens = tokens,
          .pace_ms = pace_ms};
}

CallPipeline::Async<void> CallPipeline::RecordAnswer(RunningCallPtr call,
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
      deps_.shards->Owns(call->shard)
          ? deps_.shards->Ledger(call->shard).Find(call->program)
          : nullptr;
  if (call->single && !call->engine && program != nullptr) {
    ProgramRecord ended = program->record;
    ended.state = ProgramState::kEnded;
    ended.ended_ms = record.finished_ms;
    records.push_back(MakeRecord(call->program, ended));
  }
  co_await deps_.shards->Commit(call->shard, std::move(records));
  deps_.context->metrics->Add(Counter::kTokensStreamed, record.tokens);
}

CallPipeline::Async<void> CallPipeline::RecordOutcomeUnknown(
    RunningCallPtr call, std::string detail) {
  call->record.state = CallState::kUnknown;
  call->record.finished_ms = NowMs();
  std::vector<Record> records = {
      MakeRecord(call->program, call->sequence, call->record)};
  co_await deps_.shards->Commit(call->shard, std::move(records));
  deps_.context->metrics->CountRefusal(Reason::kOutcomeUnknown);
  Note(*call, "outcome unknown: " + detail);
}

// Refuses a call that could not be completed. Always throws.
//
// The intent of a non-idempotent call is removed, because no byte of the call
// was sent: the caller may retry with the same sequence number. Intents of
// idempotent calls are kept: they tell which engines hold memory of the
// program, and a retry continues from them.
CallPipeline::Async<void> CallPipeline::RefuseCall(RunningCallPtr call,
                                                   Reason reason,
                                                   std::string detail) {
  RunState run = RunState::kNotRun;
  if (call->dispatched && call->idempotent) run = RunState::kUnknown;
  if (call->dispatched && !call->idempotent) {
    std::vector<Record> records = {
        {.key = CallKey(call->program, call->sequence),
         .epoch = {},
         .version = 0,
         .value = {}}};
    co_await deps_.shards->Commit(call->shard, std::move(records));
  }
  throw Refusal(reason, run, detail, kPollMs);
}

// Releases a program's memory on an engine that ignores fencing numbers. A
// stale owner's request may reach such an engine after the current owner has
// released the memory. The stale owner therefore asks the current one, after
// its request has ended, whether the program has ended, and if so releases the
// memory again.
CallPipeline::Async<void> CallPipeline::ReleaseAfterFencing(
    RunningCallPtr call) {
  for (int i = 0; i < kMaxReleaseAttempts; ++i) {
    const auto environment = deps_.context->environment.load();
    const auto upstream =
        environment->document.upstreams.find(call->record.upstream);
    const Service* service =
        environment->document.FindService(call->record.service);
    const bool ignores = service != nullptr && !service->fencing;
    if (!ignores || upstream == environment->document.upstreams.end())
      co_return;
    try {
      const std::string owner =
          OwnerAddress(*deps_.context, *deps_.shards, call->shard);
      // If this host owns the shard again, the regular release after the
      // program's end covers this engine.
      if (owner.empty()) co_return;
      const ProgramView view = co_await deps_.context->peers->View(
          owner, call->program, call->team,
          deps_.context->timing.rpc_timeout_ms);
      const bool missing = view.outcome.reason == Reason::kNotFound;
      if (view.outcome.ok() || missing) {
        const bool live =
            !missing &&
            json::parse(view.json).at("state").as_string() == "live";
        if (live) co_return;
        const bool freed = co_await deps_.upstreams->ReleaseSession(
            upstream->second.address, call->program,
            deps_.shards->FencingToken(call->shard));
        if (freed) co_return;
      }
    } catch (const std::exception& e) {
      kLog.Debug() << "Cannot read the state of the program yet: " << e.what();
    }
    co_await Sleep(500);
  }
}

}  // namespace pimento
