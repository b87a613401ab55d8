// Runs the shard protocol on one host, which owns some shards and is a member
// of others.
//
// replica.h and shard_protocol.h decide what is accepted and committed. This
// class sends their requests, waits for the replies, and decides when to claim
// a shard, replace its members or hand it over. All of it runs on the one
// thread of `SchedulerContext::shards_io`, so there are no locks.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/ownership.h"
#include "src/peer_messages.h"
#include "src/platform_client.h"
#include "src/program_ledger.h"
#include "src/replica.h"
#include "src/scheduler_context.h"

namespace pimento {

// Callbacks that ShardHost makes when the ownership of a shard changes. Each
// takes the shard.
struct ShardHooks {
  // This host has become the owner.
  std::function<void(uint32_t)> gained;
  // This host has stopped being the owner.
  std::function<void(uint32_t)> lost;
  // Before a handover: waits until calls that must not be repeated have ended.
  std::function<boost::asio::awaitable<void>(uint32_t)> quiesce;
};

class ShardHost {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  explicit ShardHost(SchedulerContext& context);
  ~ShardHost();

  void Start(ShardHooks hooks);

  // True when this host owns the shard, also while it replaces members.
  bool Owns(uint32_t shard) const;
  // True when this host owns the shard and accepts new work for it.
  bool Admits(uint32_t shard) const;
  // Ledger() and Records() are valid only for shards that this host owns.
  ProgramLedger& Ledger(uint32_t shard);
  const std::map<std::string, Record>& Records(uint32_t shard) const;
  // Fencing token for upstreams: increases with every change of ownership.
  uint64_t FencingToken(uint32_t shard) const;
  // Time in milliseconds since 1970 until which a call without a record may
  // have run nevertheless, because two members were lost together and committed
  // records with them. 0 when no such loss is known.
  int64_t UncertainUntil(uint32_t shard) const;

  // Returns once a quorum holds `records` and the ledger has applied them.
  // Throws Refusal: kNotOwner (nothing was sent), kFenced or
  // kRecordNotCommitted (the records may or may not survive).
  Async<void> Commit(uint32_t shard, std::vector<Record> records);
  // Returns once a quorum has accepted this owner after the start of the call:
  // the owner had then not been superseded when the call began, so its ledger
  // was not stale. Throws like Commit().
  Async<void> ConfirmOwnership(uint32_t shard);

  // Handlers of the requests of other members.
  AppendReply OnAppend(const AppendRequest& request);
  SealReply OnSeal(const SealRequest& request);
  Async<bool> OnTakeOver(TakeOverRequest request);

  std::vector<OwnedShard> Owned() const;
  // Number of owned shards with fewer than three live members that hold all
  // records.
  size_t UnderReplicated() const;
  // Returns once every shard is handed over and this host is no longer a member
  // of any, or after `limit_ms`. The context's `leaving` must be set.
  Async<void> Leave(int64_t limit_ms);
  // Size of the replicas on this host, of its own shards and of others: bytes
  // are those of keys and values.
  struct StorageTotals {
    size_t shards = 0;
    size_t records = 0;
    size_t bytes = 0;
  };
  StorageTotals storage_totals() const;

 private:
  struct Shard;
  struct Pending;
  struct ClaimRun;
  struct AppendRun;
  enum class Role;

  Shard& FindOrCreate(uint32_t shard);
  // Returns nullptr for a shard that this host has no state for.
  const Shard* Find(uint32_t shard) const;
  Replica& ReplicaOf(Shard& shard);

  Async<void> TickLoop();
  void ReconcileShard(Shard& shard);
  void MaintainOwned(Shard& shard, const HostView& view,
                     const Document& document);
  void WatchOwnerless(Shard& shard, const HostView& view,
                      const Document& document);
  Async<void> RunExclusive(Shard& shard, std::function<Async<bool>()> work);

  Async<bool> ClaimOwnerless(Shard& shard);
  Async<bool> CreateOrRecover(Shard& shard);
  Async<bool> Create(Shard& shard);
  Async<bool> RecoverFromFlush(Shard& shard, PlatformObject object,
                               Ownership present);
  Async<bool> Replace(Shard& shard, std::vector<Member> wanted);
  Async<bool> IsReachable(Member member);
  Async<bool> HandOver(Shard& shard, Member to);
  std::vector<Member> MembersWithSelf(uint32_t shard,
                                      const std::vector<Member>& present);
  Async<bool> WriteOwnership(Shard& shard, Ownership wanted,
                             uint64_t if_version);
  Async<void> PublishOwnership(Shard& shard);

  Async<bool> TakeOver(Shard& shard, Epoch epoch, MemberList known,
                       std::vector<Member> wanted, bool granted_by_platform);
  Async<bool> Install(Shard& shard, Epoch epoch, MemberList list,
                      std::map<std::string, Record> records);
  Async<void> SendSeal(std::shared_ptr<ClaimRun> run, SealRequest request);
  Async<void> SendAppend(std::shared_ptr<AppendRun> run, AppendRequest request);

  Async<void> SendLoop(Shard& shard);
  Async<bool> SendBatch(Shard& shard, std::vector<Record> records);
  bool ApplyCommitted(Shard& shard, const std::vector<Record>& records);
  void AssignVersions(Shard& shard, std::vector<Record>& records);
  void StepDown(Shard& shard, const std::string& why);
  void FailQueue(Shard& shard, Reason reason);

  Async<void> FlushLoop();
  Async<void> Flush(Shard& shard);
  Async<void> Compact(Shard& shard);

  std::string NextNonce();

  SchedulerContext& context_;
  ShardHooks hooks_;
  std::map<uint32_t, std::unique_ptr<Shard>> shards_;
  uint64_t nonce_count_ = 0;
  // When `fleet_` last changed.
  int64_t fleet_changed_ms_ = 0;
  // The members that may hold shards, sorted.
  std::vector<Member> fleet_;
  int64_t last_rebalance_ms_ = 0;
};

}  // namespace pimento
