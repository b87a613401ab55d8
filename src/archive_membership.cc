// The membership part of ArchiveNode: registration, creation of the first
// member list, joining and copying records, replacing lost members, and
// retirement.
#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <utility>

#include "platform/object_codec.h"
#include "platform/wire_names.h"
#include "src/archive_node.h"
#include "src/background_loop.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/loop_clock.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kReconcileInterval{250};
constexpr milliseconds kPingTimeout{400};
constexpr milliseconds kCopyTimeout{3'000};
constexpr milliseconds kRegisterRetryInterval{300};
constexpr milliseconds kSweepInterval{5'000};
// How long the creation of the first list waits for all wanted hosts to
// register.
constexpr milliseconds kFirstListWait{2'500};
constexpr int64_t kReplaceAfterMs = 1'500;

// Where the time of a copy went.
struct CopyProgress {
  int64_t began_ms = 0;
  size_t pages = 0;
  size_t records = 0;
  // From the request for a page to its answer, microseconds.
  int64_t waited_us = 0;
  // Taking in the records of the pages, microseconds.
  int64_t import_us = 0;
  // The last sync, microseconds.
  int64_t sync_us = 0;
};

int64_t SteadyUs() {
  return duration_cast<std::chrono::microseconds>(
             steady_clock::now().time_since_epoch())
      .count();
}

void LogCopied(const MemberList& list, size_t sources,
               const CopyProgress& progress) {
  constexpr int64_t kUsPerMs = 1'000;
  EventLine(Event::kCopied)
      .Number("version", static_cast<int64_t>(list.version))
      .Number("records", static_cast<int64_t>(progress.records))
      .Number("sources", static_cast<int64_t>(sources))
      .Number("pages", static_cast<int64_t>(progress.pages))
      .Number("took_ms", SteadyMs() - progress.began_ms)
      .Number("waited_ms", progress.waited_us / kUsPerMs)
      .Number("import_ms", progress.import_us / kUsPerMs)
      .Number("sync_ms", progress.sync_us / kUsPerMs);
}

asio::awaitable<void> Pause(asio::io_context& io, milliseconds time) {
  asio::steady_timer timer(io, time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

size_t ArchiveNode::TargetMemberCount() const {
  const int64_t losses = std::max<int64_t>(1, options_.tolerated_losses);
  return static_cast<size_t>(2 * losses + 1);
}

asio::awaitable<void> ArchiveNode::Register() {
  const json::value spec = json::object{{"id", std::to_string(id_)},
                                        {"zone", options_.zone},
                                        {"address", options_.address}};
  for (;;) {
    try {
      const auto held = co_await store_.Read(kArchiveKind, options_.host);
      if (held && held->spec == spec) co_return;
      if (held)
        co_await store_.Replace(kArchiveKind, options_.host, spec,
                                held->revision);
      else
        co_await store_.Create(kArchiveKind, options_.host, spec);
    } catch (const platform::StoreError& e) {
      EventLine(Event::kDependencyLost)
          .Text("dependency", "store")
          .Text("error", e.what());
    }
    co_await Pause(io_, kRegisterRetryInterval);
  }
}

MembershipInput ArchiveNode::MakePlanInput() const {
  MembershipInput input{.list = list_,
                        .self = id_,
                        .replace_after_ms = kReplaceAfterMs,
                        .wanted = TargetMemberCount()};
  const PeerTime now = LoopClock::Of(io_).Now();
  for (const auto& [host, object] : registration_watch_.objects()) {
    ArchivePeer peer;
    try {
      peer.member = MemberFromRegistration(host, object.spec);
    } catch (const StateError&) {
      continue;  // not a registration of an archive host
    }
    peer.retiring = retirement_watch_.objects().count(host) > 0;
    if (peer.member.id != id_) {
      const auto it = last_reply_.find(peer.member.id);
      const auto since =
          it == last_reply_.end() ? observing_since_ : it->second;
      peer.silent_ms = duration_cast<milliseconds>(now - since).count();
    }
    input.peers.push_back(std::move(peer));
  }
  return input;
}

asio::awaitable<void> ArchiveNode::PingPeers() {
  auto pending_replies = std::make_shared<size_t>(0);
  auto done_signal = std::make_shared<asio::steady_timer>(
      io_, steady_clock::time_point::max());
  for (const auto& peer : MakePlanInput().peers) {
    if (peer.member.id == id_) continue;
    ++*pending_replies;
    RunTask(io_, "ping of " + peer.member.host,
            [this, pending_replies, done_signal,
             member = peer.member]() -> asio::awaitable<void> {
              try {
                ArchiveCall call;
                call.list_version = list_.version;
                const ArchiveReply reply = co_await rpc_.Call(
                    member.address, std::move(call), kPingTimeout);
                last_reply_[reply.member] = LoopClock::Of(io_).Now();
                copied_versions_[reply.member] = reply.next;
              } catch (const TransportError&) {
                // Not logged: the plan uses the time since the last reply, and
                // a resulting change of the list is logged.
              } catch (...) {
                // Of any type: the membership waits for all pings to end.
                LogEscaped("ping of " + member.host, std::current_exception());
              }
              if (--*pending_replies == 0) done_signal->cancel();
            });
  }
  while (*pending_replies > 0) {
    boost::system::error_code ignored;  // cancelling the timer is the signal
    co_await done_signal->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> ArchiveNode::RunMembership() {
  auto last_sweep = steady_clock::now();
  for (;;) {
    co_await Pause(io_, kReconcileInterval);
    if (steady_clock::now() - last_sweep > kSweepInterval) {
      last_sweep = steady_clock::now();
      archive_.RemoveExpired(Now().uptime_ms);
    }
    if (!registration_watch_.known() || !list_watch_.known() ||
        !retirement_watch_.known())
      continue;
    try {
      if (list_.members.empty()) {
        co_await CreateInitialList();
        continue;
      }
      const bool stable = IsMember() && list_.next.empty() &&
                          retirement_watch_.objects().empty() &&
                          list_.members.size() >= TargetMemberCount();
      if (stable) {
        last_reply_.clear();
        observing_since_ = LoopClock::Of(io_).Now();
        last_stable_ = BootClock::now();
        continue;
      }
      co_await PingPeers();
      co_await AdvanceChange();
      if (auto plan = PlanMembership(MakePlanInput()))
        co_await Propose(std::move(*plan));
      co_await UpdateRetirements();
    } catch (const platform::StoreError& e) {
      EventLine(Event::kArchiveFailed)
          .Text("what", "membership")
          .Text("error", e.what());
    }
  }
}

asio::awaitable<void> ArchiveNode::CreateInitialList() {
  if (!options_.first_start) co_return;
  std::vector<ArchiveMember> found;
  for (const auto& peer : MakePlanInput().peers) found.push_back(peer.member);
  const bool all = found.size() >= TargetMemberCount();
  if (!all && LoopClock::Of(io_).Now() - observing_since_ < kFirstListWait)
    co_return;
  if (found.empty()) co_return;
  // The host whose name sorts first creates the list; the others do so only
  // after twice the wait.
  if (found.front().id != id_ &&
      LoopClock::Of(io_).Now() - observing_since_ < 2 * kFirstListWait)
    co_return;
  // The first round takes one host per zone; the second adds more hosts of the
  // same zones where that is too few.
  MemberList list{.version = 1};
  std::set<std::string> zones;
  for (int round = 0; round < 2; ++round) {
    for (const ArchiveMember& member : found) {
      if (list.members.size() >= TargetMemberCount() ||
          list.Contains(member.id))
        continue;
      if (round == 0 && zones.count(member.zone) > 0) continue;
      zones.insert(member.zone);
      list.members.push_back(member);
    }
  }
  json::value spec(EncodeMemberList(list));
  co_await store_.Create(kMemberListKind, kMemberListName, std::move(spec));
}

asio::awaitable<void> ArchiveNode::Propose(MemberList list) {
  EventLine(Event::kMembersChanged)
      .Text("outcome", "proposed")
      .Text("list", EncodeMemberList(list));
  json::value spec(EncodeMemberList(list));
  co_await store_.Replace(kMemberListKind, kMemberListName, std::move(spec),
                          list_revision_);
}

asio::awaitable<void> ArchiveNode::AdvanceChange() {
  if (list_.next.empty()) co_return;
  const MemberList list = list_;
  const auto contains = [](const std::vector<ArchiveMember>& members,
                           uint64_t id) {
    return std::any_of(members.begin(), members.end(),
                       [id](const ArchiveMember& m) { return m.id == id; });
  };
  // When the list shrinks, every remaining member needs a full copy, not only
  // the added ones.
  const bool copy_everywhere = list.next.size() < list.members.size();
  if (!contains(list.next, id_)) co_return;
  if ((copy_everywhere || !contains(list.members, id_)) &&
      copied_version_ < list.version) {
    if (!co_await CopyFromMembers(list)) co_return;
    copied_version_ = list.version;
  }
  for (const ArchiveMember& member : list.next) {
    if (member.id == id_ ||
        (!copy_everywhere && contains(list.members, member.id)))
      continue;
    const auto it = copied_versions_.find(member.id);
    if (it == copied_versions_.end() || it->second < list.version) co_return;
  }
  if (list_.version != list.version) co_return;
  MemberList settled;
  settled.version = list.version + 1;
  settled.members = list.next;
  co_await Propose(std::move(settled));
}

size_t ArchiveNode::Import(ArchiveReply reply) {
  const ArchiveTime now = Now();
  const auto import = [&](const auto& record) {
    archive_.Apply(record, now);
    pending_.push_back(MakePendingEntry(EncodeEntry(record, now)));
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
  std::set<uint64_t> fenced;
  std::vector<ArchiveMember> sources;
  for (const ArchiveMember& member : list.members) {
    try {
      if (member.id == id_) {
        fence_ = std::max(fence_, list.version);
        const JournalEntry entry = FenceCall{fence_};
        if (co_await Commit(entry)) fenced.insert(id_);
        continue;
      }
      ArchiveCall call;
      call.list_version = list.version;
      call.body = FenceCall{list.version};
      const ArchiveReply reply =
          co_await rpc_.Call(member.address, std::move(call), kPingTimeout);
      if (reply.verdict != ArchiveVerdict::kDone || reply.member != member.id)
        continue;
      fenced.insert(member.id);
      sources.push_back(member);
    } catch (const TransportError&) {
      // A read quorum of the members is enough.
    }
  }
  if (!list.IsReadQuorum(fenced)) co_return false;
  CopyProgress progress{.began_ms = SteadyMs()};
  const uint64_t failed_before = failed_syncs_;
  try {
    for (const ArchiveMember& source : sources) {
      for (uint64_t from = 0;;) {
        ArchiveCall call;
        call.list_version = list.version;
        call.body = CopyCall{from};
        const int64_t asked_us = SteadyUs();
        ArchiveReply page =
            co_await rpc_.Call(source.address, std::move(call), kCopyTimeout);
        const int64_t answered_us = SteadyUs();
        progress.waited_us += answered_us - asked_us;
        if (page.verdict != ArchiveVerdict::kDone || page.member != source.id)
          co_return false;
        const uint64_t next = page.next;
        const bool more = page.more;
        progress.records += Import(std::move(page));
        progress.import_us += SteadyUs() - answered_us;
        ++progress.pages;
        from = next;
        if (!more) break;
      }
    }
  } catch (const TransportError& e) {
    EventLine(Event::kArchiveFailed)
        .Text("what", "copy")
        .Text("error", e.what());
    co_return false;
  }
  const int64_t sync_began_us = SteadyUs();
  if (!co_await SyncImports(list.version, failed_before)) co_return false;
  progress.sync_us = SteadyUs() - sync_began_us;
  LogCopied(list, sources.size(), progress);
  co_return true;
}

asio::awaitable<void> ArchiveNode::UpdateRetirements() {
  // Copied: entries come and go while the status of one is written.
  std::vector<std::string> hosts;
  for (const auto& [host, object] : retirement_watch_.objects())
    hosts.push_back(host);
  for (const std::string& host : hosts) {
    try {
      co_await UpdateRetirement(host);
    } catch (const platform::StoreError& e) {
      // One that cannot be written holds up no other.
      EventLine(Event::kArchiveFailed)
          .Text("what", "retirement")
          .Text("host_retired", host)
          .Text("error", e.what());
    }
  }
}

asio::awaitable<void> ArchiveNode::UpdateRetirement(const std::string& host) {
  const auto& entries = retirement_watch_.objects();
  const auto entry = entries.find(host);
  if (entry == entries.end()) co_return;
  const auto progress = platform::DecodeRetirement(entry->second.status);
  if (progress == platform::RetirementProgress::kCompleted) co_return;
  const bool member =
      std::any_of(list_.members.begin(), list_.members.end(),
                  [&](const ArchiveMember& m) { return m.host == host; });
  // The local copy of the list may be older than the retirement. A host is
  // reported as completely retired only by a current member, and only when a
  // list that is newer than the last stable state, without a change in
  // progress, does not contain the host.
  const bool settled = list_.next.empty() && list_watch_.reachable() &&
                       list_watch_.fresh_as_of() > last_stable_;
  const bool running = progress == platform::RetirementProgress::kRunning;
  if (!IsMember() || (member && running) || (!member && !settled)) co_return;
  const auto next = member ? platform::RetirementProgress::kRunning
                           : platform::RetirementProgress::kCompleted;
  co_await store_.ReplaceStatus(std::string(platform::kRetirementKind), host,
                                platform::EncodeRetirement(next));
  EventLine(Event::kRetirement)
      .Text("host_retired", host)
      .Text("state", member ? "running" : "completed");
}

}  // namespace pimento
