#include "src/peer_relay.h"

namespace pimento {
namespace {

// After this long the direct way is tried again.
constexpr int64_t kDetourMs = 10'000;

}  // namespace

void PeerRelays::OnCallFailed(const std::string& address, int64_t now_ms) {
  lost_[address] = now_ms;
}

bool PeerRelays::FailedRecently(const std::string& address,
                                int64_t now_ms) const {
  const auto it = lost_.find(address);
  return it != lost_.end() && now_ms - it->second < kDetourMs;
}

std::string PeerRelays::SelectHop(const std::string& address,
                                  const std::string& self,
                                  const std::vector<std::string>& live,
                                  int64_t now_ms) {
  if (!FailedRecently(address, now_ms)) return address;
  std::vector<std::string> helpers;
  for (const std::string& host : live) {
    const bool other = host != address && host != self;
    if (other && !FailedRecently(host, now_ms)) helpers.push_back(host);
  }
  if (helpers.empty()) return address;
  return helpers[next_++ % helpers.size()];
}

}  // namespace pimento
