// The part of GatewayState that takes in the store: where its watches read, and
// what the configuration, the upstreams, the drained availability zones, the
// archive's members and the other gateways change.
#include <boost/json.hpp>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

#include "platform/object_codec.h"
#include "platform/wire_names.h"
#include "src/archive_node.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/gateway_state.h"
#include "src/loop_clock.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

// A peer is silent after this many gossip intervals without a message.
constexpr double kSilentIntervals = 4.5;
// Routes, services and teams of a configuration that are taken in at a time.
constexpr size_t kConfigEntriesAtOnce = 64;

// The address at which gateway `host` receives gossip; empty, with a log line,
// when its registration has no valid one.
std::string GossipAddress(const std::string& host, const json::value& spec) {
  const json::value* address =
      spec.is_object() ? spec.get_object().if_contains("news_address")
                       : nullptr;
  std::string error = "no address";
  if (address != nullptr && address->is_string()) {
    const std::string text(address->get_string());
    try {
      ParseEndpoint(text);
      return text;
    } catch (const TransportError& e) {
      error = e.what();
    }
  }
  EventLine(Event::kHandlerFailed)
      .Text("error",
            "The registration of gateway " + host + " is invalid: " + error);
  return {};
}

}  // namespace

StoreWatchOptions GatewayState::WatchOptions(std::string kind,
                                             milliseconds wait) {
  StoreWatchOptions options{.kind = std::move(kind), .wait = wait};
  options.hold_deleted = options.kind == platform::kUpstreamKind;
  options.source = [this] { return WatchSource(); };
  options.on_source_failed = [this](const std::string& host,
                                    const std::string& error) {
    watch_assignment_.NoteFailure(host, SteadyMs());
    if (host.empty()) return;  // logged by the watch
    EventLine(Event::kDependencyLost)
        .Text("dependency", "store")
        .Text("over", host)
        .Text("error", error);
  };
  return options;
}

StoreSource GatewayState::WatchSource() {
  std::vector<std::string> ready_hosts;
  if (Ready()) ready_hosts.push_back(settings_.host);
  for (const GatewayGossip* gossip : view_.ReachablePeers(PeerNowMs())) {
    const bool known = gateway_addresses_.count(gossip->host) > 0;
    if (gossip->ready && known && gossip->zone == settings_.zone)
      ready_hosts.push_back(gossip->host);
  }
  const std::string host =
      watch_assignment_.ChooseSource(std::move(ready_hosts), SteadyMs());
  if (host.empty()) return {.client = &store_};
  const std::string& address = gateway_addresses_.at(host);
  auto& mirror = mirror_clients_[address];
  if (!mirror) mirror = std::make_unique<platform::StoreClient>(pool_, address);
  return {.client = mirror.get(), .host = host};
}

StoreWatch* GatewayState::FindWatch(const std::string& kind) {
  for (StoreWatch* watch : watches_) {
    if (watch->kind() == kind) return watch;
  }
  return nullptr;
}

std::string GatewayState::ViewMetrics() const {
  std::ostringstream out;
  for (const StoreWatch* watch : watches_) {
    const std::string label = "{kind=\"" + watch->kind() + "\"} ";
    out << "pimento_view_known" << label << (watch->known() ? 1 : 0) << "\n"
        << "pimento_view_age_ms" << label << watch->AgeMs() << "\n"
        << "pimento_view_revision" << label << watch->revision() << "\n"
        << "pimento_view_held" << label << watch->held() << "\n";
  }
  const LoopClock& clock = LoopClock::Of(io_);
  out << "pimento_loop_delay_ms_total " << clock.DelayMs() << "\n"
      << "pimento_silence_put_off_total " << clock.put_off() << "\n";
  for (const auto& [id, pace] : table_.MeasuredPaces()) {
    const std::string label = "{upstream=\"" + MetricLabel(id) + "\"} ";
    out << "pimento_upstream_event_ms" << label << pace.event_ms << "\n"
        << "pimento_upstream_read_tokens_per_ms" << label
        << pace.read_tokens_per_ms << "\n";
  }
  out << "pimento_programs_recent " << programs_.size() << "\n"
      << "pimento_programs_forgotten_total " << programs_.forgotten() << "\n"
      << "pimento_program_gossip_pending " << programs_.pending_gossip() << "\n"
      << "pimento_program_gossip_dropped_total " << programs_.gossip_dropped()
      << "\n"
      << "pimento_calls_in_progress " << calls_.in_progress() << "\n";
  return out.str() + rollouts_.MetricsText();
}

asio::awaitable<DesiredStatePtr> GatewayState::DecodeConfig(
    const json::value& spec) {
  try {
    platform::DesiredStateDecoder decoder(spec);
    if (desired_ && decoder.version() <= desired_->version()) co_return nullptr;
    while (decoder.Step(kConfigEntriesAtOnce)) co_await YieldToLoop();
    DesiredState::Builder builder(std::move(decoder).Take());
    while (builder.Step(kConfigEntriesAtOnce)) co_await YieldToLoop();
    co_return std::move(builder).Take();
  } catch (const StateError& e) {
    EventLine(Event::kHandlerFailed).Text("error", e.what());
  }
  co_return nullptr;
}

asio::awaitable<void> GatewayState::OnConfig() {
  const auto& objects = config_watch_.objects();
  const auto it = objects.find(std::string(platform::kConfigName));
  if (it == objects.end()) co_return;
  DesiredStatePtr decoded = co_await DecodeConfig(it->second.spec);
  if (!decoded) co_return;
  desired_ = std::move(decoded);
  rates_.quota().set_teams(*desired_, SteadyMs());
  co_await YieldToLoop();
  LogRateLimits();
  table_.set_services(*desired_);
  EventLine(Event::kStateInForce)
      .Number("version", desired_->version())
      .Number("routes", static_cast<int64_t>(desired_->routes().size()))
      .Text("source", "store");
  dispatcher_.DispatchQueued();
}

void GatewayState::LogRateLimits() {
  for (const TeamSpec& team : desired_->teams()) {
    const auto level = rates_.quota().level(team.name);
    const double rate = level ? level->rate : 0;
    const auto [it, added] = logged_rates_.try_emplace(team.name, rate);
    if (!added && it->second == rate) continue;
    it->second = rate;
    EventLine(Event::kRateLimitSet)
        .Text("team", team.name)
        .Number("rate_milli", Milli(rate))
        .Number("burst_milli", Milli(level ? level->burst : 0))
        .Number("tokens_milli", Milli(level ? level->tokens : 0))
        .Number("state_version", desired_->version());
  }
}

void GatewayState::OnUpstreams() {
  const int64_t now_ms = SteadyMs();
  std::set<std::string> present;
  for (const auto& [id, object] : upstream_watch_.objects()) {
    const auto entry = platform::DecodeUpstream(id, object.spec);
    if (!entry) continue;
    present.insert(id);
    if (!table_.Put(*entry, now_ms)) continue;
    for (const BrokenRun& run : crash_detector_.TakeReplaced(*entry))
      OnCrash(run);
    EventLine(Event::kUpstreamChanged)
        .Text("upstream", id)
        .Text("service", entry->service)
        .Text("address", entry->address)
        .Text("zone", entry->zone)
        .Text("state", entry->leaving ? "leaving" : "serving")
        .Number("cold_left_ms", entry->cold_left_ms)
        .Number("revision", static_cast<int64_t>(object.revision));
  }
  for (const std::string& id : table_.ids()) {
    if (present.count(id) > 0) continue;
    table_.Remove(id);
    EventLine(Event::kUpstreamRemoved).Text("upstream", id);
  }
  rollouts_.OnUpstreams();
  dispatcher_.DispatchQueued();
}

void GatewayState::OnDrainedZones() {
  std::set<std::string> zones;
  std::string names;
  for (const auto& [zone, object] : zone_watch_.objects()) {
    zones.insert(zone);
    names += names.empty() ? zone : "," + zone;
  }
  table_.set_drained_zones(std::move(zones));
  EventLine(Event::kZonesDrained).Text("zones", names);
  dispatcher_.DispatchQueued();
}

void GatewayState::OnMembers() {
  try {
    uint64_t revision = 0;
    archive_.UpdateMembers(
        MemberListFromObjects(member_watch_.objects(), revision));
  } catch (const StateError& e) {
    EventLine(Event::kHandlerFailed).Text("error", e.what());
  }
}

void GatewayState::OnGateways() {
  std::vector<std::string> addresses;
  gateway_addresses_.clear();
  for (const auto& [host, object] : gateway_watch_.objects()) {
    if (host == settings_.host) continue;
    const std::string address = GossipAddress(host, object.spec);
    if (address.empty()) continue;
    addresses.push_back(address);
    gateway_addresses_[host] = address;
  }
  // Only registrations of gateways count: shares and the proof of an outage
  // refer to their number.
  registered_gateways_ = 1 + static_cast<int64_t>(gateway_addresses_.size());
  table_.set_gateway_index(
      std::distance(gateway_addresses_.begin(),
                    gateway_addresses_.lower_bound(settings_.host)));
  peers_.set_peers(addresses);
  // The peers reply with what this gateway must not send to upstreams.
  if (!announced_ && !addresses.empty()) {
    announced_ = true;
    peers_.Announce();
  }
  view_.set_silent_after_ms(static_cast<int64_t>(
      kSilentIntervals * static_cast<double>(peers_.interval().count())));
  UpdateFleet();
}

}  // namespace pimento
