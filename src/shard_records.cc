// ShardHost: committing records, flushing them to the platform, and leaving.
#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/log.h"
#include "src/peer_client.h"
#include "src/platform_client.h"
#include "src/shard_host.h"
#include "src/shard_host_state.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

namespace json = boost::json;

using Internal::Contains;
using Internal::FlushPrefix;

const Log kLog("shard");

// Delay between full copies to a lagging member.
constexpr int64_t kLaggingRetryMs = 500;
// Approximate size of one flushed object.
constexpr size_t kMaxFlushBytes = 700'000;
// A shard with more flushed objects than this is compacted.
constexpr size_t kMaxFlushObjects = 24;

std::string EncodeRecords(const std::vector<Record>& records) {
  return json::serialize(json::value_from(records));
}

}  // namespace

// ---- Records ---------------------------------------------------------------

ShardHost::Async<void> ShardHost::ConfirmOwnership(uint32_t shard) {
  co_await Commit(shard, {});
}

ShardHost::Async<void> ShardHost::Commit(uint32_t id,
                                         std::vector<Record> records) {
  const auto it = shards_.find(id);
  if (!Owns(id)) {
    throw Refusal(Reason::kNotOwner, RunState::kUnknown,
                  "This host does not own the shard.");
  }
  Shard& shard = *it->second;
  const int64_t started_us = NowUs();
  auto pending = std::make_shared<Pending>();
  pending->records = std::move(records);
  shard.queue.push_back(pending);
  if (!shard.sending && shard.role == Role::kOwner) {
    shard.sending = true;
    Spawn(*context_.shards_io, "shard", SendLoop(shard));
  }
  while (!pending->done) co_await pending->signal.Wait(10'000);
  if (pending->failure) {
    throw Refusal(
        *pending->failure, RunState::kUnknown,
        "The record was not committed: the shard may have another owner.");
  }
  context_.metrics->Observe(Latency::kCommit,
                            static_cast<double>(NowUs() - started_us) / 1000);
}

void ShardHost::AssignVersions(Shard& shard, std::vector<Record>& records) {
  for (Record& record : records) {
    record.epoch = shard.epoch;
    record.version = ++shard.version;
  }
}

// Sends the queued records, one batch after another, until the queue is empty.
// Each batch holds everything queued while the last one was in flight.
ShardHost::Async<void> ShardHost::SendLoop(Shard& shard) {
  while (!shard.queue.empty() && !shard.paused && shard.role == Role::kOwner) {
    std::vector<std::shared_ptr<Pending>> batch(shard.queue.begin(),
                                                shard.queue.end());
    shard.queue.clear();
    std::vector<Record> records;
    for (const auto& pending : batch) {
      records.insert(records.end(), pending->records.begin(),
                     pending->records.end());
    }
    AssignVersions(shard, records);
    bool committed = co_await SendBatch(shard, records);
    if (committed) committed = ApplyCommitted(shard, records);
    const bool fenced = shard.role != Role::kOwner;
    for (const auto& pending : batch) {
      pending->done = true;
      if (!committed)
        pending->failure =
            fenced ? Reason::kFenced : Reason::kRecordNotCommitted;
      pending->signal.Notify();
    }
    if (!committed) StepDown(shard, "records could not be committed");
  }
  shard.sending = false;
}

// Applies committed records to the ledger. Returns false when the ledger cannot
// read a record; this host then steps down. Another owner could not read it
// either, but must not be prevented from taking over.
bool ShardHost::ApplyCommitted(Shard& shard,
                               const std::vector<Record>& records) {
  context_.metrics->Add(Counter::kRecordBatches);
  context_.metrics->Add(Counter::kRecordsCommitted, records.size());
  try {
    for (const Record& record : records) {
      shard.ledger.Apply(record);
      shard.unflushed[record.key] = record;
    }
  } catch (const std::exception& e) {
    kLog.Error() << "A record of shard " << shard.id
                 << " cannot be read: " << e.what();
    return false;
  }
  return true;
}

// Returns whether a quorum holds the batch.
ShardHost::Async<bool> ShardHost::SendBatch(Shard& shard,
                                            std::vector<Record> records) {
  const Epoch epoch = shard.epoch;
  const int64_t now_ms = NowMs();
  auto run = std::make_shared<AppendRun>(shard.list, epoch);
  std::vector<AppendRequest> requests =
      MakeAppends(shard.id, epoch, context_.self, shard.list, records,
                  /*replace_all=*/false, ++shard.appends);
  std::vector<Member> awaited;
  for (AppendRequest& request : requests) {
    const auto lag = shard.lagging.find(request.target);
    if (lag != shard.lagging.end()) {
      if (lag->second > now_ms &&
          shard.lagging.size() + kQuorum <= shard.list.members.size()) {
        continue;
      }
      // The full copy has to include this batch, which the local replica may
      // not hold yet.
      request.records = shard.replica->RecordList();
      request.records.insert(request.records.end(), records.begin(),
                             records.end());
      request.replace_all = true;
    } else {
      awaited.push_back(request.target);
    }
    Spawn(*context_.shards_io, "shard", SendAppend(run, std::move(request)));
  }
  const auto held_by_awaited = [&] {
    return std::all_of(awaited.begin(), awaited.end(),
                       [&](const Member& member) {
                         return Contains(run->round.holders(), member);
                       });
  };
  const int64_t deadline_ms = now_ms + context_.timing.commit_timeout_ms;
  int64_t committed_ms = 0;
  while (!run->round.Fenced() && NowMs() < deadline_ms &&
         shard.role == Role::kOwner) {
    if (run->round.Committed() && committed_ms == 0) committed_ms = NowMs();
    const bool enough = run->round.Committed() && held_by_awaited();
    if (enough) break;
    const bool grace_elapsed =
        committed_ms != 0 &&
        NowMs() - committed_ms >= context_.timing.append_grace_ms;
    if (grace_elapsed) break;
    co_await run->changed.Wait(
        committed_ms == 0 ? 50 : context_.timing.append_grace_ms);
  }
  const bool committed = run->round.Committed() && !run->round.Fenced() &&
                         shard.role == Role::kOwner;
  if (!committed) co_return false;
  for (const Member& member : shard.list.members) {
    if (Contains(run->round.holders(), member)) {
      shard.lagging.erase(member);
    } else if (!shard.lagging.contains(member) ||
               shard.lagging[member] <= now_ms) {
      shard.lagging[member] = NowMs() + kLaggingRetryMs;
    }
  }
  co_return true;
}

void ShardHost::StepDown(Shard& shard, const std::string& why) {
  if (shard.role == Role::kNone) return;
  kLog.Warn() << "Stepped down from shard " << shard.id << ": " << why << ".";
  context_.metrics->Add(Counter::kFenced);
  shard.role = Role::kNone;
  shard.ownerless_since_ms = 0;
  FailQueue(shard, Reason::kFenced);
  hooks_.lost(shard.id);
}

void ShardHost::FailQueue(Shard& shard, Reason reason) {
  for (const auto& pending : shard.queue) {
    pending->done = true;
    pending->failure = reason;
    pending->signal.Notify();
  }
  shard.queue.clear();
}

// ---- Flushing to the platform ----------------------------------------------

ShardHost::Async<void> ShardHost::FlushLoop() {
  for (;;) {
    co_await Sleep(context_.timing.flush_interval_ms);
    std::vector<uint32_t> due;
    for (const auto& [id, shard] : shards_) {
      if (shard->role == Role::kOwner && !shard->unflushed.empty())
        due.push_back(id);
    }
    for (const uint32_t id : due) {
      try {
        co_await Flush(*shards_.at(id));
      } catch (const std::exception& e) {
        kLog.Debug() << "A flush failed: " << e.what();
        break;
      }
    }
  }
}

// Writes up to kMaxFlushBytes of unflushed records as one object.
ShardHost::Async<void> ShardHost::Flush(Shard& shard) {
  std::vector<Record> group;
  size_t bytes = 0;
  for (const auto& [key, record] : shard.unflushed) {
    if (!group.empty() && bytes + record.value.size() > kMaxFlushBytes) break;
    bytes += key.size() + record.value.size() + 64;
    group.push_back(record);
  }
  const std::string name = FlushPrefix(shard.id) +
                           std::to_string(FencingToken(shard.id)) + "-" +
                           std::to_string(context_.self.boot) + "-" +
                           std::to_string(++shard.flushes);
  const WriteReply reply =
      co_await context_.platform->Write(name, EncodeRecords(group), 0);
  if (reply.result != WriteResult::kWritten) co_return;
  context_.metrics->Add(Counter::kFlushes);
  shard.flushed_names.push_back(name);
  for (const Record& record : group) {
    const auto it = shard.unflushed.find(record.key);
    const bool same = it != shard.unflushed.end() &&
                      it->second.epoch == record.epoch &&
                      it->second.version == record.version;
    if (same) shard.unflushed.erase(it);
  }
  if (shard.flushed_names.size() > kMaxFlushObjects &&
      shard.unflushed.empty()) {
    co_await Compact(shard);
  }
}

// Writes all records of the shard and removes the older objects, which they
// replace.
ShardHost::Async<void> ShardHost::Compact(Shard& shard) {
  const std::vector<PlatformObject> old =
      co_await context_.platform->List(FlushPrefix(shard.id));
  const std::string stem = FlushPrefix(shard.id) +
                           std::to_string(FencingToken(shard.id)) + "-" +
                           std::to_string(context_.self.boot) + "-";
  const std::vector<Record> all = shard.replica->RecordList();
  std::vector<std::string> written;
  for (size_t next = 0; next < all.size();) {
    std::vector<Record> group;
    for (size_t bytes = 0; next < all.size() && bytes < kMaxFlushBytes;
         ++next) {
      bytes += all[next].key.size() + all[next].value.size() + 64;
      group.push_back(all[next]);
    }
    const std::string name = stem + std::to_string(++shard.flushes);
    const WriteReply reply =
        co_await context_.platform->Write(name, EncodeRecords(group), 0);
    if (reply.result != WriteResult::kWritten) co_return;
    written.push_back(name);
  }
  // A later owner may have written objects meanwhile, which must stay.
  if (shard.role != Role::kOwner) co_return;
  for (const PlatformObject& object : old)
    co_await context_.platform->Remove(object.name);
  shard.flushed_names = written;
}

// ---- Planned shutdown ------------------------------------------------------

ShardHost::Async<void> ShardHost::Leave(int64_t limit_ms) {
  const int64_t deadline_ms = NowMs() + limit_ms;
  while (NowMs() < deadline_ms) {
    bool holds = !Owned().empty();
    for (const auto& [id, shard] : shards_) {
      if (!shard->replica) continue;
      const std::vector<MemberList>& proposals = shard->replica->proposals();
      const MemberList& latest =
          proposals.empty() ? shard->replica->list() : proposals.back();
      holds = holds || Contains(latest.members, context_.self);
    }
    if (!holds) co_return;
    co_await Sleep(50);
  }
  kLog.Warn() << "Stopping before every shard was handed over.";
}

}  // namespace pimento
