#include "src/program_sweeper.h"

#include <vector>

#include "src/duty.h"
#include "src/log.h"

namespace pimento {
namespace {

const Log kLog("sweeper");

constexpr int64_t kSweepMs = 250;
// Between the two orders to an engine that ignores fencing numbers.
constexpr int64_t kSecondOrderMs = 1'000;
constexpr int64_t kRetryMs = 500;
constexpr size_t kMostReleases = 64;
constexpr size_t kMostForgotten = 64;

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
    co_await Sleep(kSweepMs);
    for (const OwnedShard& owned : shards_.Owned()) {
      try {
        co_await SweepShard(owned.shard);
      } catch (const Refusal& refusal) {
        kLog.Debug() << "A sweep of shard " << owned.shard
                     << " stopped: " << refusal.what();
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
  for (const Residence& residence : shards_.Ledger(shard).Unreleased()) {
    if (freeing_.size() >= kMostReleases) break;
    if (!freeing_.insert(residence).second) continue;
    Spawn(*context_.shards_io, "sweeper", Free(shard, residence));
  }
  co_await Forget(shard);
}

boost::asio::awaitable<void> ProgramSweeper::Free(uint32_t shard,
                                                  Residence residence) {
  bool freed = false;
  while (!freed && shards_.Owns(shard)) {
    freed = co_await Order(shard, residence);
    if (freed) break;
    context_.metrics->Add(Counter::kReleasesRepeated);
    co_await Sleep(kRetryMs);
  }
  try {
    const Program* program = shards_.Owns(shard)
                                 ? shards_.Ledger(shard).Find(residence.first)
                                 : nullptr;
    if (freed && program != nullptr) {
      ProgramRecord record = program->record;
      record.released.push_back(residence.second);
      std::vector<Record> records = {MakeRecord(residence.first, record)};
      co_await shards_.Commit(shard, std::move(records));
      context_.metrics->Add(Counter::kReleasesConfirmed);
    }
  } catch (const Refusal& refusal) {
    kLog.Debug() << "A release was not recorded: " << refusal.what();
  }
  freeing_.erase(residence);
}

// Returns true once the engine holds nothing of the program any more.
boost::asio::awaitable<bool> ProgramSweeper::Order(uint32_t shard,
                                                   Residence residence) {
  const auto environment = context_.environment.load();
  const auto upstream = environment->document.upstreams.find(residence.second);
  // An engine that operators removed is gone with its memory.
  if (upstream == environment->document.upstreams.end()) co_return true;
  const Service* service =
      environment->document.FindService(upstream->second.service);
  const std::string address = upstream->second.address;
  const bool fenced = service != nullptr && service->fencing;
  bool freed = false;
  try {
    freed = co_await upstreams_.ReleaseSession(address, residence.first,
                                               shards_.Fence(shard));
    if (freed && !fenced) {
      co_await Sleep(kSecondOrderMs);
      freed = co_await upstreams_.ReleaseSession(address, residence.first,
                                                 shards_.Fence(shard));
    }
  } catch (const Refusal& refusal) {
    context_.metrics->CountRetry(refusal.reason());
    freed = false;
  }
  co_return freed;
}

boost::asio::awaitable<void> ProgramSweeper::Forget(uint32_t shard) {
  if (!shards_.Owns(shard)) co_return;
  ProgramLedger& ledger = shards_.Ledger(shard);
  std::vector<Record> gone;
  for (const std::string& id :
       ledger.Forgettable(NowMs() - context_.timing.retention_ms)) {
    if (gone.size() >= kMostForgotten) break;
    for (const auto& [sequence, call] : ledger.Find(id)->calls) {
      gone.push_back({.key = CallKey(id, sequence),
                      .epoch = {},
                      .version = 0,
                      .value = {}});
    }
    gone.push_back(
        {.key = ProgramKey(id), .epoch = {}, .version = 0, .value = {}});
  }
  if (!gone.empty()) co_await shards_.Commit(shard, std::move(gone));
}

}  // namespace pimento
