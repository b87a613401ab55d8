// Runs the scripted scenarios of this folder, each on a fleet of its own, and
// compares the transcripts of whole sessions with test/golden.
#include "bench/lib/scenario.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace pimento::testbed {
namespace {

std::string ReadText(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void RunScenario(const std::string& name) {
  Scenario scenario("build/bin", "build/scenario/" + name);
  const std::string wrong = scenario.Run("test/scenario/" + name + ".scn");
  for (const std::string& figure : scenario.figures()) {
    MESSAGE(name << ": " << figure);
  }
  CHECK_MESSAGE(wrong.empty(), wrong);
  if (scenario.transcript().empty() || !wrong.empty()) return;
  const std::string golden = "test/golden/" + name + ".txt";
  // PIMENTO_GOLDEN=write makes the files anew; look at the difference.
  if (std::getenv("PIMENTO_GOLDEN") != nullptr) {
    std::ofstream(golden) << scenario.transcript();
  }
  CHECK(scenario.transcript() == ReadText(golden));
}

}  // namespace

TEST_CASE("killed owner: programs finish in order") {
  RunScenario("killed_owner");
}
TEST_CASE("two hosts lost together: what was flushed comes back") {
  RunScenario("two_lost");
}
TEST_CASE("frozen owner: fenced when it wakes") { RunScenario("frozen_owner"); }
TEST_CASE("cut off owner: the others go on") { RunScenario("cut_owner"); }
TEST_CASE("cut off gate: calls get their slots all the same") {
  RunScenario("cut_gate");
}
TEST_CASE("platform down: heirs take over without it") {
  RunScenario("platform_down");
}
TEST_CASE("orders: each runs at most once and not run is true") {
  RunScenario("orders_once");
}
TEST_CASE("rates: a flood gets its rate and no more") { RunScenario("rates"); }
TEST_CASE("keys: withdrawn, absent, foreign, never passed on") {
  RunScenario("keys");
}
TEST_CASE("planned stops cut no request") { RunScenario("planned_stops"); }
TEST_CASE("zones go out and come back") { RunScenario("zone_out"); }
TEST_CASE("configuration is in force everywhere and never reverts") {
  RunScenario("configuration");
}
TEST_CASE("upstream faults: whole answers or errors that say so") {
  RunScenario("upstream_faults");
}
TEST_CASE("cold starts never see more than they bear") {
  RunScenario("cold_start");
}
TEST_CASE("engine memory returns to zero") { RunScenario("engine_memory"); }
TEST_CASE("budgets hold through a takeover") { RunScenario("budgets"); }
TEST_CASE("caller session") { RunScenario("caller_session"); }
TEST_CASE("operator session") { RunScenario("operator_session"); }

}  // namespace pimento::testbed
