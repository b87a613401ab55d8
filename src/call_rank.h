// The rank of a call among those that wait for the same service.
//
// Load pattern: two kinds of calls to one service, one of them urgent, from
// teams of which most have the same priority. A team's priority takes
// precedence over its route's; among teams of one priority the route's decides.
//
//   team 1, route 0    before    team 1, route 2
//   team 0, route 2    before    team 1, route 0
#pragma once

#include <algorithm>
#include <cstdint>

namespace pimento {

// 0 is the highest rank. `team_priority` is -1 when the team has none.
inline int32_t CallRank(int32_t team_priority, int32_t route_priority) {
  constexpr int32_t kRoutePriorities = 64;
  const int32_t route = std::clamp(route_priority, 0, kRoutePriorities - 1);
  const int32_t first =
      std::clamp(team_priority >= 0 ? team_priority : route, 0, 1'000'000);
  return first * kRoutePriorities + route;
}

}  // namespace pimento
