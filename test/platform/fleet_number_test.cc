// The numbers that keep test runs of one machine apart.
#include "bench/lib/fleet_number.h"

#include <doctest/doctest.h>

#include <memory>

#include "bench/lib/process_set.h"

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

// The hosts of a test that was aborted lived on: the next fleet with their
// addresses could not listen, or spoke to their store.
TEST_CASE("a fleet's number stays taken while one of its processes lives") {
  auto number = std::make_unique<FleetNumber>();
  const int taken = number->value();
  ProcessSet processes;
  processes.Start("left-over", "/bin/sleep", {"60"}, "build/left-over.log");
  number.reset();
  CHECK(FleetNumber().value() != taken);
  processes.Kill("left-over");
}

}  // namespace pimento::testbed
