// A host of the archive: serves its part, keeps it on disk, and takes part in
// changes of the member list.
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
#include "src/caller_connection.h"
#include "src/duty.h"
#include "src/member_list.h"
#include "src/store_watch.h"
#include "src/turn_archive.h"

namespace pimento {

struct ArchiveNodeOptions {
  std::string host = {};
  std::string zone = {};
  // Where other hosts reach it.
  std::string address = {};
  // Where metrics are served, path /metrics; empty for nowhere.
  std::string metrics_address = {};
  std::string data_dir = {};
  // True only when the whole system starts for the first time: this host may
  // make the first member list.
  bool first_start = false;
  // Hosts whose disks may be lost at one time: a record is kept on one more.
  int64_t tolerated_losses = 1;
};

class ArchiveNode {
 public:
  ArchiveNode(boost::asio::io_context& io, Duty& disk,
              platform::StoreClient& store, ConnectionPool& pool,
              ArchiveNodeOptions options);

  // Reads the disk, listens, registers. Throws StateError, TransportError.
  void Start();

 private:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  Async<void> Serve(const CallerRequest& request, ResponseWriter& answer);
  std::string MetricsText() const;
  Async<ArchiveReply> Handle(ArchiveCall call);
  // Returns once `entry` is on disk, with all that was pending before it.
  Async<bool> Commit(const JournalEntry& entry);
  void StartBatch();
  void FinishBatch(bool synced);

  Async<void> Register();
  Async<void> RunMembership();
  Async<void> CreateFirstList();
  Async<void> Propose(MemberList list);
  Async<void> TakePartInChange();
  Async<bool> CopyAll(const MemberList& list);
  Async<void> FinishRetirements();
  Async<void> PingAll();
  void AdoptList();
  MembershipInput PlanInput() const;
  bool Intact() const;
  size_t MembersWanted() const;

  boost::asio::io_context& io_;
  Duty& disk_;
  platform::StoreClient& store_;
  ArchiveNodeOptions options_;
  ArchiveRpc rpc_;
  ArchiveJournal journal_;
  TurnArchive archive_;
  CallerServer server_;
  uint64_t id_ = 0;

  // One entry that waits to be synced.
  struct Pending {
    std::string bytes;
    std::shared_ptr<boost::asio::steady_timer> bell;
    std::shared_ptr<int> outcome;
  };
  Pending MakePending(std::string bytes);
  std::vector<Pending> pending_;
  std::vector<Pending> in_sync_;
  bool syncing_ = false;

  StoreWatch registrations_;
  StoreWatch lists_;
  StoreWatch retirements_;
  MemberList list_;
  // The store's revision of `list_`.
  uint64_t list_revision_ = 0;
  // Callers with an older list are refused.
  uint64_t fence_ = 0;
  // The list version for which this host holds a full copy.
  uint64_t copied_version_ = 0;
  // When each host last answered, and whether it was asked since the start.
  std::map<uint64_t, std::chrono::steady_clock::time_point> answered_;
  std::map<uint64_t, uint64_t> copied_by_;
  std::chrono::steady_clock::time_point started_;
  // When nothing about the members was last in motion.
  BootClock::time_point quiet_until_{};
  uint64_t calls_ = 0;
  uint64_t syncs_ = 0;
  uint64_t failed_syncs_ = 0;
  int64_t slowest_sync_ms_ = 0;
};

// Kinds of the system's own objects in the store.
inline constexpr const char* kArchiveKind = "pimento-archives";
inline constexpr const char* kMemberListKind = "pimento-members";
inline constexpr const char* kMemberListName = "main";

// The member that a registration describes. Throws StateError.
ArchiveMember MemberOf(const std::string& host, const boost::json::value& spec);
// The list that an object holds, or an empty one.
MemberList ListOf(const StoreWatch::Objects& objects, uint64_t& revision);

}  // namespace pimento
