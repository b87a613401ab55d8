// Replays of services that are moved to another version: good and bad ones, at
// fleets of 6, 60 and 820 gateways, while hosts and the store fail.
#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>

#include "test/correctness/rollout_replay.h"

namespace pimento {
namespace {

using namespace rollout_replay;

Behaviour Good(const Call&) { return {}; }
// A few failures, as any version has.
Behaviour Usual(const Call& call) {
  return {.failed = Chance(call.random, 0.002)};
}
Behaviour Failing(const Call& call) {
  return {.failed = Chance(call.random, 0.3)};
}
Behaviour Slow(const Call& call) {
  return {.slower = Chance(call.random, 0.4) ? 5.0 : 1.0};
}
Behaviour FailingOnOneRoute(const Call& call) {
  return {.failed = call.route == 1 && Chance(call.random, 0.5)};
}
Behaviour FailingOnRareRoute(const Call& call) {
  return {.failed = call.route == 3 && Chance(call.random, 0.7)};
}
Behaviour SlowUnderLoad(const Call& call) {
  // Half of what an upstream gets when the target has all requests.
  return {.slower = call.load >= 2 ? 4.0 : 1.0};
}

constexpr size_t kFleets[] = {6, 60, 820};

}  // namespace

TEST_CASE("a good version is completed in time with nothing on its way") {
  for (const size_t gateways : kFleets) {
    for (const uint64_t seed : {1, 2, 3}) {
      CAPTURE(gateways);
      CAPTURE(seed);
      Replay replay({.gateways = gateways, .seed = seed}, Usual);
      replay.Run();
      replay.CheckGood();
    }
  }
}

TEST_CASE("a good version is completed where little traffic comes") {
  for (const double rate : {0.0, 0.3, 2.0, 10.0}) {
    for (const int64_t over_ms : {8'000, 20'000, 60'000}) {
      CAPTURE(rate);
      CAPTURE(over_ms);
      Replay replay({.over_ms = over_ms, .requests_per_s = rate}, Good);
      replay.Run();
      replay.CheckGood();
    }
  }
}

TEST_CASE("a good version is completed through a burst") {
  Replay replay({.gateways = 60,
                 .burst =
                     [](int64_t now_ms) {
                       return now_ms > 6'000 && now_ms < 10'000 ? 4.0 : 1.0;
                     }},
                Usual);
  replay.Run();
  replay.CheckGood();
}

TEST_CASE("a bad version gets no more than it may") {
  const std::map<std::string, TargetBehaviour> kinds = {
      {"failing", Failing},
      {"slow", Slow},
      {"failing on one route", FailingOnOneRoute},
      {"slow under load", SlowUnderLoad}};
  for (const auto& [kind, behaviour] : kinds) {
    for (const size_t gateways : kFleets) {
      for (const uint64_t seed : {1, 2, 3}) {
        CAPTURE(kind);
        CAPTURE(gateways);
        CAPTURE(seed);
        Replay replay({.gateways = gateways, .seed = seed}, behaviour);
        replay.Run();
        replay.CheckBad();
      }
    }
  }
}

// What shows under load or on a rare route only is found before the share grows
// past what a bad version may get.
TEST_CASE("a bad version is found while its share is small") {
  const std::map<std::string, TargetBehaviour> kinds = {
      {"failing on a rare route", FailingOnRareRoute},
      {"slow under load", SlowUnderLoad}};
  for (const auto& [kind, behaviour] : kinds) {
    for (const size_t gateways : kFleets) {
      CAPTURE(kind);
      CAPTURE(gateways);
      Replay replay({.gateways = gateways,
                     .requests_per_s = 800,
                     .old_upstreams = 200,
                     .target_upstreams = 200},
                    behaviour);
      replay.Run();
      replay.CheckBad();
      CHECK(replay.taken_back_ms() <
            StepStartMs(RolloutStep::kPart, replay.over_ms()));
    }
  }
}

TEST_CASE("a bad version is found where little traffic comes") {
  // With so few answers, chance decides when it shows; mostly while the share
  // is small.
  int early = 0;
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    CAPTURE(seed);
    Replay replay({.over_ms = 60'000, .requests_per_s = 5, .seed = seed},
                  Failing);
    replay.Run();
    replay.CheckBad();
    const int64_t growth_ms = StepStartMs(RolloutStep::kPart, replay.over_ms());
    if (replay.taken_back_ms() < growth_ms) ++early;
  }
  CHECK(early >= 6);
}

TEST_CASE("calls that take long end before a good version is completed") {
  for (const size_t gateways : kFleets) {
    CAPTURE(gateways);
    Replay replay({.gateways = gateways, .long_calls = 0.05}, Good);
    replay.Run();
    replay.CheckGood();
  }
}

TEST_CASE("a version that turns a little bad after a long time is found") {
  for (const uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    constexpr int64_t kBadFromMs = 24'000;
    Replay replay({.gateways = 60,
                   .over_ms = 40'000,
                   .requests_per_s = 800,
                   .seed = seed},
                  [](const Call& call) -> Behaviour {
                    return {.failed = call.sent_ms >= kBadFromMs &&
                                      Chance(call.random, 0.12)};
                  });
    replay.Run();
    replay.CheckBad();
    CHECK(replay.taken_back_ms() < kBadFromMs + 5'000);
  }
}

TEST_CASE("the host that decides dies when it takes a version back") {
  // Long before the others find that it is silent.
  constexpr int64_t kLimitMs = 1'200;
  Replay replay(
      {.gateways = 820, .requests_per_s = 800, .kill_at_take_back = true},
      Failing);
  replay.Run();
  replay.CheckBad();
  CHECK(replay.killed() == 1);
  CHECK(replay.taken_back_ms() <= replay.killed_ms() + kLimitMs);
}

TEST_CASE("a version that turns bad later gets no more than it may") {
  for (const int64_t bad_from_ms : {3'000, 6'000, 9'000, 11'500, 12'500}) {
    for (const size_t gateways : kFleets) {
      CAPTURE(bad_from_ms);
      CAPTURE(gateways);
      Replay replay({.gateways = gateways},
                    [bad_from_ms](const Call& call) -> Behaviour {
                      return {.failed = call.sent_ms >= bad_from_ms &&
                                        Chance(call.random, 0.4)};
                    });
      replay.Run();
      replay.CheckBad();
    }
  }
}

TEST_CASE("the host that decides dies at each step") {
  for (const RolloutStep step :
       {RolloutStep::kWaiting, RolloutStep::kFirst, RolloutStep::kCanary,
        RolloutStep::kPart, RolloutStep::kHalf, RolloutStep::kAll}) {
    for (const size_t gateways : kFleets) {
      CAPTURE(Name(step));
      CAPTURE(gateways);
      Replay good({.gateways = gateways, .over_ms = 30'000, .kill_at = step},
                  Usual);
      good.Run();
      CHECK(good.killed() == 1);
      good.CheckGood();
      Replay bad({.gateways = gateways, .over_ms = 30'000, .kill_at = step},
                 Failing);
      bad.Run();
      bad.CheckBad();
    }
  }
}

TEST_CASE("the store is away for five seconds at each step") {
  for (const RolloutStep step :
       {RolloutStep::kWaiting, RolloutStep::kFirst, RolloutStep::kCanary,
        RolloutStep::kPart, RolloutStep::kHalf, RolloutStep::kAll}) {
    CAPTURE(Name(step));
    Replay good({.gateways = 60, .over_ms = 40'000, .store_lost_at = step},
                Usual);
    good.Run();
    good.CheckGood();
    Replay bad({.gateways = 60, .over_ms = 40'000, .store_lost_at = step},
               Failing);
    bad.Run();
    bad.CheckBad();
  }
}

// Guards against a version that is tried on while nobody can take it back.
TEST_CASE("nothing is sent to a version that turns bad in an outage") {
  for (const size_t gateways : kFleets) {
    CAPTURE(gateways);
    Replay replay(
        {.gateways = gateways,
         .over_ms = 40'000,
         .requests_per_s = 1'000,
         .store_down = {{6'000, 16'000}}},
        [](const Call& call) -> Behaviour {
          return {.failed = call.sent_ms >= 6'200 && Chance(call.random, 0.8)};
        });
    replay.Run();
    replay.CheckBad();
    CHECK(replay.fiftieth_bad_ms().has_value());
  }
}

// Guards against one faulty upstream that is taken for a bad version.
TEST_CASE("an upstream's crash does not take a good version back") {
  for (const uint64_t seed : {1, 2, 3, 4}) {
    CAPTURE(seed);
    Replay replay({.gateways = 60, .requests_per_s = 3'000, .seed = seed},
                  [](const Call& call) -> Behaviour {
                    const bool crashed = call.sent_ms == 8'000;
                    return {.failed = crashed, .slower = crashed ? 0.02 : 1.0};
                  });
    replay.Run();
    replay.CheckGood();
  }
}

TEST_CASE("a gateway that hears late") {
  for (const int64_t late_ms : {700, 1'500, 2'500}) {
    CAPTURE(late_ms);
    Replay good({.gateways = 6, .late_ms = {{2, late_ms}}}, Usual);
    good.Run();
    good.CheckGood();
    Replay bad({.gateways = 6, .late_ms = {{2, late_ms}}}, Failing);
    bad.Run();
    bad.CheckBad();
  }
}

}  // namespace pimento
