// Upstreams that leave while the store breaks off, hangs or forgets what its
// watches wait for: through real gateways, judged by what the upstreams ran.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "src/boot_clock.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;

// Bounds of a small deployment: within `kDrainMs` of the store's
// acknowledgement no request reaches an upstream that leaves, from hosts that
// have been without a fault for `kCalmMs`.
constexpr int64_t kDrainMs = 2'000;
constexpr int64_t kCalmMs = 3'000;
// The same for a zone that is to be emptied.
constexpr int64_t kEvacuationMs = 5'000;
// The upstream that leaves, by its name and its id in the store.
constexpr const char* kLeaver = "desk-0";
constexpr int kLeaverId = 200;
constexpr const char* kLeaverZone = "zone-2";

void Pause(int64_t time_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time_ms));
}

// Sends requests to the plain service through every gateway, one after another,
// until it is destroyed.
class SteadyLoad {
 public:
  explicit SteadyLoad(PlatformFleet& fleet) {
    for (int gateway = 0; gateway < fleet.options().gateways; ++gateway)
      threads_.emplace_back([this, &fleet, gateway] {
        while (!stop_) {
          fleet.Call(gateway,
                     {.method = "GET",
                      .target = "/open/x",
                      .headers = {{"X-Pimentopulley-Deadline-Ms", "900"}}});
          Pause(5);
        }
      });
  }
  ~SteadyLoad() {
    stop_ = true;
    for (std::thread& thread : threads_) thread.join();
  }
  SteadyLoad(const SteadyLoad&) = delete;
  SteadyLoad& operator=(const SteadyLoad&) = delete;

 private:
  std::atomic<bool> stop_ = false;
  std::vector<std::thread> threads_;
};

// Times of the requests that `upstream` ran after `from_ms`, by the steady
// clock.
std::vector<int64_t> RunsAfter(PlatformFleet& fleet,
                               const std::string& upstream, int64_t from_ms) {
  std::vector<int64_t> times;
  const auto runs = json::parse(fleet.Runs(upstream));
  for (const auto& run : runs.as_array()) {
    const int64_t at_ms = run.at("at_ms").as_int64();
    if (at_ms > from_ms) times.push_back(at_ms);
  }
  return times;
}

// Writes the leaver's entry as it is: ready, of the process born at `born`.
void Return(PlatformFleet& fleet, const std::string& address, int64_t born) {
  fleet.RegisterUpstream(kLeaverId, "desk", address, 8, born);
}

// Slows the other upstream down, so that the leaver gets requests again as soon
// as it has returned.
void PreferLeaver(PlatformFleet& fleet) {
  fleet.SetFaults("desk-1", R"({"event_ms":40})");
}

std::string AddressOf(PlatformFleet& fleet, int id) {
  const auto object = json::parse(fleet.Object("servers", std::to_string(id)));
  return std::string(object.at("spec").at("addr").as_string());
}

// How the store learns that an upstream leaves, or is to get nothing more.
enum class Leave : uint8_t { kRemoved, kDraining, kZoneEmptied };

void Leaves(PlatformFleet& fleet, Leave how, const std::string& address,
            int64_t born) {
  const std::string id = std::to_string(kLeaverId);
  if (how == Leave::kRemoved) {
    fleet.DeleteObject("servers", id);
    return;
  }
  if (how == Leave::kZoneEmptied) {
    fleet.PutObject("evacuations", kLeaverZone, "{}");
    return;
  }
  const json::object spec = {
      {"service", "desk"}, {"addr", address}, {"zone", kLeaverZone},
      {"version", "v1"},   {"slots", 8},      {"state", "draining"},
      {"cold_left_ms", 0}, {"sequence", 2},   {"born", born}};
  fleet.PutObject("servers", id, json::serialize(spec));
}

// What befalls the store, or a gateway's way to it, for a while.
enum class Trouble : uint8_t {
  kStoreFrozen,
  kStoreRestarts,
  kStoreDown,
  kWatchesHang,
  kWatchesBreakOff,
  kHistoryGone,
  kGatewayFrozen,
  kGatewayTurnedAway,
  kGatewayLinkSilent,
  kGatewayLinkReset,
  kCount,
};

// Whether the store takes writes of others meanwhile.
bool AcceptsWrites(Trouble trouble) {
  return trouble != Trouble::kStoreFrozen &&
         trouble != Trouble::kStoreRestarts && trouble != Trouble::kStoreDown;
}

void Begin(PlatformFleet& fleet, Trouble trouble, int number,
           int64_t lasts_ms) {
  const std::string gateway = "gateway-" + std::to_string(number);
  switch (trouble) {
    case Trouble::kStoreFrozen:
      return fleet.processes().Freeze("store");
    case Trouble::kStoreRestarts:
      return fleet.RestartStore(lasts_ms);
    case Trouble::kStoreDown:
      return fleet.SetFaults("store", R"({"down":true})");
    case Trouble::kWatchesHang:
      return fleet.SetFaults("store", R"({"hang_watches":true})");
    case Trouble::kWatchesBreakOff:
      return fleet.SetFaults("store", R"({"cut_watch_ms":300})");
    case Trouble::kHistoryGone:
      return fleet.RestartStore(0);
    case Trouble::kGatewayFrozen:
      return fleet.processes().Freeze(gateway);
    case Trouble::kGatewayTurnedAway:
      return fleet.LinkOf(gateway).SetFault(LinkFault::kRefused);
    case Trouble::kGatewayLinkSilent:
      return fleet.LinkOf(gateway).SetFault(LinkFault::kSilent);
    case Trouble::kGatewayLinkReset:
      return fleet.LinkOf(gateway).ResetAll();
    case Trouble::kCount:
      return;
  }
}

void End(PlatformFleet& fleet, Trouble trouble, int number) {
  const std::string gateway = "gateway-" + std::to_string(number);
  if (trouble == Trouble::kStoreFrozen) fleet.processes().Thaw("store");
  if (trouble == Trouble::kGatewayFrozen) fleet.processes().Thaw(gateway);
  if (AcceptsWrites(trouble) || trouble == Trouble::kStoreDown)
    fleet.SetFaults("store",
                    R"({"down":false,"hang_watches":false,"cut_watch_ms":0})");
  fleet.LinkOf(gateway).SetFault(LinkFault::kNone);
}

int64_t EnvNumber(const char* name, int64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoll(text);
}

}  // namespace

// Guards against each watch that the store breaks off being taken for an
// outage, after which removals are held back.
TEST_CASE("upstreams are let go in time by a store that breaks off watches") {
  auto fleet = PlatformFleet("build/bin", "build/platform/drain_cut", {});
  const std::string address = AddressOf(fleet, kLeaverId);
  PreferLeaver(fleet);
  fleet.SetFaults("store", R"({"cut_watch_ms":900})");
  Pause(kCalmMs);
  const SteadyLoad load(fleet);
  for (int round = 0; round < 8; ++round) {
    CAPTURE(round);
    Pause(1'200 + 130 * round);
    REQUIRE(!RunsAfter(fleet, kLeaver, SteadyMs() - 1'000).empty());
    Leaves(fleet, Leave::kRemoved, address, 1);
    const int64_t removed_ms = SteadyMs();
    Pause(kDrainMs + 1'500);
    const auto late = RunsAfter(fleet, kLeaver, removed_ms + kDrainMs);
    CHECK(late.size() == 0);
    Return(fleet, address, round + 2);
  }
}

// Guards against a watch that hangs on a dead connection for its whole wait
// being noticed too late, and removals being held back after it.
TEST_CASE("upstreams are let go in time though watches hang") {
  struct Way {
    Leave how;
    int64_t bound_ms;
  };
  for (const Way way :
       {Way{Leave::kDraining, kDrainMs}, Way{Leave::kRemoved, kDrainMs},
        Way{Leave::kZoneEmptied, kEvacuationMs}}) {
    CAPTURE(static_cast<int>(way.how));
    auto fleet = PlatformFleet("build/bin", "build/platform/drain_hang", {});
    const std::string address = AddressOf(fleet, kLeaverId);
    PreferLeaver(fleet);
    Pause(kCalmMs);
    const SteadyLoad load(fleet);
    Pause(500);
    // All watches that matter begin anew just before they hang.
    fleet.RegisterUpstream(203, "other", address);
    fleet.PutObject("evacuations", "zone-9", "{}");
    Pause(150);
    fleet.SetFaults("store", R"({"hang_watches":true})");
    Pause(50);
    fleet.SetFaults("store", R"({"hang_watches":false})");
    const int64_t hung_ms = SteadyMs();
    REQUIRE(!RunsAfter(fleet, kLeaver, hung_ms - 500).empty());
    Leaves(fleet, way.how, address, 1);
    const int64_t left_ms = SteadyMs();
    Pause(8'500);
    const auto late = RunsAfter(
        fleet, kLeaver, std::max(left_ms + way.bound_ms, hung_ms + kCalmMs));
    CHECK(late.size() == 0);
  }
}

// Guards against a removal that a gateway holds back after an outage being
// unknown for good to another one that listed at it meanwhile.
TEST_CASE("upstreams that left during an outage are forgotten after it") {
  for (const int64_t down_ms : {3'300, 5'100, 6'500}) {
    CAPTURE(down_ms);
    auto fleet = PlatformFleet("build/bin", "build/platform/drain_restart",
                               {.gateways = 6});
    const std::string address = AddressOf(fleet, kLeaverId);
    Pause(kCalmMs);
    const SteadyLoad load(fleet);
    Pause(500);
    REQUIRE(!RunsAfter(fleet, kLeaver, SteadyMs() - 500).empty());
    fleet.RestartStore(down_ms);
    const int64_t back_ms = SteadyMs() + down_ms;
    Pause(down_ms);
    Leaves(fleet, Leave::kRemoved, address, 1);
    Pause(5'000);
    const auto late = RunsAfter(fleet, kLeaver, back_ms + kCalmMs);
    CHECK(late.size() == 0);
  }
}

// Random trouble with the store and the gateways' way to it, one after another,
// during or just after which an upstream leaves in one way or another.
TEST_CASE("upstreams are let go in time in random trouble") {
  constexpr int kRounds = 4;
  const int64_t first = EnvNumber("PIMENTO_DRAIN_FIRST", 100);
  const int64_t seeds = EnvNumber("PIMENTO_DRAIN_SEEDS", 1);
  for (int64_t seed = first; seed < first + seeds; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    auto fleet = PlatformFleet("build/bin", "build/platform/drain_random",
                               {.gateways = 4, .zones = 2, .proxied = true});
    const std::string address = AddressOf(fleet, kLeaverId);
    PreferLeaver(fleet);
    const SteadyLoad load(fleet);
    Pause(kCalmMs);
    for (int round = 0; round < kRounds; ++round) {
      CAPTURE(round);
      const auto trouble = static_cast<Trouble>(
          random() % static_cast<uint64_t>(Trouble::kCount));
      const auto how = random() % 2 == 0 ? Leave::kRemoved : Leave::kDraining;
      const auto lasts_ms = 200 + static_cast<int64_t>(random() % 5'000);
      const bool meanwhile = random() % 2 == 0 && AcceptsWrites(trouble);
      const int gateway = static_cast<int>(random() % 4);
      CAPTURE(static_cast<int>(trouble));
      CAPTURE(static_cast<int>(how));
      CAPTURE(lasts_ms);
      CAPTURE(meanwhile);
      CAPTURE(gateway);
      REQUIRE(!RunsAfter(fleet, kLeaver, SteadyMs() - 900).empty());
      Begin(fleet, trouble, gateway, lasts_ms);
      Pause(meanwhile ? lasts_ms / 2 : lasts_ms);
      int64_t left_ms = 0;
      if (meanwhile) {
        Leaves(fleet, how, address, round + 1);
        left_ms = SteadyMs();
        Pause(lasts_ms - lasts_ms / 2);
      }
      End(fleet, trouble, gateway);
      const int64_t over_ms = SteadyMs();
      if (!meanwhile) {
        Pause(static_cast<int64_t>(random() % 300));
        Leaves(fleet, how, address, round + 1);
        left_ms = SteadyMs();
      }
      Pause(kCalmMs + 2'500);
      const auto late = RunsAfter(
          fleet, kLeaver, std::max(left_ms + kDrainMs, over_ms + kCalmMs));
      CHECK(late.size() == 0);
      Return(fleet, address, round + 2);
      Pause(1'000);
    }
  }
}

}  // namespace pimento::testbed
