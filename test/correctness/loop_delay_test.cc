// Own delay and the silence of others, on one clock.
#include "src/loop_delay.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>

#include "src/gateway_peers.h"

namespace pimento {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTurn{50};
constexpr milliseconds kMaxStep{65};
// Timers are this late at most while the loop is not delayed.
constexpr int64_t kSlackMs = 20;

LoopDelay::Time At(int64_t ms) { return LoopDelay::Time(milliseconds(ms)); }

int64_t Ms(PeerTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

// A loop with turns each 50 ms and one timer, on a simulated clock, that does
// nothing for a while.
struct Loop {
  // Runs until the peer is found silent; returns when. A peer that answers at
  // `answer_ms` is read in the first millisecond that the loop runs after it,
  // but after the timers of that millisecond.
  std::optional<int64_t> SilentAt(int64_t begun_ms, int64_t limit_ms,
                                  int64_t answer_ms, int64_t stall_from_ms,
                                  int64_t stall_ms) {
    int64_t next_turn_ms = 0;
    std::optional<SilenceLimit> limit;
    int64_t due_ms = 0;
    for (int64_t now_ms = 0; now_ms < 60'000; ++now_ms) {
      const bool stalled =
          now_ms > stall_from_ms && now_ms < stall_from_ms + stall_ms;
      if (stalled) continue;
      if (now_ms >= next_turn_ms) {
        delay.OnTurn(At(now_ms));
        next_turn_ms = now_ms + kTurn.count();
      }
      if (now_ms >= begun_ms && !limit) {
        limit.emplace(delay.At(At(now_ms)) + milliseconds(limit_ms));
        due_ms = now_ms + limit_ms;
      }
      if (!limit) continue;
      if (now_ms >= due_ms) {
        const auto longer =
            limit->WaitLonger(At(due_ms), At(now_ms), delay.At(At(now_ms)));
        if (!longer) return now_ms;
        due_ms =
            now_ms + std::chrono::duration_cast<milliseconds>(*longer).count();
      }
      if (now_ms >= answer_ms) return std::nullopt;
    }
    return std::nullopt;
  }
  LoopDelay delay{kMaxStep};
};

constexpr int64_t kNever = 1'000'000;

}  // namespace

TEST_CASE("without turns the clock of peers follows the steady clock") {
  const LoopDelay delay(kMaxStep);
  CHECK(Ms(delay.At(At(5))) == 5);
  CHECK(Ms(delay.At(At(5'000))) == 5'000);
}

TEST_CASE("the clock of peers leaves out the time of a stall") {
  LoopDelay delay(kMaxStep);
  for (const int64_t ms : {0, 50, 100}) delay.OnTurn(At(ms));
  CHECK(Ms(delay.At(At(140))) == 140);
  CHECK(Ms(delay.At(At(690))) == 165);
  delay.OnTurn(At(700));
  CHECK(Ms(delay.At(At(700))) == 165);
  CHECK(Ms(delay.At(At(720))) == 185);
  delay.OnTurn(At(750));
  CHECK(Ms(delay.At(At(750))) == 215);
  CHECK(delay.total() == milliseconds(535));
}

TEST_CASE("the clock of peers never runs backwards nor faster than time") {
  LoopDelay delay(kMaxStep);
  int64_t last_ms = 0;
  uint64_t random = 7;
  for (int64_t now_ms = 0; now_ms < 20'000; ++now_ms) {
    random =
        random * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
    if ((random >> 33) % 97 == 0) delay.OnTurn(At(now_ms));
    const int64_t peer_ms = Ms(delay.At(At(now_ms)));
    CHECK(peer_ms >= last_ms);
    CHECK(peer_ms - last_ms <= 1);
    last_ms = peer_ms;
  }
}

TEST_CASE("a loop that stalls reads the answers that wait for it") {
  for (const int64_t stall_ms : {200, 450, 2'000}) {
    for (int64_t stall_from_ms = 0; stall_from_ms < 700; stall_from_ms += 7) {
      CAPTURE(stall_ms);
      CAPTURE(stall_from_ms);
      // The answer comes 40 ms after the call at the latest, or within the
      // stall.
      CHECK_FALSE(Loop().SilentAt(100, 450, 140, stall_from_ms, stall_ms));
    }
  }
}

TEST_CASE("a call that began before a stall has its time after it") {
  // Its request was sent only after the stall, and answered 100 ms later.
  CHECK_FALSE(Loop().SilentAt(100, 450, 1'200, 101, 1'000));
}

TEST_CASE("a silent peer is noticed within its limit and the stall") {
  CHECK(Loop().SilentAt(100, 450, kNever, kNever, 0).value() <= 550 + kSlackMs);
  for (const int64_t limit_ms : {40, 50, 100, 450, 2'200}) {
    for (const int64_t stall_ms : {30, 200, 1'000}) {
      for (int64_t from_ms = 0; from_ms < 700; from_ms += 11) {
        CAPTURE(limit_ms);
        CAPTURE(stall_ms);
        CAPTURE(from_ms);
        const auto at =
            Loop().SilentAt(100, limit_ms, kNever, from_ms, stall_ms);
        REQUIRE(at);
        CHECK(*at <= 100 + limit_ms + stall_ms + kSlackMs);
      }
    }
  }
}

TEST_CASE("a loop that is always late still finds a silent peer") {
  LoopDelay delay(kMaxStep);
  SilenceLimit limit(PeerTime(milliseconds(450)));
  int64_t now_ms = 0;
  int judged = 0;
  for (std::optional<LoopDelay::Duration> wait = milliseconds(450); wait;) {
    const int64_t due_ms =
        now_ms + std::chrono::duration_cast<milliseconds>(*wait).count();
    now_ms = due_ms + 300;
    delay.OnTurn(At(now_ms));
    wait = limit.WaitLonger(At(due_ms), At(now_ms), delay.At(At(now_ms)));
    REQUIRE(++judged < 20);
  }
  CHECK(judged > 1);
}

TEST_CASE("peers whose gossip waits in the socket are not silent") {
  // By the steady clock, all peers are silent when the loop is back.
  LoopDelay delay(kMaxStep);
  GatewayView view(450);
  for (int64_t now_ms = 0; now_ms <= 1'000; now_ms += 50) {
    delay.OnTurn(At(now_ms));
    if (now_ms % 100 == 0)
      view.ApplyGossip({.host = "b",
                        .boot = 1,
                        .sequence = static_cast<uint64_t>(now_ms) + 1},
                       Ms(delay.At(At(now_ms))));
  }
  delay.OnTurn(At(2'000));
  CHECK(view.ReachablePeers(Ms(delay.At(At(2'000)))).size() == 1);
  CHECK(view.ReachablePeers(2'000).empty());
  // One that stays away is noticed within its bound and the stall.
  for (int64_t now_ms = 2'050; now_ms <= 2'500; now_ms += 50)
    delay.OnTurn(At(now_ms));
  CHECK(view.ReachablePeers(Ms(delay.At(At(2'500)))).empty());
}

}  // namespace pimento
