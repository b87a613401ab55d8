// Failure detector for archive members: tracks which members respond to this
// host, so that requests do not wait for one that recently failed.
//
// Load pattern: a host that is cut off from the archive, or a member that died,
// under a steady stream of turns. A suspect member gets one call, the probe,
// per `probe_interval_ms`. Quorum calls skip it, and fail at once if the
// remaining members form no quorum.
#pragma once

#include <cstdint>
#include <map>

#include "src/member_list.h"

namespace pimento {

struct MemberHealthOptions {
  // Minimum interval between two calls to a suspect member.
  int64_t probe_interval_ms = 200;
};

class MemberHealth {
 public:
  explicit MemberHealth(MemberHealthOptions options) : options_(options) {}

  // A call to the member succeeded: it is no longer suspect.
  void RecordSuccess(uint64_t member);
  // A call to the member failed: it is suspect until a call succeeds.
  void RecordFailure(uint64_t member, int64_t now_ms);
  bool IsSuspect(uint64_t member) const;
  // True when the member may be called now. For a suspect member this starts
  // the next probe interval.
  bool AllowCall(uint64_t member, int64_t now_ms);
  // True when the members that are not suspect form a quorum of `list`.
  bool QuorumLikely(const MemberList& list) const;

 private:
  struct State {
    bool suspect = false;
    int64_t last_probe_ms = 0;
  };
  MemberHealthOptions options_;
  std::map<uint64_t, State> states_;
};

}  // namespace pimento
