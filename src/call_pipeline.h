// Executes calls on the owner of their program.
//
// RunCall() takes a call through these stages:
//
//   1. ReserveBudget   calls, tokens and time, for the worst case
//   2. AcquireCredit   the team's rate and burst
//   3. then, for each attempt:
//      ChooseUpstream  by affinity and load
//      AcquireSlot     a slot in the upstream's window
//      RecordIntent    on a quorum, before the first byte is sent
//      Dispatch        to the upstream, streaming to all subscribers
//   4. RecordAnswer    on a quorum, before any caller gets the final reply
//
// A call runs independently of the request that started it: a retry with the
// same sequence number joins the running call, and a caller that disconnects
// does not stop it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/credit_broker.h"
#include "src/explain_log.h"
#include "src/peer_client.h"
#include "src/peer_messages.h"
#include "src/program_ledger.h"
#include "src/scheduler_context.h"
#include "src/shard_host.h"
#include "src/slot_broker.h"
#include "src/upstream_choice.h"
#include "src/upstream_client.h"

namespace pimento {

class CallPipeline {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  // Collaborators; not owned.
  struct Dependencies {
    SchedulerContext* context = nullptr;
    ShardHost* shards = nullptr;
    CreditBroker* credits = nullptr;
    SlotBroker* slots = nullptr;
    UpstreamClient* upstreams = nullptr;
    UpstreamChoice* choice = nullptr;
    ExplainLog* explain = nullptr;
  };
  explicit CallPipeline(Dependencies deps);

  // Create(), Call(), View() and End() throw Refusal.

  // Creates a program, or returns the existing one when the same team already
  // created it with the same contents.
  Async<ProgramView> Create(CreateRequest request);
  // Runs a call, joins it when it is running, or replays its recorded answer.
  // `sink` may be empty; it receives the pieces of a streamed answer.
  Async<CallReply> Call(CallRequest request, PieceSink sink);
  // Returns the program with its history of calls.
  Async<ProgramView> View(std::string program, std::string team);
  // Ends the program and its children. Has no effect on an ended program.
  Async<ProgramView> End(std::string program, std::string team);

  // Ends a program that is past its deadline, and its children.
  Async<void> Expire(std::string program);

  // Resumes the shard's calls that a former owner left unfinished.
  void OnGained(uint32_t shard);
  // Refuses the shard's running calls: the new owner continues them.
  void OnLost(uint32_t shard);
  // Waits until no non-idempotent call is running in the shard, at most for
  // SchedulerTiming::quiesce_ms.
  Async<void> Quiesce(uint32_t shard);
  // Number of calls in progress.
  size_t running() const { return running_.size(); }

 private:
  struct RunningCall;
  using RunningCallPtr = std::shared_ptr<RunningCall>;
  using CallId = std::pair<std::string, uint32_t>;

  // Returns the program's shard. Throws when there is none, or when this host
  // does not own it or accepts no new work for it.
  uint32_t AdmittedShard(const std::string& program) const;
  // Returns the program when it belongs to `team`; throws otherwise.
  Program& ProgramOf(uint32_t shard, const std::string& id,
                     const std::string& team);
  // Returns the service when the team may use it; throws otherwise.
  const Service& ServiceOf(const Document& document,
                           const CallRequest& request) const;
  Async<void> RecordProgram(uint32_t shard, CreateRequest request,
                            ProgramRecord record);
  CallPosition ClassifyCall(uint32_t shard, const CallRequest& request,
                            const std::string& digest) const;
  // Throws the reason why the call, which is next in its program, may not
  // begin.
  void CheckMayBegin(uint32_t shard, const CallRequest& request,
                     const Document& document);
  // Returns whether CheckMayBegin() would not throw.
  bool MayBegin(uint32_t shard, const CallRequest& request,
                const Document& document);
  Async<void> EnsureSingleCallProgram(uint32_t shard,
                                      const CallRequest& request);
  // Throws when the call may have run before its records were lost and must not
  // run twice.
  void RefuseIfUncertain(uint32_t shard, const Program& program,
                         const Service& service) const;

  // Starts the call in a coroutine of its own. `reopened` is the record of a
  // call that a former owner began, or null.
  RunningCallPtr Begin(uint32_t shard, const CallRequest& request,
                       const std::string& digest, const CallRecord* reopened);
  // Sends the text that the caller does not have yet to `sink`, then waits for
  // the end of the call.
  Async<CallReply> Join(RunningCallPtr call, const CallRequest& request,
                        PieceSink sink);
  Async<void> WaitForTurn(uint32_t shard, const CallRequest& request,
                          int64_t deadline_ms);
  void ThrowSequenceGap(uint32_t shard) const;
  CallReply ReplyFromRecord(const CallRecord& record) const;

  Async<void> RunCall(RunningCallPtr call);
  Async<void> ConfirmRefusal(RunningCallPtr call);
  void ReserveBudget(RunningCall& call);
  Async<void> AcquireCredit(RunningCallPtr call);
  Async<void> RunAttempts(RunningCallPtr call);
  Async<std::string> ChooseUpstream(RunningCallPtr call);
  Async<uint64_t> AcquireSlot(RunningCallPtr call, std::string upstream);
  Async<void> RecordIntent(RunningCallPtr call, std::string upstream);
  Async<void> RecordIntentOrRelease(RunningCallPtr call, std::string upstream,
                                    uint64_t ticket);
  Async<UpstreamAnswer> Dispatch(RunningCallPtr call, std::string upstream,
                                 bool resume);
  Async<UpstreamAnswer> DispatchToEngine(RunningCallPtr call,
                                         const Upstream& upstream,
                                         const Service& service, bool resume);
  Async<void> RecordAnswer(RunningCallPtr call, UpstreamAnswer answer);
  Async<void> RecordOutcomeUnknown(RunningCallPtr call, std::string detail);
  Async<void> RefuseCall(RunningCallPtr call, Reason reason,
                         std::string detail);
  SlotDone ResultFor(const RunningCall& call, const std::string& upstream,
                     uint64_t ticket, const UpstreamAnswer& answer) const;
  void Deliver(RunningCall& call, const std::string& text);
  void ResetForRetry(RunningCall& call);
  void Finish(const RunningCallPtr& call);
  Async<void> ReleaseAfterFencing(RunningCallPtr call);

  std::string Prompt(const Program& program, const std::string& input) const;
  std::string ViewJson(const std::string& id, const Program& program) const;
  Async<void> EndAs(std::string program, ProgramState state);
  // Adds a line about the call to the explain log.
  void Note(const RunningCall& call, const std::string& text) const;

  Dependencies deps_;
  // Calls in progress, by program and sequence number.
  std::map<CallId, RunningCallPtr> running_;
};

}  // namespace pimento
