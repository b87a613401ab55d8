// Looks up the owner of a shard and the address to reach it at, for components
// whose state is kept by the shard's owner.
#pragma once

#include <string>

#include "src/peer_messages.h"
#include "src/scheduler_context.h"
#include "src/shard_host.h"

namespace pimento {

// Returns the RPC address of the shard's owner, or "" when this host owns it.
// Throws Refusal(kOwnerUnreachable) when no owner is known.
std::string OwnerAddress(const SchedulerContext& context,
                         const ShardHost& shards, uint32_t shard);

// Returns the address to send a request for the owner at `owner` to. Normally
// this is `owner` itself. After a recent call from this host to `owner` failed,
// it is another live host, and `relay` tells that host to forward the request.
// `relay` is set to false otherwise.
std::string NextHop(SchedulerContext& context, const std::string& owner,
                    bool& relay);

// Returns the shard that keeps the state named `kind`/`name`, given the number
// of shards in the current document.
uint32_t ShardFor(const SchedulerContext& context, const std::string& kind,
                  const std::string& name);

// Returns the addresses of the shard's owner and the HTTP addresses of other
// hosts that callers may connect to. An owner that should get no new callers,
// for example because it is leaving, has no HTTP address in the reply.
OwnerReply FindOwner(const SchedulerContext& context, const ShardHost& shards,
                     uint32_t shard);

}  // namespace pimento
