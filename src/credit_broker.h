// Grants calls to teams within their rate and burst.
//
// The owner of a team's shard keeps the team's bucket (see rate_bucket.h). It
// replicates the bucket's mark before it gives out the grants that the mark
// covers. The other hosts request grants from the owner: one request at a time
// for each team, for as many calls as are waiting.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>

#include "src/async_condition.h"
#include "src/peer_messages.h"
#include "src/rate_bucket.h"
#include "src/scheduler_context.h"
#include "src/shard_host.h"

namespace pimento {

class CreditBroker {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  CreditBroker(SchedulerContext& context, ShardHost& shards);

  // Acquires one grant for `team`. Throws Refusal: kRateLimited, with the time
  // until the next grant, or kOwnerUnreachable. Nothing has run in either case.
  Async<void> AcquireGrant(std::string team);
  // Handles a request from another host, or from this one if it owns the shard.
  // Throws Refusal(kNotOwner) if it does not.
  Async<CreditReply> Grant(CreditRequest request);
  // Drops the buckets of a shard that this host no longer owns.
  void DropShard(uint32_t shard);

 private:
  // State of one team on the owner.
  struct Bucket {
    uint32_t shard = 0;
    std::unique_ptr<RateBucket> bucket;
    // True while a mark is being replicated; `recorded` is notified at the end.
    bool recording = false;
    AsyncCondition recorded;
  };
  // Calls of one team that wait for a grant on this host.
  struct PendingRequests {
    uint32_t waiting = 0;
    // Grants and refusals received and not yet assigned to a waiting call.
    uint32_t granted = 0;
    uint32_t refused = 0;
    // True while RequestLoop() runs for the team; at most one does.
    bool loop_running = false;
    // Earliest time of the next grant, microseconds.
    int64_t next_us = 0;
    AsyncCondition changed;
  };

  Bucket& FindOrCreateBucket(const std::string& team, uint32_t shard);
  Async<void> RecordMark(Bucket& bucket, std::string team, uint32_t wanted);
  Async<void> RequestLoop(std::string team);

  SchedulerContext& context_;
  ShardHost& shards_;
  std::map<std::string, Bucket> buckets_;
  std::map<std::string, PendingRequests> pending_;
};

}  // namespace pimento
