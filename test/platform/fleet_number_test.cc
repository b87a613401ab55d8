// The numbers that keep test runs of one machine apart.
#include "bench/lib/fleet_number.h"

#include <doctest/doctest.h>

namespace pimento::testbed {

// Two runs whose process ids were a multiple of 250 apart had the same
// addresses, and the hosts of the later one could not listen.
TEST_CASE("two fleets at once have different addresses") {
  const FleetNumber first;
  const FleetNumber second;
  CHECK(first.value() != second.value());
}

TEST_CASE("a fleet's number is free again after it") {
  constexpr int kMoreThanThereAre = 600;
  for (int i = 0; i < kMoreThanThereAre; ++i) CHECK(FleetNumber().value() > 0);
}

}  // namespace pimento::testbed
