// Gateway-side client of the archive: reserves and settles the tokens of turns
// and stores finished turns, each on a quorum of members, and reads histories.
//
// No host owns a program. A turn's tokens are reserved on a quorum before the
// turn runs. Any two quorums share a member, so of two concurrent turns at
// least one sees the other's reservation. With three turns, each can still miss
// another one; budget_rule.h explains how their sum stays within the budget.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/archive_rpc.h"
#include "src/boot_clock.h"
#include "src/budget_rule.h"
#include "src/chain_collector.h"
#include "src/member_health.h"
#include "src/member_list.h"

namespace pimento {

// The archive could not give a definite result, because too few members
// responded or its member list kept changing.
class ArchiveError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Members that are needed have no room for the record.
class ArchiveFullError : public ArchiveError {
 public:
  using ArchiveError::ArchiveError;
};

struct ArchiveClientOptions {
  // Availability zone of this gateway; its members are called first.
  std::string zone = {};
  // Timeout of a call to one member.
  std::chrono::milliseconds member_timeout{450};
};

class ArchiveClient {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  ArchiveClient(boost::asio::io_context& io, ConnectionPool& pool,
                ArchiveClientOptions options);

  // Replaces the member list if `list` is newer.
  void UpdateMembers(const MemberList& list);
  const MemberList& list() const { return *list_; }
  // False while too few members respond for a quorum, so that calls would fail.
  bool quorum_likely() const { return health_.QuorumLikely(*list_); }
  // Called for each reply with the member's host, the time for which an
  // answer of the store to that host has been overdue in milliseconds, and the
  // time at which the request was sent: the member reported the value no
  // earlier than that.
  using OnStoreReport =
      std::function<void(const std::string&, int64_t, BootClock::time_point)>;
  void set_on_store_report(OnStoreReport on_report) {
    on_store_report_ = std::move(on_report);
  }
  // Pings each suspect member whose probe is due.
  void Probe();

  // Reserves the tokens of a turn. Returns false if they exceed the program's
  // budget of `budget` tokens; the caller then withdraws the reservation by
  // settling it with 0 tokens. Throws ArchiveError.
  Async<bool> Reserve(TokenReservation reservation, uint64_t budget);
  // Replaces a turn's reservation with the tokens that it generated, 0 if it
  // did not run. Throws ArchiveError.
  Async<void> Settle(TokenReservation reservation);
  // Stores a turn; it is committed once this returns. Throws ArchiveError.
  Async<void> SaveTurn(TurnRecord record);
  // Returns a turn and its predecessors, oldest first, or nullopt if a quorum
  // of members confirms that the turn was never committed. Asks again with a
  // newer member list if one arrives meanwhile. Throws ArchiveError if neither
  // can be established.
  Async<std::optional<std::vector<TurnRecord>>> History(std::string turn,
                                                        std::string team);

 private:
  struct FanOut;
  using Body = decltype(ArchiveCall::body);
  // Which members are called: kQuorum calls the nearest members that form a
  // quorum, and the others once one of those fails or is slow; kAll calls all
  // at once. Suspect members are skipped in both.
  enum class Targets : uint8_t { kQuorum, kAll };
  // Sends `body` and waits for a quorum of replies. Retries with a newer member
  // list if a member rejects the current one as stale. Throws ArchiveError.
  Async<std::vector<ArchiveReply>> CallQuorum(const Body& body,
                                              Targets targets);
  // One attempt with `list`; returns early if a member rejects the list.
  Async<std::shared_ptr<FanOut>> CallQuorumOnce(
      std::shared_ptr<const MemberList> list, const Body& body,
      Targets targets);
  // Queries the members of `collector` under the list `list_version`, and takes
  // over a newer list from a member that rejects that one as stale.
  Async<void> CollectChain(ChainCollector& collector, uint64_t list_version,
                           std::string team);
  // Calls `member` in the background and adds the result to `fan_out`.
  void StartCall(const std::shared_ptr<FanOut>& fan_out,
                 const std::shared_ptr<const ArchiveCall>& call,
                 const ArchiveMember& member);
  // Replaces the member list by the one that a member sent, if it is newer. One
  // that cannot be read is logged and left out.
  void AdoptNewerList(const std::string& encoded);
  // All members: those that are not suspect first, within each group those of
  // this gateway's zone first.
  std::vector<ArchiveMember> NearestFirst() const;
  // Calls one member and records success or failure in `health_`. Throws
  // TransportError.
  Async<ArchiveReply> CallMember(ArchiveMember member, const ArchiveCall& call);

  boost::asio::io_context& io_;
  ArchiveClientOptions options_;
  ArchiveRpc rpc_;
  MemberHealth health_{{}};
  // Never null; replaced as a whole, so that calls in flight keep their list.
  std::shared_ptr<const MemberList> list_;
  OnStoreReport on_store_report_;
};

}  // namespace pimento
