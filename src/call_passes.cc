// The passes of a call, from reserving its budget to recording its answer.
#include <algorithm>
#include <boost/json.hpp>
#include <mutex>
#include <optional>
#include <utility>

#include "src/call_pipeline.h"
#include "src/call_running.h"
#include "src/duty.h"
#include "src/log.h"
#include "src/owner_view.h"

namespace pimento {
namespace {

namespace json = boost::json;

using Internal::kPollMs;
using Internal::Subscriber;

const Log kLog("call");

constexpr uint32_t kMostAttempts = 4;
constexpr size_t kBytesPerToken = 4;
constexpr int kFreeTries = 20;
// A token of prompt costs an engine this share of a generated one.
constexpr double kPromptShare = 0.05;

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
  co_await parts_.credits->AcquireGrant(call->team);
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
      co_await RecordIntentOrRelease(call, upstream, ticket);
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
                        return parts_.slots->CachedLoad(name);
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
  SlotBroker::AcquireParams want{
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

// An intent that was not counted sends nothing, so its slot is given back: kept
// until it lapses, it would be one of the few that a gate grants unproved.
CallPipeline::Async<void> CallPipeline::RecordIntentOrRelease(
    RunningPtr call, std::string upstream, uint64_t ticket) {
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
  Spawn(*parts_.context->shards_io, "call", parts_.slots->Release(unused));
  std::rethrow_exception(failure);
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

}  // namespace pimento
