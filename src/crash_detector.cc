#include "src/crash_detector.h"

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

}  // namespace

asio::awaitable<bool> CrashDetector::RefusesConnections(std::string address) {
  try {
    // Idle connections of a process that has just ended may still look open.
    co_await pool_.Open(std::move(address), kConnectLimit);
    co_return false;
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

void CrashDetector::Sweep(int64_t now_ms) {
  std::erase_if(probes_, [now_ms](const auto& item) {
    return item.second->answered &&
           now_ms - item.second->asked_ms >= kAnswerTtlMs;
  });
}

}  // namespace pimento
