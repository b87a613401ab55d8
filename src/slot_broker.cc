#include "src/slot_broker.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/duty.h"
#include "src/errors.h"
#include "src/log.h"
#include "src/owner_lookup.h"
#include "src/peer_client.h"

namespace pimento {
namespace {

const Log kLog("slots");

constexpr int64_t kAskMs = 1'000;
constexpr int64_t kTickMs = 100;
constexpr int64_t kHintAgeMs = 2'000;
constexpr int kDoneTries = 5;

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
  // Tickets of different hosts and runs must not meet in one gate.
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
    options.slot_life_ms = service->call_limit_ms;
  }
  return options;
}

SlotBroker::Async<std::shared_ptr<SlotBroker::Gate>> SlotBroker::GateOf(
    std::string upstream) {
  const uint32_t shard = ShardFor(context_, "upstream", upstream);
  if (!shards_.Admits(shard)) {
    throw Refusal(Reason::kNotOwner, RunState::kNotRun,
                  "Another host keeps this upstream.");
  }
  std::shared_ptr<Gate>& gate = gates_[upstream];
  if (!gate) {
    gate = std::make_shared<Gate>();
    gate->shard = shard;
    gate->gate = std::make_unique<UpstreamGate>(OptionsFor(upstream), NowMs());
    Spawn(*context_.shards_io, "slots", LearnInFlight(gate, upstream));
  }
  co_return gate;
}

SlotBroker::Async<void> SlotBroker::LearnInFlight(std::shared_ptr<Gate> gate,
                                                  std::string upstream) {
  const auto view = context_.view.load();
  std::vector<SlotRequest> running = InFlight(upstream);
  for (const HostNews& news : view->hosts()) {
    const bool other = news.info.host != context_.self.host;
    if (!other || news.state == HostState::kDead || news.info.boot == 0)
      continue;
    try {
      const std::vector<SlotRequest> theirs = co_await context_.peers->InFlight(
          news.info.rpc_address, upstream, kAskMs);
      running.insert(running.end(), theirs.begin(), theirs.end());
    } catch (const TransportError&) {
      // The host is dying or cut off; its slots are covered by the cold window.
    }
  }
  const int64_t now_ms = NowMs();
  for (const SlotRequest& request : running) {
    gate->gate->Adopt(ToWaiting(request, now_ms), now_ms);
  }
  gate->ready = true;
  Pump(*gate, upstream);
}

// Grants what the window allows and wakes those who wait for it.
void SlotBroker::Pump(Gate& gate, const std::string& upstream) {
  if (!gate.ready) return;
  const auto environment = context_.environment.load();
  const auto declared = environment->document.upstreams.find(upstream);
  const bool usable = declared != environment->document.upstreams.end() &&
                      environment->document.Usable(declared->second);
  gate.gate->set_leaving(!usable);
  gate.gate->set_options(OptionsFor(upstream));
  for (const WaitingCall& call : gate.gate->Release(NowMs()))
    gate.admitted[call.ticket] = true;
  gate.granted.Notify();
}

SlotBroker::Async<void> SlotBroker::TickLoop() {
  for (;;) {
    co_await Sleep(kTickMs);
    if (gates_.empty()) continue;
    const auto view = context_.view.load();
    const auto gates = gates_;
    for (const auto& [upstream, gate] : gates) {
      for (const HostNews& news : view->hosts()) {
        if (news.state == HostState::kDead) {
          gate->gate->DropHost(news.info.host, news.info.boot, NowMs());
        } else if (news.info.boot > 0) {
          gate->gate->DropHost(news.info.host, news.info.boot - 1, NowMs());
        }
      }
      gate->gate->Expire(NowMs());
      Pump(*gate, upstream);
    }
  }
}

SlotBroker::Async<SlotReply> SlotBroker::OnSlot(SlotRequest request) {
  if (request.relay) {
    const uint32_t shard = ShardFor(context_, "upstream", request.upstream);
    const std::string address = OwnerAddress(context_, shards_, shard);
    request.relay = false;
    const int64_t limit_ms = request.patience_ms + kAskMs;
    if (!address.empty())
      co_return co_await context_.peers->Slot(address, request, limit_ms);
  }
  const std::shared_ptr<Gate> gate = co_await GateOf(request.upstream);
  const int64_t now_ms = NowMs();
  const auto answer =
      gate->gate->Ask(ToWaiting(request, now_ms), request.max_queue);
  if (answer == UpstreamGate::Answer::kQueueFull) {
    throw Refusal(Reason::kQueueFull, RunState::kNotRun,
                  "The upstream's queue is full.", 50);
  }
  if (answer == UpstreamGate::Answer::kLeaving) {
    throw Refusal(Reason::kNoUpstream, RunState::kNotRun,
                  "The upstream takes no new work.", 50);
  }
  Pump(*gate, request.upstream);
  const int64_t deadline_ms = now_ms + request.patience_ms;
  while (!gate->admitted.contains(request.ticket)) {
    const int64_t left_ms = deadline_ms - NowMs();
    const bool lost = !shards_.Owns(gate->shard);
    if (left_ms <= 0 || lost || gate->gate->leaving()) {
      gate->gate->Abandon(request.ticket);
      const Reason reason = lost                    ? Reason::kNotOwner
                            : gate->gate->leaving() ? Reason::kNoUpstream
                                                    : Reason::kQueueTimeout;
      throw Refusal(reason, RunState::kNotRun,
                    "No slot of the upstream came free.", 50);
    }
    co_await gate->granted.Wait(std::min<int64_t>(left_ms, 1'000));
  }
  gate->admitted.erase(request.ticket);
  const GateLoad load = gate->gate->Load(NowMs());
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
      co_return co_await context_.peers->Done(address, done, kAskMs);
  }
  const std::shared_ptr<Gate> gate = co_await GateOf(done.upstream);
  if (done.abandoned) {
    gate->admitted.erase(done.ticket);
    gate->gate->Abandon(done.ticket);
  }
  const SlotResult result{.ticket = done.ticket,
                          .succeeded = done.succeeded,
                          .cold_sign = done.cold_sign,
                          .tokens = done.tokens,
                          .pace_ms = done.pace_ms};
  gate->gate->Done(result, NowMs());
  Pump(*gate, done.upstream);
  co_return true;
}

std::vector<SlotRequest> SlotBroker::InFlight(
    const std::string& upstream) const {
  std::vector<SlotRequest> slots;
  const auto it = held_.find(upstream);
  if (it == held_.end()) return slots;
  for (const auto& [ticket, request] : it->second) slots.push_back(request);
  return slots;
}

GateLoad SlotBroker::Hint(const std::string& upstream) const {
  const auto it = hints_.find(upstream);
  if (it == hints_.end() || NowMs() - it->second.at_ms > kHintAgeMs) return {};
  return it->second.load;
}

void SlotBroker::NoteLoad(const std::string& upstream, const SlotReply& reply) {
  hints_[upstream] = {.load = {.in_flight = reply.in_flight,
                               .limit = reply.limit,
                               .queued = reply.queued},
                      .at_ms = NowMs()};
}

SlotBroker::Async<uint64_t> SlotBroker::Acquire(std::string upstream,
                                                Want want) {
  const auto environment = context_.environment.load();
  const auto team = environment->document.teams.find(want.team);
  const int64_t deadline_ms = NowMs() + want.patience_ms;
  for (;;) {
    SlotRequest request{.upstream = upstream,
                        .ticket = next_ticket_++,
                        .host = context_.self.host,
                        .boot = context_.self.boot,
                        .team = want.team,
                        .program = want.program,
                        .weight = team == environment->document.teams.end()
                                      ? 1
                                      : team->second.weight,
                        .cost = want.cost,
                        .attained = want.attained,
                        .patience_ms = deadline_ms - NowMs(),
                        .max_queue = want.max_queue};
    Reason failure = Reason::kOwnerUnreachable;
    bool asked_elsewhere = false;
    std::string way;
    try {
      const uint32_t shard = ShardFor(context_, "upstream", upstream);
      const std::string address = OwnerAddress(context_, shards_, shard);
      SlotReply reply;
      if (address.empty()) {
        reply = co_await OnSlot(request);
      } else {
        asked_elsewhere = true;
        way = NextHop(context_, address, request.relay);
        reply = co_await context_.peers->Slot(way, request,
                                              request.patience_ms + kAskMs);
      }
      if (reply.outcome.ok()) {
        NoteLoad(upstream, reply);
        held_[upstream][request.ticket] = request;
        co_return request.ticket;
      }
      failure = reply.outcome.reason;
      asked_elsewhere = false;
    } catch (const Refusal& refusal) {
      failure = refusal.reason();
    } catch (const TransportError& e) {
      kLog.Debug() << "The gate of " << upstream << " was not reached over "
                   << way << ": " << e.what();
      if (!request.relay) context_.detours.Lost(way, NowMs());
      failure = Reason::kOwnerUnreachable;
    }
    if (asked_elsewhere) {
      // The slot may have been granted in an answer that never came.
      SlotDone done;
      done.upstream = upstream;
      done.ticket = request.ticket;
      done.abandoned = true;
      Spawn(*context_.shards_io, "slots", Release(done));
    }
    if (failure == Reason::kQueueFull || failure == Reason::kNoUpstream) {
      hints_[upstream] = {
          .load = {.in_flight = 1, .limit = 1, .queued = want.max_queue + 1},
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
  const auto held = held_.find(done.upstream);
  if (held != held_.end()) held->second.erase(done.ticket);
  for (int i = 0; i < kDoneTries; ++i) {
    std::string way;
    try {
      const uint32_t shard = ShardFor(context_, "upstream", done.upstream);
      const std::string address = OwnerAddress(context_, shards_, shard);
      if (address.empty()) {
        co_await OnDone(done);
      } else {
        way = NextHop(context_, address, done.relay);
        co_await context_.peers->Done(way, done, kAskMs);
      }
      co_return;
    } catch (const Refusal&) {
      // The gate is moving; its new owner asks what is in flight.
    } catch (const TransportError&) {
      // Told again: a gate that never hears keeps the slot until it lapses.
      if (!done.relay) context_.detours.Lost(way, NowMs());
    }
    co_await Sleep(100);
  }
}

}  // namespace pimento
