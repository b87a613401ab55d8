// Counters and latency histograms of one process, and their Prometheus text.
//
// Safe to use from every thread: counters are atomic, each histogram has a
// lock.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "src/reason.h"

namespace pimento {

enum class Counter : uint8_t {
  kCallsAnswered,
  kCallsJoined,
  kCallsReplayed,
  kProgramsCreated,
  kProgramsEnded,
  kProgramsExpired,
  kRecordsCommitted,
  kRecordBatches,
  kTakeovers,
  kHandovers,
  kReplacements,
  kFenced,
  kReleasesConfirmed,
  kReleasesRepeated,
  kStreamsCut,
  kPlatformReads,
  kPlatformWrites,
  kPlatformErrors,
  kRpcCalls,
  kRpcErrors,
  kFlushes,
  kTokensStreamed,
  kTokensWasted,
  kCachedRefusals,
  kCount,
};

enum class Latency : uint8_t {
  kProgram,
  kCall,
  kFirstToken,
  kQueueWait,
  kCommit,
  kCount
};

class Metrics {
 public:
  Metrics();
  ~Metrics();

  void CountRefusal(Reason reason);
  void CountRetry(Reason reason);
  void Add(Counter counter, uint64_t amount = 1);
  void Observe(Latency latency, double milliseconds);
  // A value that may go up and down, such as a queue's length.
  void SetGauge(const std::string& name, double value);

  uint64_t Value(Counter counter) const;
  // Quantile of a histogram, milliseconds, from its bin's upper edge.
  double Quantile(Latency latency, double quantile) const;
  std::string PrometheusText() const;

 private:
  struct Histogram;
  static constexpr size_t kReasons = static_cast<size_t>(Reason::kCount);
  static constexpr size_t kCounters = static_cast<size_t>(Counter::kCount);
  static constexpr size_t kLatencies = static_cast<size_t>(Latency::kCount);

  std::array<std::atomic<uint64_t>, kReasons> refused_{};
  std::array<std::atomic<uint64_t>, kReasons> retried_{};
  std::array<std::atomic<uint64_t>, kCounters> counters_{};
  std::array<std::unique_ptr<Histogram>, kLatencies> histograms_;
  mutable std::mutex gauge_mutex_;
  std::map<std::string, double> gauges_;
};

}  // namespace pimento
