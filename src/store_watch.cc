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
constexpr milliseconds kReturnHold{2'000};
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kMostPause{400};
// Longest wait at another host, so that its silence is noticed.
constexpr milliseconds kCopyWait{1'500};
// Sources that are tried one right after the other when each of them fails.
constexpr int kSourcesAtOnce = 3;
// Batches of changes that are kept for other hosts.
constexpr size_t kMostBatches = 256;

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
      Ring();
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
      if (source_.host.empty()) Lost(e.what());
      if (options_.on_source_failed)
        options_.on_source_failed(source_.host, e.what());
      ++failed_sources;
    }
    const bool others_left =
        !source_.host.empty() && failed_sources < kSourcesAtOnce;
    if (others_left) continue;
    asio::steady_timer timer(io_, pause);
    co_await timer.async_wait(asio::use_awaitable);
    pause = std::min(pause * 2, kMostPause);
  }
}

void StoreWatch::NoteFacts(const platform::MirrorStatus& facts) {
  source_facts_ = facts;
  source_is_new_ = false;
  if (!facts.store_unreachable) {
    Regained();
    return;
  }
  Lost("The host " + source_.host + " has lost it.");
  throw platform::StoreError("The store is away there.");
}

asio::awaitable<void> StoreWatch::Relist() {
  const auto asked = BootClock::now();
  platform::StoreList list = co_await source_.client->List(options_.kind);
  NoteFacts(list.mirror);
  const bool behind = !source_.host.empty() && list.revision < newest_;
  if (behind) throw platform::StoreError("The copy there is behind.");
  std::set<std::string> present;
  for (auto& object : list.objects) {
    present.insert(object.name);
    vanished_.erase(object.name);
    objects_[object.name] = std::move(object);
  }
  std::vector<std::string> gone;
  for (const auto& [name, object] : objects_) {
    if (present.count(name) == 0) gone.push_back(name);
  }
  for (const std::string& name : gone) Vanish(name);
  revision_ = list.revision;
  newest_ = std::max(newest_, revision_);
  // What changed on the way here is not known: others must list too.
  log_.clear();
  log_from_ = revision_;
  known_ = true;
  fresh_as_of_ = asked - milliseconds(list.mirror.age_ms);
  ReleaseHeld();
  Ring();
  on_change_();
}

asio::awaitable<void> StoreWatch::WatchOnce() {
  const auto asked = BootClock::now();
  // A hold that is due to end must not wait for the next change.
  // After an outage the first answer must not wait for a change either.
  milliseconds wait = vanished_.empty() ? options_.wait : kFirstPause * 2;
  if (!reachable_ || source_is_new_) wait = milliseconds(0);
  if (!source_.host.empty()) wait = std::min(wait, kCopyWait);
  platform::StoreChanges changes =
      co_await source_.client->Watch(options_.kind, revision_, wait);
  if (changes.history_gone) {
    revision_ = 0;
    co_return;
  }
  NoteFacts(changes.mirror);
  Batch batch{.revision = changes.revision, .events = changes.events};
  for (auto& event : changes.events) {
    const std::string name = event.object.name;
    if (event.deleted) {
      Vanish(name);
      continue;
    }
    vanished_.erase(name);
    objects_[name] = std::move(event.object);
  }
  // Another host's copy may be behind this one: then there was nothing new.
  const bool from_store = source_.host.empty();
  revision_ =
      from_store ? changes.revision : std::max(revision_, changes.revision);
  newest_ = std::max(newest_, revision_);
  fresh_as_of_ =
      std::max(fresh_as_of_, asked - milliseconds(changes.mirror.age_ms));
  const bool held = !vanished_.empty();
  const bool changed = !batch.events.empty();
  if (changed) Log(std::move(batch));
  ReleaseHeld();
  if (changed || held) on_change_();
}

void StoreWatch::Log(Batch batch) {
  log_.push_back(std::move(batch));
  while (log_.size() > kMostBatches) {
    log_from_ = log_.front().revision;
    log_.pop_front();
  }
  Ring();
}

void StoreWatch::Ring() {
  for (asio::steady_timer* bell : bells_) bell->cancel();
}

platform::MirrorStatus StoreWatch::OwnFacts() const {
  const auto age =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - fresh_as_of_);
  return {.age_ms = age.count(),
          .silent_ms = store_.SilentMs(),
          .store_unreachable = !reachable_};
}

platform::StoreList StoreWatch::ServeList() const {
  platform::StoreList list{.revision = revision_, .mirror = OwnFacts()};
  for (const auto& [name, object] : objects_) list.objects.push_back(object);
  return list;
}

asio::awaitable<platform::StoreChanges> StoreWatch::ServeWatch(
    uint64_t revision, milliseconds wait) {
  const auto until = steady_clock::now() + wait;
  const auto news = [&] {
    return !log_.empty() && log_.back().revision > revision;
  };
  while (!news() && reachable_ && Serves() && revision >= log_from_ &&
         steady_clock::now() < until) {
    asio::steady_timer bell(io_, until);
    bells_.insert(&bell);
    boost::system::error_code ignored;  // the bell rings by cancelling
    co_await bell.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    bells_.erase(&bell);
  }
  platform::StoreChanges changes{.revision = revision_, .mirror = OwnFacts()};
  changes.history_gone = revision < log_from_;
  for (const Batch& batch : log_) {
    if (batch.revision <= revision) continue;
    changes.events.insert(changes.events.end(), batch.events.begin(),
                          batch.events.end());
  }
  co_return changes;
}

bool StoreWatch::Holding() const {
  return options_.holds_vanished && steady_clock::now() < hold_until_;
}

void StoreWatch::Vanish(const std::string& name) {
  if (Holding())
    vanished_[name] = true;
  else
    objects_.erase(name);
}

void StoreWatch::ReleaseHeld() {
  if (Holding()) return;
  for (const auto& [name, held] : vanished_) objects_.erase(name);
  vanished_.clear();
}

void StoreWatch::Lost(const std::string& error) {
  if (!reachable_) return;
  reachable_ = false;
  EventLine(Event::kDependencyLost)
      .Text("dependency", "store")
      .Text("kind", options_.kind)
      .Text("error", error);
  Ring();
}

void StoreWatch::Regained() {
  if (reachable_) return;
  reachable_ = true;
  hold_until_ = steady_clock::now() + kReturnHold;
  EventLine(Event::kDependencyRegained)
      .Text("dependency", "store")
      .Text("kind", options_.kind);
}

}  // namespace pimento
