// The repair part of ArchiveNode: a member that missed writes fetches them from
// the others.
//
// A write is committed once a quorum has stored it, so any member may lack
// some: it was down, cut off, slow, without room, or a gateway took it for
// lost. Each member reads the digests of what the others have stored since it
// last asked, and fetches the records that it lacks:
//
//   member 0                     member 1
//   digest from position 40  ->
//                            <-  hashes of the records at 40, 41, 43; next 44
//   fetch 41                 ->
//                            <-  turn t7, kept for 52 s yet
//
// A repaired record expires with its source's, so nothing expired comes back.
// It changes no settled reservation, as every merge of records, and is not read
// under a member list that the source has fenced.
#include <algorithm>
#include <iterator>
#include <utility>

#include "src/archive_node.h"
#include "src/errors.h"
#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Well below the time in which a member that was away must have caught up,
// together with the age from which records are in digests.
constexpr milliseconds kRepairInterval{2'000};
// While a member does not answer.
constexpr milliseconds kRetryInterval{500};
constexpr milliseconds kRepairTimeout{1'000};
// Between two fetches, so that repair leaves the disk and the link to callers.
constexpr milliseconds kFetchPause{50};
constexpr size_t kMaxFetchPositions = 1'024;
// Positions after a longer silence, or with a gap that is older, do not tell
// any more what this member lacks: it may have let expire what others kept.
constexpr int64_t kMaxCursorAgeMs = 30'000;

}  // namespace

asio::awaitable<void> ArchiveNode::RunRepair() {
  for (;;) {
    bool all_answered = true;
    // One that joins copies first.
    if (IsMember()) {
      ForgetOldCursors();
      const std::vector<ArchiveMember> members = list_.All();
      for (const ArchiveMember& member : members) {
        if (member.id == id_ || !IsRegistered(member)) continue;
        const bool answered = co_await RepairFrom(member);
        all_answered = all_answered && answered;
      }
    }
    asio::steady_timer timer(io_,
                             all_answered ? kRepairInterval : kRetryInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void ArchiveNode::ForgetOldCursors() {
  const int64_t now_ms = SteadyMs();
  if (!archive_.HasGaps()) no_gaps_ms_ = now_ms;
  const bool gap_stays = now_ms - no_gaps_ms_ > kMaxCursorAgeMs;
  if (gap_stays) no_gaps_ms_ = now_ms;
  std::erase_if(repair_cursors_, [&](const auto& entry) {
    const auto& [id, cursor] = entry;
    const bool silent = now_ms - cursor.answered_ms > kMaxCursorAgeMs;
    return gap_stays || silent || !list_.Contains(id);
  });
}

asio::awaitable<bool> ArchiveNode::RepairFrom(ArchiveMember member) {
  std::string failure;
  try {
    RepairCursor cursor = repair_cursors_[member.id];
    for (bool more = true; more && archive_.HasRoomForRepair();) {
      more = co_await RepairPage(member, cursor);
      cursor.answered_ms = SteadyMs();
      repair_cursors_[member.id] = cursor;
    }
    co_return true;
  } catch (const TransportError& e) {
    failure = e.what();
  }
  ++repair_failures_;
  EventLine(Event::kArchiveFailed)
      .Text("what", "repair")
      .Text("member", member.host)
      .Text("error", failure);
  co_return false;
}

asio::awaitable<ArchiveReply> ArchiveNode::AskForRepair(
    const ArchiveMember& member, ArchiveCall call) {
  call.list_version = list_.version;
  ArchiveReply reply =
      co_await rpc_.Call(member.address, std::move(call), kRepairTimeout);
  if (reply.verdict != ArchiveVerdict::kDone || reply.member != member.id)
    throw TransportError("The member refused the call.");
  co_return reply;
}

asio::awaitable<bool> ArchiveNode::RepairPage(const ArchiveMember& member,
                                              RepairCursor& cursor) {
  ArchiveCall call;
  call.body = DigestCall{cursor.next};
  const ArchiveReply reply = co_await AskForRepair(member, std::move(call));
  if (reply.run != cursor.run) {
    const bool first = cursor.next == 0;
    cursor = {.run = reply.run};
    if (!first) co_return true;
  }
  std::vector<uint64_t> lacking;
  for (const TurnArchive::DigestEntry& entry : reply.digest) {
    if (archive_.Lacks(entry.hash)) lacking.push_back(entry.position);
  }
  co_await Fetch(member, reply.run, std::move(lacking));
  if (reply.more && reply.next <= cursor.next)
    throw TransportError("The member's digest does not advance.");
  cursor.next = reply.next;
  co_return reply.more;
}

asio::awaitable<void> ArchiveNode::Fetch(const ArchiveMember& member,
                                         uint64_t run,
                                         std::vector<uint64_t> positions) {
  size_t records = 0;
  const uint64_t failed_before = failed_syncs_;
  for (size_t done = 0; done < positions.size();) {
    if (!archive_.HasRoomForRepair())
      throw TransportError("There is no room for the records.");
    const auto begin = positions.begin() + static_cast<ptrdiff_t>(done);
    const size_t count = std::min(positions.size() - done, kMaxFetchPositions);
    ArchiveCall call;
    call.body =
        FetchCall{.run = run,
                  .positions = {begin, begin + static_cast<ptrdiff_t>(count)}};
    ArchiveReply reply = co_await AskForRepair(member, std::move(call));
    if (reply.next == 0)
      throw TransportError("The member's records do not advance.");
    done += reply.next;
    records += Import(std::move(reply));
    const bool synced = co_await SyncImports(fence_, failed_before);
    if (!synced) throw TransportError("The records could not be synced.");
    asio::steady_timer timer(io_, kFetchPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (records == 0) co_return;
  repaired_ += records;
  EventLine(Event::kRepaired)
      .Text("member", member.host)
      .Number("records", static_cast<int64_t>(records))
      .Number("gaps", static_cast<int64_t>(archive_.gaps()));
}

}  // namespace pimento
