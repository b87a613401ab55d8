#include "src/store_watch.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Entries of owners that live are back within this time of the store's return.
constexpr milliseconds kDeleteHold{2'000};
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kMaxPause{400};
// Longest wait at another host, so that its silence is noticed.
constexpr milliseconds kReplicaWait{1'500};
// Sources that are tried one right after the other when each of them fails.
constexpr int kSourcesBeforePause = 3;
// Batches of changes that are kept for other hosts.
constexpr size_t kMaxHistoryBatches = 256;

}  // namespace

StoreWatch::StoreWatch(asio::io_context& io, platform::StoreClient& store,
                       StoreWatchOptions options)
    : io_(io),
      store_(store),
      options_(std::move(options)),
      source_{.client = &store} {}

void StoreWatch::Start(std::function<void()> on_change) {
  on_change_ = std::move(on_change);
  asio::co_spawn(io_, Run(), asio::detached);
}

asio::awaitable<void> StoreWatch::Run() {
  milliseconds pause = kFirstPause;
  int failed_sources = 0;
  for (;;) {
    const StoreSource before = source_;
    source_ = options_.source ? options_.source() : StoreSource{&store_, {}};
    if (source_.host != before.host) {
      source_is_new_ = true;
      WakeWaiters();
    }
    try {
      if (known_ && revision_ != 0)
        co_await WatchOnce();
      else
        co_await Relist();
      pause = kFirstPause;
      failed_sources = 0;
      continue;
    } catch (const platform::StoreError& e) {
      if (source_.host.empty()) OnStoreLost(e.what());
      if (options_.on_source_failed)
        options_.on_source_failed(source_.host, e.what());
      ++failed_sources;
    }
    const bool others_left =
        !source_.host.empty() && failed_sources < kSourcesBeforePause;
    if (others_left) continue;
    asio::steady_timer timer(io_, pause);
    co_await timer.async_wait(asio::use_awaitable);
    pause = std::min(pause * 2, kMaxPause);
  }
}

void StoreWatch::ApplySourceFacts(const platform::CopyFacts& facts) {
  source_facts_ = facts;
  source_is_new_ = false;
  if (!facts.store_away) {
    OnStoreRegained();
    return;
  }
  OnStoreLost("The host " + source_.host + " has lost it.");
  throw platform::StoreError("The store is away there.");
}

asio::awaitable<void> StoreWatch::Relist() {
  const auto asked = BootClock::now();
  platform::StoreList list = co_await source_.client->List(options_.kind);
  ApplySourceFacts(list.copy);
  const bool behind = !source_.host.empty() && list.revision < max_revision_;
  if (behind) throw platform::StoreError("The copy there is behind.");
  std::set<std::string> present;
  for (auto& object : list.objects) {
    present.insert(object.name);
    pending_deletes_.erase(object.name);
    objects_[object.name] = std::move(object);
  }
  std::vector<std::string> gone;
  for (const auto& [name, object] : objects_) {
    if (present.count(name) == 0) gone.push_back(name);
  }
  for (const std::string& name : gone) RemoveOrHold(name);
  revision_ = list.revision;
  max_revision_ = std::max(max_revision_, revision_);
  // What changed on the way here is not known: others must list too.
  history_.clear();
  history_start_ = revision_;
  known_ = true;
  fresh_as_of_ = asked - milliseconds(list.copy.age_ms);
  DropHeld();
  WakeWaiters();
  on_change_();
}

asio::awaitable<void> StoreWatch::WatchOnce() {
  const auto asked = BootClock::now();
  // A hold that is due to end must not wait for the next change.
  // After an outage the first answer must not wait for a change either.
  milliseconds wait =
      pending_deletes_.empty() ? options_.wait : kFirstPause * 2;
  if (!reachable_ || source_is_new_) wait = milliseconds(0);
  if (!source_.host.empty()) wait = std::min(wait, kReplicaWait);
  platform::StoreChanges changes =
      co_await source_.client->Watch(options_.kind, revision_, wait);
  if (changes.history_gone) {
    revision_ = 0;
    co_return;
  }
  ApplySourceFacts(changes.copy);
  Batch batch{.revision = changes.revision, .events = changes.events};
  for (auto& event : changes.events) {
    const std::string name = event.object.name;
    if (event.deleted) {
      RemoveOrHold(name);
      continue;
    }
    pending_deletes_.erase(name);
    objects_[name] = std::move(event.object);
  }
  // Another host's copy may be behind this one: then there was nothing new.
  const bool from_store = source_.host.empty();
  revision_ =
      from_store ? changes.revision : std::max(revision_, changes.revision);
  max_revision_ = std::max(max_revision_, revision_);
  fresh_as_of_ =
      std::max(fresh_as_of_, asked - milliseconds(changes.copy.age_ms));
  const bool held = !pending_deletes_.empty();
  const bool changed = !batch.events.empty();
  if (changed) AppendToHistory(std::move(batch));
  DropHeld();
  if (changed || held) on_change_();
}

void StoreWatch::AppendToHistory(Batch batch) {
  history_.push_back(std::move(batch));
  while (history_.size() > kMaxHistoryBatches) {
    history_start_ = history_.front().revision;
    history_.pop_front();
  }
  WakeWaiters();
}

void StoreWatch::WakeWaiters() {
  for (asio::steady_timer* timer : waiters_) timer->cancel();
}

platform::CopyFacts StoreWatch::ReplicaFacts() const {
  const auto age =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - fresh_as_of_);
  return {.age_ms = age.count(),
          .silent_ms = store_.SilentMs(),
          .store_away = !reachable_};
}

platform::StoreList StoreWatch::ServeList() const {
  platform::StoreList list{.revision = revision_, .copy = ReplicaFacts()};
  for (const auto& [name, object] : objects_) list.objects.push_back(object);
  return list;
}

asio::awaitable<platform::StoreChanges> StoreWatch::ServeWatch(
    uint64_t revision, milliseconds wait) {
  const auto until = steady_clock::now() + wait;
  const auto has_changes = [&] {
    return !history_.empty() && history_.back().revision > revision;
  };
  while (!has_changes() && reachable_ && CanServe() &&
         revision >= history_start_ && steady_clock::now() < until) {
    asio::steady_timer timer(io_, until);
    waiters_.insert(&timer);
    boost::system::error_code ignored;  // the timer rings by cancelling
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    waiters_.erase(&timer);
  }
  platform::StoreChanges changes{.revision = revision_, .copy = ReplicaFacts()};
  changes.history_gone = revision < history_start_;
  for (const Batch& batch : history_) {
    if (batch.revision <= revision) continue;
    changes.events.insert(changes.events.end(), batch.events.begin(),
                          batch.events.end());
  }
  co_return changes;
}

bool StoreWatch::HoldsDeletes() const {
  return options_.hold_deleted && steady_clock::now() < hold_until_;
}

void StoreWatch::RemoveOrHold(const std::string& name) {
  if (HoldsDeletes())
    pending_deletes_[name] = true;
  else
    objects_.erase(name);
}

void StoreWatch::DropHeld() {
  if (HoldsDeletes()) return;
  for (const auto& [name, held] : pending_deletes_) objects_.erase(name);
  pending_deletes_.clear();
}

void StoreWatch::OnStoreLost(const std::string& error) {
  if (!reachable_) return;
  reachable_ = false;
  EventLine(Event::kDependencyLost)
      .Text("dependency", "store")
      .Text("kind", options_.kind)
      .Text("error", error);
  WakeWaiters();
}

void StoreWatch::OnStoreRegained() {
  if (reachable_) return;
  reachable_ = true;
  hold_until_ = steady_clock::now() + kDeleteHold;
  EventLine(Event::kDependencyRegained)
      .Text("dependency", "store")
      .Text("kind", options_.kind);
}

}  // namespace pimento
