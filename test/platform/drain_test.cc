// Upstreams that leave while the store breaks off, hangs or forgets what its
// watches wait for: through real gateways, judged by what the upstreams ran.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
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

}  // namespace pimento::testbed
