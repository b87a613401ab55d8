#include "src/reason.h"

#include <array>
#include <utility>

namespace pimento {
namespace {

// The outer name of a reason, its HTTP status, and whether a retry may succeed.
struct ReasonRow {
  Reason reason;
  std::string_view name;
  int http_status;
  bool worth_retry;
};

constexpr std::array kReasons = {
    ReasonRow{Reason::kNone, "none", 200, false},
    ReasonRow{Reason::kBadRequest, "bad_request", 400, false},
    ReasonRow{Reason::kTooLarge, "too_large", 413, false},
    ReasonRow{Reason::kNotFound, "not_found", 404, false},
    ReasonRow{Reason::kKeyMissing, "key_missing", 401, false},
    ReasonRow{Reason::kKeyUnknown, "key_unknown", 401, false},
    ReasonRow{Reason::kKeyWithdrawn, "key_withdrawn", 401, false},
    ReasonRow{Reason::kServiceNotAllowed, "service_not_allowed", 403, false},
    ReasonRow{Reason::kIdempotencyKeyMissing, "idempotency_key_missing", 400,
              false},
    ReasonRow{Reason::kIdempotencyKeyReused, "idempotency_key_reused", 422,
              false},
    ReasonRow{Reason::kRateLimited, "rate_limited", 429, false},
    ReasonRow{Reason::kQueueFull, "queue_full", 503, false},
    ReasonRow{Reason::kQueueTimeout, "queue_timeout", 503, false},
    ReasonRow{Reason::kDeadlinePassed, "deadline_passed", 504, false},
    ReasonRow{Reason::kSequenceGap, "sequence_gap", 409, false},
    ReasonRow{Reason::kSequenceMismatch, "sequence_mismatch", 422, false},
    ReasonRow{Reason::kProgramEnded, "program_ended", 410, false},
    ReasonRow{Reason::kBudgetCalls, "budget_calls", 402, false},
    ReasonRow{Reason::kBudgetTokens, "budget_tokens", 402, false},
    ReasonRow{Reason::kBudgetTime, "budget_time", 402, false},
    ReasonRow{Reason::kNoUpstream, "no_upstream", 503, false},
    ReasonRow{Reason::kUpstreamUnreachable, "upstream_unreachable", 503, false},
    ReasonRow{Reason::kUpstreamFailed, "upstream_failed", 502, false},
    ReasonRow{Reason::kUpstreamBroken, "upstream_broken", 502, false},
    ReasonRow{Reason::kUpstreamSilent, "upstream_silent", 504, false},
    ReasonRow{Reason::kOutcomeUnknown, "outcome_unknown", 502, false},
    ReasonRow{Reason::kNotOwner, "not_owner", 503, true},
    ReasonRow{Reason::kOwnerChanging, "owner_changing", 503, true},
    ReasonRow{Reason::kOwnerUnreachable, "owner_unreachable", 503, true},
    ReasonRow{Reason::kRecordNotCommitted, "record_not_counted", 503, true},
    ReasonRow{Reason::kFenced, "fenced", 503, true},
    ReasonRow{Reason::kShuttingDown, "shutting_down", 503, true},
    ReasonRow{Reason::kRingFull, "ring_full", 503, true},
    ReasonRow{Reason::kNoConfiguration, "no_configuration", 503, true},
    ReasonRow{Reason::kConnectionLimit, "connection_limit", 503, false},
    ReasonRow{Reason::kCrashesUpstreams, "crashes_upstreams", 503, false},
    ReasonRow{Reason::kNoRoom, "no_room", 503, false},
    ReasonRow{Reason::kCallLimit, "call_limit", 503, false},
    ReasonRow{Reason::kArchiveFull, "archive_full", 503, false},
    ReasonRow{Reason::kInternal, "internal", 500, false},
};
static_assert(kReasons.size() == static_cast<size_t>(Reason::kCount));

// Row() finds a reason by its index.
constexpr bool InOrder() {
  for (size_t i = 0; i < kReasons.size(); ++i) {
    if (kReasons[i].reason != static_cast<Reason>(i)) return false;
  }
  return true;
}
static_assert(InOrder());

const ReasonRow& Row(Reason reason) {
  const auto index = static_cast<size_t>(reason);
  return index < kReasons.size() ? kReasons[index] : kReasons.back();
}

constexpr std::array<std::string_view, 3> kRunStates = {"not_run", "unknown",
                                                        "done"};

}  // namespace

std::string_view Name(Reason reason) { return Row(reason).name; }

std::string_view Name(RunState state) {
  return kRunStates[static_cast<size_t>(state)];
}

Reason ReasonFromName(std::string_view name) {
  for (const ReasonRow& row : kReasons) {
    if (row.name == name) return row.reason;
  }
  return Reason::kInternal;
}

int HttpStatus(Reason reason) { return Row(reason).http_status; }

bool IsRetryableReason(Reason reason) { return Row(reason).worth_retry; }

Refusal::Refusal(Reason reason, RunState run, std::string message,
                 int64_t retry_after_ms)
    : reason_(reason),
      run_(run),
      message_(std::move(message)),
      retry_after_ms_(retry_after_ms) {}

}  // namespace pimento
