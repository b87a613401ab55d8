// Grants calls to teams under their rate and burst.
//
// On the owner of a team's shard: keeps the bucket, and records its mark with
// witnesses before it hands out grants that the mark covers. Elsewhere: asks
// that owner, one request at a time for each team, for as many as wait.
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

  // Takes one grant for `team`. Throws Refusal: kRateLimited with the time of
  // the next grant, or kOwnerUnreachable. Nothing has run in either case.
  Async<void> AcquireGrant(std::string team);
  // Serves other hosts; throws Refusal(kNotOwner).
  Async<CreditReply> Grant(CreditRequest request);
  // Forgets the buckets of a shard that this host does not own any more.
  void DropShard(uint32_t shard);

 private:
  // The owner's side of one team.
  struct Bucket {
    uint32_t shard = 0;
    std::unique_ptr<RateBucket> bucket;
    bool recording = false;
    AsyncCondition recorded;
  };
  // The asking side of one team.
  struct Asking {
    uint32_t waiting = 0;
    uint32_t granted = 0;
    uint32_t refused = 0;
    bool busy = false;
    int64_t next_us = 0;
    AsyncCondition changed;
  };

  Bucket& BucketOf(const std::string& team, uint32_t shard);
  Async<void> RecordMark(Bucket& bucket, std::string team, uint32_t wanted);
  Async<void> AskLoop(std::string team);

  SchedulerContext& context_;
  ShardHost& shards_;
  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Asking> asking_;
};

}  // namespace pimento
