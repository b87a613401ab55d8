// Which members of the archive answer this host, so that a request does not
// wait for one that lately did not.
//
// Load pattern: a host that is cut off from the archive, or a member that died,
// while turns come all the time. A suspect member is asked by one call in
// `probe_interval_ms`; all other calls go on without it, and fail at once where
// those left are no quorum.
#pragma once

#include <cstdint>
#include <map>

#include "src/member_list.h"

namespace pimento {

struct MemberHealthOptions {
  int64_t probe_interval_ms = 200;
};

class MemberHealth {
 public:
  explicit MemberHealth(MemberHealthOptions options) : options_(options) {}

  void RecordSuccess(uint64_t member);
  void RecordFailure(uint64_t member, int64_t now_ms);
  bool IsSuspect(uint64_t member) const;
  // True when a call may be sent to the member; takes the probe of a suspect.
  bool AllowCall(uint64_t member, int64_t now_ms);
  // True unless the members that are not suspect are no quorum of `list`.
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
