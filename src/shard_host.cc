// ShardHost: its accessors, its handlers as a member, and the decision when to
// claim a shard, replace its members or hand it over.
#include "src/shard_host.h"

#include <algorithm>
#include <utility>

#include "src/log.h"
#include "src/placement.h"
#include "src/shard_host_state.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

using Internal::Contains;
using Internal::kClaimBackoffMs;
using Internal::kLossKey;

const Log kLog("shard");

// A shard without an owner is claimed by its standby after this long when the
// last owner is known to be dead.
constexpr int64_t kDeadOwnerClaimDelayMs = 200;
// The same when the last owner is alive but does not announce the shard.
// Longer, because gossip about a new owner takes time to arrive.
constexpr int64_t kLiveOwnerClaimDelayMs = 3'000;
// Each further member waits this much longer, so that claims rarely collide.
constexpr int64_t kClaimStaggerMs = 1'200;
// A shard that no member claims is looked up in the platform after this long.
// Members wait longer: until each of them has had its turn to claim.
constexpr int64_t kNoClaimantDelayMs = 2'500;
// Calls are retried for no longer than this after a loss of records, so a retry
// of a call whose record was lost arrives within this time.
constexpr int64_t kUncertaintyWindowMs = 600'000;

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

ShardHost::Shard& ShardHost::FindOrCreate(uint32_t shard) {
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

ProgramLedger& ShardHost::Ledger(uint32_t shard) {
  return FindOrCreate(shard).ledger;
}

const std::map<std::string, Record>& ShardHost::Records(uint32_t shard) const {
  return Find(shard)->replica->records();
}

uint64_t ShardHost::FencingToken(uint32_t shard) const {
  const Shard* found = Find(shard);
  return found == nullptr ? 0
                          : found->epoch.major * 1'000'000 + found->epoch.minor;
}

int64_t ShardHost::UncertainUntil(uint32_t shard) const {
  const auto& records = Records(shard);
  const auto it = records.find(kLossKey);
  return it == records.end()
             ? 0
             : std::stoll(it->second.value) + kUncertaintyWindowMs;
}

std::vector<OwnedShard> ShardHost::Owned() const {
  std::vector<OwnedShard> owned;
  for (const auto& [id, shard] : shards_) {
    if (Owns(id)) owned.push_back({.shard = id, .epoch = shard->epoch});
  }
  return owned;
}

size_t ShardHost::UnderReplicated() const {
  const auto view = context_.view.load();
  size_t count = 0;
  for (const auto& [id, shard] : shards_) {
    if (shard->role != Role::kOwner) continue;
    const std::vector<Member>& members = shard->list.members;
    const bool whole =
        members.size() == kMembersPerShard && shard->lagging.empty() &&
        std::all_of(members.begin(), members.end(), [&](const Member& member) {
          return view->MayBeAlive(member);
        });
    if (!whole) ++count;
  }
  return count;
}

ShardHost::StorageTotals ShardHost::storage_totals() const {
  StorageTotals totals;
  for (const auto& [id, shard] : shards_) {
    if (!shard->replica) continue;
    ++totals.shards;
    for (const auto& [key, record] : shard->replica->records()) {
      ++totals.records;
      totals.bytes += key.size() + record.value.size();
    }
  }
  return totals;
}

// ---- As a member -----------------------------------------------------------

AppendReply ShardHost::OnAppend(const AppendRequest& request) {
  Shard& shard = FindOrCreate(request.shard);
  const AppendReply reply = ReplicaOf(shard).Append(request);
  const bool other = request.holder != context_.self;
  if (reply.accepted && other) shard.ownerless_since_ms = 0;
  if (reply.accepted && other && Owns(shard.id)) {
    StepDown(shard, "a later owner appends");
  }
  return reply;
}

SealReply ShardHost::OnSeal(const SealRequest& request) {
  Shard& shard = FindOrCreate(request.shard);
  SealReply reply = ReplicaOf(shard).Seal(request);
  const bool other = request.holder != context_.self;
  if (reply.accepted && other) shard.ownerless_since_ms = 0;
  if (reply.accepted && other && Owns(shard.id)) {
    StepDown(shard, "a later owner seals");
  }
  return reply;
}

// Returns a member list that begins with this host: then the members of
// `present` that are in service, and new members for the rest.
std::vector<Member> ShardHost::MembersWithSelf(
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
  Shard& shard = FindOrCreate(request.shard);
  if (shard.busy || context_.leaving) co_return false;
  const std::vector<Member> wanted =
      MembersWithSelf(request.shard, request.list.members);
  if (wanted.size() < kQuorum) co_return false;
  shard.busy = true;
  const bool taken =
      co_await TakeOver(shard, request.epoch, request.list, wanted,
                        /*granted_by_platform=*/false);
  shard.busy = false;
  if (taken) context_.metrics->Add(Counter::kHandovers);
  co_return taken;
}

// ---- Ownership changes -----------------------------------------------------

ShardHost::Async<void> ShardHost::TickLoop() {
  for (;;) {
    co_await Sleep(context_.timing.tick_interval_ms);
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
      ReconcileShard(FindOrCreate(id));
  }
}

// Starts the ownership change that the shard needs now, if any.
void ShardHost::ReconcileShard(Shard& shard) {
  if (shard.busy) return;
  const auto environment = context_.environment.load();
  const auto view = context_.view.load();
  if (shard.role == Role::kOwner) {
    MaintainOwned(shard, *view, environment->document);
  } else if (!context_.leaving) {
    WatchOwnerless(shard, *view, environment->document);
  }
}

// Runs `work`, a claim, replacement or handover, with `busy` set, so that no
// other change of the shard starts meanwhile.
ShardHost::Async<void> ShardHost::RunExclusive(
    Shard& shard, std::function<Async<bool>()> work) {
  shard.busy = true;
  try {
    co_await work();
  } catch (const std::exception& e) {
    kLog.Warn() << "The ownership change of shard " << shard.id
                << " failed: " << e.what();
    const bool undecided =
        shard.role == Role::kClaiming || shard.role == Role::kReplacing;
    if (undecided) StepDown(shard, "the claim failed");
  }
  shard.busy = false;
  shard.next_attempt_ms = NowMs() + kClaimBackoffMs;
}

// For the owner: replaces missing members, hands the shard over when this host
// leaves service, retries lagging members, and rebalances. Starts at most one
// ownership change.
void ShardHost::MaintainOwned(Shard& shard, const HostView& view,
                              const Document& document) {
  const int64_t now_ms = NowMs();
  if (now_ms < shard.next_attempt_ms) return;
  const std::vector<Candidate> candidates = view.Candidates(document);
  const bool self_leaving =
      context_.leaving ||
      !InService(document, context_.self.host, context_.zone);
  // Members that stay: those in service, and those missing for less than
  // `replace_hold_ms`.
  std::vector<Candidate> staying = candidates;
  bool member_missing = shard.list.members.size() < kMembersPerShard;
  for (const Member& member : shard.list.members) {
    if (member == context_.self) continue;
    const HostGossip* known = view.Find(member.host);
    const bool is_leaving =
        known != nullptr &&
        (known->info.leaving ||
         !InService(document, member.host, known->info.zone));
    if (view.MayBeAlive(member) && !is_leaving) {
      shard.missing_since_ms.erase(member);
      const bool is_candidate =
          std::any_of(candidates.begin(), candidates.end(),
                      [&](const Candidate& candidate) {
                        return candidate.member == member;
                      });
      if (!is_candidate && known != nullptr) {
        staying.push_back({.member = member, .zone = known->info.zone});
      }
      continue;
    }
    const int64_t since =
        shard.missing_since_ms.emplace(member, now_ms).first->second;
    const bool within_hold =
        !is_leaving && now_ms - since < context_.timing.replacement_delay_ms;
    if (within_hold) {
      staying.push_back({.member = member, .zone = ""});
    } else {
      member_missing = true;
    }
  }
  if (self_leaving) {
    for (const Member& member : shard.list.members) {
      const bool is_candidate =
          std::any_of(candidates.begin(), candidates.end(),
                      [&](const Candidate& candidate) {
                        return candidate.member == member;
                      });
      if (member == context_.self || !is_candidate) continue;
      Spawn(*context_.shards_io, "shard",
            RunExclusive(shard, [this, &shard, member] {
              return HandOver(shard, member);
            }));
      return;
    }
    // No member can take over: a new member must be added first.
  }
  if (member_missing) {
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
            RunExclusive(shard, [this, &shard, with_self] {
              return Replace(shard, with_self);
            }));
      return;
    }
  }
  if (shard.publish_due) {
    shard.publish_due = false;
    Spawn(*context_.shards_io, "shard", PublishOwnership(shard));
  }
  const bool retry_lagging = std::any_of(
      shard.lagging.begin(), shard.lagging.end(),
      [now_ms](const auto& entry) { return entry.second <= now_ms; });
  if (retry_lagging && !shard.sending) {
    // An empty batch, sent so that lagging members get a full copy.
    shard.queue.push_back(std::make_shared<Pending>());
    shard.sending = true;
    Spawn(*context_.shards_io, "shard", SendLoop(shard));
  }
  // Moves the shard to its proposed members once the fleet has been unchanged
  // for a while.
  const bool fleet_stable =
      now_ms - fleet_changed_ms_ > context_.timing.rebalance_delay_ms;
  if (!fleet_stable || self_leaving ||
      now_ms - last_rebalance_ms_ < kClaimBackoffMs)
    return;
  const std::vector<Member> proposed = ProposeMembers(shard.id, candidates);
  const bool placed_as_proposed =
      proposed.size() < kQuorum || (proposed.front() == context_.self &&
                                    SameSet(proposed, shard.list.members));
  if (placed_as_proposed) return;
  last_rebalance_ms_ = now_ms;
  const Member to = proposed.front();
  if (context_.peer_relays.FailedRecently(context_.AddressOf(to.host), now_ms))
    return;
  if (to == context_.self) {
    Spawn(*context_.shards_io, "shard",
          RunExclusive(shard, [this, &shard, proposed] {
            return Replace(shard, proposed);
          }));
  } else if (!Contains(shard.list.members, to)) {
    // Only a member can take over, so it is added to the list first.
    std::vector<Member> with_next = {context_.self, to};
    for (const Member& member : shard.list.members) {
      const bool room = with_next.size() < kMembersPerShard;
      if (room && !Contains(with_next, member)) with_next.push_back(member);
    }
    Spawn(*context_.shards_io, "shard",
          RunExclusive(shard, [this, &shard, with_next] {
            return Replace(shard, with_next);
          }));
  } else {
    Spawn(*context_.shards_io, "shard", RunExclusive(shard, [this, &shard, to] {
      return HandOver(shard, to);
    }));
  }
}

// For any other host: claims the shard, or creates or recovers it, once it has
// been without an owner for long enough.
void ShardHost::WatchOwnerless(Shard& shard, const HostView& view,
                               const Document& document) {
  const int64_t now_ms = NowMs();
  const HostGossip* owner = view.OwnerOf(shard.id);
  const bool has_owner =
      owner != nullptr && owner->info.host != context_.self.host;
  if (has_owner) {
    shard.ownerless_since_ms = 0;
    return;
  }
  if (shard.ownerless_since_ms == 0) shard.ownerless_since_ms = now_ms;
  if (now_ms < shard.next_attempt_ms) return;
  const int64_t ownerless_ms = now_ms - shard.ownerless_since_ms;
  const bool member =
      shard.replica && Contains(shard.replica->list().members, context_.self);
  if (member) {
    const std::vector<Member>& members = shard.replica->list().members;
    // Order of claims: the standby, then the third member, then the former
    // owner.
    const auto position =
        std::find(members.begin(), members.end(), context_.self);
    const auto index = static_cast<int64_t>(position - members.begin());
    const int64_t rank = index == 0 ? 2 : index - 1;
    const bool holder_lives = view.MayBeAlive(shard.replica->holder());
    const int64_t claim_delay_ms =
        holder_lives ? kLiveOwnerClaimDelayMs : kDeadOwnerClaimDelayMs;
    if (ownerless_ms > claim_delay_ms + rank * kClaimStaggerMs) {
      Spawn(*context_.shards_io, "shard", RunExclusive(shard, [this, &shard] {
        return ClaimOwnerless(shard);
      }));
    }
    if (ownerless_ms <
        kLiveOwnerClaimDelayMs + kNoClaimantDelayMs + 3 * kClaimStaggerMs)
      return;
  }
  const std::vector<Member> proposed =
      ProposeMembers(shard.id, view.Candidates(document));
  const bool first =
      proposed.size() >= kQuorum && proposed.front() == context_.self;
  if (!first || ownerless_ms < kNoClaimantDelayMs || shard.busy) return;
  Spawn(*context_.shards_io, "shard",
        RunExclusive(shard, [this, &shard] { return CreateOrRecover(shard); }));
}

}  // namespace pimento
