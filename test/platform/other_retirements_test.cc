// Retirements of hosts beside entries of other writers in the same kind.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "bench/lib/platform_fleet.h"

namespace pimento::testbed {
namespace {

using std::chrono::milliseconds;

constexpr const char* kKind = "retirements";
constexpr const char* kOrder = R"({"over_s":10})";
// bounds.catch_up_s and the start of a copy fit in.
constexpr int64_t kCompleteLimitMs = 10'000;
constexpr int64_t kPollMs = 50;

bool Completes(PlatformFleet& fleet, const std::string& host) {
  for (int64_t waited = 0; waited < kCompleteLimitMs; waited += kPollMs) {
    const std::string object = fleet.Object(kKind, host);
    if (object.find("\"completed\"") != std::string::npos) return true;
    std::this_thread::sleep_for(milliseconds(kPollMs));
  }
  return false;
}

void CheckAllRun(PlatformFleet& fleet) {
  for (const std::string host : {"archive-0", "archive-1", "archive-2"}) {
    CAPTURE(host);
    CHECK(fleet.processes().HowEnded(host) == "");
    CHECK(fleet.processes().Running(host));
  }
}

}  // namespace

// The first entry whose status the store did not take held up all behind it.
TEST_CASE("a retirement completes beside one that cannot be written") {
  PlatformFleet fleet("build/bin", "build/platform/retirement_refused",
                      {.gateways = 1, .plain_upstreams = 0});
  REQUIRE(fleet.Call(0, fleet.TurnRequest("t", "p", "", "a")).status == 200);
  for (const std::string name : {"a00%", "a01&b="}) {
    fleet.PutObject(kKind, name, R"({"by":"other"})");
    fleet.RefuseWrites(name);
  }
  fleet.PutObject(kKind, "archive-2", kOrder);
  CHECK(Completes(fleet, "archive-2"));
  CheckAllRun(fleet);
}

// The archive went on in an entry that had gone while its status was written.
TEST_CASE("retirements that are withdrawn meanwhile end no archive") {
  PlatformFleet fleet("build/bin", "build/platform/retirement_withdrawn",
                      {.gateways = 1, .plain_upstreams = 0});
  constexpr int kRounds = 20;
  constexpr int kEntries = 20;
  // Answers of the store overlap: events come while a write waits for its own.
  fleet.SetFaults("store", R"({"slow_ms":20})");
  for (int round = 0; round < kRounds; ++round) {
    const auto name = [round](int entry) {
      return "other-" + std::to_string(round) + "-" + std::to_string(entry) +
             std::string(100, 'x');
    };
    for (int entry = 0; entry < kEntries; ++entry)
      fleet.PutObject(kKind, name(entry), kOrder);
    for (int entry = 0; entry < kEntries; ++entry)
      fleet.DeleteObject(kKind, name(entry));
  }
  CheckAllRun(fleet);
  fleet.PutObject(kKind, "archive-2", kOrder);
  CHECK(Completes(fleet, "archive-2"));
  CheckAllRun(fleet);
}

}  // namespace pimento::testbed
