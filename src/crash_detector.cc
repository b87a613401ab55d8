#include "src/crash_detector.h"

#include <algorithm>
#include <utility>

#include "src/boot_clock.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/leaving_processes.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// The requests that broke off wait for the answer, so it must come soon.
constexpr milliseconds kConnectLimit{100};
// The answer that an upstream is gone serves the requests that break off within
// this time.
constexpr int64_t kAnswerTtlMs = 500;
// An upstream that is back registers within this time.
constexpr int64_t kUnresolvedTtlMs = 5'000;
// A run that broke off longer before a crash was not broken off by it.
constexpr int64_t kSameCrashMs = 1'000;
// For how long crashes under one entry are counted.
constexpr int64_t kSeenTtlMs = 3'600'000;
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
    co_return e.refused();
  } catch (const std::exception& e) {
    // Of any type: requests wait for the answer.
    EventLine(Event::kHandlerFailed)
        .Text("task", "crash detector")
        .Text("error", e.what());
    co_return false;
  }
}

asio::awaitable<bool> CrashDetector::HasCrashed(const UpstreamEntry& upstream) {
  const int64_t now_ms = SteadyMs();
  std::shared_ptr<Probe>& known = probes_[LeavingProcesses::HashOf(upstream)];
  const bool gone = known && known->answered && known->crashed &&
                    now_ms - known->asked_ms < kAnswerTtlMs;
  if (known && (!known->answered || gone)) {
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
  if (probe->crashed) NoteSeen(LeavingProcesses::HashOf(upstream));
  co_return probe->crashed;
}

void CrashDetector::NoteSeen(uint64_t process) {
  SeenCrash& seen = seen_[process];
  const int64_t now_ms = SteadyMs();
  // It was back in between, or nothing could have broken off on it.
  if (now_ms - seen.last_ms >= kAnswerTtlMs) ++seen.count;
  seen.last_ms = now_ms;
}

void CrashDetector::KeepUnresolved(BrokenRun run) {
  if (unresolved_.size() >= kMaxUnresolved) return;
  unresolved_.push_back({std::move(run), SteadyMs()});
}

template <class Predicate>
std::vector<BrokenRun> CrashDetector::Take(Predicate belongs) {
  const auto first = std::stable_partition(
      unresolved_.begin(), unresolved_.end(),
      [&](const Unresolved& kept) { return !belongs(kept); });
  std::vector<BrokenRun> taken;
  for (auto it = first; it != unresolved_.end(); ++it) {
    taken.push_back(std::move(it->run));
  }
  unresolved_.erase(first, unresolved_.end());
  return taken;
}

std::vector<BrokenRun> CrashDetector::TakeReplaced(const UpstreamEntry& entry) {
  return Take([&](const Unresolved& kept) {
    return Replaces(entry, kept.run.upstream);
  });
}

std::vector<BrokenRun> CrashDetector::TakeRunsOn(
    const UpstreamEntry& upstream) {
  const uint64_t process = LeavingProcesses::HashOf(upstream);
  const int64_t now_ms = SteadyMs();
  return Take([&](const Unresolved& kept) {
    return LeavingProcesses::HashOf(kept.run.upstream) == process &&
           now_ms - kept.at_ms < kSameCrashMs;
  });
}

void CrashDetector::ForgetRunsOf(const RequestFingerprints& request) {
  if (unresolved_.empty()) return;
  Take([&](const Unresolved& kept) {
    return kept.run.request.exact == request.exact;
  });
}

uint64_t CrashDetector::CrashOf(const UpstreamEntry& upstream) const {
  const uint64_t process = LeavingProcesses::HashOf(upstream);
  const auto it = seen_.find(process);
  const bool first = it == seen_.end() || it->second.count <= 1;
  return first ? process : process + static_cast<uint64_t>(it->second.count);
}

void CrashDetector::Sweep(int64_t now_ms) {
  std::erase_if(seen_, [now_ms](const auto& item) {
    return now_ms - item.second.last_ms >= kSeenTtlMs;
  });
  std::erase_if(unresolved_, [now_ms](const Unresolved& unresolved) {
    return now_ms - unresolved.at_ms >= kUnresolvedTtlMs;
  });
  std::erase_if(probes_, [now_ms](const auto& item) {
    return item.second->answered &&
           now_ms - item.second->asked_ms >= kAnswerTtlMs;
  });
}

}  // namespace pimento
