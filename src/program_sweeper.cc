#include "src/program_sweeper.h"

#include <vector>

#include "src/log.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

const Log kLog("sweeper");

constexpr int64_t kSweepIntervalMs = 250;
// Pause between the two releases to an engine that ignores fencing tokens.
constexpr int64_t kSecondReleaseDelayMs = 1'000;
constexpr int64_t kRetryDelayMs = 500;
constexpr size_t kMaxReleasesInFlight = 64;
// A commit that deletes this many records takes no further program.
constexpr size_t kMaxRecordsPerRemoval = 64;

}  // namespace

ProgramSweeper::ProgramSweeper(SchedulerContext& context, ShardHost& shards,
                               CallPipeline& pipeline,
                               UpstreamClient& upstreams)
    : context_(context),
      shards_(shards),
      pipeline_(pipeline),
      upstreams_(upstreams) {}

void ProgramSweeper::Start() { Spawn(*context_.shards_io, "sweeper", Loop()); }

boost::asio::awaitable<void> ProgramSweeper::Loop() {
  for (;;) {
    co_await Sleep(kSweepIntervalMs);
    for (const OwnedShard& owned : shards_.Owned()) {
      try {
        co_await SweepShard(owned.shard);
      } catch (const Refusal& refusal) {
        kLog.Debug() << "The sweep of shard " << owned.shard
                     << " was aborted: " << refusal.what();
      }
    }
  }
}

boost::asio::awaitable<void> ProgramSweeper::SweepShard(uint32_t shard) {
  if (!shards_.Admits(shard)) co_return;
  const std::vector<std::string> overdue =
      shards_.Ledger(shard).Overdue(NowMs());
  for (const std::string& program : overdue) co_await pipeline_.Expire(program);
  if (!shards_.Owns(shard)) co_return;
  for (const Release& release : shards_.Ledger(shard).PendingReleases()) {
    if (releases_in_flight_.size() >= kMaxReleasesInFlight) break;
    if (!releases_in_flight_.insert(release).second) continue;
    Spawn(*context_.shards_io, "sweeper", ReleaseMemory(shard, release));
  }
  co_await RemoveEnded(shard);
}

boost::asio::awaitable<void> ProgramSweeper::ReleaseMemory(uint32_t shard,
                                                           Release release) {
  bool released = false;
  while (!released && shards_.Owns(shard)) {
    released = co_await SendRelease(shard, release);
    if (released) break;
    context_.metrics->Add(Counter::kReleasesRepeated);
    co_await Sleep(kRetryDelayMs);
  }
  try {
    const Program* program = shards_.Owns(shard)
                                 ? shards_.Ledger(shard).Find(release.first)
                                 : nullptr;
    if (released && program != nullptr) {
      ProgramRecord record = program->record;
      record.released.push_back(release.second);
      std::vector<Record> records = {MakeRecord(release.first, record)};
      co_await shards_.Commit(shard, std::move(records));
      context_.metrics->Add(Counter::kReleasesConfirmed);
    }
  } catch (const Refusal& refusal) {
    kLog.Debug() << "The release of session memory was not recorded: "
                 << refusal.what();
  }
  releases_in_flight_.erase(release);
}

boost::asio::awaitable<bool> ProgramSweeper::SendRelease(uint32_t shard,
                                                         Release release) {
  const auto environment = context_.environment.load();
  const auto upstream = environment->document.upstreams.find(release.second);
  // The engine was removed from the document: nothing is left to release.
  if (upstream == environment->document.upstreams.end()) co_return true;
  const Service* service =
      environment->document.FindService(upstream->second.service);
  const std::string address = upstream->second.address;
  const bool fenced = service != nullptr && service->fencing;
  bool released = false;
  try {
    released = co_await upstreams_.ReleaseSession(address, release.first,
                                                  shards_.FencingToken(shard));
    if (released && !fenced) {
      co_await Sleep(kSecondReleaseDelayMs);
      released = co_await upstreams_.ReleaseSession(
          address, release.first, shards_.FencingToken(shard));
    }
  } catch (const Refusal& refusal) {
    context_.metrics->CountRetry(refusal.reason());
    released = false;
  }
  co_return released;
}

boost::asio::awaitable<void> ProgramSweeper::RemoveEnded(uint32_t shard) {
  if (!shards_.Owns(shard)) co_return;
  ProgramLedger& ledger = shards_.Ledger(shard);
  std::vector<Record> removed;
  for (const std::string& id :
       ledger.Removable(NowMs() - context_.timing.retention_ms)) {
    if (removed.size() >= kMaxRecordsPerRemoval) break;
    for (const auto& [sequence, call] : ledger.Find(id)->calls) {
      removed.push_back({.key = CallKey(id, sequence),
                         .epoch = {},
                         .version = 0,
                         .value = {}});
    }
    removed.push_back(
        {.key = ProgramKey(id), .epoch = {}, .version = 0, .value = {}});
  }
  if (!removed.empty()) co_await shards_.Commit(shard, std::move(removed));
}

}  // namespace pimento
