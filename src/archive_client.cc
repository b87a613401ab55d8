#include "src/archive_client.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "src/background_loop.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/loop_clock.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// GCC 12 destroys some temporaries of a co_await expression twice, so calls are
// built in named variables before they are awaited.

constexpr int kMaxListAttempts = 4;
constexpr milliseconds kListRetryDelay{60};
// The remaining members are called once a member takes longer than this.
constexpr milliseconds kHedgeDelay{40};

}  // namespace

// State of one call that is sent to several members.
struct ArchiveClient::FanOut {
  explicit FanOut(asio::io_context& io)
      : wakeup(io, steady_clock::time_point::max()) {}
  // Cancelled to wake the waiting coroutine after each completed call.
  asio::steady_timer wakeup;
  // Successful replies by member id.
  std::map<uint64_t, ArchiveReply> replies;
  size_t in_flight = 0;
  // True when a member rejected the call's member list as stale.
  bool stale_list = false;
  // True when a call failed, so that the remaining members are needed.
  bool member_failed = false;
  // Whether a member had no room for the record.
  bool full = false;
  // The encoded list sent by the member that rejected the call's list; may be
  // empty.
  std::string newer_list;
};

ArchiveClient::ArchiveClient(asio::io_context& io, ConnectionPool& pool,
                             ArchiveClientOptions options)
    : io_(io),
      options_(std::move(options)),
      rpc_(pool),
      list_(std::make_shared<MemberList>()) {}

void ArchiveClient::UpdateMembers(const MemberList& list) {
  if (list.version <= list_->version) return;
  list_ = std::make_shared<MemberList>(list);
  EventLine(Event::kMembersChanged)
      .Number("version", static_cast<int64_t>(list.version))
      .Number("members", static_cast<int64_t>(list.members.size()))
      .Number("next", static_cast<int64_t>(list.next.size()));
}

void ArchiveClient::AdoptNewerList(const std::string& encoded) {
  if (encoded.empty()) return;
  try {
    UpdateMembers(DecodeMemberList(encoded));
  } catch (const StateError& e) {
    EventLine(Event::kHandlerFailed)
        .Text("task", "member list of an archive")
        .Text("error", e.what());
  }
}

std::vector<ArchiveMember> ArchiveClient::NearestFirst() const {
  auto members = list_->All();
  std::stable_partition(members.begin(), members.end(),
                        [this](const ArchiveMember& member) {
                          return member.zone == options_.zone;
                        });
  std::stable_partition(members.begin(), members.end(),
                        [this](const ArchiveMember& member) {
                          return !health_.IsSuspect(member.id);
                        });
  return members;
}

asio::awaitable<ArchiveReply> ArchiveClient::CallMember(
    ArchiveMember member, const ArchiveCall& call) {
  std::string failure;
  const auto sent_at = BootClock::now();
  try {
    ArchiveReply reply =
        co_await rpc_.Call(member.address, call, options_.member_timeout);
    if (health_.IsSuspect(member.id))
      EventLine(Event::kDependencyRegained)
          .Text("dependency", "archive")
          .Text("member", member.host);
    health_.RecordSuccess(member.id);
    if (on_store_report_)
      on_store_report_(member.host, reply.store_overdue_ms, sent_at);
    co_return reply;
  } catch (const TransportError& e) {
    failure = e.what();
  }
  if (!health_.IsSuspect(member.id))
    EventLine(Event::kDependencyLost)
        .Text("dependency", "archive")
        .Text("member", member.host)
        .Text("error", failure);
  health_.RecordFailure(member.id, SteadyMs());
  throw TransportError(failure);
}

void ArchiveClient::Probe() {
  for (const ArchiveMember& member : list_->All()) {
    if (!health_.IsSuspect(member.id) ||
        !health_.AllowCall(member.id, SteadyMs()))
      continue;
    RunTask(io_, "archive probe", [this, member]() -> asio::awaitable<void> {
      ArchiveCall ping;
      ping.list_version = list_->version;
      try {
        co_await CallMember(member, ping);
      } catch (const TransportError&) {
        // Still suspect; CallMember() logged the first failure.
      }
    });
  }
}

void ArchiveClient::StartCall(const std::shared_ptr<FanOut>& fan_out,
                              const std::shared_ptr<const ArchiveCall>& call,
                              const ArchiveMember& member) {
  ++fan_out->in_flight;
  RunTask(io_, "archive call",
          [this, fan_out, call, member]() -> asio::awaitable<void> {
            try {
              ArchiveReply reply = co_await CallMember(member, *call);
              if (reply.verdict == ArchiveVerdict::kStaleList) {
                fan_out->stale_list = true;
                fan_out->newer_list = reply.members;
              } else if (reply.verdict == ArchiveVerdict::kDone &&
                         reply.member == member.id) {
                fan_out->replies.emplace(member.id, std::move(reply));
              } else {
                fan_out->member_failed = true;
                fan_out->full |= reply.verdict == ArchiveVerdict::kFull;
              }
            } catch (const TransportError&) {
              // CallMember() logged the failure; other members may make the
              // quorum.
              fan_out->member_failed = true;
            } catch (...) {
              // Of any type: the call waits until no member is left in flight.
              LogEscaped("archive call", std::current_exception());
              fan_out->member_failed = true;
            }
            --fan_out->in_flight;
            fan_out->wakeup.cancel();
          });
}

asio::awaitable<std::shared_ptr<ArchiveClient::FanOut>>
ArchiveClient::CallQuorumOnce(std::shared_ptr<const MemberList> list,
                              const Body& body, Targets targets) {
  auto fan_out = std::make_shared<FanOut>(io_);
  auto call = std::make_shared<ArchiveCall>();
  call->list_version = list->version;
  call->body = body;
  std::vector<ArchiveMember> backups;
  std::set<uint64_t> called;
  for (const ArchiveMember& member : NearestFirst()) {
    if (health_.IsSuspect(member.id)) continue;
    if (targets == Targets::kQuorum && list->IsQuorum(called)) {
      backups.push_back(member);
      continue;
    }
    called.insert(member.id);
    StartCall(fan_out, call, member);
  }
  const auto enough = [&] {
    std::set<uint64_t> answered;
    for (const auto& [id, reply] : fan_out->replies) answered.insert(id);
    return list->IsQuorum(answered);
  };
  const LoopClock& clock = LoopClock::Of(io_);
  const PeerTime hedge_at = clock.Now() + kHedgeDelay;
  while (!fan_out->stale_list && !enough()) {
    const bool call_backups = fan_out->member_failed ||
                              fan_out->in_flight == 0 ||
                              clock.Now() >= hedge_at;
    if (call_backups) {
      for (const ArchiveMember& member : backups)
        StartCall(fan_out, call, member);
      backups.clear();
    }
    if (fan_out->in_flight == 0) break;
    fan_out->wakeup.expires_at(backups.empty() ? steady_clock::time_point::max()
                                               : steady_clock::now() +
                                                     (hedge_at - clock.Now()));
    boost::system::error_code ignored;  // woken by cancellation
    co_await fan_out->wakeup.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!fan_out->stale_list && !enough()) {
    if (fan_out->full)
      throw ArchiveFullError(
          "Members of the archive have no room for the record.");
    throw ArchiveError(std::to_string(fan_out->replies.size()) + " of " +
                       std::to_string(list->All().size()) +
                       " members of the archive responded.");
  }
  co_return fan_out;
}

asio::awaitable<std::vector<ArchiveReply>> ArchiveClient::CallQuorum(
    const Body& body, Targets targets) {
  for (int round = 0; round < kMaxListAttempts; ++round) {
    const auto list = list_;
    if (list->members.empty())
      throw ArchiveError("The member list of the archive is not known yet.");
    if (!quorum_likely())
      throw ArchiveError("Too few members of the archive respond.");
    const auto fan_out = co_await CallQuorumOnce(list, body, targets);
    if (!fan_out->stale_list) {
      std::vector<ArchiveReply> replies;
      for (auto& [id, reply] : fan_out->replies) replies.push_back(reply);
      co_return replies;
    }
    AdoptNewerList(fan_out->newer_list);
    if (list_ != list) continue;
    asio::steady_timer pause(io_, kListRetryDelay);
    co_await pause.async_wait(asio::use_awaitable);
  }
  throw ArchiveError("The member list of the archive keeps changing.");
}

asio::awaitable<bool> ArchiveClient::Reserve(TokenReservation reservation,
                                             uint64_t budget) {
  std::vector<std::vector<TokenReservation>> reads;
  const Body reserve = reservation;
  const auto first = co_await CallQuorum(reserve, Targets::kQuorum);
  for (const auto& reply : first) reads.push_back(reply.reservations);
  BudgetDecision decision = DecideFirstRead(VisibleTokens(reads), budget);
  if (decision == BudgetDecision::kReadAgain) {
    const Body collect = CollectCall{reservation.program};
    const auto again = co_await CallQuorum(collect, Targets::kQuorum);
    for (const auto& reply : again) reads.push_back(reply.reservations);
    decision = DecideSecondRead(VisibleTokens(reads), budget);
  }
  co_return decision == BudgetDecision::kFits;
}

asio::awaitable<void> ArchiveClient::Settle(TokenReservation reservation) {
  reservation.settled = true;
  const Body settle = std::move(reservation);
  co_await CallQuorum(settle, Targets::kQuorum);
}

asio::awaitable<void> ArchiveClient::SaveTurn(TurnRecord record) {
  const Body keep = std::move(record);
  co_await CallQuorum(keep, Targets::kAll);
}

asio::awaitable<void> ArchiveClient::CollectChain(ChainCollector& collector,
                                                  uint64_t list_version,
                                                  std::string team) {
  while (const auto member = collector.Next()) {
    ArchiveCall call;
    call.list_version = list_version;
    call.body = HistoryCall{collector.wanted(), team};
    ArchiveReply reply;
    try {
      reply = co_await CallMember(*member, call);
    } catch (const TransportError&) {
      continue;  // ask the next member; the failure was logged
    }
    if (reply.verdict == ArchiveVerdict::kStaleList) {
      AdoptNewerList(reply.members);
      continue;
    }
    if (reply.verdict != ArchiveVerdict::kDone || reply.member != member->id)
      continue;
    collector.AddReply(member->id, std::move(reply.turns), reply.missing,
                       reply.intact);
  }
}

asio::awaitable<std::optional<std::vector<TurnRecord>>> ArchiveClient::History(
    std::string turn, std::string team) {
  std::string missing;
  for (int round = 0; round < kMaxListAttempts; ++round) {
    if (!quorum_likely())
      throw ArchiveError("Too few members of the archive respond.");
    const auto list = list_;
    ChainCollector collector(*list, NearestFirst(), turn);
    co_await CollectChain(collector, list->version, team);
    if (collector.circular())
      throw ArchiveError("Turn " + collector.circular_turn() +
                         " was found among its own predecessors.");
    if (collector.complete()) co_return std::move(collector).Turns();
    if (collector.proven_absent()) co_return std::nullopt;
    missing = collector.wanted();
    if (list_ == list) break;
  }
  throw ArchiveError("Turn " + missing +
                     " was not found, but too few members of the archive "
                     "responded to confirm that it does not exist.");
}

}  // namespace pimento
