#include "src/crash_detector.h"

#include <algorithm>
#include <utility>

#include "src/boot_clock.h"
#include "src/errors.h"
#include "src/leaving_processes.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// The requests that broke off wait for the answer, so it must come soon.
constexpr milliseconds kConnectLimit{100};
// An answer serves the requests that break off within this time.
constexpr int64_t kAnswerTtlMs = 500;
// An upstream that is back registers within this time.
constexpr int64_t kUnresolvedTtlMs = 10'000;
// Beyond this number runs are not kept.
constexpr size_t kMaxUnresolved = 1'024;

// True when `entry` is of a process that took the place of `before`.
bool Replaces(const UpstreamEntry& entry, const UpstreamEntry& before) {
  if (entry.address != before.address) return false;
  return entry.id != before.id || entry.started_at_ms != before.started_at_ms;
}

}  // namespace

asio::awaitable<bool> CrashDetector::RefusesConnections(std::string address) {
  try {
    // Idle connections of a process that has just ended may still look open.
    // A variable, since GCC 12 destroys some discarded results twice.
    const auto connection =
        co_await pool_.Open(std::move(address), kConnectLimit);
    co_return connection == nullptr;
  } catch (const TransportError& e) {
    co_return !e.silent();
  }
}

asio::awaitable<bool> CrashDetector::HasCrashed(const UpstreamEntry& upstream) {
  const int64_t now_ms = SteadyMs();
  std::shared_ptr<Probe>& known = probes_[LeavingProcesses::HashOf(upstream)];
  if (known && (!known->answered || now_ms - known->asked_ms < kAnswerTtlMs)) {
    const auto probe = known;
    boost::system::error_code ignored;  // woken by cancellation
    if (!probe->answered)
      co_await probe->done.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    co_return probe->crashed;
  }
  known = std::make_shared<Probe>(io_);
  const auto probe = known;
  probe->asked_ms = now_ms;
  probe->crashed = co_await RefusesConnections(upstream.address);
  probe->answered = true;
  probe->done.cancel();
  co_return probe->crashed;
}

void CrashDetector::KeepUnresolved(BrokenRun run) {
  if (unresolved_.size() >= kMaxUnresolved) return;
  unresolved_.push_back({std::move(run), SteadyMs()});
}

std::vector<BrokenRun> CrashDetector::TakeReplaced(const UpstreamEntry& entry) {
  const auto first = std::stable_partition(
      unresolved_.begin(), unresolved_.end(), [&](const Unresolved& kept) {
        return !Replaces(entry, kept.run.upstream);
      });
  std::vector<BrokenRun> replaced;
  for (auto it = first; it != unresolved_.end(); ++it) {
    replaced.push_back(std::move(it->run));
  }
  unresolved_.erase(first, unresolved_.end());
  return replaced;
}

void CrashDetector::Sweep(int64_t now_ms) {
  std::erase_if(unresolved_, [now_ms](const Unresolved& unresolved) {
    return now_ms - unresolved.at_ms >= kUnresolvedTtlMs;
  });
  std::erase_if(probes_, [now_ms](const auto& item) {
    return item.second->answered &&
           now_ms - item.second->asked_ms >= kAnswerTtlMs;
  });
}

}  // namespace pimento
