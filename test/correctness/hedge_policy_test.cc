// Second tries of slow answers: when they are sent, and that the extra work
// stays within its limit.
#include "src/hedge_policy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "src/upstream_table.h"

namespace {

using pimento::HedgeOptions;
using pimento::HedgePolicy;
using pimento::PlacementInput;
using pimento::UpstreamEntry;
using pimento::UpstreamTable;

constexpr const char* kRoute = "status";

// Simulates requests every 10 ms to upstreams that answer after `answer_ms()`.
struct Replay {
  HedgePolicy policy;
  // Durations as callers see them, and second tries that were sent.
  std::vector<double> durations = {};
  int second_tries = 0;

  template <class AnswerMs>
  void Run(int requests, AnswerMs answer_ms) {
    constexpr int64_t kIntervalMs = 10;
    for (int i = 0; i < requests; ++i) {
      const int64_t now_ms = i * kIntervalMs;
      policy.OnRequest();
      const double first_ms = answer_ms(i, 0);
      const auto delay = policy.DelayMs(kRoute, now_ms);
      double taken_ms = first_ms;
      if (delay && first_ms > static_cast<double>(*delay) && policy.TryTake()) {
        ++second_tries;
        taken_ms =
            std::min(first_ms, static_cast<double>(*delay) + answer_ms(i, 1));
      }
      policy.OnAnswer(kRoute, taken_ms, now_ms);
      durations.push_back(taken_ms);
    }
  }

  double Quantile(double share) const {
    auto sorted = durations;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<size_t>(share *
                                      static_cast<double>(sorted.size() - 1))];
  }
};

UpstreamEntry Entry(const std::string& id) {
  return {.id = id,
          .service = "desk",
          .address = "127.0.0.1:1",
          .zone = "a",
          .slots = 4};
}

}  // namespace

TEST_CASE("second tries cut the slowest answers of an upstream with pauses") {
  // One of ten upstreams pauses: each tenth first try takes 400 ms, not 20.
  const auto answer_ms = [](int i, int attempt) {
    return i % 25 == 0 && attempt == 0 ? 400.0 : 20.0;
  };
  Replay without{.policy = HedgePolicy({.max_share = 0})};
  without.Run(2'000, answer_ms);
  Replay with{.policy = HedgePolicy({.max_share = 0.05})};
  with.Run(2'000, answer_ms);
  CHECK(without.Quantile(0.99) == 400);
  CHECK(with.Quantile(0.99) < 60);
  CHECK(without.second_tries == 0);
  CHECK(with.second_tries <= 2'000 * 0.05 + 2);
}

TEST_CASE("when all upstreams are slow the extra work stays within its limit") {
  // From request 500 on, every answer takes 20 times as long.
  const auto answer_ms = [](int i, int) { return i < 500 ? 20.0 : 400.0; };
  for (const double share : {0.01, 0.05, 0.2}) {
    Replay replay{.policy = HedgePolicy({.max_share = share})};
    for (int requests = 0; requests < 5; ++requests) {
      const int before = replay.second_tries;
      replay.Run(1'000, answer_ms);
      CHECK(replay.second_tries - before <= 1'000 * share + 2);
    }
  }
}

TEST_CASE("a limit of 0 or an unknown route permits no second try") {
  HedgePolicy off({.max_share = 0});
  for (int i = 0; i < 1'000; ++i) off.OnRequest();
  CHECK_FALSE(off.enabled());
  CHECK_FALSE(off.TryTake());
  HedgePolicy on({.max_share = 1, .min_answers = 3});
  on.OnRequest();
  CHECK_FALSE(on.DelayMs(kRoute, 0));
  on.OnAnswer(kRoute, 30, 0);
  on.OnAnswer(kRoute, 30, 0);
  CHECK_FALSE(on.DelayMs(kRoute, 0));
  on.OnAnswer(kRoute, 30, 0);
  REQUIRE(on.DelayMs(kRoute, 0));
  CHECK(*on.DelayMs(kRoute, 0) >= 30);
  CHECK_FALSE(on.DelayMs("other", 0));
  // What was learned long ago says nothing about now.
  CHECK_FALSE(on.DelayMs(kRoute, 100'000));
}

TEST_CASE("a second try that was not sent can be sent later") {
  HedgePolicy policy({.max_share = 1, .burst = 1});
  policy.OnRequest();
  CHECK(policy.TryTake());
  CHECK_FALSE(policy.TryTake());
  policy.GiveBack();
  CHECK(policy.TryTake());
}

TEST_CASE("a second try goes to an idle upstream in good order only") {
  constexpr int64_t kNow = 1'000;
  const PlacementInput input{.service = "desk", .tried = {"first"}};
  UpstreamTable table({.zone = "a"});
  table.Put(Entry("first"), kNow);
  CHECK_FALSE(table.ChooseSpare(input, kNow));
  UpstreamEntry cold = Entry("cold");
  cold.cold_left_ms = 500;
  table.Put(cold, kNow);
  CHECK_FALSE(table.ChooseSpare(input, kNow));
  table.Put(Entry("limited"), kNow);
  table.set_named_limit("limited", 5);
  CHECK_FALSE(table.ChooseSpare(input, kNow));
  table.Put(Entry("failing"), kNow);
  table.OnCallStarted("failing", input, kNow);
  table.OnCallFinished("failing", {.outcome = pimento::CallOutcome::kFailed},
                       kNow);
  CHECK_FALSE(table.ChooseSpare(input, kNow));
  table.Put(Entry("good"), kNow);
  REQUIRE(table.ChooseSpare(input, kNow));
  CHECK(table.ChooseSpare(input, kNow)->id == "good");
  // Calls of other gateways have filled the service: no second tries.
  table.set_peer_load({{pimento::HashName("first"), {.in_flight = 4}},
                       {pimento::HashName("cold"), {.in_flight = 4}},
                       {pimento::HashName("limited"), {.in_flight = 4}},
                       {pimento::HashName("failing"), {.in_flight = 4}},
                       {pimento::HashName("good"), {.in_flight = 3}}});
  CHECK_FALSE(table.ChooseSpare(input, kNow));
}
