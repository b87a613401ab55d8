// Reasons for which a request is refused or retried. Answers to callers, logs
// and metric labels use the same name for a reason.
#pragma once

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace pimento {

enum class Reason : uint16_t {
  kNone,
  kBadRequest,
  kTooLarge,
  kNotFound,
  kKeyMissing,
  kKeyUnknown,
  kKeyWithdrawn,
  kServiceNotAllowed,
  kIdempotencyKeyMissing,
  kIdempotencyKeyReused,
  kRateLimited,
  kQueueFull,
  kQueueTimeout,
  kDeadlinePassed,
  // An earlier call of the program has not arrived.
  kSequenceGap,
  // The sequence number belongs to another call.
  kSequenceMismatch,
  kProgramEnded,
  kBudgetCalls,
  kBudgetTokens,
  kBudgetTime,
  kNoUpstream,
  // The request was not sent.
  kUpstreamUnreachable,
  kUpstreamFailed,
  // The connection failed, or timed out, after the request was sent.
  kUpstreamBroken,
  kUpstreamSilent,
  // The call may have run.
  kOutcomeUnknown,
  kNotOwner,
  kOwnerChanging,
  kOwnerUnreachable,
  // The record did not reach a quorum.
  kRecordNotCommitted,
  // This host has stepped down from the shard: another host owns it or may own
  // it.
  kFenced,
  kShuttingDown,
  // The task queue of a thread is full.
  kRingFull,
  kNoConfiguration,
  kConnectionLimit,
  // The request was in flight on several upstreams when those crashed.
  kCrashesUpstreams,
  // The program would begin while its service is full.
  kNoRoom,
  // The caller's team, or all callers together, have as many calls in progress
  // as they may.
  kCallLimit,
  // The archive has no room for a further turn of the team.
  kArchiveFull,
  kInternal,
  kCount,
};

// Whether the refused request was executed.
enum class RunState : uint8_t { kNotRun, kUnknown, kDone };

std::string_view Name(Reason reason);
std::string_view Name(RunState state);
// Returns kInternal for an unknown name.
Reason ReasonFromName(std::string_view name);

// HTTP status of the answer to the caller.
int HttpStatus(Reason reason);

// Returns whether a retry on another host or a little later may succeed.
bool IsRetryableReason(Reason reason);

// Thrown to refuse a request; the message is sent to the caller.
class Refusal : public std::exception {
 public:
  Refusal(Reason reason, RunState run, std::string message,
          int64_t retry_after_ms = 0);
  const char* what() const noexcept override { return message_.c_str(); }
  Reason reason() const { return reason_; }
  RunState run() const { return run_; }
  int64_t retry_after_ms() const { return retry_after_ms_; }

 private:
  Reason reason_;
  RunState run_;
  std::string message_;
  // 0 if the caller gets no hint when to retry.
  int64_t retry_after_ms_;
};

}  // namespace pimento
