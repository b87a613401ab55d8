// A gateway's side of the archive: begins and ends turns against a quorum of
// its members.
//
// Nobody owns a program. A turn's tokens are reserved at a quorum before it
// runs, and any two quorums share a member, so of two turns at least one sees
// the other. That alone lets three turns each miss another one; how the sum is
// still bounded is told in budget_rule.h.
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
#include "src/member_health.h"
#include "src/member_list.h"

namespace pimento {

// The archive cannot say for certain: too few members answered.
class ArchiveError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ArchiveClientOptions {
  std::string zone = {};
  std::chrono::milliseconds member_timeout{450};
};

class ArchiveClient {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  ArchiveClient(boost::asio::io_context& io, ConnectionPool& pool,
                ArchiveClientOptions options);

  // Takes a list unless a newer one is known.
  void Adopt(const MemberList& list);
  const MemberList& list() const { return *list_; }
  // False while too few members answer: turns would be refused.
  bool quorum_likely() const { return health_.QuorumLikely(*list_); }
  // Called with each reply: the member's host, how long the store has not
  // answered it, and a time before which that was not yet said.
  using OnStoreReport =
      std::function<void(const std::string&, int64_t, BootClock::time_point)>;
  void set_on_store_report(OnStoreReport on_report) {
    on_store_report_ = std::move(on_report);
  }
  // Asks suspect members whether they are back.
  void Probe();

  // Reserves `tokens` for a turn. Returns false when the program's budget does
  // not hold them; the reservation is then withdrawn. Throws ArchiveError.
  Async<bool> Reserve(TokenReservation reservation, uint64_t budget);
  // Tells what a turn used; 0 for one that did not run. Throws ArchiveError.
  Async<void> Settle(TokenReservation reservation);
  // Keeps a turn; it counts once this returns. Throws ArchiveError.
  Async<void> SaveTurn(TurnRecord record);
  // A turn and those before it, oldest first; nothing when a quorum denies it.
  // Throws ArchiveError when that is not certain.
  Async<std::optional<std::vector<TurnRecord>>> History(std::string turn,
                                                        std::string team);

 private:
  struct FanOut;
  using Body = decltype(ArchiveCall::body);
  // Whom a call goes to: the nearest members that make a quorum, and the others
  // once one of those is late; or all at once.
  enum class Targets : uint8_t { kQuorum, kAll };
  // Sends `body` and waits for a quorum of replies.
  Async<std::vector<ArchiveReply>> CallQuorum(const Body& body,
                                              Targets targets);
  Async<std::shared_ptr<FanOut>> CallQuorumOnce(
      std::shared_ptr<const MemberList> list, const Body& body,
      Targets targets);
  void StartCall(const std::shared_ptr<FanOut>& fan_out,
                 const std::shared_ptr<const ArchiveCall>& call,
                 const ArchiveMember& member);
  // Members of the own zone first, suspect ones last.
  std::vector<ArchiveMember> NearestFirst() const;
  // Calls one member and notes whether it answers. Throws TransportError.
  Async<ArchiveReply> CallMember(ArchiveMember member, const ArchiveCall& call);

  boost::asio::io_context& io_;
  ArchiveClientOptions options_;
  ArchiveRpc rpc_;
  MemberHealth health_{{}};
  std::shared_ptr<const MemberList> list_;
  OnStoreReport on_store_report_;
};

}  // namespace pimento
