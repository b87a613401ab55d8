// Few gateways of a zone watch the store; the others follow them, and do
// without them when they must.
#include <doctest/doctest.h>
#include <signal.h>

#include <chrono>
#include <thread>

#include "bench/lib/platform_fleet.h"

namespace pimento::testbed {
namespace {

void Pause(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

PlatformFleet OneZone(const std::string& name, int gateways) {
  return PlatformFleet("build/bin", "build/platform/" + name,
                       {.gateways = gateways, .revoke_ms = 3'000, .zones = 1});
}

// Store calls of a fleet that serves nobody, over four seconds.
int64_t CallsAtRest(PlatformFleet& fleet) {
  Pause(3'000);
  const int64_t before = fleet.StoreCalls();
  Pause(4'000);
  return fleet.StoreCalls() - before;
}

// Whether the old key is refused at `gateway`, and the new one served.
void CheckSecondState(PlatformFleet& fleet, int gateway) {
  const auto id = "k" + std::to_string(gateway);
  CAPTURE(gateway);
  CHECK(fleet.Call(gateway, fleet.Plain(id + "-old", true)).status == 401);
  auto call = fleet.Plain(id + "-new", true);
  call.headers["Authorization"] = "Token another-key";
  CHECK(fleet.Call(gateway, call).status == 200);
}

}  // namespace

TEST_CASE("store calls do not grow with the gateways of a zone") {
  int64_t two = 0;
  {
    auto fleet = OneZone("watch-2", 2);
    two = CallsAtRest(fleet);
  }
  auto fleet = OneZone("watch-8", 8);
  const int64_t eight = CallsAtRest(fleet);
  MESSAGE("store calls in 4 s, 2 gateways: " << two << ", 8: " << eight);
  CHECK(eight < two * 3 / 2);
}

TEST_CASE("a withdrawn key stops at gateways whose watchers are frozen") {
  auto fleet = OneZone("watch-frozen", 6);
  Pause(2'000);
  // By name, the first two watch the store.
  fleet.processes().Freeze("gateway-0");
  fleet.processes().Freeze("gateway-1");
  fleet.PutState(2, {"another-key"});
  Pause(3'000);
  for (int gateway = 2; gateway < 6; ++gateway)
    CheckSecondState(fleet, gateway);
}

TEST_CASE("a change reaches gateways whose watchers were killed before it") {
  auto fleet = OneZone("watch-killed", 6);
  Pause(2'000);
  fleet.processes().Kill("gateway-0");
  fleet.processes().Kill("gateway-1");
  fleet.PutState(2, {"another-key"});
  Pause(3'000);
  for (int gateway = 2; gateway < 6; ++gateway)
    CheckSecondState(fleet, gateway);
}

TEST_CASE("a watcher that the store turns away does not hold up its zone") {
  auto fleet = PlatformFleet(
      "build/bin", "build/platform/watch-away",
      {.gateways = 6, .revoke_ms = 3'000, .zones = 1, .proxied = true});
  Pause(2'000);
  fleet.LinkOf("gateway-0").Set(LinkFault::kSilent);
  fleet.LinkOf("gateway-1").Set(LinkFault::kSilent);
  fleet.PutState(2, {"another-key"});
  Pause(3'000);
  for (int gateway = 2; gateway < 6; ++gateway)
    CheckSecondState(fleet, gateway);
}

TEST_CASE("a gateway that the store turns away serves on by another's word") {
  auto fleet = PlatformFleet(
      "build/bin", "build/platform/watch-alone",
      {.gateways = 2, .revoke_ms = 3'000, .zones = 1, .proxied = true});
  fleet.LinkOf("gateway-0").Set(LinkFault::kSilent);
  fleet.PutState(2, {"another-key"});
  Pause(3'000);
  for (int i = 0; i < 10; ++i, Pause(200)) CheckSecondState(fleet, 0);
}

}  // namespace pimento::testbed
