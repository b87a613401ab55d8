#include "src/store_watch.h"

#include <algorithm>
#include <set>
#include <utility>

#include "platform/store_mirror.h"
#include "src/background_loop.h"
#include "src/event_log.h"
#include "src/loop_clock.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Owners that are alive have renewed their objects within this time of the
// store's return.
constexpr milliseconds kDeleteHold{2'000};
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kMaxPause{400};
// Maximum wait at another host, which bounds the time to notice its failure.
constexpr milliseconds kMirrorWait{1'500};
// Failing sources that are tried in a row before the first pause.
constexpr int kSourcesBeforePause = 3;
// Objects of longer answers are encoded for other hosts in steps of this
// length, others when they are asked for.
constexpr size_t kLongAnswerBytes = 64 * 1024;
constexpr size_t kStepBytes = 16 * 1024;
// Batches of changes retained for other hosts.
constexpr size_t kMaxHistoryBatches = 256;

}  // namespace

StoreWatch::StoreWatch(asio::io_context& io, platform::StoreClient& store,
                       StoreWatchOptions options)
    : io_(io),
      store_(store),
      options_(std::move(options)),
      source_{.client = &store} {}

void StoreWatch::Start(std::function<void()> on_change) {
  StartTakingIn([on_change = std::move(on_change)]() -> asio::awaitable<void> {
    on_change();
    co_return;
  });
}

void StoreWatch::StartTakingIn(std::function<Async<void>()> on_change) {
  on_change_ = std::move(on_change);
  KeepRunning(io_, "watch of " + options_.kind, [this] { return Run(); });
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
    const bool try_next_source =
        !source_.host.empty() && failed_sources < kSourcesBeforePause;
    if (try_next_source) continue;
    asio::steady_timer timer(io_, pause);
    co_await timer.async_wait(asio::use_awaitable);
    pause = std::min(pause * 2, kMaxPause);
  }
}

void StoreWatch::ApplySourceStatus(const platform::MirrorStatus& status) {
  if (!source_.host.empty()) store_.AddRelayedOverdue(status.overdue_ms);
  source_is_new_ = false;
  if (!status.store_unreachable) {
    OnStoreRegained();
    return;
  }
  OnStoreLost("The host " + source_.host +
              " reports that it cannot reach the store.");
  throw platform::StoreError("The host cannot reach the store itself.");
}

asio::awaitable<void> StoreWatch::Relist() {
  const auto asked = BootClock::now();
  platform::StoreList list = co_await source_.client->List(options_.kind);
  ApplySourceStatus(list.mirror);
  const bool behind = !source_.host.empty() && list.revision < max_revision_;
  if (behind)
    throw platform::StoreError(
        "The mirror of the host is older than this one.");
  std::set<std::string> present;
  for (auto& object : list.objects) {
    present.insert(object.name);
    held_deletes_.erase(object.name);
    objects_[object.name] = std::move(object);
  }
  std::vector<std::string> gone;
  for (const auto& [name, object] : objects_) {
    if (present.count(name) == 0) gone.push_back(name);
  }
  for (const std::string& name : gone) RemoveOrHold(name);
  revision_ = list.revision;
  max_revision_ = std::max(max_revision_, revision_);
  // The individual changes up to this list are unknown, so hosts that read this
  // mirror must list again too.
  history_.clear();
  history_start_ = revision_;
  known_ = true;
  fresh_as_of_ = asked - milliseconds(list.mirror.age_ms);
  ApplyHeldDeletes();
  if (source_.host.empty() && list.bytes > kLongAnswerBytes)
    co_await EncodeForOthers({present.begin(), present.end()});
  WakeWaiters();
  co_await on_change_();
  taken_in_as_of_ = fresh_as_of_;
}

asio::awaitable<void> StoreWatch::WatchOnce() {
  const auto asked = BootClock::now();
  // With deletions held, the call returns early so that they are applied when
  // the hold ends. After an outage and at a new source, the first call does not
  // wait.
  milliseconds wait = held_deletes_.empty() ? options_.wait : kFirstPause * 2;
  if (!reachable_ || source_is_new_) wait = milliseconds(0);
  if (!source_.host.empty()) wait = std::min(wait, kMirrorWait);
  platform::StoreChanges changes =
      co_await source_.client->Watch(options_.kind, revision_, wait);
  if (changes.history_gone) {
    revision_ = 0;
    co_return;
  }
  ApplySourceStatus(changes.mirror);
  Batch batch{.revision = changes.revision, .changes = {}};
  std::vector<std::string> present;
  for (auto& event : changes.events) {
    const std::string name = event.object.name;
    batch.changes.push_back({.name = name,
                             .revision = event.object.revision,
                             .deleted = event.deleted});
    if (event.deleted) {
      RemoveOrHold(name);
      continue;
    }
    held_deletes_.erase(name);
    objects_[name] = std::move(event.object);
    present.push_back(name);
  }
  if (source_.host.empty() && changes.bytes > kLongAnswerBytes)
    co_await EncodeForOthers(std::move(present));
  // Another host's mirror may be behind this one; the revision never decreases.
  const bool from_store = source_.host.empty();
  revision_ =
      from_store ? changes.revision : std::max(revision_, changes.revision);
  max_revision_ = std::max(max_revision_, revision_);
  fresh_as_of_ =
      std::max(fresh_as_of_, asked - milliseconds(changes.mirror.age_ms));
  const bool held = !held_deletes_.empty();
  const bool changed = !batch.changes.empty();
  if (changed) AppendToHistory(std::move(batch));
  ApplyHeldDeletes();
  if (changed || held) co_await on_change_();
  taken_in_as_of_ = fresh_as_of_;
}

asio::awaitable<void> StoreWatch::EncodeForOthers(
    std::vector<std::string> names) {
  for (const std::string& name : names) {
    const auto object = objects_.find(name);
    if (object == objects_.end()) continue;
    platform::MirrorTextEncoder encoder(object->second);
    while (encoder.Step(kStepBytes)) co_await YieldToLoop();
  }
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

platform::MirrorStatus StoreWatch::LocalStatus() const {
  const auto age =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - fresh_as_of_);
  return {.age_ms = age.count(),
          .overdue_ms = store_.OverdueMs(),
          .store_unreachable = !reachable_};
}

platform::StoreList StoreWatch::ServeList() const {
  platform::StoreList list{.revision = revision_, .mirror = LocalStatus()};
  for (const auto& [name, object] : objects_) {
    if (held_deletes_.count(name) == 0)
      list.objects.push_back(platform::MirrorCopy(object));
  }
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
    boost::system::error_code ignored;  // WakeWaiters() cancels the timer
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    waiters_.erase(&timer);
  }
  platform::StoreChanges changes{.revision = revision_,
                                 .mirror = LocalStatus()};
  changes.history_gone = revision < history_start_;
  for (const Batch& batch : history_) {
    if (batch.revision <= revision) continue;
    for (const Change& change : batch.changes) {
      if (change.deleted) {
        changes.events.push_back(
            {{.name = change.name, .revision = change.revision}, true});
        continue;
      }
      // An object that has changed or gone since is in a later change.
      const auto object = objects_.find(change.name);
      if (object != objects_.end() &&
          object->second.revision == change.revision)
        changes.events.push_back({platform::MirrorCopy(object->second), false});
    }
  }
  co_return changes;
}

bool StoreWatch::IsHoldingDeletes() const {
  const auto ended_ms = store_.outage_ended_ms();
  return options_.hold_deleted && ended_ms &&
         BootMs() < *ended_ms + kDeleteHold.count();
}

void StoreWatch::RemoveOrHold(const std::string& name) {
  if (IsHoldingDeletes())
    held_deletes_[name] = true;
  else
    objects_.erase(name);
}

void StoreWatch::ApplyHeldDeletes() {
  if (IsHoldingDeletes()) return;
  for (const auto& [name, held] : held_deletes_) objects_.erase(name);
  held_deletes_.clear();
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
  EventLine(Event::kDependencyRegained)
      .Text("dependency", "store")
      .Text("kind", options_.kind);
}

}  // namespace pimento
