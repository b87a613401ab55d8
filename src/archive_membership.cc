// How a host of the archive becomes a member, takes part in changes of the
// members, and gives its part up.
#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <utility>

#include "platform/object_codec.h"
#include "platform/wire_names.h"
#include "src/archive_node.h"
#include "src/errors.h"
#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kReconcileEvery{250};
constexpr milliseconds kPingLimit{400};
constexpr milliseconds kCopyLimit{3'000};
constexpr milliseconds kRegisterPause{300};
constexpr milliseconds kSweepEvery{5'000};
// The first list waits this long for hosts beyond the first.
constexpr milliseconds kFirstListWait{2'500};
constexpr int64_t kReplaceAfterMs = 1'500;

asio::awaitable<void> Pause(asio::io_context& io, milliseconds time) {
  asio::steady_timer timer(io, time);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

size_t ArchiveNode::MembersWanted() const {
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
    co_await Pause(io_, kRegisterPause);
  }
}

MembershipInput ArchiveNode::PlanInput() const {
  MembershipInput input{.list = list_,
                        .self = id_,
                        .replace_after_ms = kReplaceAfterMs,
                        .wanted = MembersWanted()};
  const auto now = steady_clock::now();
  for (const auto& [host, object] : registrations_.objects()) {
    ArchivePeer peer;
    try {
      peer.member = MemberOf(host, object.spec);
    } catch (const StateError&) {
      continue;  // a registration of another writer names no host to use
    }
    peer.retiring = retirements_.objects().count(host) > 0;
    if (peer.member.id != id_) {
      const auto it = answered_.find(peer.member.id);
      const auto since = it == answered_.end() ? started_ : it->second;
      peer.silent_ms = duration_cast<milliseconds>(now - since).count();
    }
    input.peers.push_back(std::move(peer));
  }
  return input;
}

asio::awaitable<void> ArchiveNode::PingAll() {
  auto left = std::make_shared<size_t>(0);
  auto bell = std::make_shared<asio::steady_timer>(
      io_, steady_clock::time_point::max());
  for (const auto& peer : PlanInput().peers) {
    if (peer.member.id == id_) continue;
    ++*left;
    asio::co_spawn(
        io_,
        [this, left, bell, member = peer.member]() -> asio::awaitable<void> {
          try {
            ArchiveCall call;
            call.list_version = list_.version;
            const ArchiveReply reply =
                co_await rpc_.Call(member.address, std::move(call), kPingLimit);
            answered_[reply.member] = steady_clock::now();
            copied_by_[reply.member] = reply.next;
          } catch (const TransportError&) {
            // Silence is what the plan goes by; the change of list is logged.
          }
          if (--*left == 0) bell->cancel();
        },
        asio::detached);
  }
  while (*left > 0) {
    boost::system::error_code ignored;  // the bell rings by cancelling
    co_await bell->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> ArchiveNode::RunMembership() {
  auto swept = steady_clock::now();
  for (;;) {
    co_await Pause(io_, kReconcileEvery);
    if (steady_clock::now() - swept > kSweepEvery) {
      swept = steady_clock::now();
      archive_.RemoveExpired(SteadyMs());
    }
    if (!registrations_.known() || !lists_.known() || !retirements_.known())
      continue;
    try {
      if (list_.members.empty()) {
        co_await CreateFirstList();
        continue;
      }
      const bool quiet = Intact() && list_.next.empty() &&
                         retirements_.objects().empty() &&
                         list_.members.size() >= MembersWanted();
      if (quiet) {
        answered_.clear();
        started_ = steady_clock::now();
        quiet_until_ = BootClock::now();
        continue;
      }
      co_await PingAll();
      co_await TakePartInChange();
      if (auto plan = PlanMembership(PlanInput()))
        co_await Propose(std::move(*plan));
      co_await FinishRetirements();
    } catch (const platform::StoreError& e) {
      EventLine(Event::kArchiveFailed)
          .Text("what", "membership")
          .Text("error", e.what());
    }
  }
}

asio::awaitable<void> ArchiveNode::CreateFirstList() {
  if (!options_.first_start) co_return;
  std::vector<ArchiveMember> found;
  for (const auto& peer : PlanInput().peers) found.push_back(peer.member);
  const bool all = found.size() >= MembersWanted();
  if (!all && steady_clock::now() - started_ < kFirstListWait) co_return;
  if (found.empty()) co_return;
  if (found.front().id != id_ &&
      steady_clock::now() - started_ < 2 * kFirstListWait)
    co_return;
  // Zones first: no two members in one zone while there are others.
  MemberList list{.version = 1};
  std::set<std::string> zones;
  for (int round = 0; round < 2; ++round) {
    for (const ArchiveMember& member : found) {
      if (list.members.size() >= MembersWanted() || list.Contains(member.id))
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

asio::awaitable<void> ArchiveNode::TakePartInChange() {
  if (list_.next.empty()) co_return;
  const MemberList list = list_;
  const auto has = [](const std::vector<ArchiveMember>& members, uint64_t id) {
    return std::any_of(members.begin(), members.end(),
                       [id](const ArchiveMember& m) { return m.id == id; });
  };
  // With fewer members than before, each must hold everything.
  const bool all_copy = list.next.size() < list.members.size();
  if (!has(list.next, id_)) co_return;
  if ((all_copy || !has(list.members, id_)) && copied_version_ < list.version) {
    if (!co_await CopyAll(list)) co_return;
    copied_version_ = list.version;
  }
  for (const ArchiveMember& member : list.next) {
    if (member.id == id_ || (!all_copy && has(list.members, member.id)))
      continue;
    const auto it = copied_by_.find(member.id);
    if (it == copied_by_.end() || it->second < list.version) co_return;
  }
  if (list_.version != list.version) co_return;
  MemberList settled;
  settled.version = list.version + 1;
  settled.members = list.next;
  co_await Propose(std::move(settled));
}

asio::awaitable<bool> ArchiveNode::CopyAll(const MemberList& list) {
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
          co_await rpc_.Call(member.address, std::move(call), kPingLimit);
      if (reply.verdict != ArchiveVerdict::kDone || reply.member != member.id)
        continue;
      fenced.insert(member.id);
      sources.push_back(member);
    } catch (const TransportError&) {
      // A quorum of the others is enough.
    }
  }
  if (!list.ReadQuorum(fenced)) co_return false;
  size_t records = 0;
  const uint64_t failed_before = failed_syncs_;
  try {
    for (const ArchiveMember& source : sources) {
      for (uint64_t from = 0;;) {
        ArchiveCall call;
        call.list_version = list.version;
        call.body = CopyCall{from};
        ArchiveReply page =
            co_await rpc_.Call(source.address, std::move(call), kCopyLimit);
        if (page.verdict != ArchiveVerdict::kDone || page.member != source.id)
          co_return false;
        auto entries = std::make_shared<std::vector<std::string>>();
        for (auto& record : page.reservations) {
          archive_.Apply(record, SteadyMs());
          entries->push_back(EncodeEntry(record));
        }
        for (auto& record : page.turns) {
          archive_.Apply(record, SteadyMs());
          entries->push_back(EncodeEntry(record));
        }
        records += entries->size();
        for (auto& entry : *entries)
          pending_.push_back(MakePending(std::move(entry)));
        from = page.next;
        if (!page.more) break;
      }
    }
  } catch (const TransportError& e) {
    EventLine(Event::kArchiveFailed)
        .Text("what", "copy")
        .Text("error", e.what());
    co_return false;
  }
  // All that was handed over before this entry is synced with it or before it.
  const JournalEntry last = FenceCall{list.version};
  if (!co_await Commit(last)) co_return false;
  if (failed_syncs_ != failed_before) co_return false;
  EventLine(Event::kCopied)
      .Number("version", static_cast<int64_t>(list.version))
      .Number("records", static_cast<int64_t>(records));
  co_return true;
}

asio::awaitable<void> ArchiveNode::FinishRetirements() {
  for (const auto& [host, object] : retirements_.objects()) {
    const auto progress = platform::DecodeRetirement(object.status);
    if (progress == platform::RetirementProgress::kCompleted) continue;
    const bool member =
        std::any_of(list_.members.begin(), list_.members.end(),
                    [&](const ArchiveMember& m) { return m.host == host; });
    // The list may be older than the retirement: only a member that went may be
    // said to be empty, and only by one that stays.
    const bool settled = list_.next.empty() && lists_.reachable() &&
                         lists_.fresh_as_of() > quiet_until_;
    const bool running = progress == platform::RetirementProgress::kRunning;
    if (!Intact() || (member && running) || (!member && !settled)) continue;
    const auto next = member ? platform::RetirementProgress::kRunning
                             : platform::RetirementProgress::kCompleted;
    co_await store_.ReplaceStatus(std::string(platform::kRetirementKind), host,
                                  platform::EncodeRetirement(next));
    EventLine(Event::kRetirement)
        .Text("host_retired", host)
        .Text("state", member ? "running" : "completed");
  }
}

}  // namespace pimento
