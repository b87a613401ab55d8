#include "src/peer_relay.h"

namespace pimento {
namespace {

// Time after a failed call during which requests are relayed.
constexpr int64_t kRelayDurationMs = 10'000;

}  // namespace

void PeerRelays::OnCallFailed(const std::string& address, int64_t now_ms) {
  last_failure_ms_[address] = now_ms;
}

bool PeerRelays::FailedRecently(const std::string& address,
                                int64_t now_ms) const {
  const auto it = last_failure_ms_.find(address);
  return it != last_failure_ms_.end() && now_ms - it->second < kRelayDurationMs;
}

std::string PeerRelays::SelectHop(const std::string& address,
                                  const std::string& self,
                                  const std::vector<std::string>& live,
                                  int64_t now_ms) {
  if (!FailedRecently(address, now_ms)) return address;
  std::vector<std::string> relays;
  for (const std::string& host : live) {
    const bool other = host != address && host != self;
    if (other && !FailedRecently(host, now_ms)) relays.push_back(host);
  }
  if (relays.empty()) return address;
  return relays[next_++ % relays.size()];
}

}  // namespace pimento
