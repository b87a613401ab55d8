// Keeps a copy of one kind of the store's objects: a list, then watches, of the
// store itself or of another host's copy.
//
// The copy has an age: at `fresh_as_of` the store's own word was no newer.
// Objects that vanish while the store is away, or within `kDeleteHold` of its
// return, are kept until that hold is over: their owners may only have been
// unable to reach it.
//
// The copy can be served on: ServeList() and ServeWatch() answer other hosts as
// the store would answer them, with the copy's age.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "platform/store_client.h"
#include "src/boot_clock.h"

namespace pimento {

// Where a watch reads.
struct StoreSource {
  platform::StoreClient* client = nullptr;
  // The host whose copy it is; empty for the store itself.
  std::string host = {};
};

struct StoreWatchOptions {
  std::string kind = {};
  // Longest a watch waits at the store.
  std::chrono::milliseconds wait{4'000};
  // True when vanished objects are held back after an outage.
  bool hold_deleted = false;
  // Chooses the source before each call; the store itself when not set.
  std::function<StoreSource()> source = {};
  // The copy of `host`, or with no host the store itself, cannot be used.
  std::function<void(const std::string& host, const std::string& error)>
      on_source_failed = {};
};

class StoreWatch {
 public:
  using Objects = std::map<std::string, platform::StoreObject>;
  template <class T>
  using Async = boost::asio::awaitable<T>;

  StoreWatch(boost::asio::io_context& io, platform::StoreClient& store,
             StoreWatchOptions options);

  // Calls `on_change` after each change, and once after the first list.
  void Start(std::function<void()> on_change);

  const std::string& kind() const { return options_.kind; }
  const Objects& objects() const { return objects_; }
  // True once a list has been read.
  bool known() const { return known_; }
  // Latest time at which the copy is known to have been the newest.
  BootClock::time_point fresh_as_of() const { return fresh_as_of_; }
  bool reachable() const { return reachable_; }
  // Where the last call went.
  const StoreSource& source() const { return source_; }
  // Facts about that copy; zero when it was the store itself.
  const platform::CopyFacts& source_facts() const { return source_facts_; }

  // True when other hosts may be served: the copy comes from the store itself.
  bool CanServe() const { return known_ && source_.host.empty(); }
  platform::StoreList ServeList() const;
  // Changes after `revision`; waits for one, or for the store's loss or return,
  // for `wait` at most.
  Async<platform::StoreChanges> ServeWatch(uint64_t revision,
                                           std::chrono::milliseconds wait);

 private:
  // Changes that came together, and the revision after them.
  struct Batch {
    uint64_t revision = 0;
    std::vector<platform::StoreEvent> events;
  };

  Async<void> Run();
  Async<void> Relist();
  Async<void> WatchOnce();
  bool HoldsDeletes() const;
  void OnStoreLost(const std::string& error);
  void OnStoreRegained();
  void RemoveOrHold(const std::string& name);
  void DropHeld();
  // Takes over what the source said of its copy. Throws StoreError when that
  // copy is of no use.
  void ApplySourceFacts(const platform::CopyFacts& facts);
  void AppendToHistory(Batch batch);
  void WakeWaiters();
  platform::CopyFacts ReplicaFacts() const;

  boost::asio::io_context& io_;
  platform::StoreClient& store_;
  StoreWatchOptions options_;
  std::function<void()> on_change_;
  StoreSource source_;
  platform::CopyFacts source_facts_;
  Objects objects_;
  // Objects that vanished while held, by name.
  std::map<std::string, bool> pending_deletes_;
  // The newest changes. All after `history_start_` are there.
  std::deque<Batch> history_;
  uint64_t history_start_ = 0;
  // Of those who wait in ServeWatch().
  std::set<boost::asio::steady_timer*> waiters_;
  // True until the present source has answered once: it is not to wait then.
  bool source_is_new_ = false;
  // Greatest revision that is known; 0 asks for a list.
  uint64_t revision_ = 0;
  // Greatest revision of any list or watch: no copy that is behind replaces it.
  uint64_t max_revision_ = 0;
  bool known_ = false;
  bool reachable_ = true;
  BootClock::time_point fresh_as_of_{};
  std::chrono::steady_clock::time_point hold_until_{};
};

}  // namespace pimento
