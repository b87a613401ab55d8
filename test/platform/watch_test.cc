// A few gateways of each zone watch the store and the others follow them. The
// others must keep working when these watchers fail.
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

PlatformFleet OneZoneFleet(const std::string& name, int gateways) {
  return PlatformFleet("build/bin", "build/platform/" + name,
                       {.gateways = gateways, .revoke_ms = 3'000, .zones = 1});
}

// Store calls of an idle fleet within four seconds.
int64_t IdleStoreCalls(PlatformFleet& fleet) {
  Pause(3'000);
  const int64_t before = fleet.StoreCalls();
  Pause(4'000);
  return fleet.StoreCalls() - before;
}

// Checks that `gateway` refuses the old key and serves the new one.
void CheckSecondState(PlatformFleet& fleet, int gateway) {
  const auto id = "k" + std::to_string(gateway);
  CAPTURE(gateway);
  CHECK(fleet.Call(gateway, fleet.PlainRequest(id + "-old", true)).status ==
        401);
  auto call = fleet.PlainRequest(id + "-new", true);
  call.headers["Authorization"] = "Token another-key";
  CHECK(fleet.Call(gateway, call).status == 200);
}

}  // namespace

TEST_CASE("store calls do not grow with the number of gateways in a zone") {
  int64_t two = 0;
  {
    auto fleet = OneZoneFleet("watch-2", 2);
    two = IdleStoreCalls(fleet);
  }
  auto fleet = OneZoneFleet("watch-8", 8);
  const int64_t eight = IdleStoreCalls(fleet);
  MESSAGE("store calls in 4 s, 2 gateways: " << two << ", 8: " << eight);
  CHECK(eight < two * 3 / 2);
}

TEST_CASE("a key is revoked at gateways whose watchers are frozen") {
  auto fleet = OneZoneFleet("watch-frozen", 6);
  Pause(2'000);
  // The first two gateways by name are the watchers.
  fleet.processes().Freeze("gateway-0");
  fleet.processes().Freeze("gateway-1");
  fleet.PutState(2, {"another-key"});
  Pause(3'000);
  for (int gateway = 2; gateway < 6; ++gateway)
    CheckSecondState(fleet, gateway);
}

TEST_CASE("a change reaches gateways whose watchers were killed before it") {
  auto fleet = OneZoneFleet("watch-killed", 6);
  Pause(2'000);
  fleet.processes().Kill("gateway-0");
  fleet.processes().Kill("gateway-1");
  fleet.PutState(2, {"another-key"});
  Pause(3'000);
  for (int gateway = 2; gateway < 6; ++gateway)
    CheckSecondState(fleet, gateway);
}

TEST_CASE("a watcher that the store does not answer does not delay its zone") {
  auto fleet = PlatformFleet(
      "build/bin", "build/platform/watch-away",
      {.gateways = 6, .revoke_ms = 3'000, .zones = 1, .proxied = true});
  Pause(2'000);
  fleet.LinkOf("gateway-0").SetFault(LinkFault::kSilent);
  fleet.LinkOf("gateway-1").SetFault(LinkFault::kSilent);
  fleet.PutState(2, {"another-key"});
  Pause(3'000);
  for (int gateway = 2; gateway < 6; ++gateway)
    CheckSecondState(fleet, gateway);
}

TEST_CASE("a gateway without the store serves by a peer's mirror") {
  auto fleet = PlatformFleet(
      "build/bin", "build/platform/watch-alone",
      {.gateways = 2, .revoke_ms = 3'000, .zones = 1, .proxied = true});
  fleet.LinkOf("gateway-0").SetFault(LinkFault::kSilent);
  fleet.PutState(2, {"another-key"});
  Pause(3'000);
  for (int i = 0; i < 10; ++i, Pause(200)) CheckSecondState(fleet, 0);
}

}  // namespace pimento::testbed
