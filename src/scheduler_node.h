// One scheduler process: its threads, and the calls that peers make to it.
//
//   supervisor "scheduler"
//     shards       shard protocol, calls, slots, credits; one thread, no locks
//     dispatch     HTTP requests to upstreams
//     platform     HTTP requests to the platform's object API
//     membership   probes and gossip
//     admin        health, metrics, status
//     rpc          Cap'n Proto; has its own event loop, so the supervisor does
//                  not run it
#pragma once

#include <memory>
#include <string>

#include "src/call_pipeline.h"
#include "src/config_watch.h"
#include "src/credit_broker.h"
#include "src/explain_log.h"
#include "src/http_server.h"
#include "src/membership_service.h"
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

// The On...() functions answer the calls of peers and run on the shards thread.
class SchedulerNode final : public PeerHandler {
 public:
  explicit SchedulerNode(SchedulerSettings settings);
  ~SchedulerNode() override;

  // Listens on the addresses of the settings and starts all threads. Throws
  // TransportError when it cannot listen on an address.
  void Start();
  // A planned stop: hands the owned shards over to other hosts, for at most the
  // `stop_limit_ms` of the settings, then stops all threads.
  void Stop();

  Async<AppendReply> OnAppend(AppendRequest request) override;
  Async<SealReply> OnSeal(SealRequest request) override;
  Async<std::vector<HostGossip>> OnGossip(
      std::vector<HostGossip> gossip) override;
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
  // Publishes changes of this host to the fleet, and updates the gauges.
  Async<void> AnnounceAndGaugeLoop();
  void AnnounceIfChanged();
  // Fault injection for tests: cuts the connections to the peers and to the
  // platform that the JSON in `body` lists.
  void ApplyFaults(const std::string& body);

  SchedulerSettings settings_;
  Metrics metrics_;
  ExplainLog explain_;
  Supervisor supervisor_{"scheduler"};
  WorkerThread& shards_thread_;
  WorkerThread& dispatch_thread_;
  WorkerThread& platform_thread_;
  WorkerThread& membership_thread_;
  WorkerThread& admin_thread_;
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
  MembershipService membership_;
  PeerServer server_;
  std::unique_ptr<HttpServer> admin_;
  // The information that was announced to the fleet last.
  std::vector<OwnedShard> announced_;
  uint64_t announced_generation_ = 0;
  bool announced_leaving_ = false;
};

}  // namespace pimento
