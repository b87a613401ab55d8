// A snapshot of the fleet as one host sees it. Immutable: other threads read it
// without locks.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/document.h"
#include "src/membership.h"
#include "src/placement.h"

namespace pimento {

class HostView {
 public:
  HostView() = default;
  HostView(std::vector<HostNews> hosts, std::string self);

  // True unless the run of the process that `member` names is known to be dead
  // or replaced.
  bool MayLive(const Member& member) const;
  // True when the host has been seen in a later run: that member's memory is
  // gone.
  bool Restarted(const Member& member) const;
  const HostNews* Find(const std::string& host) const;
  // RPC address of `host`, or empty.
  std::string RpcAddress(const std::string& host) const;
  // The host that announces the shard with the greatest epoch and may be alive.
  const HostNews* OwnerOf(uint32_t shard) const;
  // Hosts that may hold shards: alive, not leaving, not taken out.
  std::vector<Candidate> Candidates(const Document& document) const;
  const std::vector<HostNews>& hosts() const { return hosts_; }

 private:
  std::vector<HostNews> hosts_;
  std::string self_;
  // Positions in `hosts_`, by host name and by owned shard.
  std::unordered_map<std::string, size_t> by_name_;
  std::unordered_map<uint32_t, size_t> owners_;
};

// True when `host` in `zone` may take new work under `document`.
bool InService(const Document& document, const std::string& host,
               const std::string& zone);

}  // namespace pimento
