// Periodic cleanup of the programs on owned shards: expires programs past their
// deadline, releases the session memory that engines hold for ended programs,
// and removes the records of ended programs after the retention time.
//
// The records determine what is still to be released, so a new owner continues
// where the former one stopped. A release is retried until the engine confirms
// it. An engine that ignores fencing tokens gets each release twice, with a
// pause between: a request that the former owner sent late may have reached it
// after the first.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "src/call_pipeline.h"
#include "src/scheduler_context.h"
#include "src/shard_host.h"
#include "src/upstream_client.h"

namespace pimento {

class ProgramSweeper {
 public:
  ProgramSweeper(SchedulerContext& context, ShardHost& shards,
                 CallPipeline& pipeline, UpstreamClient& upstreams);
  void Start();

 private:
  using Release = std::pair<std::string, std::string>;  // program, upstream

  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<void> SweepShard(uint32_t shard);
  // Repeats the release until it is confirmed, then records that.
  boost::asio::awaitable<void> ReleaseMemory(uint32_t shard, Release release);
  // Sends the release to the upstream once, or twice when it ignores fencing
  // tokens. Returns true when the upstream holds no memory of the program any
  // more.
  boost::asio::awaitable<bool> SendRelease(uint32_t shard, Release release);
  // Deletes the records of ended programs after the retention time.
  boost::asio::awaitable<void> RemoveEnded(uint32_t shard);

  SchedulerContext& context_;
  ShardHost& shards_;
  CallPipeline& pipeline_;
  UpstreamClient& upstreams_;
  std::set<Release> releases_in_flight_;
};

}  // namespace pimento
