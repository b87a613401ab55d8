// Why a request was refused or retried. One table of names serves the answers
// to callers, the logs and the labels of the counters.
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
  kSequenceGap,
  kSequenceMismatch,
  kProgramEnded,
  kBudgetCalls,
  kBudgetTokens,
  kBudgetTime,
  kNoUpstream,
  kUpstreamUnreachable,
  kUpstreamFailed,
  kUpstreamBroken,
  kUpstreamSilent,
  kOutcomeUnknown,
  kNotOwner,
  kOwnerChanging,
  kOwnerUnreachable,
  kRecordNotCommitted,
  kFenced,
  kShuttingDown,
  kRingFull,
  kNoConfiguration,
  kConnectionLimit,
  kInternal,
  kCount,
};

// Whether the refused request ran.
enum class RunState : uint8_t { kNotRun, kUnknown, kDone };

std::string_view Name(Reason reason);
std::string_view Name(RunState state);
Reason ReasonFromName(std::string_view name);

// HTTP status that a caller sees for `reason`.
int HttpStatus(Reason reason);

// True when a second try elsewhere or a little later can succeed.
bool IsRetryableReason(Reason reason);

// A refusal on its way to the caller.
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
  int64_t retry_after_ms_;
};

}  // namespace pimento
