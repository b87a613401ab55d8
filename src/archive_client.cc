#include "src/archive_client.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "src/chain_collector.h"
#include "src/errors.h"
#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// GCC 12 destroys some temporaries of a co_await expression twice: calls are
// built in variables of their own before they are awaited.

constexpr int kListChanges = 4;
constexpr milliseconds kListPause{60};
// A member that takes longer is late: the others are asked too.
constexpr milliseconds kLateAfter{40};

}  // namespace

// Replies to one call, as they come in.
struct ArchiveClient::Gather {
  explicit Gather(asio::io_context& io)
      : bell(io, steady_clock::time_point::max()) {}
  asio::steady_timer bell;
  std::map<uint64_t, ArchiveReply> done;
  size_t open = 0;
  bool stale = false;
  // True when a member failed, so that the others are needed.
  bool lacking = false;
  std::string newer_list;
};

ArchiveClient::ArchiveClient(asio::io_context& io, ConnectionPool& pool,
                             ArchiveClientOptions options)
    : io_(io),
      options_(std::move(options)),
      rpc_(pool),
      list_(std::make_shared<MemberList>()) {}

void ArchiveClient::Adopt(const MemberList& list) {
  if (list.version <= list_->version) return;
  list_ = std::make_shared<MemberList>(list);
  EventLine(Event::kMembersChanged)
      .Number("version", static_cast<int64_t>(list.version))
      .Number("members", static_cast<int64_t>(list.members.size()))
      .Number("next", static_cast<int64_t>(list.next.size()));
}

std::vector<ArchiveMember> ArchiveClient::NearestFirst() const {
  auto members = list_->All();
  std::stable_partition(members.begin(), members.end(),
                        [this](const ArchiveMember& member) {
                          return member.zone == options_.zone;
                        });
  std::stable_partition(members.begin(), members.end(),
                        [this](const ArchiveMember& member) {
                          return !health_.Suspect(member.id);
                        });
  return members;
}

asio::awaitable<ArchiveReply> ArchiveClient::CallMember(
    ArchiveMember member, const ArchiveCall& call) {
  std::string failure;
  const auto asked = BootClock::now();
  try {
    ArchiveReply reply =
        co_await rpc_.Call(member.address, call, options_.member_limit);
    if (health_.Suspect(member.id))
      EventLine(Event::kDependencyRegained)
          .Text("dependency", "archive")
          .Text("member", member.host);
    health_.Answered(member.id);
    if (on_store_word_)
      on_store_word_(member.host, reply.store_silent_ms, asked);
    co_return reply;
  } catch (const TransportError& e) {
    failure = e.what();
  }
  if (!health_.Suspect(member.id))
    EventLine(Event::kDependencyLost)
        .Text("dependency", "archive")
        .Text("member", member.host)
        .Text("error", failure);
  health_.Failed(member.id, SteadyMs());
  throw TransportError(failure);
}

void ArchiveClient::Probe() {
  for (const ArchiveMember& member : list_->All()) {
    if (!health_.Suspect(member.id) || !health_.TakeTurn(member.id, SteadyMs()))
      continue;
    asio::co_spawn(
        io_,
        [this, member]() -> asio::awaitable<void> {
          ArchiveCall ping;
          ping.list_version = list_->version;
          try {
            co_await CallMember(member, ping);
          } catch (const TransportError&) {
            // The first failure was logged; the member stays suspect.
          }
        },
        asio::detached);
  }
}

void ArchiveClient::Ask(const std::shared_ptr<Gather>& gather,
                        const std::shared_ptr<const ArchiveCall>& call,
                        const ArchiveMember& member) {
  ++gather->open;
  asio::co_spawn(
      io_,
      [this, gather, call, member]() -> asio::awaitable<void> {
        try {
          ArchiveReply reply = co_await CallMember(member, *call);
          if (reply.verdict == ArchiveVerdict::kStaleList) {
            gather->stale = true;
            gather->newer_list = reply.members;
          } else if (reply.verdict == ArchiveVerdict::kDone &&
                     reply.member == member.id) {
            gather->done.emplace(member.id, std::move(reply));
          } else {
            gather->lacking = true;
          }
        } catch (const TransportError&) {
          // The quorum counts without it; its loss was logged.
          gather->lacking = true;
        }
        --gather->open;
        gather->bell.cancel();
      },
      asio::detached);
}

asio::awaitable<std::shared_ptr<ArchiveClient::Gather>> ArchiveClient::AskOnce(
    std::shared_ptr<const MemberList> list, const Body& body, Reach reach) {
  auto gather = std::make_shared<Gather>(io_);
  auto call = std::make_shared<ArchiveCall>();
  call->list_version = list->version;
  call->body = body;
  std::vector<ArchiveMember> later;
  std::set<uint64_t> asked;
  for (const ArchiveMember& member : NearestFirst()) {
    if (health_.Suspect(member.id)) continue;
    if (reach == Reach::kQuorum && list->IsQuorum(asked)) {
      later.push_back(member);
      continue;
    }
    asked.insert(member.id);
    Ask(gather, call, member);
  }
  const auto enough = [&] {
    std::set<uint64_t> answered;
    for (const auto& [id, reply] : gather->done) answered.insert(id);
    return list->IsQuorum(answered);
  };
  const auto late = steady_clock::now() + kLateAfter;
  while (!gather->stale && !enough()) {
    const bool call_others =
        gather->lacking || gather->open == 0 || steady_clock::now() >= late;
    if (call_others) {
      for (const ArchiveMember& member : later) Ask(gather, call, member);
      later.clear();
    }
    if (gather->open == 0) break;
    gather->bell.expires_at(later.empty() ? steady_clock::time_point::max()
                                          : late);
    boost::system::error_code ignored;  // the bell rings by cancelling
    co_await gather->bell.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!gather->stale && !enough()) {
    throw ArchiveError(std::to_string(gather->done.size()) + " of " +
                       std::to_string(list->All().size()) +
                       " members of the archive answered.");
  }
  co_return gather;
}

asio::awaitable<std::vector<ArchiveReply>> ArchiveClient::AskQuorum(
    const Body& body, Reach reach) {
  for (int round = 0; round < kListChanges; ++round) {
    const auto list = list_;
    if (list->members.empty())
      throw ArchiveError("The archive's members are not known yet.");
    if (!likely()) throw ArchiveError("Too few members of the archive answer.");
    const auto gather = co_await AskOnce(list, body, reach);
    if (!gather->stale) {
      std::vector<ArchiveReply> replies;
      for (auto& [id, reply] : gather->done) replies.push_back(reply);
      co_return replies;
    }
    if (!gather->newer_list.empty())
      Adopt(DecodeMemberList(gather->newer_list));
    if (list_ != list) continue;
    asio::steady_timer pause(io_, kListPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
  throw ArchiveError("The archive's members keep changing.");
}

asio::awaitable<bool> ArchiveClient::Reserve(TokenReservation reservation,
                                             uint64_t budget) {
  std::vector<std::vector<TokenReservation>> looks;
  const Body reserve = reservation;
  const auto first = co_await AskQuorum(reserve, Reach::kQuorum);
  for (const auto& reply : first) looks.push_back(reply.reservations);
  BudgetVerdict verdict = JudgeFirstLook(TokensSeen(looks), budget);
  if (verdict == BudgetVerdict::kLookAgain) {
    const Body collect = CollectCall{reservation.program};
    const auto again = co_await AskQuorum(collect, Reach::kQuorum);
    for (const auto& reply : again) looks.push_back(reply.reservations);
    verdict = JudgeSecondLook(TokensSeen(looks), budget);
  }
  co_return verdict == BudgetVerdict::kFits;
}

asio::awaitable<void> ArchiveClient::Settle(TokenReservation reservation) {
  reservation.settled = true;
  const Body settle = std::move(reservation);
  co_await AskQuorum(settle, Reach::kQuorum);
}

asio::awaitable<void> ArchiveClient::Keep(TurnRecord record) {
  const Body keep = std::move(record);
  co_await AskQuorum(keep, Reach::kAll);
}

asio::awaitable<std::optional<std::vector<TurnRecord>>> ArchiveClient::History(
    std::string turn, std::string team) {
  if (!likely()) throw ArchiveError("Too few members of the archive answer.");
  ChainCollector collector(*list_, NearestFirst(), turn);
  const uint64_t version = list_->version;
  while (const auto member = collector.Next()) {
    ArchiveCall call;
    call.list_version = version;
    call.body = HistoryCall{collector.wanted(), team};
    ArchiveReply reply;
    try {
      reply = co_await CallMember(*member, call);
    } catch (const TransportError&) {
      continue;  // the next member is asked; the loss was logged
    }
    if (reply.verdict == ArchiveVerdict::kStaleList) {
      if (!reply.members.empty()) Adopt(DecodeMemberList(reply.members));
      continue;
    }
    if (reply.verdict != ArchiveVerdict::kDone || reply.member != member->id)
      continue;
    collector.Take(member->id, std::move(reply.turns), reply.missing,
                   reply.intact);
  }
  if (collector.whole()) co_return std::move(collector).Turns();
  if (collector.denied()) co_return std::nullopt;
  throw ArchiveError("Turn " + collector.wanted() +
                     " was not found, and too few members of the archive could "
                     "deny it.");
}

}  // namespace pimento
