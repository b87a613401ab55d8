// Counters, gauges and latency histograms of one process, with their output in
// the Prometheus text format.
//
// Thread-safe: counters are atomic, each histogram and the set of gauges has a
// mutex.
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

// `text`, which others may have chosen, as the value of a label.
std::string MetricLabel(std::string text);

enum class Counter : uint8_t {
  kCallsAnswered,
  // Repeated requests that were attached to the running call, or answered from
  // its record.
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
  // Times that this host stepped down from a shard: another host owns it or may
  // own it.
  kFenced,
  // Requests to upstreams to release the memory of a program.
  kReleasesConfirmed,
  kReleasesRepeated,
  // Requests that were aborted because their key was withdrawn.
  kStreamsCut,
  kPlatformReads,
  kPlatformWrites,
  kPlatformErrors,
  kRpcCalls,
  kRpcErrors,
  kFlushes,
  kTokensStreamed,
  // Estimated tokens, prompts included, of failed attempts that were retried.
  kTokensWasted,
  kCachedRefusals,
  // Requests charged to and refunded to the rates of teams at this gateway.
  kRateCharged,
  kRateRefunded,
  // Requests admitted by peers: charged here, or reported in the first value
  // of a counter and taken as charged before.
  kPeerUsageCharged,
  kPeerUsageUncharged,
  // Asks for rate limits to other gateways, asks without a reply, requests that
  // this gateway then decided on by itself, and asks of peers.
  kRateAsked,
  kRateUnanswered,
  kRateDecidedAlone,
  kRateDecidedForPeers,
  // Calls to upstreams that had named a limit, and those that waited or went
  // elsewhere because of it.
  kLimitedSends,
  kLimitedDelays,
  // Upstreams that stated in a response that they are about to stop, and those
  // of which a peer reported it first.
  kLeavingStated,
  kLeavingReported,
  // Calls that were not sent to the upstream that they were assigned to,
  // because it went out of service meanwhile.
  kSendsWithheld,
  // Second tries of slow answers: sent, answered first, and not sent because
  // the limit was used up or no upstream had capacity to spare.
  kHedgesSent,
  kHedgesWon,
  kHedgesOverLimit,
  kHedgesWithoutRoom,
  // Requests of this gateway that were in flight on an upstream when it
  // crashed, those that ran to their end later, and reports of peers.
  kCrashSuspects,
  kCrashSuspectsCleared,
  kCrashSuspectsReported,
  // Finished turns that were stored again after too few members of the archive
  // had confirmed them.
  kTurnsStoredAgain,
  // Records about new versions of services that this gateway wrote, and those
  // that took a version back.
  kRolloutSteps,
  kRolloutsTakenBack,
  // Answers of upstreams with a status that is outside the protocol.
  kInvalidStatuses,
  // Calls that an upstream did not run, mostly since it was full.
  kTurnedAway,
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
  // Sets a value that can go up and down, such as the length of a queue.
  void SetGauge(const std::string& name, double value);

  uint64_t Value(Counter counter) const;
  // Returns a quantile of a histogram in milliseconds: the upper edge of the
  // bin that contains it. Returns 0 if nothing was observed.
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
