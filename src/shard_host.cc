#include "src/shard_host.h"

#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <optional>
#include <utility>

#include "src/duty.h"
#include "src/errors.h"
#include "src/log.h"
#include "src/peer_client.h"
#include "src/placement.h"
#include "src/platform_client.h"
#include "src/shard_protocol.h"
#include "src/signal.h"

namespace pimento {
namespace {

namespace json = boost::json;

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
constexpr int64_t kClaimPauseMs = 400;
constexpr int64_t kLagRetryMs = 500;
constexpr size_t kFlushBytes = 700'000;
constexpr size_t kCompactObjects = 24;
// Calls are retried for no longer than this after a loss of records.
constexpr int64_t kUncertainMs = 600'000;
constexpr const char* kLossKey = "l/loss";

bool Contains(const std::vector<Member>& members, const Member& member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}

bool SameSet(std::vector<Member> a, std::vector<Member> b) {
  std::sort(a.begin(), a.end());
  std::sort(b.begin(), b.end());
  return a == b;
}

std::string FlushPrefix(uint32_t shard) {
  return "flush/" + std::to_string(shard) + "/";
}

std::string EncodeRecords(const std::vector<Record>& records) {
  return json::serialize(json::value_from(records));
}

}  // namespace

// kReplacing: the owner changes the members. It stays the owner, and records
// wait.
enum class ShardHost::Role { kNone, kTaking, kOwner, kReplacing };

struct ShardHost::Pending {
  std::vector<Record> records;
  bool done = false;
  std::optional<Reason> failure;
  Signal signal;
};

struct ShardHost::Shard {
  uint32_t id = 0;
  std::unique_ptr<Replica> replica;
  Role role = Role::kNone;
  // Valid while kOwner.
  Epoch epoch;
  MemberList list;
  ProgramLedger ledger;
  uint64_t version = 0;
  // Appends sent at this epoch.
  uint64_t appends = 0;
  // Records that wait to be sent, in order. Bounded by the callers, each of
  // which waits for its own.
  std::deque<std::shared_ptr<Pending>> queue;
  bool sending = false;
  // True while no further batch may be sent.
  bool paused = false;
  // Members that miss records, and when to try them again.
  std::map<Member, int64_t> lagging;
  // When each lost member was first missed.
  std::map<Member, int64_t> missed;
  // True while a claim, replacement or hand-over runs.
  bool busy = false;
  // False while a hand-over runs: no new calls.
  bool admits = true;
  bool publish_due = false;
  int64_t headless_since_ms = 0;
  int64_t next_try_ms = 0;
  // Counted records that the platform does not hold yet.
  std::map<std::string, Record> unflushed;
  uint64_t flushes = 0;
  std::vector<std::string> flushed_names;
};

// Lives until the last of its requests has been answered.
struct ShardHost::ClaimRun {
  explicit ClaimRun(ClaimOptions options) : claim(std::move(options)) {}
  Claim claim;
  Signal changed;
};

struct ShardHost::RoundRun {
  RoundRun(MemberList list, Epoch round_epoch)
      : round(std::move(list)), epoch(round_epoch) {}
  AppendRound round;
  Epoch epoch;
  Signal changed;
};

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

// ---- Claims ----------------------------------------------------------------

std::string ShardHost::Nonce() {
  return context_.self.host + "-" + std::to_string(context_.self.boot) + "-" +
         std::to_string(++nonces_);
}

// Returns whether `wanted` is in the platform now. A lost answer is settled by
// reading the nonce back.
ShardHost::Async<bool> ShardHost::WriteOwnership(Shard& shard, Ownership wanted,
                                                 uint64_t if_version) {
  const std::string name = OwnershipName(shard.id);
  const WriteReply reply = co_await context_.platform->Write(
      name, EncodeOwnership(wanted), if_version);
  if (reply.result == WriteResult::kWritten) co_return true;
  if (reply.result == WriteResult::kConflict) co_return false;
  const std::optional<PlatformObject> seen =
      co_await context_.platform->Read(name);
  co_return seen&& DecodeOwnership(seen->body).nonce == wanted.nonce;
}

// Claims a shard of which this host is a member and whose owner is gone.
ShardHost::Async<bool> ShardHost::ClaimHeadless(Shard& shard) {
  const Replica& replica = *shard.replica;
  const MemberList known = replica.list();
  Epoch epoch;
  bool platform_up = true;
  try {
    const std::optional<PlatformObject> object =
        co_await context_.platform->Read(OwnershipName(shard.id));
    Ownership claimed{.shard = shard.id,
                      .epoch = {},
                      .holder = {},
                      .list = known,
                      .nonce = {}};
    if (object) claimed = DecodeOwnership(object->body);
    claimed.epoch.major = std::max(claimed.epoch.major, replica.sealed().major);
    claimed = ClaimedByPlatform(claimed, context_.self, Nonce());
    if (known.since > claimed.list.since) claimed.list = known;
    const bool written =
        co_await WriteOwnership(shard, claimed, object ? object->version : 0);
    if (!written) co_return false;
    epoch = claimed.epoch;
  } catch (const PlatformError&) {
    platform_up = false;
  }
  if (!platform_up) {
    const bool heir =
        known.members.size() > 1 && known.members[1] == context_.self;
    if (!heir && replica.holder() != context_.self) co_return false;
    epoch = {.major = replica.sealed().major,
             .minor = replica.sealed().minor + 1};
  }
  const bool taken = co_await TakeOver(shard, epoch, known, {}, platform_up);
  if (taken) {
    context_.metrics->Add(Counter::kTakeovers);
    kLog.Info() << "Took over shard " << shard.id << " at epoch " << epoch.major
                << "." << epoch.minor
                << (platform_up ? "." : " without the platform.");
  }
  co_return taken;
}

// Runs on the first choice for a shard that nobody leads and no member claims.
ShardHost::Async<bool> ShardHost::CreateOrRecover(Shard& shard) {
  const std::optional<PlatformObject> object =
      co_await context_.platform->Read(OwnershipName(shard.id));
  if (!object) co_return co_await Create(shard);
  const Ownership present = DecodeOwnership(object->body);
  const auto view = context_.view.load();
  const auto environment = context_.environment.load();
  // Members that are merely silent may wake up and go on; only the certainly
  // gone make room for a recovery from the platform.
  size_t gone = 0;
  for (const Member& member : present.list.members) {
    const bool lost = environment->document.lost_hosts.contains(member.host);
    if (view->Restarted(member) || lost) ++gone;
  }
  if (present.list.members.size() - gone >= kQuorum) co_return false;
  co_return co_await RecoverFromFlush(shard, *object, present);
}

ShardHost::Async<bool> ShardHost::Create(Shard& shard) {
  const auto environment = context_.environment.load();
  const std::vector<Member> members = ProposeMembers(
      shard.id, context_.view.load()->Candidates(environment->document));
  if (members.size() < kQuorum) co_return false;
  const Epoch epoch{.major = 1, .minor = 0};
  Ownership created{.shard = shard.id,
                    .epoch = epoch,
                    .holder = context_.self,
                    .list = {.since = epoch, .members = members},
                    .nonce = Nonce()};
  const bool written = co_await WriteOwnership(shard, created, 0);
  if (!written) co_return false;
  co_return co_await TakeOver(shard, epoch, created.list, members, true);
}

// Two of the three members are gone, memory and all. What the platform holds is
// what is left; the rest is answered as unknown.
ShardHost::Async<bool> ShardHost::RecoverFromFlush(Shard& shard,
                                                   PlatformObject object,
                                                   Ownership present) {
  const auto environment = context_.environment.load();
  const auto view = context_.view.load();
  const std::vector<Member> members =
      ProposeMembers(shard.id, view->Candidates(environment->document));
  if (members.size() < kQuorum || members.front() != context_.self)
    co_return false;
  Ownership claimed = ClaimedByPlatform(present, context_.self, Nonce());
  claimed.list = {.since = claimed.epoch, .members = members};
  const bool written = co_await WriteOwnership(shard, claimed, object.version);
  if (!written) co_return false;
  std::map<std::string, Record> records;
  const std::vector<PlatformObject> flushed =
      co_await context_.platform->List(FlushPrefix(shard.id));
  for (const PlatformObject& entry : flushed) {
    const std::optional<PlatformObject> body =
        co_await context_.platform->Read(entry.name);
    if (!body) continue;
    MergeRecords(json::value_to<std::vector<Record>>(json::parse(body->body)),
                 records);
  }
  // The third member may be left; its records are worth having.
  ClaimOptions options{.shard = shard.id,
                       .self = context_.self,
                       .epoch = claimed.epoch,
                       .known = present.list,
                       .wanted = members,
                       .granted_by_platform = true};
  auto run = std::make_shared<ClaimRun>(std::move(options));
  for (SealRequest& request : run->claim.TakeRequests()) {
    Spawn(*context_.shards_io, "shard", SendSeal(run, std::move(request)));
  }
  co_await run->changed.Wait(context_.timing.rpc_ms);
  co_await Sleep(100);
  std::vector<Record> survivors;
  for (const auto& [key, record] : run->claim.records())
    survivors.push_back(record);
  MergeRecords(survivors, records);
  records[kLossKey] = {.key = kLossKey,
                       .epoch = claimed.epoch,
                       .version = 0,
                       .value = std::to_string(NowMs())};
  kLog.Warn() << "Shard " << shard.id << " lost two members; recovered "
              << records.size() << " records from the platform.";
  co_return co_await Install(shard, claimed.epoch, claimed.list,
                             std::move(records));
}

// Changes the members under the present owner.
ShardHost::Async<bool> ShardHost::Replace(Shard& shard,
                                          std::vector<Member> wanted) {
  const Epoch epoch{.major = shard.epoch.major, .minor = shard.epoch.minor + 1};
  const MemberList known = shard.list;
  const bool done =
      co_await TakeOver(shard, epoch, known, std::move(wanted), false);
  if (done) context_.metrics->Add(Counter::kReplacements);
  co_return done;
}

// Gives the shard to `to` by consent. No call is cut: those that must not
// repeat are waited for, the others go on at the new owner.
ShardHost::Async<bool> ShardHost::HandOver(Shard& shard, Member to) {
  shard.admits = false;
  co_await hooks_.quiesce(shard.id);
  if (shard.role != Role::kOwner) co_return false;
  const Epoch epoch{.major = shard.epoch.major, .minor = shard.epoch.minor + 1};
  // The consent of this member and the seal of `to`, a member too, make a
  // quorum.
  shard.replica->ConsentTo(to);
  TakeOverRequest request{.shard = shard.id,
                          .epoch = epoch,
                          .holder = context_.self,
                          .list = shard.list};
  try {
    const bool taken = co_await context_.peers->TakeOver(
        context_.AddressOf(to.host), request,
        context_.timing.claim_ms + context_.timing.rpc_ms);
    if (taken) {
      kLog.Info() << "Handed shard " << shard.id << " over to " << to.host
                  << ".";
    }
    shard.admits = true;
    co_return taken;
  } catch (const TransportError& e) {
    kLog.Warn() << "Shard " << shard.id << " was not handed over: " << e.what();
  }
  shard.admits = true;
  co_return false;
}

ShardHost::Async<bool> ShardHost::TakeOver(Shard& shard, Epoch epoch,
                                           MemberList known,
                                           std::vector<Member> wanted,
                                           bool granted_by_platform) {
  // Nothing is sent while the members change.
  shard.paused = true;
  while (shard.sending) co_await Sleep(1);
  shard.paused = false;
  const bool was_owner = shard.role == Role::kOwner;
  shard.role = was_owner ? Role::kReplacing : Role::kTaking;
  ClaimOptions options{.shard = shard.id,
                       .self = context_.self,
                       .epoch = epoch,
                       .known = std::move(known),
                       .wanted = std::move(wanted),
                       .granted_by_platform = granted_by_platform};
  auto run = std::make_shared<ClaimRun>(std::move(options));
  const int64_t deadline_ms = NowMs() + context_.timing.claim_ms;
  while (!run->claim.Sealed() && !run->claim.Lost() && NowMs() < deadline_ms) {
    for (SealRequest& request : run->claim.TakeRequests()) {
      Spawn(*context_.shards_io, "shard", SendSeal(run, std::move(request)));
    }
    co_await run->changed.Wait(50);
  }
  const MemberList list = run->claim.NewList();
  const bool sealed =
      run->claim.Sealed() && Contains(list.members, context_.self);
  bool installed = false;
  if (sealed)
    installed = co_await Install(shard, epoch, list, run->claim.records());
  const bool undecided =
      shard.role == Role::kTaking || shard.role == Role::kReplacing;
  if (!installed && undecided) StepDown(shard, "the claim failed");
  co_return installed;
}

ShardHost::Async<void> ShardHost::SendSeal(std::shared_ptr<ClaimRun> run,
                                           SealRequest request) {
  const Member target = request.target;
  try {
    SealReply reply;
    if (target == context_.self) {
      reply = ReplicaOf(Slot(request.shard)).Seal(request);
    } else {
      reply = co_await context_.peers->Seal(context_.AddressOf(target.host),
                                            std::move(request),
                                            context_.timing.rpc_ms);
    }
    run->claim.OnReply(target, reply);
  } catch (const TransportError& e) {
    // A member that does not answer is not sealed; the others may suffice.
    kLog.Debug() << "A seal did not arrive: " << e.what();
  }
  run->changed.Notify();
}

ShardHost::Async<void> ShardHost::SendAppend(std::shared_ptr<RoundRun> run,
                                             AppendRequest request) {
  const Member target = request.target;
  try {
    AppendReply reply;
    if (target == context_.self) {
      reply = ReplicaOf(Slot(request.shard)).Append(request);
    } else {
      reply = co_await context_.peers->Append(context_.AddressOf(target.host),
                                              std::move(request),
                                              context_.timing.rpc_ms);
    }
    run->round.OnReply(target, reply, run->epoch);
  } catch (const TransportError& e) {
    // Counted without it, or not at all.
    kLog.Debug() << "An append did not arrive: " << e.what();
  }
  run->changed.Notify();
}

// Writes everything to the members of `list` and starts to serve.
ShardHost::Async<bool> ShardHost::Install(
    Shard& shard, Epoch epoch, MemberList list,
    std::map<std::string, Record> records) {
  std::vector<Record> all;
  for (const auto& [key, record] : records) all.push_back(record);
  auto run = std::make_shared<RoundRun>(list, epoch);
  for (AppendRequest& request :
       MakeAppends(shard.id, epoch, context_.self, list, all,
                   /*replace_all=*/true, /*number=*/0)) {
    Spawn(*context_.shards_io, "shard", SendAppend(run, std::move(request)));
  }
  const int64_t deadline_ms = NowMs() + context_.timing.claim_ms;
  while (!run->round.Counted() && !run->round.Fenced() &&
         NowMs() < deadline_ms) {
    co_await run->changed.Wait(50);
  }
  if (run->round.Counted() && !run->round.HeldByAll()) {
    co_await run->changed.Wait(context_.timing.append_grace_ms);
  }
  const Replica& replica = ReplicaOf(shard);
  const bool current =
      replica.sealed() == epoch && replica.holder() == context_.self;
  if (!run->round.Counted() || run->round.Fenced() || !current) co_return false;
  shard.epoch = epoch;
  shard.list = list;
  shard.version = 0;
  shard.appends = 0;
  shard.lagging.clear();
  shard.missed.clear();
  for (const Member& member : list.members) {
    if (!Contains(run->round.holders(), member))
      shard.lagging[member] = NowMs();
  }
  // A former owner's calls are taken up anew. After a change of members the
  // calls of this owner simply go on.
  const bool gained = shard.role != Role::kReplacing;
  if (gained) shard.ledger.Load(replica.records());
  shard.unflushed = replica.records();
  shard.flushed_names.clear();
  shard.publish_due = true;
  shard.role = Role::kOwner;
  shard.admits = true;
  if (gained) hooks_.gained(shard.id);
  if (!shard.queue.empty() && !shard.sending) {
    shard.sending = true;
    Spawn(*context_.shards_io, "shard", SendLoop(shard));
  }
  co_return true;
}

// Brings the ownership object up to date after a change made without it.
ShardHost::Async<void> ShardHost::Publish(Shard& shard) {
  try {
    const std::optional<PlatformObject> object =
        co_await context_.platform->Read(OwnershipName(shard.id));
    Ownership present;
    if (object) present = DecodeOwnership(object->body);
    const bool later = present.epoch > shard.epoch;
    const bool same =
        present.epoch == shard.epoch && present.list == shard.list;
    if (later || same || shard.role != Role::kOwner) co_return;
    Ownership wanted{.shard = shard.id,
                     .epoch = shard.epoch,
                     .holder = context_.self,
                     .list = shard.list,
                     .nonce = Nonce()};
    const bool written =
        co_await WriteOwnership(shard, wanted, object ? object->version : 0);
    if (!written) shard.publish_due = true;
  } catch (const PlatformError&) {
    shard.publish_due = true;
  }
  shard.next_try_ms = NowMs() + kClaimPauseMs;
}

// ---- Records ---------------------------------------------------------------

ShardHost::Async<void> ShardHost::Confirm(uint32_t shard) {
  co_await Commit(shard, {});
}

ShardHost::Async<void> ShardHost::Commit(uint32_t id,
                                         std::vector<Record> records) {
  const auto it = shards_.find(id);
  if (!Owns(id)) {
    throw Refusal(Reason::kNotOwner, RunState::kUnknown,
                  "This host does not own the shard.");
  }
  Shard& shard = *it->second;
  const int64_t started_us = NowUs();
  auto pending = std::make_shared<Pending>();
  pending->records = std::move(records);
  shard.queue.push_back(pending);
  if (!shard.sending && shard.role == Role::kOwner) {
    shard.sending = true;
    Spawn(*context_.shards_io, "shard", SendLoop(shard));
  }
  while (!pending->done) co_await pending->signal.Wait(10'000);
  if (pending->failure) {
    throw Refusal(
        *pending->failure, RunState::kUnknown,
        "The record was not counted: the shard may have another owner.");
  }
  context_.metrics->Observe(Latency::kCommit,
                            static_cast<double>(NowUs() - started_us) / 1000);
}

void ShardHost::Stamp(Shard& shard, std::vector<Record>& records) {
  for (Record& record : records) {
    record.epoch = shard.epoch;
    record.version = ++shard.version;
  }
}

// Sends what waits, in one batch after the other, until nothing does.
ShardHost::Async<void> ShardHost::SendLoop(Shard& shard) {
  while (!shard.queue.empty() && !shard.paused && shard.role == Role::kOwner) {
    std::vector<std::shared_ptr<Pending>> batch(shard.queue.begin(),
                                                shard.queue.end());
    shard.queue.clear();
    std::vector<Record> records;
    for (const auto& pending : batch) {
      records.insert(records.end(), pending->records.begin(),
                     pending->records.end());
    }
    Stamp(shard, records);
    const bool counted = co_await SendBatch(shard, records);
    if (counted) {
      context_.metrics->Add(Counter::kRecordBatches);
      context_.metrics->Add(Counter::kRecordsCounted, records.size());
      for (const Record& record : records) {
        shard.ledger.Apply(record);
        shard.unflushed[record.key] = record;
      }
    }
    const bool fenced = shard.role != Role::kOwner;
    for (const auto& pending : batch) {
      pending->done = true;
      if (!counted)
        pending->failure = fenced ? Reason::kFenced : Reason::kRecordNotCounted;
      pending->signal.Notify();
    }
    if (!counted) StepDown(shard, "records could not be counted");
  }
  shard.sending = false;
}

// Returns whether a quorum holds the batch.
ShardHost::Async<bool> ShardHost::SendBatch(Shard& shard,
                                            std::vector<Record> records) {
  const Epoch epoch = shard.epoch;
  const int64_t now_ms = NowMs();
  auto run = std::make_shared<RoundRun>(shard.list, epoch);
  // The own replica goes first: a full copy for a lagging member includes the
  // batch.
  std::vector<AppendRequest> requests =
      MakeAppends(shard.id, epoch, context_.self, shard.list, records,
                  /*replace_all=*/false, ++shard.appends);
  std::vector<Member> waited;
  for (AppendRequest& request : requests) {
    const auto lag = shard.lagging.find(request.target);
    if (lag != shard.lagging.end()) {
      if (lag->second > now_ms &&
          shard.lagging.size() + kQuorum <= shard.list.members.size()) {
        continue;
      }
      request.records = shard.replica->RecordList();
      request.records.insert(request.records.end(), records.begin(),
                             records.end());
      request.replace_all = true;
    } else {
      waited.push_back(request.target);
    }
    Spawn(*context_.shards_io, "shard", SendAppend(run, std::move(request)));
  }
  const auto held_by_waited = [&] {
    return std::all_of(waited.begin(), waited.end(), [&](const Member& member) {
      return Contains(run->round.holders(), member);
    });
  };
  const int64_t deadline_ms = now_ms + context_.timing.commit_ms;
  int64_t counted_ms = 0;
  while (!run->round.Fenced() && NowMs() < deadline_ms &&
         shard.role == Role::kOwner) {
    if (run->round.Counted() && counted_ms == 0) counted_ms = NowMs();
    const bool enough = run->round.Counted() && held_by_waited();
    if (enough) break;
    const bool grace_over =
        counted_ms != 0 &&
        NowMs() - counted_ms >= context_.timing.append_grace_ms;
    if (grace_over) break;
    co_await run->changed.Wait(
        counted_ms == 0 ? 50 : context_.timing.append_grace_ms);
  }
  const bool counted = run->round.Counted() && !run->round.Fenced() &&
                       shard.role == Role::kOwner;
  if (!counted) co_return false;
  for (const Member& member : shard.list.members) {
    if (Contains(run->round.holders(), member)) {
      shard.lagging.erase(member);
    } else if (!shard.lagging.contains(member) ||
               shard.lagging[member] <= now_ms) {
      shard.lagging[member] = NowMs() + kLagRetryMs;
    }
  }
  co_return true;
}

void ShardHost::StepDown(Shard& shard, const std::string& why) {
  if (shard.role == Role::kNone) return;
  kLog.Warn() << "Stepped down from shard " << shard.id << ": " << why << ".";
  context_.metrics->Add(Counter::kFenced);
  shard.role = Role::kNone;
  shard.headless_since_ms = 0;
  FailQueue(shard, Reason::kFenced);
  hooks_.lost(shard.id);
}

void ShardHost::FailQueue(Shard& shard, Reason reason) {
  for (const auto& pending : shard.queue) {
    pending->done = true;
    pending->failure = reason;
    pending->signal.Notify();
  }
  shard.queue.clear();
}

// ---- The platform's copy ---------------------------------------------------

ShardHost::Async<void> ShardHost::FlushLoop() {
  for (;;) {
    co_await Sleep(context_.timing.flush_ms);
    std::vector<uint32_t> due;
    for (const auto& [id, shard] : shards_) {
      if (shard->role == Role::kOwner && !shard->unflushed.empty())
        due.push_back(id);
    }
    for (const uint32_t id : due) {
      try {
        co_await Flush(*shards_.at(id));
      } catch (const std::exception& e) {
        kLog.Debug() << "A flush failed: " << e.what();
        break;
      }
    }
  }
}

ShardHost::Async<void> ShardHost::Flush(Shard& shard) {
  std::vector<Record> group;
  size_t bytes = 0;
  for (const auto& [key, record] : shard.unflushed) {
    if (!group.empty() && bytes + record.value.size() > kFlushBytes) break;
    bytes += key.size() + record.value.size() + 64;
    group.push_back(record);
  }
  const std::string name = FlushPrefix(shard.id) +
                           std::to_string(Fence(shard.id)) + "-" +
                           std::to_string(context_.self.boot) + "-" +
                           std::to_string(++shard.flushes);
  const WriteReply reply =
      co_await context_.platform->Write(name, EncodeRecords(group), 0);
  if (reply.result != WriteResult::kWritten) co_return;
  context_.metrics->Add(Counter::kFlushes);
  shard.flushed_names.push_back(name);
  for (const Record& record : group) {
    const auto it = shard.unflushed.find(record.key);
    const bool same = it != shard.unflushed.end() &&
                      it->second.epoch == record.epoch &&
                      it->second.version == record.version;
    if (same) shard.unflushed.erase(it);
  }
  if (shard.flushed_names.size() > kCompactObjects && shard.unflushed.empty()) {
    co_await Compact(shard);
  }
}

// Writes the shard whole and removes the groups that the whole replaces.
ShardHost::Async<void> ShardHost::Compact(Shard& shard) {
  const std::vector<PlatformObject> old =
      co_await context_.platform->List(FlushPrefix(shard.id));
  const std::string stem = FlushPrefix(shard.id) +
                           std::to_string(Fence(shard.id)) + "-" +
                           std::to_string(context_.self.boot) + "-";
  const std::vector<Record> all = shard.replica->RecordList();
  std::vector<std::string> written;
  for (size_t next = 0; next < all.size();) {
    std::vector<Record> group;
    for (size_t bytes = 0; next < all.size() && bytes < kFlushBytes; ++next) {
      bytes += all[next].key.size() + all[next].value.size() + 64;
      group.push_back(all[next]);
    }
    const std::string name = stem + std::to_string(++shard.flushes);
    const WriteReply reply =
        co_await context_.platform->Write(name, EncodeRecords(group), 0);
    if (reply.result != WriteResult::kWritten) co_return;
    written.push_back(name);
  }
  // A later owner's objects are not ours to remove.
  if (shard.role != Role::kOwner) co_return;
  for (const PlatformObject& object : old)
    co_await context_.platform->Remove(object.name);
  shard.flushed_names = written;
}

// ---- A planned stop --------------------------------------------------------

ShardHost::Async<void> ShardHost::Leave(int64_t limit_ms) {
  const int64_t deadline_ms = NowMs() + limit_ms;
  while (NowMs() < deadline_ms) {
    bool holds = !Owned().empty();
    for (const auto& [id, shard] : shards_) {
      if (!shard->replica) continue;
      const std::vector<MemberList>& proposals = shard->replica->proposals();
      const MemberList& latest =
          proposals.empty() ? shard->replica->list() : proposals.back();
      holds = holds || Contains(latest.members, context_.self);
    }
    if (!holds) co_return;
    co_await Sleep(50);
  }
  kLog.Warn() << "Left before every shard was handed over.";
}

}  // namespace pimento
