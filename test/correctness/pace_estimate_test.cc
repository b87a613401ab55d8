// What one gateway makes of its own measurements and of its peers' reports.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "src/upstream_pace.h"

namespace {

using namespace pimento;

}  // namespace

TEST_CASE("one gateway's report moves an estimate less than five do") {
  UpstreamPace pace;
  constexpr uint64_t kService = 1;
  constexpr uint64_t kSlow = 2;
  pace.AddProcess(kService, kSlow);
  pace.AddProcess(kService, 3);
  for (uint64_t peer = 1; peer <= 5; ++peer)
    pace.OnPeerReport(peer, {.process = kService, .event_ms = 10}, 0);
  CHECK(pace.PaceOf(kService, kSlow).event_ms == doctest::Approx(10));
  pace.OnPeerReport(1, {.process = kSlow, .event_ms = 20}, 0);
  CHECK(pace.PaceOf(kService, kSlow).event_ms ==
        doctest::Approx(14.14).epsilon(0.01));
  for (uint64_t peer = 2; peer <= 5; ++peer)
    pace.OnPeerReport(peer, {.process = kSlow, .event_ms = 20}, 0);
  CHECK(pace.PaceOf(kService, kSlow).event_ms ==
        doctest::Approx(17.8).epsilon(0.01));
  // Five others measured it anew: it has recovered.
  for (uint64_t peer = 6; peer <= 8; ++peer)
    pace.OnPeerReport(peer, {.process = kSlow, .event_ms = 10}, 100);
  CHECK(pace.PaceOf(kService, kSlow).event_ms == doctest::Approx(10));
  // What is old is forgotten, and so is a process that is gone.
  pace.OnPeerReport(9, {.process = kSlow, .event_ms = 40}, 200);
  pace.Sweep(60'000);
  CHECK(pace.PaceOf(kService, 3).event_ms ==
        pace.PaceOf(kService, kSlow).event_ms);
  pace.RemoveProcess(kSlow);
  pace.OnPeerReport(1, {.process = kSlow, .event_ms = 20}, 60'000);
  CHECK(pace.PaceOf(kService, 3).event_ms ==
        pace.PaceOf(kService, kSlow).event_ms);
}

TEST_CASE("the reading speed of a service is learned beside queue waits") {
  UpstreamPace pace;
  constexpr uint64_t kService = 1;
  std::mt19937_64 random(1);
  for (uint64_t process = 2; process < 6; ++process)
    pace.AddProcess(kService, process);
  for (int64_t i = 0; i < 200; ++i) {
    const auto tokens = static_cast<int64_t>(100 + random() % 1'500);
    // 40 tokens a ms, and one call in two waits in a queue.
    const auto wait_ms = static_cast<int64_t>(random() % 2 * (random() % 200));
    const int64_t first_ms = 20 + tokens / 40 + wait_ms;
    pace.OnServed({.service = kService,
                   .process = 2 + static_cast<uint64_t>(i) % 4,
                   .read_tokens = tokens,
                   .events = 5,
                   .duration_ms = first_ms + 80,
                   .first_event_ms = first_ms},
                  i * 10);
  }
  CHECK(pace.PaceOf(kService, 2).read_tokens_per_ms > 30);
  CHECK(pace.PaceOf(kService, 2).read_tokens_per_ms < 55);
  CHECK(pace.PaceOf(kService, 2).event_ms == doctest::Approx(20).epsilon(0.1));
}

TEST_CASE("calls without events that take long by themselves blame no engine") {
  UpstreamPace pace;
  constexpr uint64_t kService = 1;
  std::mt19937_64 random(1);
  for (uint64_t process = 2; process < 10; ++process)
    pace.AddProcess(kService, process);
  for (int64_t i = 0; i < 400; ++i) {
    // One call in three asks for four times the work.
    const int64_t duration_ms = random() % 3 == 0 ? 160 : 40;
    pace.OnServed({.service = kService,
                   .process = 2 + random() % 8,
                   .duration_ms = duration_ms},
                  i * 10);
    if (i % 50 == 0) pace.Sweep(i * 10);
  }
  CHECK(pace.NextGossipBatch(4'000).empty());
  double least = 1e9;
  double most = 0;
  for (uint64_t process = 2; process < 10; ++process) {
    const double ms = pace.PaceOf(kService, process).event_ms;
    least = std::min(least, ms);
    most = std::max(most, ms);
  }
  CHECK(most < 2 * least);
}
