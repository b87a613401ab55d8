#include "src/credit_broker.h"

#include <algorithm>
#include <utility>

#include "src/duty.h"
#include "src/errors.h"
#include "src/log.h"
#include "src/owner_lookup.h"
#include "src/peer_client.h"

namespace pimento {
namespace {

const Log kLog("credits");

constexpr int64_t kAskMs = 600;
constexpr int64_t kAskPauseMs = 50;
constexpr int64_t kAskPatienceMs = 4'000;
constexpr int kMostAsks = 40;

std::string MarkKey(const std::string& team) { return "b/" + team; }

}  // namespace

CreditBroker::CreditBroker(SchedulerContext& context, ShardHost& shards)
    : context_(context), shards_(shards) {}

void CreditBroker::DropShard(uint32_t shard) {
  std::erase_if(buckets_, [shard](const auto& entry) {
    // A bucket whose mark is being recorded is dropped when that fails.
    return entry.second.shard == shard && !entry.second.recording;
  });
}

CreditBroker::Bucket& CreditBroker::BucketOf(const std::string& team,
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
      co_return co_await context_.peers->Credits(address, request, kAskMs);
  }
  uint32_t left = std::max(1U, request.wanted);
  for (int round = 0; round < 3; ++round) {
    if (!shards_.Admits(shard)) {
      throw Refusal(Reason::kNotOwner, RunState::kNotRun,
                    "Another host keeps this bucket.");
    }
    Bucket& bucket = BucketOf(request.team, shard);
    const RateBucket::Outcome outcome =
        bucket.bucket->TryAcquire(NowUs(), left);
    reply.granted += outcome.granted;
    reply.next_us = outcome.next_us;
    left -= outcome.granted;
    if (outcome.unrecorded == 0) break;
    co_await RecordMark(bucket, request.team, outcome.unrecorded);
  }
  co_return reply;
}

CreditBroker::Async<void> CreditBroker::TakeOne(std::string team) {
  Asking& asking = asking_[team];
  ++asking.waiting;
  if (!asking.busy) {
    asking.busy = true;
    Spawn(*context_.shards_io, "credits", AskLoop(team));
  }
  const int64_t deadline_ms = NowMs() + kAskPatienceMs;
  while (asking.granted == 0 && asking.refused == 0 && NowMs() < deadline_ms) {
    co_await asking.changed.Wait(200);
  }
  if (asking.granted > 0) {
    --asking.granted;
    co_return;
  }
  if (asking.refused > 0) {
    --asking.refused;
    const int64_t wait_ms =
        std::max<int64_t>(1, (asking.next_us - NowUs()) / 1000);
    throw Refusal(Reason::kRateLimited, RunState::kNotRun,
                  "The team " + team + " is over its rate.", wait_ms);
  }
  if (asking.waiting > 0) --asking.waiting;
  throw Refusal(Reason::kOwnerUnreachable, RunState::kNotRun,
                "The host that keeps the team's rate cannot be reached.", 100);
}

// Asks the bucket's owner until nobody waits.
CreditBroker::Async<void> CreditBroker::AskLoop(std::string team) {
  Asking& asking = asking_[team];
  int failures = 0;
  while (asking.waiting > 0 && failures < kMostAsks) {
    const uint32_t wanted = asking.waiting;
    bool answered = false;
    std::string way;
    bool relayed = false;
    try {
      const uint32_t shard = ShardFor(context_, "team", team);
      const std::string address = OwnerAddress(context_, shards_, shard);
      CreditRequest request{.team = team, .wanted = wanted};
      CreditReply reply;
      if (address.empty()) {
        reply = co_await Grant(request);
      } else {
        way = NextHop(context_, address, request.relay);
        relayed = request.relay;
        reply = co_await context_.peers->Credits(way, request, kAskMs);
      }
      if (reply.outcome.ok()) {
        answered = true;
        const uint32_t served = std::min(asking.waiting, wanted);
        const uint32_t granted = std::min(reply.granted, served);
        asking.granted += granted;
        asking.refused += served - granted;
        asking.waiting -= served;
        asking.next_us = reply.next_us;
        asking.changed.Notify();
      } else {
        context_.metrics->CountRetry(reply.outcome.reason);
      }
    } catch (const Refusal& refusal) {
      context_.metrics->CountRetry(refusal.reason());
    } catch (const TransportError& e) {
      kLog.Debug() << "The bucket of " << team << " was not reached over "
                   << way << ": " << e.what();
      if (!relayed) context_.detours.Lost(way, NowMs());
      context_.metrics->CountRetry(Reason::kOwnerUnreachable);
    }
    if (answered) {
      failures = 0;
    } else {
      ++failures;
      co_await Sleep(kAskPauseMs);
    }
  }
  asking.busy = false;
}

}  // namespace pimento
