#include "src/rollout_control.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "platform/object_codec.h"
#include "platform/wire_names.h"
#include "src/background_loop.h"
#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Maximum wait of the watch while an order is running: so long the mirror may
// be old without trouble.
constexpr milliseconds kRunningWait{700};
// Of the bound on sends to a bad version after its 50th bad answer: the rest is
// for noticing and recording it.
constexpr double kMaxViewAgeShare = 0.6;
// Share of the bound on withdrawn keys after which a gateway without contact to
// the store has no usable configuration (see GatewayState::UsableState), with
// time for calls that it accepted before.
constexpr double kOutOfContactShare = 0.95;
// What is read of the upstreams is applied again after this time.
constexpr int64_t kApplyIntervalMs = 200;
constexpr int64_t kPlanIntervalMs = 90;
// Nothing is planned for so long after a write, unless it is read before.
constexpr int64_t kWriteEffectMs = 400;

int64_t ShareOf(double share, int64_t time_ms) {
  return static_cast<int64_t>(share * static_cast<double>(time_ms));
}

}  // namespace

RolloutControl::RolloutControl(asio::io_context& io,
                               platform::StoreClient& store, StoreWatch& watch,
                               UpstreamTable& table, Metrics& metrics,
                               const platform::BootSettings& settings,
                               uint64_t boot, RolloutSurroundings surroundings)
    : io_(io),
      store_(store),
      watch_(watch),
      table_(table),
      metrics_(metrics),
      host_(settings.host),
      boot_(boot),
      idle_wait_(watch.wait()),
      surroundings_(std::move(surroundings)),
      director_(
          {.plan = {.expose_share = settings.expose_share,
                    .bad_exposure = settings.bad_exposure,
                    .host = settings.host},
           .boot = boot,
           .out_of_contact_ms = ShareOf(kOutOfContactShare, settings.revoke_ms),
           .max_view_age_ms =
               ShareOf(kMaxViewAgeShare, settings.rollback_ms)}) {}

void RolloutControl::OnOrders() {
  std::map<std::string, RolloutObject> objects;
  for (const auto& [name, object] : watch_.objects())
    objects[name] = {.revision = object.revision,
                     .order = platform::DecodeRollout(name, object.spec),
                     .status = platform::DecodeRolloutStatus(object.status)};
  const auto before = director_.Objects();
  for (const RolloutNote& note : director_.OnObjects(objects, SteadyMs()))
    EventLine(Event::kRollout)
        .Text("service", note.service)
        .Text("problem", note.text);
  for (const auto& [service, object] : objects) {
    const auto it = before.find(service);
    if (it != before.end() && it->second.revision == object.revision) continue;
    EventLine(Event::kRollout)
        .Text("service", service)
        .Text("target", object.order.target)
        .Text("state", Name(object.status.state))
        .Text("step", Name(object.status.step))
        .Number("share_milli", Milli(object.status.share))
        .Text("by", object.status.decided_by)
        .Text("reason", object.status.reason)
        .Number("revision", static_cast<int64_t>(object.revision));
  }
  watch_.set_wait(director_.running() ? kRunningWait : idle_wait_);
  ApplyRules();
}

void RolloutControl::OnUpstreams() {
  if (!director_.idle()) ApplyRules();
}

void RolloutControl::ApplyRules() {
  last_apply_ms_ = SteadyMs();
  director_.OnViewAge(watch_.AgeMs(), last_apply_ms_);
  rules_ = director_.Rules();
  table_.set_version_rules(rules_);
}

std::map<std::string, ServiceUpstreams> RolloutControl::Upstreams() const {
  const DesiredStatePtr desired = surroundings_.desired();
  std::map<std::string, ServiceUpstreams> upstreams;
  for (const auto& [service, object] : director_.Objects()) {
    const ServiceVersions versions = table_.VersionsOf(service);
    upstreams[service] = {
        .versions = {versions.in_service.begin(), versions.in_service.end()},
        .in_flight = versions.in_flight,
        .service_known =
            desired != nullptr && desired->FindService(service) != nullptr};
  }
  return upstreams;
}

void RolloutControl::Tick() {
  if (director_.idle()) return;
  const int64_t now_ms = SteadyMs();
  if (now_ms - last_apply_ms_ >= kApplyIntervalMs) {
    std::map<std::string, std::vector<std::string>> registered;
    for (const auto& [service, rule] : rules_) {
      for (const auto& [version, calls] : table_.VersionsOf(service).in_flight)
        registered[service].push_back(version);
    }
    director_.Sweep(registered);
    ApplyRules();
  }
  if (!director_.running() || now_ms - last_plan_ms_ < kPlanIntervalMs) return;
  last_plan_ms_ = now_ms;
  for (RolloutWrite& write :
       director_.Plan(surroundings_.fleet(), Upstreams(), now_ms)) {
    director_.OnWritten(write.service, now_ms + kWriteEffectMs);
    RunTask(io_, "rollout record",
            [this, write = std::move(write)] { return Write(write); });
  }
  SendReports(now_ms);
}

void RolloutControl::SendReports(int64_t now_ms) {
  const int64_t interval_ms = surroundings_.interval_ms();
  for (const RolloutReport& report : director_.Reports(interval_ms, now_ms)) {
    for (const std::string& host : report.to)
      surroundings_.send(host, {.host = host_,
                                .boot = boot_,
                                .version_samples = report.samples,
                                .version_steps = report.steps,
                                .teams_only = true});
  }
}

void RolloutControl::OnGossip(const GatewayGossip& gossip) {
  if (gossip.version_samples.empty() && gossip.version_steps.empty()) return;
  director_.OnReport(gossip.host, gossip.boot, gossip.version_samples,
                     gossip.version_steps, SteadyMs());
}

asio::awaitable<void> RolloutControl::Write(RolloutWrite write) {
  try {
    const auto outcome = co_await store_.ReplaceStatus(
        std::string(platform::kRolloutKind), write.service,
        platform::EncodeRolloutStatus(write.status), write.revision);
    LogWrite(write, outcome);
    if (outcome != platform::StoreWrite::kWritten) co_return;
    metrics_.Add(Counter::kRolloutSteps);
    if (write.status.state == RolloutState::kRolledBack)
      metrics_.Add(Counter::kRolloutsTakenBack);
  } catch (const platform::StoreError& e) {
    EventLine(Event::kDependencyLost)
        .Text("dependency", "store")
        .Text("error", e.what());
  }
}

void RolloutControl::LogWrite(const RolloutWrite& write,
                              platform::StoreWrite outcome) const {
  const bool written = outcome == platform::StoreWrite::kWritten;
  EventLine(Event::kRolloutDecided)
      .Text("service", write.service)
      .Text("target", write.status.target)
      .Text("outcome", written ? "written" : "not written")
      .Text("state", Name(write.status.state))
      .Text("step", Name(write.status.step))
      .Number("share_milli", Milli(write.status.share))
      .Text("reason", write.status.reason)
      .Number("elapsed_ms", write.status.elapsed_ms)
      .Number("answers", write.answers)
      .Number("target_answers", write.target_answers)
      .Number("old_in_flight", write.old_in_flight)
      .Text("fault", Name(write.comparison.fault))
      .Text("route", HexOf(write.comparison.route))
      .Number("target_bad", write.comparison.target_bad)
      .Number("target_compared", write.comparison.target_answers)
      .Number("old_bad", write.comparison.old_bad)
      .Number("old_compared", write.comparison.old_answers)
      .Number("revision", static_cast<int64_t>(write.revision));
}

VersionSide RolloutControl::SideOf(const std::string& service,
                                   const std::string& key) const {
  if (rules_.empty()) return VersionSide::kAny;
  const auto it = rules_.find(service);
  return it == rules_.end() ? VersionSide::kAny : SideOfCall(it->second, key);
}

void RolloutControl::OnAnswer(const UpstreamEntry& upstream,
                              const std::string& route,
                              const VersionAnswer& answer) {
  if (!rules_.empty())
    director_.OnAnswer(upstream.service, upstream.version, route, answer);
}

std::string RolloutControl::MetricsText() const {
  std::ostringstream out;
  for (const auto& [service, object] : director_.Objects()) {
    const std::string label = "{service=\"" + MetricLabel(service) +
                              "\",target=\"" +
                              MetricLabel(object.order.target) + "\",state=\"" +
                              std::string(Name(object.status.state)) + "\"} ";
    out << "pimento_rollout_share" << label << object.status.share << "\n"
        << "pimento_rollout_reports_dropped" << label
        << director_.dropped_reports() << "\n";
  }
  return out.str();
}

}  // namespace pimento
