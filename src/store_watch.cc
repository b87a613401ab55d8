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

}  // namespace

StoreWatch::StoreWatch(asio::io_context& io, platform::StoreClient& store,
                       StoreWatchOptions options)
    : io_(io), store_(store), options_(std::move(options)) {}

void StoreWatch::Start(std::function<void()> on_change) {
  on_change_ = std::move(on_change);
  asio::co_spawn(io_, Run(), asio::detached);
}

asio::awaitable<void> StoreWatch::Run() {
  milliseconds pause = kFirstPause;
  for (;;) {
    try {
      if (known_ && revision_ != 0)
        co_await WatchOnce();
      else
        co_await Relist();
      Regained();
      pause = kFirstPause;
      continue;
    } catch (const platform::StoreError& e) {
      Lost(e.what());
    }
    asio::steady_timer timer(io_, pause);
    co_await timer.async_wait(asio::use_awaitable);
    pause = std::min(pause * 2, kMostPause);
  }
}

asio::awaitable<void> StoreWatch::Relist() {
  const auto asked = BootClock::now();
  platform::StoreList list = co_await store_.List(options_.kind);
  Regained();
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
  known_ = true;
  fresh_as_of_ = asked;
  ReleaseHeld();
  on_change_();
}

asio::awaitable<void> StoreWatch::WatchOnce() {
  const auto asked = BootClock::now();
  // A hold that is due to end must not wait for the next change.
  // After an outage the first answer must not wait for a change either.
  milliseconds wait = vanished_.empty() ? options_.wait : kFirstPause * 2;
  if (!reachable_) wait = milliseconds(0);
  platform::StoreChanges changes =
      co_await store_.Watch(options_.kind, revision_, wait);
  if (changes.history_gone) {
    revision_ = 0;
    co_return;
  }
  Regained();
  for (auto& event : changes.events) {
    const std::string name = event.object.name;
    if (event.deleted) {
      Vanish(name);
      continue;
    }
    vanished_.erase(name);
    objects_[name] = std::move(event.object);
  }
  revision_ = changes.revision;
  fresh_as_of_ = asked;
  const bool held = !vanished_.empty();
  ReleaseHeld();
  if (!changes.events.empty() || held) on_change_();
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
