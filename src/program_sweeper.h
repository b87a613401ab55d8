// Ends programs whose time is over, frees the memory that engines hold for
// ended ones, and forgets them after a while.
//
// What is left to free follows from the records, so a new owner goes on where
// the former one stopped. An order is repeated until the engine confirms it.
// Engines that ignore fencing numbers are told twice, a while apart: a former
// owner's last order may have come between.
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
  using Residence = std::pair<std::string, std::string>;  // program, upstream

  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<void> SweepShard(uint32_t shard);
  boost::asio::awaitable<void> Free(uint32_t shard, Residence residence);
  boost::asio::awaitable<bool> Order(uint32_t shard, Residence residence);
  boost::asio::awaitable<void> Forget(uint32_t shard);

  SchedulerContext& context_;
  ShardHost& shards_;
  CallPipeline& pipeline_;
  UpstreamClient& upstreams_;
  // Releases under way.
  std::set<Residence> freeing_;
};

}  // namespace pimento
