// Finds the owner of a shard, for the parts that need state of another host.
#pragma once

#include <string>

#include "src/peer_messages.h"
#include "src/scheduler_context.h"
#include "src/shard_host.h"

namespace pimento {

// RPC address of the shard's owner; empty when this host owns it. Throws
// Refusal(kOwnerUnreachable) when no owner is known.
std::string OwnerAddress(const SchedulerContext& context,
                         const ShardHost& shards, uint32_t shard);

// Where a request for the owner at `owner` goes: to it, or, with `relay` set,
// to a host that passes it on because this one lately could not reach it.
std::string NextHop(SchedulerContext& context, const std::string& owner,
                    bool& relay);

// The shard that keeps the state named `kind`/`name` under the present
// document.
uint32_t ShardFor(const SchedulerContext& context, const std::string& kind,
                  const std::string& name);

// Where callers of a program on `shard` should connect.
OwnerReply FindOwner(const SchedulerContext& context, const ShardHost& shards,
                     uint32_t shard);

}  // namespace pimento
