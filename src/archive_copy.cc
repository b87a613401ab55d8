// The copy part of ArchiveNode: what a member that joins fetches from the
// members, and how it takes in records of others.
//
// The members are fenced first: no call made under an older list succeeds at
// them afterwards, so what is committed under those lists is all there. Each
// committed record is then held by one of any read quorum of them. The host
// reads the digests of the fenced members to their end and fetches each record
// that it lacks once, from one of those that named it (record_copy.h):
//
//   joining host                    members 1 and 2, side by side
//   digest of all, from 0       ->
//                               <-  1: hashes of t1 t2 t3   2: of t1 t3 t4
//   fetch t1 t2 t3              ->  1
//   fetch t4                    ->  2
//                               <-  pages of records
//
// Few pages of a source are on their way or being synced at a time, so memory
// is bounded at both ends, and a source answers gateways between two pages.
#include <algorithm>
#include <set>
#include <utility>

#include "src/archive_node.h"
#include "src/background_loop.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/record_copy.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kFenceTimeout{400};
constexpr milliseconds kPageTimeout{3'000};
constexpr size_t kMaxFetchPositions = 1'024;
// Pages of a source that are on their way or being synced. While one is synced,
// the next one is on its way.
constexpr size_t kStreamsOfSource = 2;
// Readings of all digests. The second one is for records that a source did not
// hand out any more, or whose source is gone.
constexpr int kMaxReadings = 3;

// Where the time of a copy went, summed over its sources.
struct CopyTimes {
  steady_clock::time_point began = steady_clock::now();
  size_t digests = 0;
  size_t pages = 0;
  size_t records = 0;
  // From a request to its answer.
  steady_clock::duration waited{};
  // Taking in the records of pages.
  steady_clock::duration imported{};
  // Waiting until they are synced.
  steady_clock::duration synced{};
};

int64_t Ms(steady_clock::duration time) {
  return duration_cast<milliseconds>(time).count();
}

void LogCopied(const MemberList& list, size_t sources, bool complete,
               const CopyTimes& times) {
  EventLine(Event::kCopied)
      .Text("outcome", complete ? "complete" : "unfinished")
      .Number("version", static_cast<int64_t>(list.version))
      .Number("records", static_cast<int64_t>(times.records))
      .Number("sources", static_cast<int64_t>(sources))
      .Number("digests", static_cast<int64_t>(times.digests))
      .Number("pages", static_cast<int64_t>(times.pages))
      .Number("took_ms", Ms(steady_clock::now() - times.began))
      .Number("waited_ms", Ms(times.waited))
      .Number("import_ms", Ms(times.imported))
      .Number("sync_ms", Ms(times.synced));
}

}  // namespace

struct ArchiveNode::CopyRun {
  CopyRun(MemberList copied_list, RecordCopy plan)
      : list(std::move(copied_list)), records(std::move(plan)) {}
  MemberList list;
  RecordCopy records;
  CopyTimes times = {};
  // Members that were read to the end in the current reading, and where that
  // was.
  std::set<uint64_t> read = {};
  std::map<uint64_t, RepairCursor> cursors = {};
};

size_t ArchiveNode::Import(const ArchiveReply& reply) {
  const ArchiveTime now = Now();
  const auto import = [&](const auto& record) {
    archive_.Apply(record, now);
    pending_.push_back({.bytes = EncodeEntry(record, now),
                        .done_signal = nullptr,
                        .outcome = nullptr});
  };
  for (const TokenReservation& record : reply.reservations) import(record);
  for (const TurnRecord& record : reply.turns) import(record);
  return reply.reservations.size() + reply.turns.size();
}

asio::awaitable<bool> ArchiveNode::SyncImports(uint64_t fence,
                                               uint64_t failed_before) {
  // The imported entries are synced in the batch of this one or earlier.
  const JournalEntry last = FenceCall{fence};
  if (!co_await Commit(last)) co_return false;
  co_return failed_syncs_ == failed_before;
}

asio::awaitable<bool> ArchiveNode::CopyFromMembers(const MemberList& list) {
  // After a failed sync records may be held that are not in the journal.
  const uint64_t failed_before = failed_syncs_;
  const auto run =
      std::make_shared<CopyRun>(list, RecordCopy(archive_, failed_before == 0));
  const std::vector<ArchiveMember> sources = co_await FenceMembers(list);
  if (sources.empty()) co_return false;
  bool complete = false;
  for (int i = 0; i < kMaxReadings && !complete; ++i) {
    run->records.ReadAgain();
    co_await ReadSources(run, sources);
    if (!list.IsReadQuorum(run->read)) break;
    complete = run->records.Complete();
  }
  LogCopied(list, sources.size(), complete, run->times);
  if (!complete) co_return false;
  if (!co_await SyncImports(list.version, failed_before)) co_return false;
  // What comes later is repaired.
  for (const auto& [id, cursor] : run->cursors) repair_cursors_[id] = cursor;
  co_return true;
}

asio::awaitable<bool> ArchiveNode::FenceMember(const MemberList& list,
                                               ArchiveMember member) {
  if (member.id == id_) {
    fence_ = std::max(fence_, list.version);
    const JournalEntry entry = FenceCall{fence_};
    co_return co_await Commit(entry);
  }
  ArchiveCall call;
  call.list_version = list.version;
  call.body = FenceCall{list.version};
  try {
    const ArchiveReply reply =
        co_await rpc_.Call(member.address, std::move(call), kFenceTimeout);
    co_return reply.verdict == ArchiveVerdict::kDone&& reply.member ==
        member.id;
  } catch (const TransportError&) {
    co_return false;  // a read quorum of the members is enough
  }
}

asio::awaitable<std::vector<ArchiveMember>> ArchiveNode::FenceMembers(
    const MemberList& list) {
  std::vector<ArchiveMember> fenced;
  std::set<uint64_t> ids;
  std::vector<NamedTask> fences;
  for (const ArchiveMember& member : list.members) {
    fences.push_back(
        {"fence of " + member.host, [&, member]() -> asio::awaitable<void> {
           if (!co_await FenceMember(list, member)) co_return;
           fenced.push_back(member);
           ids.insert(member.id);
         }});
  }
  co_await RunTogether(io_, std::move(fences));
  if (!list.IsReadQuorum(ids)) fenced.clear();
  co_return fenced;
}

asio::awaitable<void> ArchiveNode::ReadSources(
    std::shared_ptr<CopyRun> run, std::vector<ArchiveMember> sources) {
  run->read.clear();
  std::vector<NamedTask> reads;
  for (const ArchiveMember& source : sources) {
    reads.push_back({"copy from " + source.host, [this, run, source]() {
                       return ReadSourceOnce(run, source);
                     }});
  }
  co_await RunTogether(io_, std::move(reads));
}

asio::awaitable<void> ArchiveNode::ReadSourceOnce(std::shared_ptr<CopyRun> run,
                                                  ArchiveMember source) {
  try {
    // What this host holds itself needs no copy.
    if (source.id != id_) co_await ReadSource(*run, source);
    run->read.insert(source.id);
  } catch (const TransportError& e) {
    EventLine(Event::kArchiveFailed)
        .Text("what", "copy")
        .Text("member", source.host)
        .Text("error", e.what());
  }
}

asio::awaitable<ArchiveReply> ArchiveNode::AskSource(
    CopyRun& run, const ArchiveMember& source,
    decltype(ArchiveCall::body) body) {
  if (list_.version != run.list.version)
    throw TransportError("The member list has changed.");
  ArchiveCall call;
  call.list_version = run.list.version;
  call.body = std::move(body);
  const auto asked = steady_clock::now();
  ArchiveReply reply =
      co_await rpc_.Call(source.address, std::move(call), kPageTimeout);
  run.times.waited += steady_clock::now() - asked;
  if (reply.verdict != ArchiveVerdict::kDone || reply.member != source.id)
    throw TransportError("The member refused the call.");
  if (reply.scope != RecordScope::kAll)
    throw TransportError("The member does not hand out all its records.");
  co_return reply;
}

asio::awaitable<void> ArchiveNode::ReadSource(CopyRun& run,
                                              const ArchiveMember& source) {
  RepairCursor cursor;
  for (bool more = true; more;) {
    const decltype(ArchiveCall::body) ask =
        DigestCall{.from = cursor.next, .scope = RecordScope::kAll};
    const ArchiveReply digest = co_await AskSource(run, source, ask);
    ++run.times.digests;
    const bool restarted = cursor.next > 0 && digest.run != cursor.run;
    if (restarted) throw TransportError("The member has started again.");
    if (digest.more && digest.next <= cursor.next)
      throw TransportError("The member's digest does not advance.");
    co_await FetchClaimed(run, source, digest.run,
                          run.records.Claim(digest.digest));
    cursor = {
        .run = digest.run, .next = digest.next, .answered_ms = SteadyMs()};
    more = digest.more;
  }
  run.cursors[source.id] = cursor;
}

asio::awaitable<void> ArchiveNode::FetchClaimed(
    CopyRun& run, const ArchiveMember& source, uint64_t source_run,
    std::vector<uint64_t> positions) {
  std::string failure;
  std::vector<NamedTask> fetches;
  for (size_t stream = 0; stream < kStreamsOfSource; ++stream) {
    const auto cut = [&](size_t at) {
      return positions.begin() +
             static_cast<ptrdiff_t>(positions.size() * at / kStreamsOfSource);
    };
    const std::vector<uint64_t> part(cut(stream), cut(stream + 1));
    if (part.empty()) continue;
    fetches.push_back(
        {"fetch from " + source.host, [&, part]() -> asio::awaitable<void> {
           try {
             co_await FetchInOrder(run, source, source_run, part);
           } catch (const TransportError& e) {
             failure = e.what();
           }
         }});
  }
  co_await RunTogether(io_, std::move(fetches));
  if (!failure.empty()) throw TransportError(failure);
}

asio::awaitable<void> ArchiveNode::FetchInOrder(
    CopyRun& run, const ArchiveMember& source, uint64_t source_run,
    std::vector<uint64_t> positions) {
  for (size_t done = 0; done < positions.size();) {
    const auto begin = positions.begin() + static_cast<ptrdiff_t>(done);
    const size_t count = std::min(positions.size() - done, kMaxFetchPositions);
    const decltype(ArchiveCall::body) ask =
        FetchCall{.run = source_run,
                  .positions = {begin, begin + static_cast<ptrdiff_t>(count)},
                  .scope = RecordScope::kAll};
    const ArchiveReply page = co_await AskSource(run, source, ask);
    if (page.next == 0)
      throw TransportError("The member's records do not advance.");
    done += page.next;
    ++run.times.pages;
    const auto answered = steady_clock::now();
    run.times.records += Import(page);
    for (const TokenReservation& record : page.reservations)
      run.records.Received(HashOf(record));
    for (const TurnRecord& record : page.turns)
      run.records.Received(HashOf(record));
    const auto imported = steady_clock::now();
    run.times.imported += imported - answered;
    const uint64_t failed_before = failed_syncs_;
    if (!co_await SyncImports(run.list.version, failed_before))
      throw TransportError("The records could not be synced.");
    run.times.synced += steady_clock::now() - imported;
  }
}

}  // namespace pimento
