// The path of a call on the owner of its program.
//
// A call goes through these passes, top to bottom in RunCall():
//
//   1. ReserveBudget   calls, tokens and time, for the worst case
//   2. TakeCredit      the team's rate and burst
//   3. then, for each attempt:
//      ChooseUpstream  where, by affinity and load
//      Acquire         a slot in the upstream's window
//      RecordIntent    with a witness, before the first byte goes out
//      Dispatch        to the upstream, streaming to whoever listens
//   4. RecordAnswer    with a witness, before anybody is told
//
// A call runs on its own, whoever asked for it: a retry of the same sequence
// number joins it, and a caller that goes away changes nothing.
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

  struct Parts {
    SchedulerContext* context = nullptr;
    ShardHost* shards = nullptr;
    CreditBroker* credits = nullptr;
    SlotBroker* slots = nullptr;
    UpstreamClient* upstreams = nullptr;
    UpstreamChoice* choice = nullptr;
    ExplainLog* explain = nullptr;
  };
  explicit CallPipeline(Parts parts);

  // All throw Refusal.
  Async<ProgramView> Create(CreateRequest request);
  Async<CallReply> Call(CallRequest request, PieceSink sink);
  Async<ProgramView> View(std::string program, std::string team);
  Async<ProgramView> End(std::string program, std::string team);

  // Ends a program whose time is over.
  Async<void> Expire(std::string program);

  void OnGained(uint32_t shard);
  void OnLost(uint32_t shard);
  // Waits until no call that must not repeat is under way in the shard.
  Async<void> Quiesce(uint32_t shard);
  size_t running() const { return running_.size(); }

 private:
  struct Running;
  using RunningPtr = std::shared_ptr<Running>;
  using CallId = std::pair<std::string, uint32_t>;

  uint32_t AdmittedShard(const std::string& program) const;
  Program& ProgramOf(uint32_t shard, const std::string& id,
                     const std::string& team);
  const Service& ServiceOf(const Document& document,
                           const CallRequest& request) const;
  Async<void> RecordProgram(uint32_t shard, CreateRequest request,
                            ProgramRecord record);
  CallPosition TurnFor(uint32_t shard, const CallRequest& request,
                       const std::string& digest) const;
  void CheckNext(uint32_t shard, const CallRequest& request,
                 const Document& document);
  bool MayBegin(uint32_t shard, const CallRequest& request,
                const Document& document);
  Async<void> EnsureSingle(uint32_t shard, const CallRequest& request);
  void RefuseIfUncertain(uint32_t shard, const Program& program,
                         const Service& service) const;

  RunningPtr Begin(uint32_t shard, const CallRequest& request,
                   const std::string& digest, const CallRecord* reopened);
  Async<CallReply> Join(RunningPtr call, const CallRequest& request,
                        PieceSink sink);
  Async<void> WaitForTurn(uint32_t shard, const CallRequest& request,
                          int64_t deadline_ms);
  void ThrowGap(uint32_t shard) const;
  CallReply Recorded(const CallRecord& record) const;

  Async<void> RunCall(RunningPtr call);
  Async<void> ConfirmRefusal(RunningPtr call);
  void ReserveBudget(Running& call);
  Async<void> TakeCredit(RunningPtr call);
  Async<void> RunAttempts(RunningPtr call);
  Async<std::string> ChooseUpstream(RunningPtr call);
  Async<uint64_t> AcquireSlot(RunningPtr call, std::string upstream);
  Async<void> RecordIntent(RunningPtr call, std::string upstream);
  Async<void> RecordIntentOrRelease(RunningPtr call, std::string upstream,
                                    uint64_t ticket);
  Async<UpstreamAnswer> Dispatch(RunningPtr call, std::string upstream,
                                 bool resume);
  Async<UpstreamAnswer> DispatchToEngine(RunningPtr call,
                                         const Upstream& upstream,
                                         const Service& service, bool resume);
  Async<void> RecordAnswer(RunningPtr call, UpstreamAnswer answer);
  Async<void> RecordUnknown(RunningPtr call, std::string detail);
  Async<void> GiveUp(RunningPtr call, Reason reason, std::string detail);
  SlotDone ResultFor(const Running& call, const std::string& upstream,
                     uint64_t ticket, const UpstreamAnswer& answer) const;
  void Deliver(Running& call, const std::string& text);
  void Restart(Running& call);
  void Finish(const RunningPtr& call);
  Async<void> FreeAfterFencing(RunningPtr call);

  std::string Prompt(const Program& program, const std::string& input) const;
  std::string ViewJson(const std::string& id, const Program& program) const;
  Async<void> EndAs(std::string program, ProgramState state);
  void Note(const Running& call, const std::string& text) const;

  Parts parts_;
  std::map<CallId, RunningPtr> running_;
};

}  // namespace pimento
