#include "src/owner_lookup.h"

#include "src/placement.h"
#include "src/worker_thread.h"

namespace pimento {

std::string OwnerAddress(const SchedulerContext& context,
                         const ShardHost& shards, uint32_t shard) {
  if (shards.Owns(shard)) return "";
  const auto view = context.view.load();
  const HostGossip* owner = view->OwnerOf(shard);
  if (owner == nullptr || owner->info.host == context.self.host) {
    throw Refusal(Reason::kOwnerUnreachable, RunState::kNotRun,
                  "The shard currently has no owner.");
  }
  return owner->info.rpc_address;
}

std::string NextHop(SchedulerContext& context, const std::string& owner,
                    bool& relay) {
  const auto view = context.view.load();
  std::vector<std::string> live;
  for (const HostGossip& host : view->hosts()) {
    if (host.state == HostState::kAlive) live.push_back(host.info.rpc_address);
  }
  const std::string self = view->RpcAddress(context.self.host);
  std::string next_hop =
      context.peer_relays.SelectHop(owner, self, live, NowMs());
  relay = next_hop != owner;
  return next_hop;
}

uint32_t ShardFor(const SchedulerContext& context, const std::string& kind,
                  const std::string& name) {
  const uint32_t shards = context.environment.load()->document.shards;
  return ShardOf(kind + "/" + name, shards);
}

OwnerReply FindOwner(const SchedulerContext& context, const ShardHost& shards,
                     uint32_t shard) {
  const auto view = context.view.load();
  const auto environment = context.environment.load();
  OwnerReply reply;
  const HostGossip* owner =
      shards.Owns(shard) ? view->Find(context.self.host) : view->OwnerOf(shard);
  if (owner != nullptr) {
    reply.host = owner->info.host;
    reply.rpc_address = owner->info.rpc_address;
    reply.http_address = owner->info.http_address;
  }
  for (const HostGossip& host : view->hosts()) {
    const HostInfo& info = host.info;
    const bool usable = host.state == HostState::kAlive && !info.leaving &&
                        !info.http_address.empty() &&
                        InService(environment->document, info.host, info.zone);
    if (usable && info.host != reply.host)
      reply.alternates.push_back(info.http_address);
    // An owner that is leaving still serves its shards, but new callers are not
    // directed to its entry.
    if (!usable && info.host == reply.host) reply.http_address.clear();
  }
  return reply;
}

}  // namespace pimento
