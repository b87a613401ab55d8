// Runs the shard protocol on one host: owner of some shards, member of others.
//
// Decisions come from replica.h and shard_protocol.h; this file sends their
// requests, waits, and decides when to claim, replace and hand over. All of it
// runs on the shards duty, so there are no locks.
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

// What the owner-side parts do when shards come and go.
struct ShardHooks {
  std::function<void(uint32_t)> gained;
  std::function<void(uint32_t)> lost;
  // Waits until calls that must not repeat are over, for a hand-over.
  std::function<boost::asio::awaitable<void>(uint32_t)> quiesce;
};

class ShardHost {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  explicit ShardHost(SchedulerContext& context);
  ~ShardHost();

  void Start(ShardHooks hooks);

  bool Owns(uint32_t shard) const;
  // True when this host owns the shard and takes new work for it.
  bool Admits(uint32_t shard) const;
  // Only for shards that this host owns.
  ProgramLedger& Ledger(uint32_t shard);
  const std::map<std::string, Record>& Records(uint32_t shard) const;
  // Grows with every change of ownership: a fencing number for upstreams.
  uint64_t Fence(uint32_t shard) const;
  // Time until which calls that left no record may have run all the same,
  // because two members were lost together, milliseconds since 1970; or 0.
  int64_t UncertainUntil(uint32_t shard) const;

  // Returns once a quorum holds `records`, which the ledger then shows. Throws
  // Refusal: kNotOwner (nothing happened), kFenced or kRecordNotCommitted (the
  // records may or may not survive).
  Async<void> Commit(uint32_t shard, std::vector<Record> records);
  // Returns once a member has accepted this owner after now: what the ledger
  // says is then no stale owner's word. Throws like Commit().
  Async<void> Confirm(uint32_t shard);

  AppendReply OnAppend(const AppendRequest& request);
  SealReply OnSeal(const SealRequest& request);
  Async<bool> OnTakeOver(TakeOverRequest request);

  std::vector<OwnedShard> Owned() const;
  // Owned shards of which fewer than three live members hold everything.
  size_t Short() const;
  // Hands over every shard and waits to be replaced as a member elsewhere.
  Async<void> Leave(int64_t limit_ms);
  // Memory held for other owners and own shards: records and their bytes.
  struct Held {
    size_t shards = 0;
    size_t records = 0;
    size_t bytes = 0;
  };
  Held held() const;

 private:
  struct Shard;
  struct Pending;
  struct ClaimRun;
  struct RoundRun;
  enum class Role;

  Shard& Slot(uint32_t shard);
  const Shard* Find(uint32_t shard) const;
  Replica& ReplicaOf(Shard& shard);

  Async<void> TickLoop();
  void Decide(Shard& shard);
  void Maintain(Shard& shard, const HostView& view, const Document& document);
  void WatchHeadless(Shard& shard, const HostView& view,
                     const Document& document);
  Async<void> Guard(Shard& shard, std::function<Async<bool>()> work);

  Async<bool> ClaimHeadless(Shard& shard);
  Async<bool> CreateOrRecover(Shard& shard);
  Async<bool> Create(Shard& shard);
  Async<bool> RecoverFromFlush(Shard& shard, PlatformObject object,
                               Ownership present);
  Async<bool> Replace(Shard& shard, std::vector<Member> wanted);
  Async<bool> Reaches(Member member);
  Async<bool> HandOver(Shard& shard, Member to);
  std::vector<Member> WantedAround(uint32_t shard,
                                   const std::vector<Member>& present);
  Async<bool> WriteOwnership(Shard& shard, Ownership wanted,
                             uint64_t if_version);
  Async<void> Publish(Shard& shard);

  Async<bool> TakeOver(Shard& shard, Epoch epoch, MemberList known,
                       std::vector<Member> wanted, bool granted_by_platform);
  Async<bool> Install(Shard& shard, Epoch epoch, MemberList list,
                      std::map<std::string, Record> records);
  Async<void> SendSeal(std::shared_ptr<ClaimRun> run, SealRequest request);
  Async<void> SendAppend(std::shared_ptr<RoundRun> run, AppendRequest request);

  Async<void> SendLoop(Shard& shard);
  Async<bool> SendBatch(Shard& shard, std::vector<Record> records);
  bool ShowCounted(Shard& shard, const std::vector<Record>& records);
  void Stamp(Shard& shard, std::vector<Record>& records);
  void StepDown(Shard& shard, const std::string& why);
  void FailQueue(Shard& shard, Reason reason);

  Async<void> FlushLoop();
  Async<void> Flush(Shard& shard);
  Async<void> Compact(Shard& shard);

  std::string Nonce();

  SchedulerContext& context_;
  ShardHooks hooks_;
  std::map<uint32_t, std::unique_ptr<Shard>> shards_;
  uint64_t nonces_ = 0;
  // When the set of candidates last changed.
  int64_t fleet_changed_ms_ = 0;
  std::vector<Member> fleet_;
  int64_t last_rebalance_ms_ = 0;
};

}  // namespace pimento
