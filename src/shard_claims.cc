// ShardHost: changes of owner and members by claim, replacement and handover.
#include <boost/json.hpp>
#include <utility>

#include "src/errors.h"
#include "src/log.h"
#include "src/peer_client.h"
#include "src/placement.h"
#include "src/platform_client.h"
#include "src/shard_host.h"
#include "src/shard_host_state.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

namespace json = boost::json;

using Internal::Contains;
using Internal::FlushPrefix;
using Internal::kClaimBackoffMs;
using Internal::kLossKey;

const Log kLog("shard");

// Records hold the answers of upstreams, which may be any bytes.
json::parse_options AnyBytes() {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  return options;
}

}  // namespace

// ---- Claims ----------------------------------------------------------------

std::string ShardHost::NextNonce() {
  return context_.self.host + "-" + std::to_string(context_.self.boot) + "-" +
         std::to_string(++nonce_count_);
}

// Returns whether `wanted` is now in the platform. When the reply to the write
// is lost, the object is read back and its nonce decides.
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

// Claims a shard of which this host is a member and whose owner is lost. The
// platform grants the epoch. While the platform cannot be reached, only the
// standby and the last owner may claim, at the next minor epoch.
ShardHost::Async<bool> ShardHost::ClaimOwnerless(Shard& shard) {
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
    claimed = MakePlatformClaim(claimed, context_.self, NextNonce());
    if (known.since > claimed.list.since) claimed.list = known;
    const bool written =
        co_await WriteOwnership(shard, claimed, object ? object->version : 0);
    if (!written) co_return false;
    epoch = claimed.epoch;
  } catch (const PlatformError&) {
    platform_up = false;
  }
  if (!platform_up) {
    const bool standby =
        known.members.size() > 1 && known.members[1] == context_.self;
    if (!standby && replica.holder() != context_.self) co_return false;
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

// Runs on the first proposed member of a shard that has no owner and that no
// member claims.
ShardHost::Async<bool> ShardHost::CreateOrRecover(Shard& shard) {
  const std::optional<PlatformObject> object =
      co_await context_.platform->Read(OwnershipName(shard.id));
  if (!object) co_return co_await Create(shard);
  const Ownership present = DecodeOwnership(object->body);
  const auto view = context_.view.load();
  const auto environment = context_.environment.load();
  // Members that are only silent may resume with their records. A recovery from
  // the platform starts only when so many members are certainly lost that no
  // quorum is left.
  size_t lost_members = 0;
  for (const Member& member : present.list.members) {
    const bool lost = environment->document.lost_hosts.contains(member.host);
    if (view->Restarted(member) || lost) ++lost_members;
  }
  if (present.list.members.size() - lost_members >= kQuorum) co_return false;
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
                    .nonce = NextNonce()};
  const bool written = co_await WriteOwnership(shard, created, 0);
  if (!written) co_return false;
  co_return co_await TakeOver(shard, epoch, created.list, members, true);
}

// Recovers a shard that lost two of its three members and their memory: from
// the flushed records in the platform, and from the third member if it answers.
// Calls whose records are lost have an unknown outcome.
ShardHost::Async<bool> ShardHost::RecoverFromFlush(Shard& shard,
                                                   PlatformObject object,
                                                   Ownership present) {
  const auto environment = context_.environment.load();
  const auto view = context_.view.load();
  const std::vector<Member> members =
      ProposeMembers(shard.id, view->Candidates(environment->document));
  if (members.size() < kQuorum || members.front() != context_.self)
    co_return false;
  Ownership claimed = MakePlatformClaim(present, context_.self, NextNonce());
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
    MergeRecords(json::value_to<std::vector<Record>>(
                     json::parse(body->body, {}, AnyBytes())),
                 records);
  }
  // The third member may be alive and hold records that were not flushed.
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
  co_await run->changed.Wait(context_.timing.rpc_timeout_ms);
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

// Changes the members; the owner stays.
ShardHost::Async<bool> ShardHost::Replace(Shard& shard,
                                          std::vector<Member> wanted) {
  const Epoch epoch{.major = shard.epoch.major, .minor = shard.epoch.minor + 1};
  const MemberList known = shard.list;
  const bool done =
      co_await TakeOver(shard, epoch, known, std::move(wanted), false);
  if (done) context_.metrics->Add(Counter::kReplacements);
  co_return done;
}

// Checks the direct link to `member` before a handover stops calls: gossip may
// report `member` as alive, through other hosts, while the link to it is down.
ShardHost::Async<bool> ShardHost::IsReachable(Member member) {
  const std::string address = context_.AddressOf(member.host);
  try {
    co_return co_await context_.peers->Probe(address, "",
                                             context_.timing.rpc_timeout_ms);
  } catch (const TransportError& e) {
    kLog.Warn() << "No shard is handed over to " << member.host
                << " while it cannot be reached: " << e.what();
    context_.peer_relays.OnCallFailed(address, NowMs());
  }
  co_return false;
}

// Hands the shard over to `to` by consent. No call is lost: calls that must not
// be repeated end first, and the new owner resumes the others.
ShardHost::Async<bool> ShardHost::HandOver(Shard& shard, Member to) {
  const bool reached = co_await IsReachable(to);
  if (!reached || shard.role != Role::kOwner) co_return false;
  shard.admits = false;
  co_await hooks_.quiesce(shard.id);
  if (shard.role != Role::kOwner) co_return false;
  const Epoch epoch{.major = shard.epoch.major, .minor = shard.epoch.minor + 1};
  // With this consent, `to` can seal this member as well as itself: a quorum.
  shard.replica->ConsentTo(to);
  TakeOverRequest request{.shard = shard.id,
                          .epoch = epoch,
                          .holder = context_.self,
                          .list = shard.list};
  try {
    const bool taken = co_await context_.peers->TakeOver(
        context_.AddressOf(to.host), request,
        context_.timing.claim_timeout_ms + context_.timing.rpc_timeout_ms);
    if (taken) {
      kLog.Info() << "Handed shard " << shard.id << " over to " << to.host
                  << ".";
    }
    shard.admits = true;
    co_return taken;
  } catch (const TransportError& e) {
    kLog.Warn() << "Shard " << shard.id << " was not handed over: " << e.what();
    context_.peer_relays.OnCallFailed(context_.AddressOf(to.host), NowMs());
  }
  shard.admits = true;
  co_return false;
}

ShardHost::Async<bool> ShardHost::TakeOver(Shard& shard, Epoch epoch,
                                           MemberList known,
                                           std::vector<Member> wanted,
                                           bool granted_by_platform) {
  // Waits for the batch in flight: no records are sent while the members
  // change.
  shard.paused = true;
  while (shard.sending) co_await Sleep(1);
  shard.paused = false;
  const bool was_owner = shard.role == Role::kOwner;
  shard.role = was_owner ? Role::kReplacing : Role::kClaiming;
  ClaimOptions options{.shard = shard.id,
                       .self = context_.self,
                       .epoch = epoch,
                       .known = std::move(known),
                       .wanted = std::move(wanted),
                       .granted_by_platform = granted_by_platform};
  auto run = std::make_shared<ClaimRun>(std::move(options));
  const int64_t deadline_ms = NowMs() + context_.timing.claim_timeout_ms;
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
      shard.role == Role::kClaiming || shard.role == Role::kReplacing;
  if (!installed && undecided) StepDown(shard, "the claim failed");
  co_return installed;
}

ShardHost::Async<void> ShardHost::SendSeal(std::shared_ptr<ClaimRun> run,
                                           SealRequest request) {
  const Member target = request.target;
  try {
    SealReply reply;
    if (target == context_.self) {
      reply = ReplicaOf(FindOrCreate(request.shard)).Seal(request);
    } else {
      reply = co_await context_.peers->Seal(context_.AddressOf(target.host),
                                            std::move(request),
                                            context_.timing.rpc_timeout_ms);
    }
    run->claim.OnReply(target, reply);
  } catch (const TransportError& e) {
    // A member that does not answer is not sealed. The others may be a quorum.
    kLog.Debug() << "A seal request failed: " << e.what();
  }
  run->changed.Notify();
}

ShardHost::Async<void> ShardHost::SendAppend(std::shared_ptr<AppendRun> run,
                                             AppendRequest request) {
  const Member target = request.target;
  try {
    AppendReply reply;
    if (target == context_.self) {
      reply = ReplicaOf(FindOrCreate(request.shard)).Append(request);
    } else {
      reply = co_await context_.peers->Append(context_.AddressOf(target.host),
                                              std::move(request),
                                              context_.timing.rpc_timeout_ms);
    }
    run->round.OnReply(target, reply, run->epoch);
  } catch (const TransportError& e) {
    // The others may be a quorum; otherwise the batch is not committed.
    kLog.Debug() << "An append request failed: " << e.what();
  }
  run->changed.Notify();
}

// Appends all `records` to the members of `list`. Once a quorum holds them,
// this host is the owner and serves the shard.
ShardHost::Async<bool> ShardHost::Install(
    Shard& shard, Epoch epoch, MemberList list,
    std::map<std::string, Record> records) {
  std::vector<Record> all;
  for (const auto& [key, record] : records) all.push_back(record);
  auto run = std::make_shared<AppendRun>(list, epoch);
  for (AppendRequest& request :
       MakeAppends(shard.id, epoch, context_.self, list, all,
                   /*replace_all=*/true, /*number=*/0)) {
    Spawn(*context_.shards_io, "shard", SendAppend(run, std::move(request)));
  }
  const int64_t deadline_ms = NowMs() + context_.timing.claim_timeout_ms;
  while (!run->round.Committed() && !run->round.Fenced() &&
         NowMs() < deadline_ms) {
    co_await run->changed.Wait(50);
  }
  if (run->round.Committed() && !run->round.HeldByAll()) {
    co_await run->changed.Wait(context_.timing.append_grace_ms);
  }
  const Replica& replica = ReplicaOf(shard);
  const bool current =
      replica.sealed() == epoch && replica.holder() == context_.self;
  if (!run->round.Committed() || run->round.Fenced() || !current)
    co_return false;
  shard.epoch = epoch;
  shard.list = list;
  shard.version = 0;
  shard.appends = 0;
  shard.lagging.clear();
  shard.missing_since_ms.clear();
  for (const Member& member : list.members) {
    if (!Contains(run->round.holders(), member))
      shard.lagging[member] = NowMs();
  }
  // A new owner resumes the calls of the former one from the records. After a
  // replacement of members this owner's calls continue.
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

// Brings the ownership object in the platform up to date after a change that
// was made without it.
ShardHost::Async<void> ShardHost::PublishOwnership(Shard& shard) {
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
                     .nonce = NextNonce()};
    const bool written =
        co_await WriteOwnership(shard, wanted, object ? object->version : 0);
    if (!written) shard.publish_due = true;
  } catch (const PlatformError&) {
    shard.publish_due = true;
  }
  shard.next_attempt_ms = NowMs() + kClaimBackoffMs;
}

}  // namespace pimento
