// Mirrors the store's objects of one kind: lists them once, then watches for
// changes, either at the store itself or at another host's mirror.
//
// The mirror has an age: at `fresh_as_of` it was known to match the store.
// Objects that are deleted in an outage of the store (see store_contact.h), or
// within `kDeleteHold` of its end, are kept until that hold ends: their owners
// may only have been unable to reach the store and renew them.
//
// Other hosts can read the mirror: ServeList() and ServeWatch() answer them as
// the store would, and add the mirror's age. They never show what only the hold
// keeps: each reader holds deletions back itself.
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
  // The host whose mirror it is; empty for the store itself.
  std::string host = {};
};

struct StoreWatchOptions {
  std::string kind = {};
  // Maximum time for which a watch call waits at the source for a change.
  std::chrono::milliseconds wait{4'000};
  // True if deletions that come with an outage are applied only after a hold.
  bool hold_deleted = false;
  // Chooses the source before each call; if not set, the store itself is used.
  std::function<StoreSource()> source = {};
  // Called when the mirror of `host` cannot be used, or the store itself if
  // `host` is empty.
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

  // Starts reading. Calls `on_change` after each list and each batch of
  // changes.
  void Start(std::function<void()> on_change);
  // The same for changes that are taken in step by step. The objects stay as
  // they are until `on_change` returns.
  void StartTakingIn(std::function<Async<void>()> on_change);

  // Takes effect with the next call.
  void set_wait(std::chrono::milliseconds wait) { options_.wait = wait; }
  std::chrono::milliseconds wait() const { return options_.wait; }

  const std::string& kind() const { return options_.kind; }
  const Objects& objects() const { return objects_; }
  // True once a list has been read.
  bool known() const { return known_; }
  // Latest time at which the mirror is known to have matched the store.
  BootClock::time_point fresh_as_of() const { return fresh_as_of_; }
  // The same for what `on_change` has taken in.
  BootClock::time_point taken_in_as_of() const { return taken_in_as_of_; }
  // Time since then, milliseconds.
  int64_t AgeMs() const { return BootMs() - BootMs(fresh_as_of_); }
  // Revision of the mirror; 0 if it must be listed again.
  uint64_t revision() const { return revision_; }
  // Number of objects that only the hold keeps.
  size_t held() const { return held_deletes_.size(); }
  // False while the store is unreachable, for this host or for its source.
  bool reachable() const { return reachable_; }
  // The source of the last call.
  const StoreSource& source() const { return source_; }

  // True if other hosts may be served: the mirror is read from the store
  // itself.
  bool CanServe() const { return known_ && source_.host.empty(); }
  platform::StoreList ServeList() const;
  // Returns the changes after `revision`. Waits up to `wait` for a change, for
  // the loss of the store, or for a change of the source. Sets `history_gone`
  // if those changes are no longer retained.
  Async<platform::StoreChanges> ServeWatch(uint64_t revision,
                                           std::chrono::milliseconds wait);

 private:
  // A change of an object, which itself is in `objects_`.
  struct Change {
    std::string name;
    uint64_t revision = 0;
    bool deleted = false;
  };
  // Changes received in one answer, and the revision after them.
  struct Batch {
    uint64_t revision = 0;
    std::vector<Change> changes;
  };

  Async<void> Run();
  Async<void> Relist();
  Async<void> WatchOnce();
  bool IsHoldingDeletes() const;
  void OnStoreLost(const std::string& error);
  void OnStoreRegained();
  void RemoveOrHold(const std::string& name);
  void ApplyHeldDeletes();
  // Takes over the status that the source reported. Throws StoreError when the
  // source has lost the store itself.
  void ApplySourceStatus(const platform::MirrorStatus& status);
  void AppendToHistory(Batch batch);
  // Encodes objects of a long answer for other hosts, in steps.
  Async<void> EncodeForOthers(std::vector<std::string> names);
  void WakeWaiters();
  platform::MirrorStatus LocalStatus() const;

  boost::asio::io_context& io_;
  platform::StoreClient& store_;
  StoreWatchOptions options_;
  std::function<Async<void>()> on_change_;
  StoreSource source_;
  Objects objects_;
  // Names of objects whose deletion is held back. The store no longer has them.
  std::map<std::string, bool> held_deletes_;
  // The newest changes. Complete for revisions after `history_start_`.
  std::deque<Batch> history_;
  uint64_t history_start_ = 0;
  // Timers of the ServeWatch() calls that are waiting.
  std::set<boost::asio::steady_timer*> waiters_;
  // True until the current source has answered once; its first call does not
  // wait for a change.
  bool source_is_new_ = false;
  // Revision of the mirror; 0 if it must be listed again.
  uint64_t revision_ = 0;
  // Highest revision of any list or watch. A list from a mirror that is behind
  // it is rejected.
  uint64_t max_revision_ = 0;
  bool known_ = false;
  bool reachable_ = true;
  BootClock::time_point fresh_as_of_{};
  BootClock::time_point taken_in_as_of_{};
};

}  // namespace pimento
