#include "src/gateway_state.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <utility>

#include "platform/object_codec.h"
#include "platform/wire_names.h"
#include "src/archive_node.h"
#include "src/background_loop.h"
#include "src/connection_limits.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/loop_clock.h"
#include "src/process_end.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A gateway withholds the share of a peer in the teams' rates after this many
// intervals without a message; one message may be lost. Shorter than the
// time after which a peer is silent: while two halves of the gateways do not
// hear each other, both admit the whole rate.
constexpr double kRateShareIntervals = 2.5;
constexpr int64_t kMinRateShareMs = 450;
// Initial time after which a peer is silent, until the number of gateways and
// thus the interval is known.
constexpr int64_t kInitialSilentAfterMs = 450;
// Housekeeping also reports the turns of the loop.
constexpr milliseconds kHousekeepingInterval = LoopClock::kTurnInterval;
constexpr milliseconds kRegisterRetryPause{300};
// Maximum waits of the other watches.
constexpr milliseconds kUpstreamWait{4'000};
constexpr milliseconds kRareChangeWait{7'000};
// Time to notice that a watch whose wait is over has no answer, and to ask
// again.
constexpr milliseconds kWatchRecovery{1'000};
constexpr milliseconds kMinWait{500};
// Maximum age of a usable desired state, as a share of the time allowed for
// revoking a key. The rest is for requests on their way to an upstream.
constexpr double kMaxStateAgeShare = 0.85;
// Share of that age after which calls to another gateway's mirror are aborted.
constexpr double kMaxMirrorAgeShare = 0.8;
// An entry is removed after three heartbeat intervals without a renewal, and
// the last renewal may be one interval old when an outage begins: a shorter
// outage removes none.
constexpr int64_t kMinExpiryIntervals = 2;
// Pauses before an upstream is asked again whether it refuses connections.
constexpr std::array<milliseconds, 2> kAskAgainPauses = {milliseconds(15),
                                                         milliseconds(25)};
// A start waits so long for the orders to change versions.
constexpr int64_t kMaxWaitForOrdersMs = 3'000;
// Maximum age of the desired state that is used during an outage of the store.
constexpr int64_t kMaxOutageUseMs = 60'000;

// The wait of a watch whose connection may die unnoticed at any time: what it
// missed is known within `bound_ms` of that.
milliseconds BoundedWait(milliseconds wait, int64_t bound_ms) {
  const milliseconds bounded = milliseconds(bound_ms) - kWatchRecovery;
  return std::clamp(bounded, kMinWait, wait);
}

uint64_t UnixUs() {
  return static_cast<uint64_t>(
      duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

GatewayState::GatewayState(asio::io_context& io,
                           const platform::BootSettings& settings,
                           Metrics& metrics)
    : io_(io),
      settings_(settings),
      metrics_(metrics),
      pool_(io.get_executor()),
      store_(pool_, settings.store_address,
             {.min_outage_ms =
                  kMinExpiryIntervals * settings.heartbeat_interval_ms}),
      table_({.cold_factor = settings.cold_factor,
              .cold_slack = settings.cold_slack,
              .zone = settings.zone}),
      dispatcher_(io, table_, metrics),
      calls_(LimitsOfConnections(settings.memory_mb, settings.max_fds).calls),
      archive_(io, pool_, {.zone = settings.zone}),
      view_(kInitialSilentAfterMs),
      peers_(io, settings.ip, settings.first_port),
      watch_assignment_(settings.host, {}),
      config_watch_(io, store_,
                    WatchOptions(std::string(platform::kConfigKind),
                                 MaxContactWait(settings.revoke_ms))),
      upstream_watch_(
          io, store_,
          WatchOptions(
              std::string(platform::kUpstreamKind),
              BoundedWait(kUpstreamWait, std::max(settings.stability_window_ms,
                                                  settings.drain_ms)))),
      zone_watch_(io, store_,
                  WatchOptions(std::string(platform::kDrainedZoneKind),
                               BoundedWait(kRareChangeWait,
                                           settings.zone_evacuation_ms))),
      member_watch_(io, store_, WatchOptions(kMemberListKind, kRareChangeWait)),
      gateway_watch_(io, store_, WatchOptions(kGatewayKind, kRareChangeWait)),
      rollout_watch_(
          io, store_,
          WatchOptions(std::string(platform::kRolloutKind),
                       BoundedWait(kRareChangeWait, settings.rollback_ms))),
      boot_(UnixUs()),
      sender_hash_(SenderHash(settings.host, boot_)),
      rates_(io, metrics,
             {.host = settings.host, .boot = boot_, .sender = sender_hash_},
             [this](const std::string& host, const GatewayGossip& message) {
               SendToPeer(host, message);
             }),
      crash_detector_(io, pool_),
      hedging_({.max_share = settings.hedge_share}),
      rollouts_(io, store_, rollout_watch_, table_, metrics, settings, boot_,
                MakeRolloutSurroundings()) {}

RolloutSurroundings GatewayState::MakeRolloutSurroundings() {
  return {.fleet =
              [this] {
                RolloutFleet fleet{.ready_hosts = ReadyHosts()};
                for (const auto& [host, address] : gateway_addresses_)
                  fleet.silent_ms[host] =
                      std::min(view_.SinceLastGossipMs(host, PeerNowMs()),
                               SteadyMs() - started_ms_);
                return fleet;
              },
          .send =
              [this](const std::string& host, const GatewayGossip& message) {
                SendToPeer(host, message);
              },
          .interval_ms = [this] { return int64_t{peers_.interval().count()}; },
          .desired = [this] { return desired_; }};
}

void GatewayState::SendToPeer(const std::string& host,
                              const GatewayGossip& message) {
  const auto address = gateway_addresses_.find(host);
  if (address != gateway_addresses_.end())
    peers_.SendTo(address->second, message);
}

// The followed gateway may freeze or lose the store while a call to it waits.
void GatewayState::AbortLostSources() {
  const int64_t now_ms = SteadyMs();
  const auto max_mirror_age_ms = static_cast<double>(settings_.revoke_ms) *
                                 kMaxStateAgeShare * kMaxMirrorAgeShare;
  const bool old = StateAgeMs() > static_cast<int64_t>(max_mirror_age_ms);
  for (StoreWatch* watch : watches_) {
    const StoreSource source = watch->source();
    if (source.host.empty()) continue;
    const bool silent = view_.IsSilent(source.host, PeerNowMs());
    if (!silent && !old) continue;
    watch_assignment_.NoteFailure(source.host, now_ms);
    source.client->Abort();
  }
}

void GatewayState::Start() {
  config_watch_.StartTakingIn([this] { return OnConfig(); });
  upstream_watch_.Start([this] { OnUpstreams(); });
  zone_watch_.Start([this] { OnDrainedZones(); });
  member_watch_.Start([this] { OnMembers(); });
  gateway_watch_.Start([this] { OnGateways(); });
  rollout_watch_.Start([this] {
    rollouts_.OnOrders();
    dispatcher_.DispatchQueued();
  });
  peers_.Start([this] { return BuildGossip(); },
               [this](const GatewayGossip& gossip) { OnGossip(gossip); });
  archive_.set_on_store_report([this](const std::string& host,
                                      int64_t overdue_ms,
                                      BootClock::time_point as_of) {
    outage_.AddReport(host, overdue_ms, BootMs(as_of));
  });
  KeepRunning(io_, "registration", [this] { return Register(); });
  KeepRunning(io_, "housekeeping", [this] { return Housekeeping(); });
}

void GatewayState::Drain() {
  draining_ = true;
  peers_.Announce();
}

void GatewayState::OnGossip(const GatewayGossip& gossip) {
  const int64_t now_ms = SteadyMs();
  const int64_t peer_now_ms = PeerNowMs();
  const bool was_silent = view_.IsSilent(gossip.host, peer_now_ms);
  ChargePeerUsage(gossip.host, view_.ApplyGossip(gossip, peer_now_ms));
  rates_.OnMessage(gossip);
  rollouts_.OnGossip(gossip);
  TellStartedPeer(gossip);
  if (was_silent && !view_.IsSilent(gossip.host, peer_now_ms))
    EventLine(Event::kPeerSeen).Text("peer", gossip.host);
  for (const uint64_t program : gossip.programs)
    programs_.OnPeerAdmitted(program, now_ms);
  for (const uint64_t process : gossip.leaving_upstreams)
    OnPeerReportsLeaving(gossip.host, process);
  const bool registered = gateway_addresses_.count(gossip.host) > 0;
  for (const CrashReport& report : gossip.crashes)
    if (registered) OnPeerCrashReport(gossip.host, report);
  for (const PaceSample& sample : gossip.paces)
    if (registered)
      table_.pace().OnPeerReport(HashName(gossip.host), sample, now_ms);
  newest_peer_version_ = std::max(newest_peer_version_, gossip.state_version);
  // The peer wrote the message after the echoed one was sent, so that send time
  // is a safe time for its reports, however long the message was buffered.
  for (const GossipEcho& echo : gossip.echoes) {
    if (echo.sender != sender_hash_) continue;
    const auto sent = peers_.SentAt(echo.sequence);
    if (!sent) continue;
    outage_.AddReport(gossip.host, gossip.store_overdue_ms, BootMs(*sent));
    if (!desired_ || gossip.state_version != desired_->version()) continue;
    const milliseconds age(std::max<int64_t>(0, gossip.state_age_ms));
    relayed_fresh_as_of_ = std::max(relayed_fresh_as_of_, *sent - age);
  }
}

void GatewayState::OnPeerReportsLeaving(const std::string& host,
                                        uint64_t process) {
  const std::string id = table_.OnPeerReportsLeaving(process);
  if (id.empty()) return;
  metrics_.Add(Counter::kLeavingReported);
  EventLine(Event::kUpstreamLeaving).Text("upstream", id).Text("peer", host);
}

asio::awaitable<void> GatewayState::OnBrokenOff(const BrokenRun& run) {
  if (!table_.ExpectedToRun(run.upstream)) co_return;
  const bool crashed = co_await crash_detector_.HasCrashed(run.upstream);
  if (crashed) {
    OnCrash(run);
    for (const BrokenRun& kept : crash_detector_.TakeRunsOn(run.upstream))
      OnCrash(kept);
    co_return;
  }
  crash_detector_.KeepUnresolved(run);
  KeepRunning(io_, "crash detector",
              [this, upstream = run.upstream] { return AskAgain(upstream); });
}

asio::awaitable<void> GatewayState::AskAgain(UpstreamEntry upstream) {
  for (const milliseconds pause : kAskAgainPauses) {
    asio::steady_timer timer(io_, pause);
    co_await timer.async_wait(asio::use_awaitable);
    const bool crashed = co_await crash_detector_.HasCrashed(upstream);
    if (!crashed) continue;
    for (const BrokenRun& run : crash_detector_.TakeRunsOn(upstream))
      OnCrash(run);
    co_return;
  }
}

void GatewayState::OnCrash(const BrokenRun& run) {
  const int64_t now_ms = SteadyMs();
  const uint64_t crash = crash_detector_.CrashOf(run.upstream);
  if (!suspects_.OnCrash(run.request, crash, run.stage, now_ms)) return;
  metrics_.Add(Counter::kCrashSuspects);
  EventLine(Event::kCrashSuspect)
      .Text("fingerprint", HexOf(run.request.exact))
      .Text("leading", HexOf(run.request.leading))
      .Text("upstream", run.upstream.id)
      .Text("stage", Name(run.stage))
      .Number("crashes", suspects_.Crashes(run.request))
      .Number("refused_ms", suspects_.RefusedForMs(run.request, now_ms));
  SendCrashNews();
}

void GatewayState::OnRunCompleted(const RequestFingerprints& request) {
  crash_detector_.ForgetRunsOf(request);
  if (!suspects_.OnServed(request)) return;
  metrics_.Add(Counter::kCrashSuspectsCleared);
  EventLine(Event::kCrashSuspectCleared)
      .Text("fingerprint", HexOf(request.exact))
      .Text("leading", HexOf(request.leading));
  SendCrashNews();
}

void GatewayState::OnPeerCrashReport(const std::string& host,
                                     const CrashReport& report) {
  if (!suspects_.OnPeerReport(report, SteadyMs())) return;
  metrics_.Add(Counter::kCrashSuspectsReported);
  EventLine(report.weight == kClearedWeight ? Event::kCrashSuspectCleared
                                            : Event::kCrashSuspect)
      .Text("fingerprint", HexOf(report.request))
      .Text("peer", host)
      .Number("weight", report.weight);
}

void GatewayState::SendCrashNews() {
  if (crash_news_posted_) return;
  crash_news_posted_ = true;
  asio::post(io_, [this] {
    crash_news_posted_ = false;
    peers_.SendToAll({.host = settings_.host,
                      .boot = boot_,
                      .crashes = suspects_.NextGossipBatch(SteadyMs()),
                      .teams_only = true});
  });
}

void GatewayState::TellStartedPeer(const GatewayGossip& gossip) {
  if (gateway_addresses_.count(gossip.host) == 0) return;
  uint64_t& boot = peer_boots_[gossip.host];
  if (boot == gossip.boot) return;
  boot = gossip.boot;
  auto reports = suspects_.RefusedReports(SteadyMs());
  if (reports.empty()) return;
  SendToPeer(gossip.host, {.host = settings_.host,
                           .boot = boot_,
                           .crashes = std::move(reports),
                           .teams_only = true});
}

void GatewayState::ChargePeerUsage(const std::string& host,
                                   const PeerUsage::Increase& increase) {
  for (const auto& [team, use] : increase.charged) {
    rates_.quota().AddPeerUsage(team, use, SteadyMs());
    metrics_.Add(Counter::kPeerUsageCharged,
                 static_cast<uint64_t>(std::max<int64_t>(0, use.admitted)));
  }
  for (const auto& [team, use] : increase.uncharged) {
    metrics_.Add(Counter::kPeerUsageUncharged,
                 static_cast<uint64_t>(std::max<int64_t>(0, use.admitted)));
    EventLine(Event::kPeerUsageUncharged)
        .Text("peer", host)
        .Text("team", rates_.quota().NameOf(team))
        .Number("admitted", use.admitted);
  }
}

GatewayGossip GatewayState::BuildGossip() {
  GatewayGossip gossip{.host = settings_.host,
                       .boot = boot_,
                       .zone = settings_.zone,
                       .callers_address = settings_.callers_address,
                       .ready = Ready(),
                       .strained = overload_.overloaded(),
                       .state_version = desired_ ? desired_->version() : 0,
                       .state_age_ms = StateAgeMs(),
                       .store_overdue_ms = store_.OverdueMs()};
  gossip.loads = table_.LocalLoad();
  gossip.leaving_upstreams = table_.LeavingToReport();
  gossip.echoes = view_.Echoes(PeerNowMs());
  gossip.teams = usage_gossip_.NextEntries(rates_.quota().local_usage());
  rates_.quota().OnUsageReported();
  gossip.programs = programs_.NextGossipBatch();
  gossip.crashes = suspects_.NextGossipBatch(SteadyMs());
  gossip.paces = table_.pace().NextGossipBatch(SteadyMs());
  return gossip;
}

int64_t GatewayState::PeerNowMs() const { return LoopClock::Of(io_).NowMs(); }

int64_t GatewayState::StateAgeMs() const {
  const auto fresh =
      std::max(relayed_fresh_as_of_, config_watch_.taken_in_as_of());
  return duration_cast<milliseconds>(BootClock::now() - fresh).count();
}

DesiredStatePtr GatewayState::UsableState() const {
  if (!desired_) return nullptr;
  const auto max_age_ms = static_cast<int64_t>(
      static_cast<double>(settings_.revoke_ms) * kMaxStateAgeShare);
  const int64_t age_ms = StateAgeMs();
  if (age_ms <= max_age_ms) return desired_;
  // No state changes in an outage, so its time does not count. What was too old
  // when it began, or is known to have been replaced, stays unusable.
  const auto outage_ms = StoreOutageMs();
  const bool usable = outage_ms && age_ms - *outage_ms <= max_age_ms &&
                      age_ms <= kMaxOutageUseMs &&
                      newest_peer_version_ <= desired_->version();
  return usable ? desired_ : nullptr;
}

std::optional<int64_t> GatewayState::StoreOutageMs() const {
  const auto hosts =
      registered_gateways_ + static_cast<int64_t>(archive_.list().All().size());
  return outage_.DurationMs(hosts, BootMs());
}

void GatewayState::LogOutage() {
  const bool down = StoreOutageMs().has_value();
  if (down == was_down_) return;
  was_down_ = down;
  EventLine(Event::kStoreOutage)
      .Text("state", down ? "confirmed" : "over")
      .Text("lost", boost::algorithm::join(outage_.LostHosts(BootMs()), ","))
      .Number("age_ms", StateAgeMs());
}

bool GatewayState::Ready() const {
  // What may not get requests is known, unless the store has no such kind.
  const bool orders_known =
      rollout_watch_.known() || SteadyMs() - started_ms_ >= kMaxWaitForOrdersMs;
  return !draining_ && UsableState() != nullptr && upstream_watch_.known() &&
         orders_known && archive_.quorum_likely();
}

std::vector<std::string> GatewayState::ReadyAddresses() const {
  std::vector<std::string> addresses;
  std::vector<std::string> overloaded_addresses;
  const auto add = [&](bool ready, bool overloaded,
                       const std::string& address) {
    if (ready)
      (overloaded ? overloaded_addresses : addresses).push_back(address);
  };
  add(Ready(), overload_.overloaded(), settings_.callers_address);
  for (const GatewayGossip* gossip : view_.ReachablePeers(PeerNowMs()))
    add(gossip->ready, gossip->strained, gossip->callers_address);
  if (!MayExcludeOverloaded(overloaded_addresses.size(),
                            addresses.size() + overloaded_addresses.size()))
    addresses.insert(addresses.end(), overloaded_addresses.begin(),
                     overloaded_addresses.end());
  return addresses;
}

void GatewayState::UpdateFleet() {
  const int64_t now_ms = SteadyMs();
  const int64_t peer_now_ms = PeerNowMs();
  reachable_gateways_ =
      static_cast<int64_t>(view_.ReachablePeers(peer_now_ms).size()) + 1;
  table_.set_gateway_count(std::max(registered_gateways_, reachable_gateways_));
  const auto heard_within_ms = std::max(
      kMinRateShareMs,
      static_cast<int64_t>(kRateShareIntervals *
                           static_cast<double>(peers_.interval().count())));
  rates_.quota().set_gateway_counts(
      std::max(registered_gateways_, reachable_gateways_),
      view_.PeersHeardWithin(heard_within_ms, peer_now_ms) + 1, now_ms);
  rates_.set_reachable(reachable_gateways_);
  rates_.set_hosts(ReadyHosts());
  table_.set_peer_load(view_.LoadByUpstream(peer_now_ms));
}

std::vector<std::string> GatewayState::ReadyHosts() const {
  std::vector<std::string> hosts;
  if (Ready()) hosts.push_back(settings_.host);
  for (const GatewayGossip* gossip : view_.ReachablePeers(PeerNowMs()))
    if (gossip->ready) hosts.push_back(gossip->host);
  return hosts;
}

asio::awaitable<void> GatewayState::Register() {
  const json::value spec =
      json::object{{"zone", settings_.zone},
                   {"news_address",
                    settings_.ip + ":" + std::to_string(settings_.first_port)}};
  for (bool first = true;; first = false) {
    try {
      // The object does not exist when a host starts for the first time.
      if (first) {
        const auto write =
            co_await store_.Create(kGatewayKind, settings_.host, spec);
        if (write == platform::StoreWrite::kWritten) co_return;
      }
      const auto current = co_await store_.Read(kGatewayKind, settings_.host);
      if (current && current->spec == spec) co_return;
      if (current)
        co_await store_.Replace(kGatewayKind, settings_.host, spec,
                                current->revision);
      else
        co_await store_.Create(kGatewayKind, settings_.host, spec);
    } catch (const platform::StoreError& e) {
      EventLine(Event::kDependencyLost)
          .Text("dependency", "store")
          .Text("error", e.what());
    }
    asio::steady_timer pause(io_, kRegisterRetryPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

void GatewayState::SampleTimerLag(steady_clock::time_point due) {
  const std::chrono::duration<double, std::milli> late =
      steady_clock::now() - due;
  const bool before = overload_.overloaded();
  overload_.Observe(late.count(), SteadyMs());
  if (overload_.overloaded() == before) return;
  EventLine(Event::kStrain)
      .Text("state", before ? "relieved" : "strained")
      .Number("late_us", static_cast<int64_t>(overload_.average_ms() * 1'000));
}

asio::awaitable<void> GatewayState::Housekeeping() {
  for (;;) {
    asio::steady_timer timer(io_, kHousekeepingInterval);
    co_await timer.async_wait(asio::use_awaitable);
    LoopClock::Of(io_).OnTurn();
    SampleTimerLag(timer.expiry());
    UpdateFleet();
    rollouts_.Tick();
    dispatcher_.DispatchQueued();
    archive_.Probe();
    AbortLostSources();
    outage_.AddReport(settings_.host, store_.OverdueMs(), BootMs());
    const int64_t now_ms = SteadyMs();
    constexpr int64_t kSweepIntervalMs = 1'000;
    if (now_ms - last_sweep_ms_ >= kSweepIntervalMs) {
      last_sweep_ms_ = now_ms;
      pool_.Sweep();
      programs_.Sweep(now_ms);
      table_.SweepLeaving(now_ms);
      table_.pace().Sweep(now_ms);
      suspects_.Sweep(now_ms);
      crash_detector_.Sweep(now_ms);
    }
    LogOutage();
    if (Ready()) EndStartPart(StartPart::kReady);
    const bool usable = UsableState() != nullptr;
    if (usable == was_usable_) continue;
    was_usable_ = usable;
    EventLine(usable ? Event::kStateFresh : Event::kStateStale)
        .Number("version", desired_ ? desired_->version() : 0)
        .Number("age_ms", StateAgeMs());
  }
}

}  // namespace pimento
