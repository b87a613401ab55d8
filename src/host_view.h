// An immutable snapshot of the fleet as one host sees it. MembershipService
// publishes a new one with each change; other threads read it without locks.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/document.h"
#include "src/membership.h"
#include "src/placement.h"

namespace pimento {

// Pointers that the accessors return are valid as long as the view.
class HostView {
 public:
  HostView() = default;
  // `hosts` as Membership::All() returns them; `self` is the name of this host.
  HostView(std::vector<HostGossip> hosts, std::string self);

  // False when the host of `member` is unknown or dead, or when another run of
  // its process is known than the one that `member` identifies.
  bool MayBeAlive(const Member& member) const;
  // True when a later run of the host's process is known: what `member` held in
  // memory is lost.
  bool Restarted(const Member& member) const;
  // Null when `host` is not known.
  const HostGossip* Find(const std::string& host) const;
  // RPC address of `host`, or empty when it is not known.
  std::string RpcAddress(const std::string& host) const;
  // Among the hosts not known to be dead, the one that announces `shard` with
  // the greatest epoch. Null when there is none.
  const HostGossip* OwnerOf(uint32_t shard) const;
  // Hosts that may hold shards: alive, not leaving, and in service under
  // `document`.
  std::vector<Candidate> Candidates(const Document& document) const;
  const std::vector<HostGossip>& hosts() const { return hosts_; }

 private:
  std::vector<HostGossip> hosts_;
  std::string self_;
  // Positions in `hosts_`, by host name and by owned shard.
  std::unordered_map<std::string, size_t> by_name_;
  std::unordered_map<uint32_t, size_t> owners_;
};

// True when `document` lists neither `host` as drained or lost nor `zone` as
// drained: the host may take new work.
bool InService(const Document& document, const std::string& host,
               const std::string& zone);

}  // namespace pimento
