#include "src/upstream_pace.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace pimento {
namespace {

// Until anything is known of a service. It is the same for all upstreams of the
// service, so it only weighs reading against load.
constexpr double kNeutralEventMs = 10;
constexpr double kNeutralTokensPerMs = 100;

// The pace of an upstream that is not used is forgotten after this time, and it
// is tried again.
constexpr int64_t kProcessMaxAgeMs = 20'000;
constexpr PaceEstimate::Limits kProcessLimits = {
    .own_samples = 3, .max_age_ms = kProcessMaxAgeMs};
constexpr PaceEstimate::Limits kServiceLimits = {.own_samples = 33,
                                                 .max_age_ms = 30'000};
// Few, so that an upstream that turns slow or fast is soon known to be.
constexpr size_t kReporters = 5;
// A call that is served in no time at all has arrived in one piece.
constexpr double kMinEventMs = 0.05;
// What an upstream's pace may differ from its service's.
constexpr double kMaxFactor = 4;
// Weight of the service's typical pace, in gateways that have measured.
constexpr double kTypicalWeight = 1;
// Answers without events differ by what was asked: weight of a new one in the
// moving average of a process, the number of them that the average holds, and
// the number that weighs as much as the service's typical time.
constexpr double kWholeWeight = 0.1;
constexpr int kMaxWholes = 12;
constexpr double kTypicalWholes = 6;
// One of so many upstreams is at least as fast as one that is unknown is taken
// to be.
constexpr size_t kFasterShare = 4;

// First events that the reading speed of a service is estimated from, and the
// new ones after which it is estimated again.
constexpr size_t kFirstEvents = 64;
constexpr size_t kFirstEventsPerUpdate = 8;
// Calls are compared whose prompts differ by so many tokens.
constexpr double kMinTokenDifference = 64;
constexpr double kReadTokensWeight = 0.05;

// Gossip: entries a message, the difference from what the peers assume that is
// worth telling, and the peers that should have told a service's typical pace.
constexpr size_t kEntriesPerMessage = 3;
constexpr size_t kMaxToTell = 256;
constexpr double kNewsRatio = 1.35;
constexpr size_t kTypicalReporters = 3;

// The middle value, the lower one of two.
double MedianOf(std::vector<double>& values) {
  if (values.empty()) return 0;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// The geometric mean of the middle half. Unlike a median, it does not jump
// where there are two kinds of upstreams.
double MiddleMean(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const size_t left_out = (values.size() + 1) / 4;
  double sum = 0;
  for (size_t i = left_out; i < values.size() - left_out; ++i) {
    sum += std::log(values[i]);
  }
  return std::exp(sum / static_cast<double>(values.size() - 2 * left_out));
}

bool Differs(double a, double b) {
  return a > b * kNewsRatio || b > a * kNewsRatio;
}

double Clamped(double ratio) {
  return std::clamp(ratio, 1 / kMaxFactor, kMaxFactor);
}

// How much slower an upstream is than its service's typical one. `ratios` are
// what gateways measured; `others` is the ratio of the service's other
// upstreams.
std::optional<double> FactorOf(std::vector<double> ratios, double others) {
  if (ratios.empty()) return std::nullopt;
  const auto gateways = static_cast<double>(ratios.size());
  const double ratio = Clamped(MedianOf(ratios)) / others;
  return others * std::pow(ratio, gateways / (gateways + kTypicalWeight));
}

}  // namespace

void PaceEstimate::AddOwn(double value, int64_t now_ms) {
  if (own_.size() >= limits_.own_samples) own_.erase(own_.begin());
  own_.push_back({.value = value, .at_ms = now_ms});
  Sweep(now_ms);
}

void PaceEstimate::AddReport(uint64_t reporter, double value, int64_t now_ms) {
  std::erase_if(reports_,
                [&](const Value& v) { return v.reporter == reporter; });
  if (reports_.size() >= kReporters) reports_.erase(reports_.begin());
  reports_.push_back({.reporter = reporter, .value = value, .at_ms = now_ms});
}

void PaceEstimate::Sweep(int64_t now_ms) {
  const auto old = [&](const Value& v) {
    return v.at_ms < now_ms - limits_.max_age_ms;
  };
  std::erase_if(own_, old);
  std::erase_if(reports_, old);
  std::vector<double> values;
  values.reserve(own_.size());
  for (const Value& own : own_) values.push_back(own.value);
  own_value_ = MiddleMean(std::move(values));
}

std::vector<double> PaceEstimate::reported() const {
  std::vector<double> values;
  values.reserve(reports_.size() + 1);
  for (const Value& report : reports_) values.push_back(report.value);
  return values;
}

void UpstreamPace::Typical::Update() {
  std::vector<double> values = estimate.reported();
  if (estimate.own() > 0) values.push_back(estimate.own());
  value = MedianOf(values);
}

void UpstreamPace::Typical::UpdateFactors(std::vector<double> factors) {
  middle_factor = 1;
  faster_factor = 1;
  if (factors.empty()) return;
  std::sort(factors.begin(), factors.end());
  middle_factor = factors[(factors.size() - 1) / 2];
  faster_factor = factors[(factors.size() - 1) / kFasterShare];
}

double UpstreamPace::Relative::OwnRatio(const Typical& typical) const {
  const double own_typical = typical.estimate.own();
  return own_typical > 0 ? estimate.own() / own_typical : 0;
}

void UpstreamPace::Relative::AddWhole(double ms) {
  whole_ms = wholes == 0 ? ms : whole_ms + kWholeWeight * (ms - whole_ms);
  wholes = std::min(wholes + 1, kMaxWholes);
}

void UpstreamPace::Relative::Update(const Typical& typical) {
  const double own_typical = typical.estimate.own();
  if (wholes > 0) {
    if (own_typical <= 0) return;
    const auto count = static_cast<double>(wholes);
    factor = std::pow(Clamped(whole_ms / own_typical),
                      count / (count + kTypicalWholes));
    return;
  }
  std::vector<double> ratios;
  if (typical.value > 0) ratios = estimate.reported();
  for (double& ratio : ratios) ratio /= typical.value;
  const double own = OwnRatio(typical);
  if (own > 0) ratios.push_back(own);
  factor = FactorOf(std::move(ratios), typical.middle_factor);
}

bool UpstreamPace::Relative::IsNews(const Typical& typical,
                                    int64_t now_ms) const {
  const double own = OwnRatio(typical);
  if (own <= 0 || typical.value <= 0) return false;
  std::vector<double> ratios = estimate.reported();
  for (double& ratio : ratios) ratio /= typical.value;
  if (told > 0 && told_at_ms >= now_ms - kProcessMaxAgeMs) {
    ratios.push_back(told);
  }
  const auto assumed = FactorOf(std::move(ratios), typical.middle_factor);
  return Differs(Clamped(own), assumed.value_or(typical.middle_factor));
}

UpstreamPace::Service::Service()
    : event_ms{.estimate = PaceEstimate(kServiceLimits)},
      token_ms{.estimate = PaceEstimate(kServiceLimits)} {}

UpstreamPace::Process::Process()
    : event_ms{.estimate = PaceEstimate(kProcessLimits)} {}

void UpstreamPace::AddProcess(uint64_t service, uint64_t process) {
  services_.try_emplace(service);
  processes_[process].service = service;
}

void UpstreamPace::RemoveProcess(uint64_t process) {
  processes_.erase(process);
}

void UpstreamPace::OnServed(const ServedCall& call, int64_t now_ms) {
  const auto found = processes_.find(call.process);
  if (found == processes_.end()) return;
  Process& process = found->second;
  Service& service = services_[call.service];
  const auto duration_ms = static_cast<double>(call.duration_ms);
  std::optional<double> event_ms;
  if (!call.first_event_ms) {
    event_ms =
        duration_ms / static_cast<double>(std::max<int64_t>(1, call.events));
  } else if (call.events > 1) {
    event_ms = (duration_ms - static_cast<double>(*call.first_event_ms)) /
               static_cast<double>(call.events - 1);
  }
  if (event_ms) {
    event_ms = std::max(kMinEventMs, *event_ms);
    service.event_ms.estimate.AddOwn(
        *event_ms /
            process.event_ms.factor.value_or(service.event_ms.middle_factor),
        now_ms);
    service.event_ms.Update();
    if (call.first_event_ms) {
      process.event_ms.estimate.AddOwn(*event_ms, now_ms);
    } else {
      process.event_ms.AddWhole(*event_ms);
    }
    process.event_ms.Update(service.event_ms);
  }
  if (call.first_event_ms && call.read_tokens > 0) {
    const double factor =
        process.event_ms.factor.value_or(service.event_ms.middle_factor);
    AddFirstEvent(service,
                  {.tokens = static_cast<double>(call.read_tokens),
                   .ms = static_cast<double>(*call.first_event_ms) / factor},
                  now_ms);
  }
  if (!call.first_event_ms || process.to_tell ||
      to_tell_.size() >= kMaxToTell) {
    return;
  }
  process.to_tell = true;
  to_tell_.push_back(call.process);
}

// The slope between the fastest of the calls with few tokens and of those with
// many: the others waited in queues or behind the prompts of other calls.
void UpstreamPace::AddFirstEvent(Service& service, FirstEvent sample,
                                 int64_t now_ms) {
  auto& samples = service.first_events;
  service.read_tokens += (samples.empty() ? 1 : kReadTokensWeight) *
                         (sample.tokens - service.read_tokens);
  if (samples.size() < kFirstEvents) {
    samples.push_back(sample);
  } else {
    samples[service.first_events_seen % kFirstEvents] = sample;
  }
  ++service.first_events_seen;
  if (service.first_events_seen % kFirstEventsPerUpdate != 0) return;
  std::vector<FirstEvent> sorted = samples;
  std::sort(sorted.begin(), sorted.end(),
            [](const auto& a, const auto& b) { return a.tokens < b.tokens; });
  const auto half = static_cast<std::ptrdiff_t>(sorted.size() / 2);
  const FirstEvent few = FastestOf({sorted.begin(), sorted.begin() + half});
  const FirstEvent many = FastestOf({sorted.begin() + half, sorted.end()});
  if (many.tokens - few.tokens < kMinTokenDifference || many.ms <= few.ms) {
    return;
  }
  service.token_ms.estimate.AddOwn(
      (many.ms - few.ms) / (many.tokens - few.tokens), now_ms);
  service.token_ms.Update();
}

// The mean of the fastest quarter of the calls.
UpstreamPace::FirstEvent UpstreamPace::FastestOf(
    std::vector<FirstEvent> calls) {
  std::sort(calls.begin(), calls.end(),
            [](const auto& a, const auto& b) { return a.ms < b.ms; });
  calls.resize(std::max<size_t>(1, calls.size() / 4));
  FirstEvent mean;
  for (const FirstEvent& call : calls) {
    mean.tokens += call.tokens / static_cast<double>(calls.size());
    mean.ms += call.ms / static_cast<double>(calls.size());
  }
  return mean;
}

void UpstreamPace::OnPeerReport(uint64_t reporter, const PaceSample& sample,
                                int64_t now_ms) {
  const auto add = [&](PaceEstimate& estimate, double ms) {
    if (ms > 0) estimate.AddReport(reporter, ms, now_ms);
  };
  const double token_ms =
      sample.read_tokens_per_ms > 0 ? 1 / sample.read_tokens_per_ms : 0;
  if (const auto it = services_.find(sample.process); it != services_.end()) {
    add(it->second.event_ms.estimate, sample.event_ms);
    add(it->second.token_ms.estimate, token_ms);
    it->second.event_ms.Update();
    it->second.token_ms.Update();
    return;
  }
  const auto it = processes_.find(sample.process);
  if (it == processes_.end()) return;
  Process& process = it->second;
  const Service& service = services_[process.service];
  add(process.event_ms.estimate, sample.event_ms);
  process.event_ms.Update(service.event_ms);
}

UpstreamPace::Pace UpstreamPace::PaceOf(uint64_t service,
                                        uint64_t process) const {
  Pace pace{.read_tokens_per_ms = kNeutralTokensPerMs,
            .event_ms = kNeutralEventMs,
            .service_event_ms = kNeutralEventMs};
  const auto known_service = services_.find(service);
  if (known_service == services_.end()) return pace;
  const Service& typical = known_service->second;
  if (typical.event_ms.value > 0) pace.event_ms = typical.event_ms.value;
  pace.service_event_ms = pace.event_ms;
  if (typical.token_ms.value > 0) {
    pace.read_tokens_per_ms = 1 / typical.token_ms.value;
  }
  const auto known = processes_.find(process);
  const double factor = known == processes_.end()
                            ? typical.event_ms.faster_factor
                            : known->second.event_ms.factor.value_or(
                                  typical.event_ms.faster_factor);
  pace.event_ms *= factor;
  pace.read_tokens_per_ms /= factor;
  pace.typical_read_ms = typical.read_tokens / pace.read_tokens_per_ms;
  return pace;
}

bool UpstreamPace::Measured(uint64_t process) const {
  const auto it = processes_.find(process);
  return it != processes_.end() && it->second.event_ms.factor.has_value();
}

std::optional<PaceSample> UpstreamPace::NewsOf(uint64_t id, Process& process,
                                               int64_t now_ms) {
  const Service& service = services_[process.service];
  Relative& relative = process.event_ms;
  if (!relative.IsNews(service.event_ms, now_ms)) return std::nullopt;
  relative.told = relative.OwnRatio(service.event_ms);
  relative.told_at_ms = now_ms;
  return PaceSample{.process = id,
                    .event_ms = relative.told * service.event_ms.value};
}

std::optional<PaceSample> UpstreamPace::NewsOf(uint64_t id,
                                               const Service& service) {
  const auto untold = [](const Typical& typical) {
    const bool told = typical.estimate.reports() >= kTypicalReporters;
    return told ? 0 : typical.estimate.own();
  };
  PaceSample sample{.process = id, .event_ms = untold(service.event_ms)};
  const double token_ms = untold(service.token_ms);
  if (token_ms > 0) sample.read_tokens_per_ms = 1 / token_ms;
  if (sample.event_ms <= 0 && token_ms <= 0) return std::nullopt;
  return sample;
}

std::vector<PaceSample> UpstreamPace::NextGossipBatch(int64_t now_ms) {
  std::vector<PaceSample> batch;
  std::set<uint64_t> services;
  while (!to_tell_.empty() && batch.size() < kEntriesPerMessage) {
    const uint64_t id = to_tell_.front();
    to_tell_.pop_front();
    const auto it = processes_.find(id);
    if (it == processes_.end()) continue;
    it->second.to_tell = false;
    const auto news = NewsOf(id, it->second, now_ms);
    if (!news) continue;
    batch.push_back(*news);
    services.insert(it->second.service);
  }
  // Peers need it to understand what is told of single processes.
  for (const uint64_t id : services) {
    if (const auto news = NewsOf(id, services_[id])) batch.push_back(*news);
  }
  return batch;
}

void UpstreamPace::Sweep(int64_t now_ms) {
  for (auto& [id, process] : processes_) {
    process.event_ms.estimate.Sweep(now_ms);
  }
  for (auto& [id, service] : services_) {
    service.event_ms.estimate.Sweep(now_ms);
    service.token_ms.estimate.Sweep(now_ms);
    service.event_ms.Update();
    service.token_ms.Update();
    UpdateService(id, service);
  }
}

void UpstreamPace::UpdateService(uint64_t id, Service& service) {
  std::vector<double> event_factors;
  for (auto& [hash, process] : processes_) {
    if (process.service != id) continue;
    process.event_ms.Update(service.event_ms);
    if (process.event_ms.factor) {
      event_factors.push_back(*process.event_ms.factor);
    }
  }
  service.event_ms.UpdateFactors(std::move(event_factors));
}

}  // namespace pimento
