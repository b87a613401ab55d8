// One scheduler process: its duties, and the calls that peers make to it.
//
//   supervisor "scheduler"
//     shards       shard protocol, calls, slots, credits (no locks: one thread)
//     dispatch     HTTP to upstreams
//     platform     HTTP to the object API
//     membership   probes and news
//     admin        health, metrics, status
//     rpc          Cap'n Proto, outside the supervisor: it has its own loop
#pragma once

#include <memory>
#include <string>

#include "src/call_pipeline.h"
#include "src/config_watch.h"
#include "src/credit_broker.h"
#include "src/explain_log.h"
#include "src/http_server.h"
#include "src/membership_duty.h"
#include "src/metrics.h"
#include "src/peer_client.h"
#include "src/peer_server.h"
#include "src/platform_client.h"
#include "src/program_sweeper.h"
#include "src/rpc_loop.h"
#include "src/scheduler_context.h"
#include "src/settings.h"
#include "src/shard_host.h"
#include "src/slot_broker.h"
#include "src/upstream_choice.h"
#include "src/upstream_client.h"
#include "src/worker_thread.h"

namespace pimento {

class SchedulerNode final : public PeerHandler {
 public:
  explicit SchedulerNode(SchedulerSettings settings);
  ~SchedulerNode() override;

  // Throws TransportError when an address cannot be listened on.
  void Start();
  // A planned stop: hands everything over, then returns.
  void Stop();

  Async<AppendReply> OnAppend(AppendRequest request) override;
  Async<SealReply> OnSeal(SealRequest request) override;
  Async<std::vector<HostNews>> OnGossip(std::vector<HostNews> news) override;
  Async<bool> OnProbe(std::string rpc_address) override;
  Async<ProgramView> OnCreate(CreateRequest request) override;
  Async<CallReply> OnCall(CallRequest request, PieceSink sink) override;
  Async<ProgramView> OnView(std::string program, std::string team) override;
  Async<ProgramView> OnEnd(std::string program, std::string team) override;
  Async<CreditReply> OnCredits(CreditRequest request) override;
  Async<SlotReply> OnSlot(SlotRequest request) override;
  Async<bool> OnSlotDone(SlotDone done) override;
  Async<std::vector<SlotRequest>> OnInFlight(std::string upstream) override;
  Async<DocumentReply> OnDocument(uint64_t after, int64_t wait_ms) override;
  Async<OwnerReply> OnOwner(uint32_t shard) override;
  Async<bool> OnTakeOver(TakeOverRequest request) override;

 private:
  HostInfo SelfInfo() const;
  ShardHooks Hooks();
  HttpHandler AdminHandler();
  HttpResponse AdminAnswer(const HttpRequest& request);
  std::string StatusJson();
  Async<std::string> ShardStatus();
  Async<void> GaugeLoop();
  void AnnounceIfChanged();
  void ApplyFaults(const std::string& body);

  SchedulerSettings settings_;
  Metrics metrics_;
  ExplainLog explain_;
  Supervisor supervisor_{"scheduler"};
  WorkerThread& shards_duty_;
  WorkerThread& dispatch_duty_;
  WorkerThread& platform_duty_;
  WorkerThread& membership_duty_;
  WorkerThread& admin_duty_;
  RpcLoop rpc_;
  PeerClient peers_;
  PlatformClient platform_;
  SchedulerContext context_;
  ShardHost shards_;
  CreditBroker credits_;
  SlotBroker slots_;
  UpstreamClient upstreams_;
  std::unique_ptr<UpstreamChoice> choice_;
  CallPipeline pipeline_;
  ProgramSweeper sweeper_;
  ConfigWatch config_;
  MembershipDuty membership_;
  PeerServer server_;
  std::unique_ptr<HttpServer> admin_;
  // What the fleet was told last.
  std::vector<OwnedShard> announced_;
  uint64_t announced_generation_ = 0;
  bool announced_leaving_ = false;
};

}  // namespace pimento
