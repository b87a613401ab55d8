// An archive host: stores turn records and token reservations in memory and in
// a journal on disk, serves them to gateways, and takes part in changes of the
// member list.
//
// Writes use group commit: entries that arrive while a sync is in progress are
// written and synced together in the next batch.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_client.h"
#include "src/archive_codec.h"
#include "src/archive_journal.h"
#include "src/archive_rpc.h"
#include "src/byte_broker.h"
#include "src/caller_connection.h"
#include "src/connection_limits.h"
#include "src/loop_delay.h"
#include "src/member_list.h"
#include "src/store_watch.h"
#include "src/turn_archive.h"
#include "src/worker_thread.h"

namespace pimento {

struct ArchiveNodeOptions {
  std::string host = {};
  std::string zone = {};
  // "IP:port" for calls from gateways and other archive hosts.
  std::string address = {};
  // "IP:port" that also serves metrics, path /metrics; empty for none.
  std::string metrics_address = {};
  std::string data_dir = {};
  // True only when the whole system starts for the first time. This host may
  // then create the first member list.
  bool first_start = false;
  // Number of hosts whose disks may be lost at the same time. Each record is
  // stored on at least one more host.
  int64_t tolerated_losses = 1;
  // Time allowed for revoking a key, milliseconds: during an outage of the
  // store gateways rely on the archives' word that they have lost it too.
  int64_t revoke_ms = 5'000;
  // Memory and descriptors of the process; 0 when not set.
  int64_t memory_mb = 0;
  int64_t max_fds = 0;
};

// Runs on the thread of `io`; journal writes run on the thread of `disk`.
class ArchiveNode {
 public:
  ArchiveNode(boost::asio::io_context& io, WorkerThread& disk,
              platform::StoreClient& store, ConnectionPool& pool,
              ArchiveNodeOptions options);

  // Replays the journal, listens, and starts registration and membership in
  // the background. Throws StateError, TransportError.
  void Start();

 private:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  // Options of the server named `listener`, with that limit on connections.
  CallerServerOptions ServerOptions(const std::string& listener,
                                    size_t ConnectionLimits::*limit);
  Async<void> Serve(const CallerRequest& request, ResponseWriter& answer);
  std::string MetricsText() const;
  Async<ArchiveReply> Handle(ArchiveCall call);
  // Counts and logs a record of `team` for which there is no room.
  ArchiveVerdict RefuseFull(std::string_view what, const std::string& team);
  // By the clocks of the records.
  ArchiveTime Now() const;
  // Reads the journal back.
  void Replay();
  void ReplayEntry(const JournalRecord& record);
  // Queues `entry` for the journal. Returns true once it is synced to disk, and
  // false when its batch failed. Entries queued earlier belong to the same or
  // an earlier batch.
  Async<bool> Commit(const JournalEntry& entry);
  // Hands all queued entries to the disk thread as one batch.
  void StartBatch();
  // Wakes the coroutines that wait for the batch, and starts the next one.
  void FinishBatch(bool synced);

  // Writes this host's registration to the store; retries until it is there.
  Async<void> Register();
  // Reconciles the member list periodically.
  Async<void> RunMembership();
  // Creates the first member list, if this host may.
  Async<void> CreateInitialList();
  // Replaces the list in the store unless it has changed since `list_` was
  // read. Throws platform::StoreError.
  Async<void> Propose(MemberList list);
  // As a member of `next`: copies the records, and completes the change once
  // every host that needs a copy has one.
  Async<void> AdvanceChange();
  // Fences the members of `list` and copies the records that this host lacks.
  // Returns true once the copy is complete and synced. What an unfinished copy
  // has brought is held, so the next one fetches only the rest.
  Async<bool> CopyFromMembers(const MemberList& list);
  // A copy in progress (archive_copy.cc).
  struct CopyRun;
  // Fences the members of the copy's list side by side. Returns those that
  // were, this host among them where it is one, or none when they are too few.
  Async<std::vector<ArchiveMember>> FenceMembers(const MemberList& list);
  // Returns false when the member refused or did not answer.
  Async<bool> FenceMember(const MemberList& list, ArchiveMember member);
  // Reads from all sources side by side, each to its end; `run.read` gets those
  // that were.
  Async<void> ReadSources(std::shared_ptr<CopyRun> run,
                          std::vector<ArchiveMember> sources);
  Async<void> ReadSourceOnce(std::shared_ptr<CopyRun> run,
                             ArchiveMember source);
  // Reads the digests of one source and fetches what nobody has claimed. Throws
  // TransportError.
  Async<void> ReadSource(CopyRun& run, const ArchiveMember& source);
  Async<void> FetchClaimed(CopyRun& run, const ArchiveMember& source,
                           uint64_t source_run,
                           std::vector<uint64_t> positions);
  Async<void> FetchInOrder(CopyRun& run, const ArchiveMember& source,
                           uint64_t source_run,
                           std::vector<uint64_t> positions);
  Async<ArchiveReply> AskSource(CopyRun& run, const ArchiveMember& source,
                                decltype(ArchiveCall::body) body);
  // Applies the records of a reply and queues them for the journal. Returns
  // their number.
  size_t Import(const ArchiveReply& reply);
  // Waits until the records imported so far are synced, and a fence with them.
  // Returns false if a sync failed since `failed_before` of them had.
  Async<bool> SyncImports(uint64_t fence, uint64_t failed_before);
  // Where the next digest of a member is read from.
  struct RepairCursor {
    // Of the member's process.
    uint64_t run = 0;
    uint64_t next = 0;
    // Last answer, by the steady clock.
    int64_t answered_ms = 0;
  };
  // Fetches what this member lacks from the other members, again and again.
  Async<void> RunRepair();
  void ForgetOldCursors();
  // Reads the digests of `member` to their end and fetches what is lacking.
  // Returns false when it did not answer.
  Async<bool> RepairFrom(ArchiveMember member);
  // The same for one page; returns whether more follow. Throws TransportError.
  Async<bool> RepairPage(const ArchiveMember& member, RepairCursor& cursor);
  // Fetches records and waits until they are synced. Throws TransportError.
  Async<void> Fetch(const ArchiveMember& member, uint64_t run,
                    std::vector<uint64_t> positions);
  // Throws TransportError also when the member refuses the call.
  Async<ArchiveReply> AskForRepair(const ArchiveMember& member,
                                   ArchiveCall call);
  // Reports the progress of host retirements to the platform.
  Async<void> UpdateRetirements();
  Async<void> UpdateRetirement(const std::string& host);
  Async<void> PingPeers();
  Async<void> Ping(ArchiveMember member);
  // False once the host of the member has registered under another id: its disk
  // is lost.
  bool IsRegistered(const ArchiveMember& member) const;
  // Takes over the watched member list if it is newer than `list_`.
  void AdoptList();
  MembershipInput MakePlanInput() const;
  // True when this host is in `list_.members`. It then holds the records
  // committed before it joined.
  bool IsMember() const;
  size_t TargetMemberCount() const;

  boost::asio::io_context& io_;
  WorkerThread& disk_;
  platform::StoreClient& store_;
  ArchiveNodeOptions options_;
  ArchiveRpc rpc_;
  ArchiveJournal journal_;
  TurnArchive archive_;
  // What the connections of this process hold.
  ByteBroker broker_;
  CallerServer server_;
  // Metrics, where they have an address of their own.
  CallerServer metrics_server_;
  uint64_t refused_full_ = 0;
  uint64_t id_ = 0;
  // Uptime of earlier runs, by the journal, and start of this one by the steady
  // clock, milliseconds.
  int64_t earlier_uptime_ms_ = 0;
  int64_t started_ms_ = 0;

  // An entry that is not synced yet.
  struct PendingEntry {
    std::string bytes;
    // Cancelled when `outcome` is set. Both are null when nobody waits.
    std::shared_ptr<boost::asio::steady_timer> done_signal;
    // -1 while pending, 0 when the sync failed, 1 when the entry is synced.
    std::shared_ptr<int> outcome;
  };
  PendingEntry MakePendingEntry(std::string bytes);
  // Entries for the next batch.
  std::vector<PendingEntry> pending_;
  // Entries of the batch that is being synced.
  std::vector<PendingEntry> batch_;
  bool sync_in_progress_ = false;

  StoreWatch registration_watch_;
  StoreWatch list_watch_;
  StoreWatch retirement_watch_;
  MemberList list_;
  // The store's revision of `list_`.
  uint64_t list_revision_ = 0;
  // Calls made under a list with a lower version are refused. Never decreases;
  // journaled.
  uint64_t fence_ = 0;
  // Version of the list with a change in progress for which this host has
  // copied all records.
  uint64_t copied_version_ = 0;
  // The last reply of another archive host.
  struct PeerReply {
    PeerTime at;
    // Its `copied_version_`.
    uint64_t copied_version = 0;
    int64_t store_overdue_ms = 0;
  };
  // Since `observing_since_`, by member id.
  std::map<uint64_t, PeerReply> last_reply_;
  // Start of the current observation of the peers: the start of the process or
  // the last time the membership was stable. A peer without a reply counts as
  // silent since then.
  PeerTime observing_since_;
  // Last time at which the membership was stable: no change in progress, no
  // retirement, and enough members.
  BootClock::time_point last_stable_{};
  // Names this run of the process in digests.
  uint64_t run_ = 0;
  // By member id.
  std::map<uint64_t, RepairCursor> repair_cursors_;
  // Last time without gaps in the chains, by the steady clock.
  int64_t no_gaps_ms_ = 0;
  uint64_t repaired_ = 0;
  uint64_t repair_failures_ = 0;
  uint64_t calls_ = 0;
  // Pages of records and of digests that other members read here, their bytes,
  // and the time that it took to read and encode them.
  uint64_t pages_served_ = 0;
  uint64_t page_bytes_ = 0;
  std::chrono::steady_clock::duration page_time_{};
  uint64_t syncs_ = 0;
  uint64_t failed_syncs_ = 0;
  int64_t slowest_sync_ms_ = 0;
};

// The archive's objects in the platform's store: one registration per host, and
// the member list.
inline constexpr const char* kArchiveKind = "pimento-archives";
inline constexpr const char* kMemberListKind = "pimento-members";
inline constexpr const char* kMemberListName = "main";

// Decodes the registration of `host`. Throws StateError.
ArchiveMember MemberFromRegistration(const std::string& host,
                                     const boost::json::value& spec);
// Returns the member list among `objects` and sets `revision` to the revision
// of its object; returns an empty list when there is none. Throws StateError.
MemberList MemberListFromObjects(const StoreWatch::Objects& objects,
                                 uint64_t& revision);

}  // namespace pimento
