// Replays of turns at a host that loses the archive, or one member of it.
#include "src/member_health.h"

#include <doctest/doctest.h>

namespace {

using namespace pimento;

MemberList Three() {
  MemberList list{.version = 1};
  for (const uint64_t id : {1, 2, 3}) list.members.push_back({.id = id});
  return list;
}

}  // namespace

TEST_CASE("with one member silent, turns wait for it once in a while only") {
  MemberHealth health({.probe_interval_ms = 200});
  health.RecordFailure(2, 1'000);
  CHECK(health.QuorumLikely(Three()));
  int asked = 0;
  // A turn each 5 ms for a second, as on a busy gateway.
  for (int64_t now = 1'000; now < 2'000; now += 5)
    asked += health.AllowCall(2, now) ? 1 : 0;
  CHECK(asked <= 5);
  CHECK(asked >= 4);
  CHECK(health.AllowCall(1, 1'500));
}

TEST_CASE(
    "a host cut off from the archive refuses at once, until one answers") {
  MemberHealth health({.probe_interval_ms = 200});
  health.RecordFailure(1, 1'000);
  health.RecordFailure(2, 1'000);
  CHECK_FALSE(health.QuorumLikely(Three()));
  health.RecordSuccess(2);
  CHECK(health.QuorumLikely(Three()));
  CHECK_FALSE(health.IsSuspect(2));
  CHECK_FALSE(health.QuorumLikely(MemberList{}));
}
