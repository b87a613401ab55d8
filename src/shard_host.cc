// Which shards this host holds, and when it claims, replaces and hands over.
#include "src/shard_host.h"

#include <algorithm>
#include <utility>

#include "src/duty.h"
#include "src/log.h"
#include "src/placement.h"
#include "src/shard_host_state.h"

namespace pimento {
namespace {

using Internal::Contains;
using Internal::kClaimPauseMs;
using Internal::kLossKey;

const Log kLog("shard");

// A shard whose owner is dead is claimed by its heir after this long.
constexpr int64_t kHeadlessMs = 200;
// A shard whose last owner lives, but does not announce it, is left alone for
// this long: news of a new owner takes a while to come round.
constexpr int64_t kUnannouncedMs = 3'000;
// Each further member waits this much longer, so that claims seldom collide.
constexpr int64_t kHeadlessStepMs = 1'200;
// A shard that no member claims is looked up in the platform after this long.
constexpr int64_t kOrphanMs = 2'500;
// Calls are retried for no longer than this after a loss of records.
constexpr int64_t kUncertainMs = 600'000;

bool SameSet(std::vector<Member> a, std::vector<Member> b) {
  std::sort(a.begin(), a.end());
  std::sort(b.begin(), b.end());
  return a == b;
}

}  // namespace

ShardHost::ShardHost(SchedulerContext& context) : context_(context) {}

ShardHost::~ShardHost() = default;

void ShardHost::Start(ShardHooks hooks) {
  hooks_ = std::move(hooks);
  fleet_changed_ms_ = NowMs();
  Spawn(*context_.shards_io, "shard", TickLoop());
  Spawn(*context_.shards_io, "shard", FlushLoop());
}

ShardHost::Shard& ShardHost::Slot(uint32_t shard) {
  std::unique_ptr<Shard>& slot = shards_[shard];
  if (!slot) {
    slot = std::make_unique<Shard>();
    slot->id = shard;
  }
  return *slot;
}

const ShardHost::Shard* ShardHost::Find(uint32_t shard) const {
  const auto it = shards_.find(shard);
  return it == shards_.end() ? nullptr : it->second.get();
}

Replica& ShardHost::ReplicaOf(Shard& shard) {
  if (!shard.replica) shard.replica = std::make_unique<Replica>(context_.self);
  return *shard.replica;
}

bool ShardHost::Owns(uint32_t shard) const {
  const Shard* found = Find(shard);
  return found != nullptr &&
         (found->role == Role::kOwner || found->role == Role::kReplacing);
}

bool ShardHost::Admits(uint32_t shard) const {
  return Owns(shard) && Find(shard)->admits;
}

ProgramLedger& ShardHost::Ledger(uint32_t shard) { return Slot(shard).ledger; }

const std::map<std::string, Record>& ShardHost::Records(uint32_t shard) const {
  return Find(shard)->replica->records();
}

uint64_t ShardHost::Fence(uint32_t shard) const {
  const Shard* found = Find(shard);
  return found == nullptr ? 0
                          : found->epoch.major * 1'000'000 + found->epoch.minor;
}

int64_t ShardHost::UncertainUntil(uint32_t shard) const {
  const auto& records = Records(shard);
  const auto it = records.find(kLossKey);
  return it == records.end() ? 0 : std::stoll(it->second.value) + kUncertainMs;
}

std::vector<OwnedShard> ShardHost::Owned() const {
  std::vector<OwnedShard> owned;
  for (const auto& [id, shard] : shards_) {
    if (Owns(id)) owned.push_back({.shard = id, .epoch = shard->epoch});
  }
  return owned;
}

size_t ShardHost::Short() const {
  const auto view = context_.view.load();
  size_t count = 0;
  for (const auto& [id, shard] : shards_) {
    if (shard->role != Role::kOwner) continue;
    const std::vector<Member>& members = shard->list.members;
    const bool whole =
        members.size() == kMembersPerShard && shard->lagging.empty() &&
        std::all_of(members.begin(), members.end(), [&](const Member& member) {
          return view->MayLive(member);
        });
    if (!whole) ++count;
  }
  return count;
}

ShardHost::Held ShardHost::held() const {
  Held held;
  for (const auto& [id, shard] : shards_) {
    if (!shard->replica) continue;
    ++held.shards;
    for (const auto& [key, record] : shard->replica->records()) {
      ++held.records;
      held.bytes += key.size() + record.value.size();
    }
  }
  return held;
}

// ---- As a member -----------------------------------------------------------

AppendReply ShardHost::OnAppend(const AppendRequest& request) {
  Shard& shard = Slot(request.shard);
  const AppendReply reply = ReplicaOf(shard).Append(request);
  const bool other = request.holder != context_.self;
  if (reply.accepted && other) shard.headless_since_ms = 0;
  if (reply.accepted && other && Owns(shard.id)) {
    StepDown(shard, "a later owner appends");
  }
  return reply;
}

SealReply ShardHost::OnSeal(const SealRequest& request) {
  Shard& shard = Slot(request.shard);
  SealReply reply = ReplicaOf(shard).Seal(request);
  const bool other = request.holder != context_.self;
  if (reply.accepted && other) shard.headless_since_ms = 0;
  if (reply.accepted && other && Owns(shard.id)) {
    StepDown(shard, "a later owner seals");
  }
  return reply;
}

// The members that this host wants beside itself: those of `present` that are
// in service, and newcomers for the rest.
std::vector<Member> ShardHost::WantedAround(
    uint32_t shard, const std::vector<Member>& present) {
  const auto environment = context_.environment.load();
  const std::vector<Candidate> candidates =
      context_.view.load()->Candidates(environment->document);
  std::vector<Member> wanted = {context_.self};
  for (const Member& member : ProposeReplacement(shard, present, candidates)) {
    const bool room = wanted.size() < kMembersPerShard;
    if (room && !Contains(wanted, member)) wanted.push_back(member);
  }
  return wanted;
}

ShardHost::Async<bool> ShardHost::OnTakeOver(TakeOverRequest request) {
  Shard& shard = Slot(request.shard);
  if (shard.busy || context_.leaving) co_return false;
  const std::vector<Member> wanted =
      WantedAround(request.shard, request.list.members);
  if (wanted.size() < kQuorum) co_return false;
  shard.busy = true;
  const bool taken =
      co_await TakeOver(shard, request.epoch, request.list, wanted,
                        /*granted_by_platform=*/false);
  shard.busy = false;
  if (taken) context_.metrics->Add(Counter::kHandovers);
  co_return taken;
}

// ---- Deciding when ---------------------------------------------------------

ShardHost::Async<void> ShardHost::TickLoop() {
  for (;;) {
    co_await Sleep(context_.timing.tick_ms);
    const auto environment = context_.environment.load();
    if (environment->generation == 0) continue;
    const auto view = context_.view.load();
    std::vector<Member> fleet;
    for (const Candidate& candidate : view->Candidates(environment->document)) {
      fleet.push_back(candidate.member);
    }
    std::sort(fleet.begin(), fleet.end());
    if (fleet != fleet_) {
      fleet_ = fleet;
      fleet_changed_ms_ = NowMs();
    }
    for (uint32_t id = 0; id < environment->document.shards; ++id)
      Decide(Slot(id));
  }
}

void ShardHost::Decide(Shard& shard) {
  if (shard.busy) return;
  const auto environment = context_.environment.load();
  const auto view = context_.view.load();
  if (shard.role == Role::kOwner) {
    Maintain(shard, *view, environment->document);
  } else if (!context_.leaving) {
    WatchHeadless(shard, *view, environment->document);
  }
}

// Runs one claim, replacement or hand-over at a time for a shard.
ShardHost::Async<void> ShardHost::Guard(Shard& shard,
                                        std::function<Async<bool>()> work) {
  shard.busy = true;
  try {
    co_await work();
  } catch (const std::exception& e) {
    kLog.Warn() << "Work on shard " << shard.id << " failed: " << e.what();
    const bool undecided =
        shard.role == Role::kTaking || shard.role == Role::kReplacing;
    if (undecided) StepDown(shard, "the claim failed");
  }
  shard.busy = false;
  shard.next_try_ms = NowMs() + kClaimPauseMs;
}

void ShardHost::Maintain(Shard& shard, const HostView& view,
                         const Document& document) {
  const int64_t now_ms = NowMs();
  if (now_ms < shard.next_try_ms) return;
  const std::vector<Candidate> candidates = view.Candidates(document);
  const bool out = context_.leaving ||
                   !InService(document, context_.self.host, context_.zone);
  // Members that stay: those in service, and those missing for less than the
  // hold.
  std::vector<Candidate> staying = candidates;
  bool gap = shard.list.members.size() < kMembersPerShard;
  for (const Member& member : shard.list.members) {
    if (member == context_.self) continue;
    const HostNews* news = view.Find(member.host);
    const bool leaves =
        news != nullptr && (news->info.leaving ||
                            !InService(document, member.host, news->info.zone));
    if (view.MayLive(member) && !leaves) {
      shard.missed.erase(member);
      const bool listed = std::any_of(candidates.begin(), candidates.end(),
                                      [&](const Candidate& candidate) {
                                        return candidate.member == member;
                                      });
      if (!listed && news != nullptr) {
        staying.push_back({.member = member, .zone = news->info.zone});
      }
      continue;
    }
    const int64_t since = shard.missed.emplace(member, now_ms).first->second;
    const bool held =
        !leaves && now_ms - since < context_.timing.replace_hold_ms;
    if (held) {
      staying.push_back({.member = member, .zone = ""});
    } else {
      gap = true;
    }
  }
  if (out) {
    for (const Member& member : shard.list.members) {
      const bool listed = std::any_of(candidates.begin(), candidates.end(),
                                      [&](const Candidate& candidate) {
                                        return candidate.member == member;
                                      });
      if (member == context_.self || !listed) continue;
      Spawn(*context_.shards_io, "shard", Guard(shard, [this, &shard, member] {
        return HandOver(shard, member);
      }));
      return;
    }
    // No member may take over: a newcomer must become one first.
  }
  if (gap) {
    const std::vector<Member> wanted =
        ProposeReplacement(shard.id, shard.list.members, staying);
    std::vector<Member> with_self = {context_.self};
    for (const Member& member : wanted) {
      if (member != context_.self && with_self.size() < kMembersPerShard) {
        with_self.push_back(member);
      }
    }
    const bool enough = with_self.size() >= kQuorum;
    if (enough && with_self != shard.list.members) {
      Spawn(*context_.shards_io, "shard",
            Guard(shard, [this, &shard, with_self] {
              return Replace(shard, with_self);
            }));
      return;
    }
  }
  if (shard.publish_due) {
    shard.publish_due = false;
    Spawn(*context_.shards_io, "shard", Publish(shard));
  }
  const bool retry_lagging = std::any_of(
      shard.lagging.begin(), shard.lagging.end(),
      [now_ms](const auto& entry) { return entry.second <= now_ms; });
  if (retry_lagging && !shard.sending) {
    shard.queue.push_back(std::make_shared<Pending>());
    shard.sending = true;
    Spawn(*context_.shards_io, "shard", SendLoop(shard));
  }
  // Move the shard to where it belongs once the fleet has been quiet for a
  // while.
  const bool quiet =
      now_ms - fleet_changed_ms_ > context_.timing.rebalance_after_ms;
  if (!quiet || out || now_ms - last_rebalance_ms_ < kClaimPauseMs) return;
  const std::vector<Member> proposed = ProposeMembers(shard.id, candidates);
  const bool settled =
      proposed.size() < kQuorum || (proposed.front() == context_.self &&
                                    SameSet(proposed, shard.list.members));
  if (settled) return;
  last_rebalance_ms_ = now_ms;
  const Member to = proposed.front();
  if (context_.peer_relays.FailedRecently(context_.AddressOf(to.host), now_ms))
    return;
  if (to == context_.self) {
    Spawn(*context_.shards_io, "shard", Guard(shard, [this, &shard, proposed] {
      return Replace(shard, proposed);
    }));
  } else if (!Contains(shard.list.members, to)) {
    // Only a member can take over: it becomes one first.
    std::vector<Member> with_next = {context_.self, to};
    for (const Member& member : shard.list.members) {
      const bool room = with_next.size() < kMembersPerShard;
      if (room && !Contains(with_next, member)) with_next.push_back(member);
    }
    Spawn(*context_.shards_io, "shard", Guard(shard, [this, &shard, with_next] {
      return Replace(shard, with_next);
    }));
  } else {
    Spawn(*context_.shards_io, "shard",
          Guard(shard, [this, &shard, to] { return HandOver(shard, to); }));
  }
}

void ShardHost::WatchHeadless(Shard& shard, const HostView& view,
                              const Document& document) {
  const int64_t now_ms = NowMs();
  const HostNews* owner = view.OwnerOf(shard.id);
  const bool led = owner != nullptr && owner->info.host != context_.self.host;
  if (led) {
    shard.headless_since_ms = 0;
    return;
  }
  if (shard.headless_since_ms == 0) shard.headless_since_ms = now_ms;
  if (now_ms < shard.next_try_ms) return;
  const int64_t headless_ms = now_ms - shard.headless_since_ms;
  const bool member =
      shard.replica && Contains(shard.replica->list().members, context_.self);
  if (member) {
    const std::vector<Member>& members = shard.replica->list().members;
    // The heir is first in line, then the last witness, then the former owner.
    const auto position =
        std::find(members.begin(), members.end(), context_.self);
    const auto index = static_cast<int64_t>(position - members.begin());
    const int64_t line = index == 0 ? 2 : index - 1;
    const bool holder_lives = view.MayLive(shard.replica->holder());
    const int64_t patience_ms = holder_lives ? kUnannouncedMs : kHeadlessMs;
    if (headless_ms > patience_ms + line * kHeadlessStepMs) {
      Spawn(*context_.shards_io, "shard",
            Guard(shard, [this, &shard] { return ClaimHeadless(shard); }));
    }
    if (headless_ms < kUnannouncedMs + kOrphanMs + 3 * kHeadlessStepMs) return;
  }
  const std::vector<Member> proposed =
      ProposeMembers(shard.id, view.Candidates(document));
  const bool first =
      proposed.size() >= kQuorum && proposed.front() == context_.self;
  if (!first || headless_ms < kOrphanMs || shard.busy) return;
  Spawn(*context_.shards_io, "shard",
        Guard(shard, [this, &shard] { return CreateOrRecover(shard); }));
}

}  // namespace pimento
