#include "src/scheduler_node.h"

#include <algorithm>
#include <boost/json.hpp>
#include <future>
#include <utility>

#include "src/errors.h"
#include "src/log.h"
#include "src/owner_lookup.h"

namespace pimento {
namespace {

namespace json = boost::json;

const Log kLog("scheduler");

constexpr size_t kMaxExplainLines = 20'000;
constexpr int64_t kDocumentPollIntervalMs = 150;
constexpr int64_t kMaxDocumentWaitMs = 30'000;
constexpr int64_t kGaugeIntervalMs = 1'000;
constexpr int64_t kAnnounceIntervalMs = 100;
// After this long without contact to the platform or any peer, the document of
// this host may be stale.
constexpr int64_t kDocumentContactTimeoutMs = 3'500;
// After this long without contact to any peer, this host may not know the
// current owners.
constexpr int64_t kPeerContactTimeoutMs = 1'500;

// Identifies this run of the process. The wall clock at the start makes it
// greater than that of earlier runs.
uint64_t BootNumber() { return static_cast<uint64_t>(NowUs()); }

const char* StateName(HostState state) {
  constexpr const char* kNames[] = {"alive", "suspect", "dead"};
  return kNames[static_cast<size_t>(state)];
}

}  // namespace

SchedulerNode::SchedulerNode(SchedulerSettings settings)
    : settings_(std::move(settings)),
      explain_(kMaxExplainLines),
      shards_thread_(supervisor_.Add("shards", settings_.ring_capacity)),
      dispatch_thread_(supervisor_.Add("dispatch", settings_.ring_capacity)),
      platform_thread_(supervisor_.Add("platform", settings_.ring_capacity)),
      membership_thread_(
          supervisor_.Add("membership", settings_.ring_capacity)),
      admin_thread_(supervisor_.Add("admin", settings_.ring_capacity)),
      rpc_(settings_.ring_capacity),
      peers_(rpc_, metrics_),
      platform_(platform_thread_, metrics_,
                {.address = settings_.platform_address}),
      context_{.self = {.host = settings_.host, .boot = BootNumber()},
               .zone = settings_.zone,
               .timing = settings_.timing,
               .shards_io = &shards_thread_.io(),
               .peers = &peers_,
               .platform = &platform_,
               .metrics = &metrics_},
      shards_(context_),
      credits_(context_, shards_),
      slots_(context_, shards_,
             QueuePolicyFromName(settings_.queue_policy)
                 .value_or(QueuePolicy::kFair)),
      upstreams_(dispatch_thread_),
      choice_(MakeChoice(ChoicePolicyFromName(settings_.choice_policy),
                         context_.self.boot)),
      pipeline_({.context = &context_,
                 .shards = &shards_,
                 .credits = &credits_,
                 .slots = &slots_,
                 .upstreams = &upstreams_,
                 .choice = choice_.get(),
                 .explain = &explain_}),
      sweeper_(context_, shards_, pipeline_, upstreams_),
      config_(context_, {.environment = settings_.environment}),
      membership_(
          membership_thread_, context_,
          {.self = SelfInfo(), .seeds = settings_.seeds, .membership = {}}),
      server_(rpc_, shards_thread_, *this, settings_.rpc_limits) {}

SchedulerNode::~SchedulerNode() = default;

HostInfo SchedulerNode::SelfInfo() const {
  HostInfo info;
  info.host = settings_.host;
  info.zone = settings_.zone;
  info.rpc_address = settings_.rpc_address;
  info.http_address = settings_.http_address;
  info.boot = context_.self.boot;
  return info;
}

ShardHooks SchedulerNode::Hooks() {
  return {
      .gained =
          [this](uint32_t shard) {
            pipeline_.OnGained(shard);
            membership_.Announce(shards_.Owned());
          },
      .lost =
          [this](uint32_t shard) {
            pipeline_.OnLost(shard);
            credits_.DropShard(shard);
            slots_.DropShard(shard);
            membership_.Announce(shards_.Owned());
          },
      .quiesce = [this](uint32_t shard) { return pipeline_.Quiesce(shard); }};
}

void SchedulerNode::Start() {
  rpc_.Start();
  server_.Listen(settings_.rpc_address);
  admin_ = std::make_unique<HttpServer>(admin_thread_.io(), "admin",
                                        settings_.admin_limits, AdminHandler());
  admin_->Listen(settings_.admin_address);
  shards_.Start(Hooks());
  slots_.Start();
  sweeper_.Start();
  config_.Start();
  membership_.Start();
  Spawn(shards_thread_.io(), "scheduler", AnnounceAndGaugeLoop());
  supervisor_.Start();
  kLog.Info() << "The scheduler of host " << settings_.host << " in zone "
              << settings_.zone << " listens on " << settings_.rpc_address
              << ".";
}

void SchedulerNode::Stop() {
  kLog.Info() << "Graceful shutdown started.";
  context_.leaving = true;
  std::promise<void> handed_over;
  boost::asio::co_spawn(
      shards_thread_.io(), shards_.Leave(settings_.stop_limit_ms),
      [&handed_over](std::exception_ptr) { handed_over.set_value(); });
  handed_over.get_future().wait();
  // Time for entries to learn of the new owners from other hosts, and for
  // answers in flight to be sent.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  kLog.Info() << "The scheduler stops.";
  server_.Close();
  supervisor_.Stop();
  rpc_.Stop();
}

// Announces changes that no hook reported, such as a new generation.
void SchedulerNode::AnnounceIfChanged() {
  std::vector<OwnedShard> owned = shards_.Owned();
  const uint64_t generation = context_.environment.load()->generation;
  const bool same = owned == announced_ &&
                    generation == announced_generation_ &&
                    context_.leaving == announced_leaving_;
  if (same) return;
  announced_ = owned;
  announced_generation_ = generation;
  announced_leaving_ = context_.leaving;
  membership_.Announce(std::move(owned));
}

SchedulerNode::Async<void> SchedulerNode::AnnounceAndGaugeLoop() {
  int64_t gauge_due_ms = 0;
  for (;;) {
    co_await Sleep(kAnnounceIntervalMs);
    AnnounceIfChanged();
    if (NowMs() < gauge_due_ms) continue;
    gauge_due_ms = NowMs() + kGaugeIntervalMs;
    const ShardHost::StorageTotals held = shards_.storage_totals();
    metrics_.SetGauge("shards_owned",
                      static_cast<double>(shards_.Owned().size()));
    metrics_.SetGauge("shards_short",
                      static_cast<double>(shards_.UnderReplicated()));
    metrics_.SetGauge("shards_held", static_cast<double>(held.shards));
    metrics_.SetGauge("records_held", static_cast<double>(held.records));
    metrics_.SetGauge("record_bytes_held", static_cast<double>(held.bytes));
    metrics_.SetGauge("calls_running",
                      static_cast<double>(pipeline_.running()));
    metrics_.SetGauge(
        "generation",
        static_cast<double>(context_.environment.load()->generation));
    metrics_.SetGauge("platform_reachable", platform_.reachable() ? 1 : 0);
  }
}

// ---- Peers -----------------------------------------------------------------

SchedulerNode::Async<AppendReply> SchedulerNode::OnAppend(
    AppendRequest request) {
  co_return shards_.OnAppend(request);
}

SchedulerNode::Async<SealReply> SchedulerNode::OnSeal(SealRequest request) {
  co_return shards_.OnSeal(request);
}

SchedulerNode::Async<std::vector<HostGossip>> SchedulerNode::OnGossip(
    std::vector<HostGossip> gossip) {
  co_return co_await membership_.Exchange(std::move(gossip));
}

SchedulerNode::Async<bool> SchedulerNode::OnProbe(std::string rpc_address) {
  // Without an address the caller only checks that this process answers.
  if (rpc_address.empty()) co_return true;
  bool alive = true;
  try {
    co_await peers_.Probe(rpc_address, "", 400);
  } catch (const TransportError&) {
    alive = false;
  }
  co_return alive;
}

SchedulerNode::Async<ProgramView> SchedulerNode::OnCreate(
    CreateRequest request) {
  return pipeline_.Create(std::move(request));
}

SchedulerNode::Async<CallReply> SchedulerNode::OnCall(CallRequest request,
                                                      PieceSink sink) {
  return pipeline_.Call(std::move(request), std::move(sink));
}

SchedulerNode::Async<ProgramView> SchedulerNode::OnView(std::string program,
                                                        std::string team) {
  return pipeline_.View(std::move(program), std::move(team));
}

SchedulerNode::Async<ProgramView> SchedulerNode::OnEnd(std::string program,
                                                       std::string team) {
  return pipeline_.End(std::move(program), std::move(team));
}

SchedulerNode::Async<CreditReply> SchedulerNode::OnCredits(
    CreditRequest request) {
  return credits_.Grant(std::move(request));
}

SchedulerNode::Async<SlotReply> SchedulerNode::OnSlot(SlotRequest request) {
  return slots_.OnSlot(std::move(request));
}

SchedulerNode::Async<bool> SchedulerNode::OnSlotDone(SlotDone done) {
  return slots_.OnDone(std::move(done));
}

SchedulerNode::Async<std::vector<SlotRequest>> SchedulerNode::OnInFlight(
    std::string upstream) {
  co_return slots_.InFlight(upstream);
}

SchedulerNode::Async<DocumentReply> SchedulerNode::OnDocument(uint64_t after,
                                                              int64_t wait_ms) {
  const int64_t deadline_ms =
      NowMs() + std::clamp<int64_t>(wait_ms, 0, kMaxDocumentWaitMs);
  while (context_.environment.load()->generation <= after &&
         NowMs() < deadline_ms) {
    co_await Sleep(kDocumentPollIntervalMs);
  }
  const bool has_contact =
      platform_.reachable() ||
      NowMs() - membership_.last_contact_ms() < kDocumentContactTimeoutMs;
  // The document of an isolated host may be stale: an entry must not use it as
  // the current one.
  if (!has_contact) {
    throw TransportError("This host reaches neither the platform nor any peer.",
                         false);
  }
  co_return config_.Latest();
}

SchedulerNode::Async<OwnerReply> SchedulerNode::OnOwner(uint32_t shard) {
  // An isolated host does not know the current owners: the entry then asks
  // another host.
  if (NowMs() - membership_.last_peer_ms() > kPeerContactTimeoutMs) {
    throw TransportError("This host reaches no other host.", false);
  }
  co_return FindOwner(context_, shards_, shard);
}

SchedulerNode::Async<bool> SchedulerNode::OnTakeOver(TakeOverRequest request) {
  return shards_.OnTakeOver(std::move(request));
}

// ---- Admin port ------------------------------------------------------------

HttpHandler SchedulerNode::AdminHandler() {
  return [this](const HttpRequest& request,
                HttpResponder& responder) -> Async<void> {
    HttpResponse answer;
    if (request.path == "/status") {
      std::function<Async<std::string>()> work = [this] {
        return ShardStatus();
      };
      answer.body =
          co_await RunOn<std::string>(shards_thread_, std::move(work));
    } else {
      answer = AdminAnswer(request);
    }
    co_await responder.Send(std::move(answer));
  };
}

HttpResponse SchedulerNode::AdminAnswer(const HttpRequest& request) {
  if (request.path == "/healthz") {
    const bool ready =
        context_.environment.load()->generation > 0 && !context_.leaving;
    return {.status = ready ? 200 : 503,
            .body = ready ? R"({"ready":true})" : R"({"ready":false})"};
  }
  if (request.path == "/metrics") {
    return {.body = metrics_.PrometheusText() + admin_->MetricsText() +
                    server_.MetricsText(),
            .content_type = "text/plain; version=0.0.4"};
  }
  if (request.path == "/explain") {
    json::array lines;
    for (const std::string& line : explain_.Find(request.Query("id"))) {
      lines.emplace_back(line);
    }
    return {.body = json::serialize(lines)};
  }
  if (request.path == "/faults" && request.method == "POST" &&
      settings_.fault_injection) {
    ApplyFaults(request.body);
    return {.body = "{}"};
  }
  return {.status = 404, .body = "{}"};
}

// Example: {"cut": ["127.0.0.1:7102"], "cut_platform": true}
void SchedulerNode::ApplyFaults(const std::string& body) {
  const json::value faults = json::parse(body);
  if (const json::value* cut = faults.as_object().if_contains("cut");
      cut != nullptr) {
    std::set<std::string> addresses;
    for (const json::value& address : cut->as_array()) {
      addresses.insert(address.as_string().c_str());
    }
    peers_.SimulatePartition(addresses);
  }
  if (const json::value* cut = faults.as_object().if_contains("cut_platform");
      cut != nullptr) {
    platform_.set_partitioned(cut->as_bool());
  }
}

SchedulerNode::Async<std::string> SchedulerNode::ShardStatus() {
  const auto environment = context_.environment.load();
  const auto view = context_.view.load();
  json::array hosts;
  for (const HostGossip& host : view->hosts()) {
    json::array owned;
    for (const OwnedShard& shard : host.info.owned)
      owned.emplace_back(shard.shard);
    hosts.push_back({{"host", host.info.host},
                     {"zone", host.info.zone},
                     {"state", StateName(host.state)},
                     {"leaving", host.info.leaving},
                     {"in_service", InService(environment->document,
                                              host.info.host, host.info.zone)},
                     {"generation", host.info.generation},
                     {"http_address", host.info.http_address},
                     {"owned", std::move(owned)}});
  }
  json::array owned;
  for (const OwnedShard& shard : shards_.Owned()) {
    owned.push_back({{"shard", shard.shard},
                     {"major", shard.epoch.major},
                     {"minor", shard.epoch.minor}});
  }
  const json::object status = {{"host", settings_.host},
                               {"environment", settings_.environment},
                               {"generation", environment->generation},
                               {"shards", environment->document.shards},
                               {"platform_reachable", platform_.reachable()},
                               {"owned", std::move(owned)},
                               {"hosts", std::move(hosts)}};
  co_return json::serialize(status);
}

}  // namespace pimento
