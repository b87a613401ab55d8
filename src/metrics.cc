#include "src/metrics.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/histogram.hpp>
#include <limits>
#include <sstream>
#include <string_view>

namespace pimento {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(Counter::kCount)>
    kCounterNames = {"calls_answered",
                     "calls_joined",
                     "calls_replayed",
                     "programs_created",
                     "programs_ended",
                     "programs_expired",
                     "records_counted",
                     "record_batches",
                     "takeovers",
                     "handovers",
                     "replacements",
                     "fenced",
                     "releases_confirmed",
                     "releases_repeated",
                     "streams_cut",
                     "platform_reads",
                     "platform_writes",
                     "platform_errors",
                     "rpc_calls",
                     "rpc_errors",
                     "flushes",
                     "tokens_streamed",
                     "tokens_wasted",
                     "cached_refusals",
                     "rate_charged",
                     "rate_refunded",
                     "peer_usage_charged",
                     "peer_usage_uncharged",
                     "rate_asked",
                     "rate_unanswered",
                     "rate_decided_alone",
                     "rate_decided_for_peers",
                     "limited_sends",
                     "limited_delays",
                     "leaving_stated",
                     "leaving_reported",
                     "sends_withheld",
                     "hedges_sent",
                     "hedges_won",
                     "hedges_over_limit",
                     "hedges_without_room",
                     "crash_suspects",
                     "crash_suspects_cleared",
                     "crash_suspects_reported",
                     "turns_stored_again",
                     "rollout_steps",
                     "rollouts_taken_back",
                     "invalid_statuses",
                     "turned_away"};

constexpr std::array<std::string_view, static_cast<size_t>(Latency::kCount)>
    kLatencyNames = {"program", "call", "first_token", "queue_wait", "commit"};

constexpr int kBins = 48;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 1'000'000;

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using Counts =
    decltype(boost::histogram::make_histogram(LogAxis(kBins, kMinMs, kMaxMs)));

}  // namespace

std::string MetricLabel(std::string text) {
  boost::replace_all(text, "\\", "\\\\");
  boost::replace_all(text, "\"", "\\\"");
  boost::replace_all(text, "\n", "\\n");
  return text;
}

struct Metrics::Histogram {
  mutable std::mutex mutex;
  Counts counts =
      boost::histogram::make_histogram(LogAxis(kBins, kMinMs, kMaxMs));
  double sum = 0;
  uint64_t count = 0;
};

Metrics::Metrics() {
  for (auto& histogram : histograms_) histogram = std::make_unique<Histogram>();
}

Metrics::~Metrics() = default;

void Metrics::CountRefusal(Reason reason) {
  ++refused_[static_cast<size_t>(reason)];
}

void Metrics::CountRetry(Reason reason) {
  ++retried_[static_cast<size_t>(reason)];
}

void Metrics::Add(Counter counter, uint64_t amount) {
  counters_[static_cast<size_t>(counter)] += amount;
}

void Metrics::Observe(Latency latency, double milliseconds) {
  Histogram& histogram = *histograms_[static_cast<size_t>(latency)];
  const std::lock_guard lock(histogram.mutex);
  histogram.counts(milliseconds);
  histogram.sum += milliseconds;
  ++histogram.count;
}

void Metrics::SetGauge(const std::string& name, double value) {
  const std::lock_guard lock(gauge_mutex_);
  gauges_[name] = value;
}

uint64_t Metrics::Value(Counter counter) const {
  return counters_[static_cast<size_t>(counter)].load();
}

double Metrics::Quantile(Latency latency, double quantile) const {
  const Histogram& histogram = *histograms_[static_cast<size_t>(latency)];
  const std::lock_guard lock(histogram.mutex);
  const double target_count = quantile * static_cast<double>(histogram.count);
  double cumulative = 0;
  for (auto&& bin : boost::histogram::indexed(histogram.counts)) {
    cumulative += static_cast<double>(*bin);
    if (cumulative >= target_count && cumulative > 0) return bin.bin().upper();
  }
  return 0;
}

std::string Metrics::PrometheusText() const {
  std::ostringstream out;
  out << "# TYPE pimento_refused_total counter\n";
  for (size_t i = 1; i < kReasons; ++i) {
    out << "pimento_refused_total{reason=\"" << Name(static_cast<Reason>(i))
        << "\"} " << refused_[i].load() << "\n";
  }
  out << "# TYPE pimento_retried_total counter\n";
  for (size_t i = 1; i < kReasons; ++i) {
    out << "pimento_retried_total{reason=\"" << Name(static_cast<Reason>(i))
        << "\"} " << retried_[i].load() << "\n";
  }
  for (size_t i = 0; i < kCounters; ++i) {
    out << "# TYPE pimento_" << kCounterNames[i] << "_total counter\n"
        << "pimento_" << kCounterNames[i] << "_total " << counters_[i].load()
        << "\n";
  }
  {
    const std::lock_guard lock(gauge_mutex_);
    for (const auto& [name, value] : gauges_) {
      out << "# TYPE pimento_" << name << " gauge\npimento_" << name << " "
          << value << "\n";
    }
  }
  for (size_t i = 0; i < kLatencies; ++i) {
    const Histogram& histogram = *histograms_[i];
    const std::string name =
        "pimento_" + std::string(kLatencyNames[i]) + "_milliseconds";
    const std::lock_guard lock(histogram.mutex);
    out << "# TYPE " << name << " histogram\n";
    double cumulative = 0;
    for (auto&& bin : boost::histogram::indexed(histogram.counts)) {
      cumulative += static_cast<double>(*bin);
      if (*bin == 0) continue;
      out << name << "_bucket{le=\"" << bin.bin().upper() << "\"} "
          << cumulative << "\n";
    }
    out << name << "_bucket{le=\"+Inf\"} " << histogram.count << "\n"
        << name << "_sum " << histogram.sum << "\n"
        << name << "_count " << histogram.count << "\n";
  }
  return out.str();
}

}  // namespace pimento
