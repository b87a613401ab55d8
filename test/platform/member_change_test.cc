// Changes of the archive's member list while a gateway does not hear of them.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "bench/lib/platform_fleet.h"

namespace pimento::testbed {
namespace {

using std::chrono::milliseconds;

bool Eventually(const std::function<bool()>& condition) {
  for (int i = 0; i < 300; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(30));
  }
  return false;
}

// Whether the member list in the store has `host`, with no change in progress.
bool HasMember(PlatformFleet& fleet, const std::string& host) {
  const std::string list = fleet.Object("pimento-members", "main");
  return list.find(host) != std::string::npos &&
         list.find(R"(\"next\":[])") != std::string::npos;
}

}  // namespace

// One of two members, which had missed the turn, proved it absent: 404.
TEST_CASE("a kept turn is found by a gateway with an old list of two members") {
  PlatformFleet fleet("build/bin", "build/platform/two_members",
                      {.gateways = 2,
                       .archives = 2,
                       .plain_upstreams = 0,
                       .revoke_ms = 40'000,
                       .proxied = true});
  REQUIRE(Eventually([&] {
    return fleet.Call(0, fleet.TurnRequest("t1", "p", "", "x")).status == 200;
  }));
  // Gateway 0 goes on with the list of archives 0 and 1.
  fleet.LinkOf("gateway-0").SetFault(LinkFault::kSilent);
  fleet.processes().Kill("archive-0");
  fleet.StartHost("archive-2", false);
  REQUIRE(Eventually([&] { return HasMember(fleet, "archive-2"); }));
  int sent = 0;
  std::string kept;
  REQUIRE(Eventually([&] {
    kept = "kept" + std::to_string(++sent);
    const auto got = fleet.Call(1, fleet.TurnRequest(kept, "q", "", "x"));
    return got.status == 200 && got.complete;
  }));
  fleet.StartHost("archive-0", false);
  std::this_thread::sleep_for(milliseconds(1'500));
  // Not certain is 503, but the turn exists and is found.
  int status = 0;
  CHECK(Eventually([&] {
    const std::string id = "next" + std::to_string(++sent);
    status = fleet.Call(0, fleet.TurnRequest(id, "q", kept, "y")).status;
    if (status != 200) MESSAGE("answered with " << status);
    return status != 503;
  }));
  CHECK(status == 200);
}

}  // namespace pimento::testbed
