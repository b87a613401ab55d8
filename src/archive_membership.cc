// The membership part of ArchiveNode: registration, creation of the first
// member list, joining, replacing lost members, and retirement. What a member
// that joins copies is in archive_copy.cc.
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
constexpr milliseconds kRegisterRetryInterval{300};
constexpr milliseconds kSweepInterval{5'000};
// How long the creation of the first list waits for all wanted hosts to
// register.
constexpr milliseconds kFirstListWait{2'500};
constexpr int64_t kReplaceAfterMs = 1'500;

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

bool ArchiveNode::IsRegistered(const ArchiveMember& member) const {
  const auto& registrations = registration_watch_.objects();
  const auto it = registrations.find(member.host);
  if (it == registrations.end()) return true;  // not known to be lost
  try {
    return MemberFromRegistration(member.host, it->second.spec).id == member.id;
  } catch (const StateError&) {
    return true;
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
          it == last_reply_.end() ? observing_since_ : it->second.at;
      peer.silent_ms = duration_cast<milliseconds>(now - since).count();
      if (it != last_reply_.end())
        peer.store_overdue_ms = it->second.store_overdue_ms;
    }
    input.peers.push_back(std::move(peer));
  }
  return input;
}

asio::awaitable<void> ArchiveNode::PingPeers() {
  std::vector<NamedTask> pings;
  for (const auto& peer : MakePlanInput().peers) {
    if (peer.member.id == id_) continue;
    pings.push_back({"ping of " + peer.member.host,
                     [this, member = peer.member] { return Ping(member); }});
  }
  co_await RunTogether(io_, std::move(pings));
}

asio::awaitable<void> ArchiveNode::Ping(ArchiveMember member) {
  try {
    ArchiveCall call;
    call.list_version = list_.version;
    const ArchiveReply reply =
        co_await rpc_.Call(member.address, std::move(call), kPingTimeout);
    last_reply_[reply.member] = {.at = LoopClock::Of(io_).Now(),
                                 .copied_version = reply.next,
                                 .store_overdue_ms = reply.store_overdue_ms};
  } catch (const TransportError&) {
    // Not logged: the plan uses the time since the last reply, and a resulting
    // change of the list is logged.
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
    const bool copied = co_await CopyFromMembers(list);
    if (copied) copied_version_ = list.version;
    // The last replies are as old as the copy was long.
    co_await PingPeers();
    if (!copied) co_return;
  }
  for (const ArchiveMember& member : list.next) {
    if (member.id == id_ ||
        (!copy_everywhere && contains(list.members, member.id)))
      continue;
    const auto it = last_reply_.find(member.id);
    const bool copied =
        it != last_reply_.end() && it->second.copied_version >= list.version;
    if (!copied) co_return;
  }
  if (list_.version != list.version) co_return;
  MemberList settled;
  settled.version = list.version + 1;
  settled.members = list.next;
  co_await Propose(std::move(settled));
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
