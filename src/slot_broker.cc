#include "src/slot_broker.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/errors.h"
#include "src/log.h"
#include "src/owner_lookup.h"
#include "src/peer_client.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

const Log kLog("slots");

// Timeout of a request to a peer. One that waits for a slot adds its own wait.
constexpr int64_t kRequestTimeoutMs = 1'000;
constexpr int64_t kTickIntervalMs = 100;
// Age after which the load in a reply is no longer used.
constexpr int64_t kMaxLoadAgeMs = 2'000;
constexpr int kMaxReleaseAttempts = 5;

WaitingCall ToWaiting(const SlotRequest& request, int64_t now_ms) {
  return {.ticket = request.ticket,
          .host = request.host,
          .boot = request.boot,
          .team = request.team,
          .program = request.program,
          .weight = request.weight,
          .cost = request.cost,
          .attained = request.attained,
          .arrived_ms = now_ms,
          .wait_deadline_ms = now_ms + request.patience_ms};
}

}  // namespace

SlotBroker::SlotBroker(SchedulerContext& context, ShardHost& shards,
                       QueuePolicy policy)
    : context_(context), shards_(shards), policy_(policy) {
  // Start at a number that differs between hosts and between runs, because the
  // tickets of one gate must be unique.
  const std::string unique =
      context.self.host + "/" + std::to_string(context.self.boot);
  next_ticket_ = (XXH3_64bits(unique.data(), unique.size()) << 24) | 1;
}

void SlotBroker::Start() { Spawn(*context_.shards_io, "slots", TickLoop()); }

void SlotBroker::DropShard(uint32_t shard) {
  for (auto it = gates_.begin(); it != gates_.end();) {
    if (it->second->shard != shard) {
      ++it;
      continue;
    }
    it->second->granted.Notify();
    it = gates_.erase(it);
  }
}

GateOptions SlotBroker::OptionsFor(const std::string& upstream) const {
  const auto environment = context_.environment.load();
  const auto declared = environment->document.upstreams.find(upstream);
  GateOptions options;
  options.policy = policy_;
  if (declared == environment->document.upstreams.end()) return options;
  options.window = declared->second.window;
  const Service* service =
      environment->document.FindService(declared->second.service);
  if (service != nullptr) {
    options.queue_limit = service->queue_limit;
    options.max_slot_lifetime_ms = service->call_limit_ms;
  }
  return options;
}

SlotBroker::Async<std::shared_ptr<SlotBroker::GateEntry>>
SlotBroker::FindOrCreateGate(std::string upstream) {
  const uint32_t shard = ShardFor(context_, "upstream", upstream);
  if (!shards_.Admits(shard)) {
    throw Refusal(Reason::kNotOwner, RunState::kNotRun,
                  "Another host owns this upstream's shard.");
  }
  std::shared_ptr<GateEntry>& entry = gates_[upstream];
  if (!entry) {
    entry = std::make_shared<GateEntry>();
    entry->shard = shard;
    entry->gate = std::make_unique<UpstreamGate>(OptionsFor(upstream), NowMs());
    Spawn(*context_.shards_io, "slots", CollectInFlight(entry, upstream));
  }
  co_return entry;
}

SlotBroker::Async<void> SlotBroker::CollectInFlight(
    std::shared_ptr<GateEntry> entry, std::string upstream) {
  const auto view = context_.view.load();
  std::vector<SlotRequest> running = InFlight(upstream);
  for (const HostGossip& peer : view->hosts()) {
    const bool other = peer.info.host != context_.self.host;
    if (!other || peer.state == HostState::kDead || peer.info.boot == 0)
      continue;
    try {
      const std::vector<SlotRequest> remote = co_await context_.peers->InFlight(
          peer.info.rpc_address, upstream, kRequestTimeoutMs);
      running.insert(running.end(), remote.begin(), remote.end());
    } catch (const TransportError&) {
      // The host is dying or unreachable. It is skipped, so its calls in flight
      // are not counted.
    }
  }
  const int64_t now_ms = NowMs();
  for (const SlotRequest& request : running) {
    entry->gate->AddInFlight(ToWaiting(request, now_ms), now_ms);
  }
  entry->ready = true;
  GrantFreeSlots(*entry, upstream);
}

// Applies the current document, grants as many slots as the window allows and
// wakes the waiting requests.
void SlotBroker::GrantFreeSlots(GateEntry& entry, const std::string& upstream) {
  if (!entry.ready) return;
  const auto environment = context_.environment.load();
  const auto declared = environment->document.upstreams.find(upstream);
  const bool usable = declared != environment->document.upstreams.end() &&
                      environment->document.Usable(declared->second);
  entry.gate->set_leaving(!usable);
  entry.gate->set_options(OptionsFor(upstream));
  for (const WaitingCall& call : entry.gate->GrantWaiting(NowMs()))
    entry.admitted[call.ticket] = true;
  entry.granted.Notify();
}

SlotBroker::Async<void> SlotBroker::TickLoop() {
  for (;;) {
    co_await Sleep(kTickIntervalMs);
    if (gates_.empty()) continue;
    const auto view = context_.view.load();
    const auto gates = gates_;
    for (const auto& [upstream, entry] : gates) {
      for (const HostGossip& host : view->hosts()) {
        if (host.state == HostState::kDead) {
          entry->gate->DropHost(host.info.host, host.info.boot, NowMs());
        } else if (host.info.boot > 0) {
          entry->gate->DropHost(host.info.host, host.info.boot - 1, NowMs());
        }
      }
      entry->gate->Expire(NowMs());
      GrantFreeSlots(*entry, upstream);
    }
  }
}

SlotBroker::Async<SlotReply> SlotBroker::OnSlot(SlotRequest request) {
  if (request.relay) {
    const uint32_t shard = ShardFor(context_, "upstream", request.upstream);
    const std::string address = OwnerAddress(context_, shards_, shard);
    request.relay = false;
    const int64_t limit_ms = request.patience_ms + kRequestTimeoutMs;
    if (!address.empty())
      co_return co_await context_.peers->Slot(address, request, limit_ms);
  }
  const std::shared_ptr<GateEntry> entry =
      co_await FindOrCreateGate(request.upstream);
  const int64_t now_ms = NowMs();
  const auto answer =
      entry->gate->Enqueue(ToWaiting(request, now_ms), request.max_queue);
  if (answer == UpstreamGate::EnqueueResult::kQueueFull) {
    throw Refusal(Reason::kQueueFull, RunState::kNotRun,
                  "The upstream's queue is full.", 50);
  }
  if (answer == UpstreamGate::EnqueueResult::kLeaving) {
    throw Refusal(Reason::kNoUpstream, RunState::kNotRun,
                  "The upstream accepts no new calls.", 50);
  }
  GrantFreeSlots(*entry, request.upstream);
  const int64_t deadline_ms = now_ms + request.patience_ms;
  while (!entry->admitted.contains(request.ticket)) {
    const int64_t left_ms = deadline_ms - NowMs();
    const bool lost = !shards_.Owns(entry->shard);
    if (left_ms <= 0 || lost || entry->gate->leaving()) {
      entry->gate->CancelWaiting(request.ticket);
      const Reason reason = lost                     ? Reason::kNotOwner
                            : entry->gate->leaving() ? Reason::kNoUpstream
                                                     : Reason::kQueueTimeout;
      throw Refusal(reason, RunState::kNotRun,
                    "No slot of the upstream became free.", 50);
    }
    co_await entry->granted.Wait(std::min<int64_t>(left_ms, 1'000));
  }
  entry->admitted.erase(request.ticket);
  const GateLoad load = entry->gate->Load(NowMs());
  SlotReply reply{.outcome = {},
                  .in_flight = load.in_flight,
                  .limit = load.limit,
                  .queued = load.queued};
  co_return reply;
}

SlotBroker::Async<bool> SlotBroker::OnDone(SlotDone done) {
  if (done.relay) {
    const uint32_t shard = ShardFor(context_, "upstream", done.upstream);
    const std::string address = OwnerAddress(context_, shards_, shard);
    done.relay = false;
    if (!address.empty())
      co_return co_await context_.peers->ReportSlotDone(address, done,
                                                        kRequestTimeoutMs);
  }
  const std::shared_ptr<GateEntry> entry =
      co_await FindOrCreateGate(done.upstream);
  if (done.abandoned) {
    entry->admitted.erase(done.ticket);
    entry->gate->CancelWaiting(done.ticket);
  }
  const SlotResult result{.ticket = done.ticket,
                          .succeeded = done.succeeded,
                          .cold_sign = done.cold_sign,
                          .tokens = done.tokens,
                          .pace_ms = done.pace_ms};
  entry->gate->OnCallEnded(result, NowMs());
  GrantFreeSlots(*entry, done.upstream);
  co_return true;
}

std::vector<SlotRequest> SlotBroker::InFlight(
    const std::string& upstream) const {
  std::vector<SlotRequest> slots;
  const auto it = granted_slots_.find(upstream);
  if (it == granted_slots_.end()) return slots;
  for (const auto& [ticket, request] : it->second) slots.push_back(request);
  return slots;
}

GateLoad SlotBroker::CachedLoad(const std::string& upstream) const {
  const auto it = loads_.find(upstream);
  if (it == loads_.end() || NowMs() - it->second.at_ms > kMaxLoadAgeMs)
    return {};
  return it->second.load;
}

void SlotBroker::CacheLoad(const std::string& upstream,
                           const SlotReply& reply) {
  loads_[upstream] = {.load = {.in_flight = reply.in_flight,
                               .limit = reply.limit,
                               .queued = reply.queued},
                      .at_ms = NowMs()};
}

SlotBroker::Async<uint64_t> SlotBroker::Acquire(std::string upstream,
                                                AcquireParams params) {
  const auto environment = context_.environment.load();
  const auto team = environment->document.teams.find(params.team);
  const int64_t deadline_ms = NowMs() + params.patience_ms;
  for (;;) {
    SlotRequest request{.upstream = upstream,
                        .ticket = next_ticket_++,
                        .host = context_.self.host,
                        .boot = context_.self.boot,
                        .team = params.team,
                        .program = params.program,
                        .weight = team == environment->document.teams.end()
                                      ? 1
                                      : team->second.weight,
                        .cost = params.cost,
                        .attained = params.attained,
                        .patience_ms = deadline_ms - NowMs(),
                        .max_queue = params.max_queue};
    Reason failure = Reason::kOwnerUnreachable;
    bool sent_to_peer = false;
    std::string next_hop;
    try {
      const uint32_t shard = ShardFor(context_, "upstream", upstream);
      const std::string address = OwnerAddress(context_, shards_, shard);
      SlotReply reply;
      if (address.empty()) {
        reply = co_await OnSlot(request);
      } else {
        sent_to_peer = true;
        next_hop = NextHop(context_, address, request.relay);
        reply = co_await context_.peers->Slot(
            next_hop, request, request.patience_ms + kRequestTimeoutMs);
      }
      if (reply.outcome.ok()) {
        CacheLoad(upstream, reply);
        granted_slots_[upstream][request.ticket] = request;
        co_return request.ticket;
      }
      failure = reply.outcome.reason;
      sent_to_peer = false;
    } catch (const Refusal& refusal) {
      failure = refusal.reason();
    } catch (const TransportError& e) {
      kLog.Debug() << "Cannot reach the gate of upstream " << upstream
                   << " via " << next_hop << ": " << e.what();
      if (!request.relay) context_.peer_relays.OnCallFailed(next_hop, NowMs());
      failure = Reason::kOwnerUnreachable;
    }
    if (sent_to_peer) {
      // The slot may have been granted, and the reply lost: give it back.
      SlotDone done;
      done.upstream = upstream;
      done.ticket = request.ticket;
      done.abandoned = true;
      Spawn(*context_.shards_io, "slots", Release(done));
    }
    if (failure == Reason::kQueueFull || failure == Reason::kNoUpstream) {
      loads_[upstream] = {
          .load = {.in_flight = 1, .limit = 1, .queued = params.max_queue + 1},
          .at_ms = NowMs()};
    }
    if (!IsRetryableReason(failure) || NowMs() >= deadline_ms) {
      throw Refusal(failure, RunState::kNotRun,
                    "No slot of " + upstream + " was granted.", 50);
    }
    context_.metrics->CountRetry(failure);
    co_await Sleep(60);
  }
}

SlotBroker::Async<void> SlotBroker::Release(SlotDone done) {
  const auto held = granted_slots_.find(done.upstream);
  if (held != granted_slots_.end()) held->second.erase(done.ticket);
  for (int i = 0; i < kMaxReleaseAttempts; ++i) {
    std::string next_hop;
    try {
      const uint32_t shard = ShardFor(context_, "upstream", done.upstream);
      const std::string address = OwnerAddress(context_, shards_, shard);
      if (address.empty()) {
        co_await OnDone(done);
      } else {
        next_hop = NextHop(context_, address, done.relay);
        co_await context_.peers->ReportSlotDone(next_hop, done,
                                                kRequestTimeoutMs);
      }
      co_return;
    } catch (const Refusal&) {
      // The gate is moving to another owner, which asks all hosts for their
      // calls in flight.
    } catch (const TransportError&) {
      // Retry: without this report the gate keeps the slot until it expires.
      if (!done.relay) context_.peer_relays.OnCallFailed(next_hop, NowMs());
    }
    co_await Sleep(100);
  }
}

}  // namespace pimento
