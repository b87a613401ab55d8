// Calls of a host that loses the archive or one of its members.
#include "src/member_health.h"

#include <doctest/doctest.h>

namespace {

using namespace pimento;

MemberList ThreeMembers() {
  MemberList list{.version = 1};
  for (const uint64_t id : {1, 2, 3}) list.members.push_back({.id = id});
  return list;
}

}  // namespace

TEST_CASE("an unresponsive member is called only once per probe interval") {
  MemberHealth health({.probe_interval_ms = 200});
  health.RecordFailure(2, 1'000);
  CHECK(health.QuorumLikely(ThreeMembers()));
  int calls = 0;
  // One turn every 5 ms for a second, as on a busy gateway.
  for (int64_t now = 1'000; now < 2'000; now += 5)
    calls += health.AllowCall(2, now) ? 1 : 0;
  CHECK(calls <= 5);
  CHECK(calls >= 4);
  CHECK(health.AllowCall(1, 1'500));
}

TEST_CASE(
    "a host cut off from the archive has no quorum until a member responds") {
  MemberHealth health({.probe_interval_ms = 200});
  health.RecordFailure(1, 1'000);
  health.RecordFailure(2, 1'000);
  CHECK_FALSE(health.QuorumLikely(ThreeMembers()));
  health.RecordSuccess(2);
  CHECK(health.QuorumLikely(ThreeMembers()));
  CHECK_FALSE(health.IsSuspect(2));
  CHECK_FALSE(health.QuorumLikely(MemberList{}));
}
