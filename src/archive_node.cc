#include "src/archive_node.h"

#include <algorithm>
#include <boost/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <utility>

#include "platform/object_codec.h"
#include "platform/wire_names.h"
#include "src/background_loop.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/loop_clock.h"
#include "src/process_end.h"
#include "src/stop_signals.h"
#include "src/store_outage.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Callers give up by then.
constexpr milliseconds kMaxWaitForRoom{1'000};
constexpr size_t kCopyPageBytes = 256 * 1024;
// Small, so that what gateways ask waits for few milliseconds behind it.
constexpr size_t kFetchPageBytes = 128 * 1024;
// Of the records in an answer: as they are found, in the message, and as bytes.
constexpr uint64_t kCopiesOfAnswer = 3;
// Entries of the journal between two removals of what has expired by then.
constexpr size_t kReplayedBetweenSweeps = 256;
constexpr size_t kMaxDigestEntries = 4'096;
// Younger records are not in digests: they may still be on their way.
constexpr int64_t kArchiveSettleMs = 1'500;
// Longer than the lifetime of any record, so that a removed journal segment
// holds only expired ones.
constexpr int64_t kSegmentRetentionMs = 600'000;
// Slower syncs are logged.
constexpr int64_t kSlowSyncMs = 100;
// How finely this host's own delay is told from the silence of its peers: well
// below the time after which a silent member is replaced.
constexpr milliseconds kTurnInterval{200};
constexpr uint64_t kMaxCallBytes = 8 * 1024 * 1024;
constexpr int64_t kIdleTimeoutMs = 60'000;

CallerLimits PeerLimits() {
  return {.header_bytes = 4'096,
          .body_bytes = kMaxCallBytes,
          .header_timeout_ms = 3'000,
          .idle_timeout_ms = kIdleTimeoutMs};
}

int64_t UnixMs() {
  return duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void AddPage(TurnArchive::Page page, ArchiveReply& reply) {
  for (auto& record : page.records) {
    if (auto* turn = std::get_if<TurnRecord>(&record))
      reply.turns.push_back(std::move(*turn));
    else
      reply.reservations.push_back(
          std::move(std::get<TokenReservation>(record)));
  }
  reply.next = page.next;
  reply.more = page.more;
}

}  // namespace

ArchiveMember MemberFromRegistration(const std::string& host,
                                     const json::value& spec) {
  const auto* object = spec.if_object();
  if (object == nullptr)
    throw StateError("The registration is not a JSON object.");
  const auto text = [object](const char* key) {
    const auto* value = object->if_contains(key);
    return value != nullptr && value->is_string()
               ? std::string(value->get_string())
               : std::string();
  };
  ArchiveMember member{.id = std::strtoull(text("id").c_str(), nullptr, 10),
                       .host = host,
                       .zone = text("zone"),
                       .address = text("address")};
  if (member.id == 0 || member.address.empty())
    throw StateError("The registration of " + host + " has no id or address.");
  return member;
}

MemberList MemberListFromObjects(const StoreWatch::Objects& objects,
                                 uint64_t& revision) {
  const auto it = objects.find(kMemberListName);
  if (it == objects.end() || !it->second.spec.is_string()) return {};
  revision = it->second.revision;
  return DecodeMemberList(std::string(it->second.spec.get_string()));
}

ArchiveNode::ArchiveNode(asio::io_context& io, WorkerThread& disk,
                         platform::StoreClient& store, ConnectionPool& pool,
                         ArchiveNodeOptions options)
    : io_(io),
      disk_(disk),
      store_(store),
      options_(std::move(options)),
      rpc_(pool),
      journal_(options_.data_dir),
      archive_(RecordBytesLimit(options_.memory_mb)),
      broker_(io, {.budget = HeldBytesBudgetOfArchive(options_.memory_mb)}),
      server_(io, ServerOptions("hosts", &ConnectionLimits::internal)),
      metrics_server_(io, ServerOptions("metrics", &ConnectionLimits::metrics)),
      registration_watch_(io, store, {.kind = kArchiveKind}),
      list_watch_(io, store,
                  {.kind = kMemberListKind,
                   .wait = MaxContactWait(options_.revoke_ms)}),
      retirement_watch_(io, store,
                        {.kind = std::string(platform::kRetirementKind)}),
      observing_since_(LoopClock::Of(io).Now()) {}

CallerServerOptions ArchiveNode::ServerOptions(
    const std::string& listener, size_t ConnectionLimits::*limit) {
  const ConnectionLimits limits =
      LimitsOfConnections(options_.memory_mb, options_.max_fds);
  return {
      .listener = listener,
      .limits = PeerLimits,
      .handler = [this](const CallerRequest& request, ResponseWriter& answer,
                        StopToken&) { return Serve(request, answer); },
      .broker = &broker_,
      .max_connections = limits.*limit};
}

void ArchiveNode::Start() {
  id_ = journal_.MemberId();
  started_ms_ = SteadyMs();
  no_gaps_ms_ = started_ms_;
  std::random_device random;
  run_ = static_cast<uint64_t>(random()) << 32 | random();
  Replay();
  EndStartPart(StartPart::kJournal);
  server_.Listen(options_.address);
  if (!options_.metrics_address.empty())
    metrics_server_.Listen(options_.metrics_address);
  EndStartPart(StartPart::kPorts);
  const auto adopt = [this] { AdoptList(); };
  list_watch_.Start(adopt);
  registration_watch_.Start([] {});
  retirement_watch_.Start([] {});
  KeepRunning(io_, "loop clock",
              [this] { return LoopClock::Of(io_).RunTurns(kTurnInterval); });
  KeepRunning(io_, "registration", [this] { return Register(); });
  KeepRunning(io_, "membership", [this] { return RunMembership(); });
  KeepRunning(io_, "repair", [this] { return RunRepair(); });
}

ArchiveTime ArchiveNode::Now() const {
  return {.uptime_ms = earlier_uptime_ms_ + SteadyMs() - started_ms_,
          .unix_ms = UnixMs()};
}

void ArchiveNode::ReplayEntry(const JournalRecord& record) {
  ArchiveTime written = record.written;
  if (written.unix_ms == 0) written.unix_ms = UnixMs();
  earlier_uptime_ms_ = std::max(earlier_uptime_ms_, written.uptime_ms);
  if (const auto* fence = std::get_if<FenceCall>(&record.entry))
    fence_ = std::max(fence_, fence->version);
  else if (const auto* turn = std::get_if<TurnRecord>(&record.entry))
    archive_.Apply(*turn, written);
  else
    archive_.Apply(std::get<TokenReservation>(record.entry), written);
}

void ArchiveNode::Replay() {
  size_t entries = 0;
  const auto apply = [&](const std::string& bytes) {
    ReplayEntry(DecodeEntry(bytes));
    if (++entries % kReplayedBetweenSweeps == 0)
      archive_.RemoveExpired(earlier_uptime_ms_);
  };
  journal_.Replay(apply, ThrowIfStopRequested);
  archive_.RemoveExpired(earlier_uptime_ms_);
  EventLine(Event::kJournal)
      .Text("outcome", "replayed")
      .Number("entries", static_cast<int64_t>(entries))
      .Number("turns", static_cast<int64_t>(archive_.turns()))
      .Text("member", std::to_string(id_));
}

bool ArchiveNode::IsMember() const {
  return std::any_of(list_.members.begin(), list_.members.end(),
                     [this](const ArchiveMember& m) { return m.id == id_; });
}

void ArchiveNode::AdoptList() {
  try {
    uint64_t revision = 0;
    MemberList list = MemberListFromObjects(list_watch_.objects(), revision);
    if (list.version <= list_.version) return;
    list_ = std::move(list);
    list_revision_ = revision;
    EventLine(Event::kMembersChanged)
        .Number("version", static_cast<int64_t>(list_.version))
        .Text("list", EncodeMemberList(list_))
        .Text("self", std::to_string(id_));
  } catch (const StateError& e) {
    EventLine(Event::kHandlerFailed).Text("error", e.what());
  }
}

asio::awaitable<void> ArchiveNode::Serve(const CallerRequest& request,
                                         ResponseWriter& answer) {
  ResponseWriter::Header header;
  if (request.header.target() == "/metrics") {
    header.result(http::status::ok);
    header.set(http::field::content_type, "text/plain; version=0.0.4");
    co_await answer.Send(std::move(header), MetricsText());
    co_return;
  }
  ++calls_;
  std::optional<ArchiveCall> call;
  try {
    call = DecodeCall(request.body);
  } catch (const StateError& e) {
    EventLine(Event::kHandlerFailed).Text("error", e.what());
  }
  if (!call) {
    header.result(http::status::bad_request);
    co_await answer.Send(std::move(header), "");
    co_return;
  }
  if (const auto* history = std::get_if<HistoryCall>(&call->body)) {
    co_await answer.Hold(
        kCopiesOfAnswer * archive_.HistoryBytes(history->turn, history->team),
        steady_clock::now() + kMaxWaitForRoom);
  }
  if (std::holds_alternative<FetchCall>(call->body)) {
    co_await answer.Hold(kCopiesOfAnswer * kFetchPageBytes,
                         steady_clock::now() + kMaxWaitForRoom);
  }
  const bool pages = std::holds_alternative<CopyCall>(call->body) ||
                     std::holds_alternative<DigestCall>(call->body) ||
                     std::holds_alternative<FetchCall>(call->body);
  const auto began = steady_clock::now();
  ArchiveReply reply = co_await Handle(std::move(*call));
  reply.member = id_;
  reply.intact = IsMember();
  reply.list_version = std::max(list_.version, fence_);
  reply.store_overdue_ms = store_.OverdueMs();
  header.result(http::status::ok);
  std::string body = EncodeReply(reply);
  if (pages) {
    // No page waits for the disk.
    ++pages_served_;
    page_bytes_ += body.size();
    page_time_ += steady_clock::now() - began;
  }
  co_await answer.Send(std::move(header), std::move(body));
}

asio::awaitable<ArchiveReply> ArchiveNode::Handle(ArchiveCall call) {
  ArchiveReply reply{.verdict = ArchiveVerdict::kDone};
  const ArchiveTime now = Now();
  if (std::holds_alternative<PingCall>(call.body)) {
    // Tells a host that drives a change whether the copy is complete.
    reply.next = copied_version_;
    co_return reply;
  }
  if (const auto* fence = std::get_if<FenceCall>(&call.body)) {
    const uint64_t version = std::max(fence_, fence->version);
    fence_ = version;
    const JournalEntry entry = FenceCall{version};
    if (!co_await Commit(entry)) reply.verdict = ArchiveVerdict::kFailed;
    co_return reply;
  }
  if (const auto* copy = std::get_if<CopyCall>(&call.body)) {
    AddPage(archive_.ReadPage(copy->from, kCopyPageBytes, now), reply);
    co_return reply;
  }
  if (call.list_version < fence_) {
    reply.verdict = ArchiveVerdict::kStaleList;
    if (list_.version > call.list_version)
      reply.members = EncodeMemberList(list_);
    co_return reply;
  }
  if (const auto* digest = std::get_if<DigestCall>(&call.body)) {
    auto page = archive_.ReadDigest(digest->from, kMaxDigestEntries,
                                    now.uptime_ms - kArchiveSettleMs, now,
                                    digest->scope);
    reply.run = run_;
    reply.scope = digest->scope;
    reply.digest = std::move(page.entries);
    reply.next = page.next;
    reply.more = page.more;
    co_return reply;
  }
  if (const auto* fetch = std::get_if<FetchCall>(&call.body)) {
    reply.scope = fetch->scope;
    if (fetch->run != run_)
      reply.verdict = ArchiveVerdict::kFailed;
    else
      AddPage(archive_.ReadRecords(fetch->positions, kFetchPageBytes, now,
                                   fetch->scope),
              reply);
    co_return reply;
  }
  if (const auto* history = std::get_if<HistoryCall>(&call.body)) {
    const size_t bytes = archive_.HistoryBytes(history->turn, history->team);
    if (archive_.max_bytes() > 0 && bytes > archive_.max_history_bytes()) {
      reply.verdict = RefuseFull("history", history->team);
      co_return reply;
    }
    auto found = archive_.HistoryOf(history->turn, history->team);
    reply.turns = std::move(found.turns);
    reply.missing = std::move(found.missing);
    co_return reply;
  }
  if (const auto* collect = std::get_if<CollectCall>(&call.body)) {
    reply.reservations = archive_.ReservationsOf(collect->program);
    co_return reply;
  }
  if (auto* turn = std::get_if<TurnRecord>(&call.body)) {
    if (!archive_.MayKeep(*turn)) {
      reply.verdict = RefuseFull("turn", turn->team);
      co_return reply;
    }
    archive_.Apply(*turn, now);
    const JournalEntry entry = std::move(*turn);
    if (!co_await Commit(entry)) reply.verdict = ArchiveVerdict::kFailed;
    co_return reply;
  }
  const auto reservation = std::get<TokenReservation>(call.body);
  if (!archive_.MayBegin(reservation.team)) {
    if (!reservation.settled) {
      reply.verdict = RefuseFull("reservation", reservation.team);
      co_return reply;
    }
    // What was refused here takes no room when the turn is given up.
    const bool given_up = reservation.tokens == 0;
    if (given_up && !archive_.HasReservation(reservation)) co_return reply;
  }
  archive_.Apply(reservation, now);
  // The reply lists the reservations made before this call; the replies to
  // later ones will list this one. Of two reservations at least one sees the
  // other.
  if (!reservation.settled)
    reply.reservations = archive_.ReservationsOf(reservation.program);
  const JournalEntry entry = reservation;
  if (!co_await Commit(entry)) reply.verdict = ArchiveVerdict::kFailed;
  co_return reply;
}

ArchiveVerdict ArchiveNode::RefuseFull(std::string_view what,
                                       const std::string& team) {
  ++refused_full_;
  EventLine(Event::kArchiveFailed)
      .Text("what", what)
      .Text("error", "full")
      .Text("team", team)
      .Number("bytes", static_cast<int64_t>(archive_.bytes()))
      .Number("max_bytes", static_cast<int64_t>(archive_.max_bytes()));
  return ArchiveVerdict::kFull;
}

asio::awaitable<bool> ArchiveNode::Commit(const JournalEntry& entry) {
  PendingEntry pending = MakePendingEntry(EncodeEntry(entry, Now()));
  const auto done_signal = pending.done_signal;
  const auto outcome = pending.outcome;
  pending_.push_back(std::move(pending));
  if (!sync_in_progress_) StartBatch();
  while (*outcome < 0) {
    boost::system::error_code ignored;  // cancelling the timer is the signal
    co_await done_signal->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *outcome == 1;
}

ArchiveNode::PendingEntry ArchiveNode::MakePendingEntry(std::string bytes) {
  return {.bytes = std::move(bytes),
          .done_signal = std::make_shared<asio::steady_timer>(
              io_, steady_clock::time_point::max()),
          .outcome = std::make_shared<int>(-1)};
}

void ArchiveNode::StartBatch() {
  sync_in_progress_ = true;
  batch_ = std::move(pending_);
  pending_.clear();
  auto entries = std::make_shared<std::vector<std::string>>();
  for (PendingEntry& pending : batch_)
    entries->push_back(std::move(pending.bytes));
  const bool offered = disk_.Offer([this, entries] {
    bool synced = true;
    const int64_t began_ms = SteadyMs();
    try {
      journal_.Append(*entries);
      journal_.RemoveExpired(UnixMs(), kSegmentRetentionMs);
    } catch (const std::exception& e) {
      // Of any type: the batch must end, or no later one starts.
      synced = false;
      EventLine(Event::kJournal)
          .Text("outcome", "failed")
          .Text("error", e.what());
    }
    const int64_t took_ms = SteadyMs() - began_ms;
    if (took_ms >= kSlowSyncMs)
      EventLine(Event::kJournal)
          .Text("outcome", "slow_sync")
          .Number("entries", static_cast<int64_t>(entries->size()))
          .Number("took_ms", took_ms);
    asio::post(io_, [this, synced, took_ms] {
      slowest_sync_ms_ = std::max(slowest_sync_ms_, took_ms);
      FinishBatch(synced);
    });
  });
  if (!offered) asio::post(io_, [this] { FinishBatch(false); });
}

void ArchiveNode::FinishBatch(bool synced) {
  ++syncs_;
  if (!synced) ++failed_syncs_;
  for (PendingEntry& pending : batch_) {
    if (!pending.outcome) continue;
    *pending.outcome = synced ? 1 : 0;
    pending.done_signal->cancel();
  }
  batch_.clear();
  sync_in_progress_ = false;
  if (!pending_.empty()) StartBatch();
}

std::string ArchiveNode::MetricsText() const {
  std::ostringstream out;
  out << "pimento_archive_turns " << archive_.turns() << "\n"
      << "pimento_archive_programs " << archive_.programs() << "\n"
      << "pimento_archive_bytes " << archive_.bytes() << "\n"
      << "pimento_archive_bytes_limit " << archive_.max_bytes() << "\n"
      << "pimento_archive_refused_full_total " << refused_full_ << "\n"
      << "pimento_archive_calls_total " << calls_ << "\n"
      << "pimento_archive_repaired_total " << repaired_ << "\n"
      << "pimento_archive_repair_failures_total " << repair_failures_ << "\n"
      << "pimento_archive_gaps " << archive_.gaps() << "\n"
      << "pimento_archive_pages_total " << pages_served_ << "\n"
      << "pimento_archive_page_bytes_total " << page_bytes_ << "\n"
      << "pimento_archive_page_ms_total "
      << duration_cast<milliseconds>(page_time_).count() << "\n"
      << "pimento_archive_syncs_total " << syncs_ << "\n"
      << "pimento_archive_slowest_sync_ms " << slowest_sync_ms_ << "\n"
      << "pimento_archive_store_overdue_ms " << store_.OverdueMs() << "\n"
      << "pimento_archive_list_version " << list_.version << "\n";
  return out.str() + broker_.MetricsText() +
         CallerServer::MetricsText({&server_, &metrics_server_});
}

}  // namespace pimento
