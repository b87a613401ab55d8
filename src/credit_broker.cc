#include "src/credit_broker.h"

#include <algorithm>
#include <utility>

#include "src/errors.h"
#include "src/log.h"
#include "src/owner_lookup.h"
#include "src/peer_client.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

const Log kLog("credits");

// Timeout of one request to the owner.
constexpr int64_t kRequestTimeoutMs = 600;
// Delay before the next request after a failed one.
constexpr int64_t kRetryDelayMs = 50;
// Maximum wait of a call for a grant.
constexpr int64_t kMaxWaitMs = 4'000;
// Failed requests in a row after which RequestLoop() ends.
constexpr int kMaxConsecutiveFailures = 40;

// Key of the record that holds a team's mark.
std::string MarkKey(const std::string& team) { return "b/" + team; }

}  // namespace

CreditBroker::CreditBroker(SchedulerContext& context, ShardHost& shards)
    : context_(context), shards_(shards) {}

void CreditBroker::DropShard(uint32_t shard) {
  std::erase_if(buckets_, [shard](const auto& entry) {
    // RecordMark() uses a bucket whose mark is being recorded, and drops it if
    // that fails.
    return entry.second.shard == shard && !entry.second.recording;
  });
}

CreditBroker::Bucket& CreditBroker::FindOrCreateBucket(const std::string& team,
                                                       uint32_t shard) {
  Bucket& entry = buckets_[team];
  entry.shard = shard;
  const auto environment = context_.environment.load();
  const auto declared = environment->document.teams.find(team);
  const RateLimit limit = declared == environment->document.teams.end()
                              ? RateLimit{}
                              : declared->second.rate;
  if (entry.bucket) {
    entry.bucket->set_limit(limit);
    return entry;
  }
  const auto& records = shards_.Records(shard);
  const auto mark = records.find(MarkKey(team));
  const int64_t mark_us =
      mark == records.end() ? 0 : std::stoll(mark->second.value);
  entry.bucket = std::make_unique<RateBucket>(limit, mark_us);
  return entry;
}

CreditBroker::Async<void> CreditBroker::RecordMark(Bucket& bucket,
                                                   std::string team,
                                                   uint32_t wanted) {
  while (bucket.recording) co_await bucket.recorded.Wait(5'000);
  if (!bucket.bucket) co_return;
  const int64_t mark_us = bucket.bucket->MarkFor(NowUs(), wanted);
  if (mark_us <= bucket.bucket->mark_us()) co_return;
  bucket.recording = true;
  std::vector<Record> records = {{.key = MarkKey(team),
                                  .epoch = {},
                                  .version = 0,
                                  .value = std::to_string(mark_us)}};
  std::exception_ptr failure;
  try {
    co_await shards_.Commit(bucket.shard, std::move(records));
    bucket.bucket->OnMarkRecorded(mark_us);
  } catch (const Refusal&) {
    failure = std::current_exception();
    bucket.bucket.reset();
  }
  bucket.recording = false;
  bucket.recorded.Notify();
  if (failure) std::rethrow_exception(failure);
}

CreditBroker::Async<CreditReply> CreditBroker::Grant(CreditRequest request) {
  const uint32_t shard = ShardFor(context_, "team", request.team);
  CreditReply reply;
  if (request.relay) {
    const std::string address = OwnerAddress(context_, shards_, shard);
    request.relay = false;
    if (!address.empty())
      co_return co_await context_.peers->Credits(address, request,
                                                 kRequestTimeoutMs);
  }
  uint32_t remaining = std::max(1U, request.wanted);
  for (int round = 0; round < 3; ++round) {
    if (!shards_.Admits(shard)) {
      throw Refusal(Reason::kNotOwner, RunState::kNotRun,
                    "Another host owns this team's rate limit.");
    }
    Bucket& bucket = FindOrCreateBucket(request.team, shard);
    const RateBucket::Outcome outcome =
        bucket.bucket->TryAcquire(NowUs(), remaining);
    reply.granted += outcome.granted;
    reply.next_us = outcome.next_us;
    remaining -= outcome.granted;
    if (outcome.unrecorded == 0) break;
    co_await RecordMark(bucket, request.team, outcome.unrecorded);
  }
  co_return reply;
}

CreditBroker::Async<void> CreditBroker::AcquireGrant(std::string team) {
  PendingRequests& pending = pending_[team];
  ++pending.waiting;
  if (!pending.loop_running) {
    pending.loop_running = true;
    Spawn(*context_.shards_io, "credits", RequestLoop(team));
  }
  const int64_t deadline_ms = NowMs() + kMaxWaitMs;
  while (pending.granted == 0 && pending.refused == 0 &&
         NowMs() < deadline_ms) {
    co_await pending.changed.Wait(200);
  }
  if (pending.granted > 0) {
    --pending.granted;
    co_return;
  }
  if (pending.refused > 0) {
    --pending.refused;
    const int64_t wait_ms =
        std::max<int64_t>(1, (pending.next_us - NowUs()) / 1000);
    throw Refusal(Reason::kRateLimited, RunState::kNotRun,
                  "The team " + team + " is over its rate.", wait_ms);
  }
  if (pending.waiting > 0) --pending.waiting;
  throw Refusal(Reason::kOwnerUnreachable, RunState::kNotRun,
                "The host that owns the team's rate limit is unreachable.",
                100);
}

// Requests grants from the owner until no call is waiting, or until
// kMaxConsecutiveFailures requests in a row have failed.
CreditBroker::Async<void> CreditBroker::RequestLoop(std::string team) {
  PendingRequests& pending = pending_[team];
  int failures = 0;
  while (pending.waiting > 0 && failures < kMaxConsecutiveFailures) {
    const uint32_t wanted = pending.waiting;
    bool answered = false;
    std::string next_hop;
    bool relayed = false;
    try {
      const uint32_t shard = ShardFor(context_, "team", team);
      const std::string address = OwnerAddress(context_, shards_, shard);
      CreditRequest request{.team = team, .wanted = wanted};
      CreditReply reply;
      if (address.empty()) {
        reply = co_await Grant(request);
      } else {
        next_hop = NextHop(context_, address, request.relay);
        relayed = request.relay;
        reply = co_await context_.peers->Credits(next_hop, request,
                                                 kRequestTimeoutMs);
      }
      if (reply.outcome.ok()) {
        answered = true;
        const uint32_t served = std::min(pending.waiting, wanted);
        const uint32_t granted = std::min(reply.granted, served);
        pending.granted += granted;
        pending.refused += served - granted;
        pending.waiting -= served;
        pending.next_us = reply.next_us;
        pending.changed.Notify();
      } else {
        context_.metrics->CountRetry(reply.outcome.reason);
      }
    } catch (const Refusal& refusal) {
      context_.metrics->CountRetry(refusal.reason());
    } catch (const TransportError& e) {
      kLog.Debug() << "Cannot reach the bucket of team " << team << " via "
                   << next_hop << ": " << e.what();
      if (!relayed) context_.peer_relays.OnCallFailed(next_hop, NowMs());
      context_.metrics->CountRetry(Reason::kOwnerUnreachable);
    }
    if (answered) {
      failures = 0;
    } else {
      ++failures;
      co_await Sleep(kRetryDelayMs);
    }
  }
  pending.loop_running = false;
}

}  // namespace pimento
