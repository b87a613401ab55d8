// Admission of new programs, order of waiting calls, and calls that give up
// waiting.
#include "src/program_admission.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <string>

#include "src/boot_clock.h"
#include "src/call_rank.h"
#include "src/dispatcher.h"
#include "src/fair_queue.h"
#include "src/metrics.h"
#include "src/name_hash.h"

namespace {

using namespace pimento;
namespace asio = boost::asio;

SlotUse Use(int64_t in_flight) {
  return {.slots = 270, .own = 5, .peers = in_flight - 5, .gateways = 55};
}

// Of 1,000 programs, those that may begin.
int Admitted(bool most_urgent, const SlotUse& use) {
  int admitted = 0;
  for (int i = 0; i < 1'000; ++i) {
    const ProgramRequest request{.program_hash = HashName(std::to_string(i)),
                                 .call_hash = HashName("c" + std::to_string(i)),
                                 .most_urgent = most_urgent};
    if (RefuseProgramForMs(request, use) == 0) ++admitted;
  }
  return admitted;
}

DispatchRequest Request(const std::string& id, int64_t wait_ms) {
  return {.input = {.service = "talk"},
          .request_id = id,
          .team = "t",
          .wait_deadline_ms = SteadyMs() + wait_ms};
}

WaitingCall Waiting(uint64_t ticket, int64_t finish_by_ms) {
  WaitingCall call;
  call.ticket = ticket;
  call.team = "t";
  call.arrived_ms = static_cast<int64_t>(ticket);
  call.finish_by_ms = finish_by_ms;
  return call;
}

}  // namespace

TEST_CASE("a service with a cold rate refuses no program for its load") {
  SlotUse full = Use(500);
  CHECK(Admitted(false, full) == 0);
  full.has_cold_rate = true;
  CHECK(Admitted(false, full) == 1'000);
  CHECK_FALSE(MustSpread(full));
  // The configuration tells.
  DesiredState::Parts parts;
  parts.services = {{.name = "warm"}, {.name = "cold", .cold_per_second = 9}};
  UpstreamTable table({});
  table.set_services(DesiredState(parts));
  CHECK_FALSE(table.UseOf("warm").has_cold_rate);
  CHECK(table.UseOf("cold").has_cold_rate);
}

TEST_CASE("less urgent programs are refused first, and all only when full") {
  CHECK(Admitted(false, Use(135)) == 1'000);
  const int some = Admitted(false, Use(175));
  CHECK(some > 400);
  CHECK(some < 600);
  CHECK(Admitted(false, Use(216)) == 0);
  CHECK(Admitted(true, Use(297)) == 1'000);
  CHECK(Admitted(true, Use(405)) == 0);
}

TEST_CASE("few gateways refuse no program for the load of the service") {
  SlotUse use = Use(405);
  use.gateways = 3;
  CHECK(Admitted(false, use) == 1'000);
}

TEST_CASE("a program that one gateway admitted is not refused by another") {
  const ProgramRequest request{.program_hash = HashName("p"), .call_hash = 1};
  for (int64_t in_flight = 130; in_flight < 220; ++in_flight) {
    const ProgramRequest again{.program_hash = HashName("p"), .call_hash = 2};
    CHECK((RefuseProgramForMs(request, Use(in_flight)) == 0) ==
          (RefuseProgramForMs(again, Use(in_flight)) == 0));
  }
}

TEST_CASE("refused callers come back spread over a second") {
  int64_t least = 1'000'000;
  int64_t most = 0;
  for (int i = 0; i < 200; ++i) {
    const int64_t wait_ms =
        RefuseProgramForMs({.program_hash = HashName("p"),
                            .call_hash = HashName(std::to_string(i))},
                           Use(420));
    least = std::min(least, wait_ms);
    most = std::max(most, wait_ms);
  }
  CHECK(least >= 300);
  CHECK(most <= 1'200);
  CHECK(most - least > 700);
}

TEST_CASE("calls of programs that are late already wait behind the others") {
  const auto queue = MakeQueue(QueuePolicy::kFair);
  queue->Push(Waiting(1, 900));
  queue->Push(Waiting(2, 2'000));
  queue->Push(Waiting(3, 0));
  CHECK(queue->Pop(1'000)->ticket == 2);
  CHECK(queue->Pop(1'000)->ticket == 3);
  CHECK(queue->Pop(1'000)->ticket == 1);
}

TEST_CASE("a call that gave up waiting is not ahead of later ones") {
  asio::io_context io;
  UpstreamTable table({.zone = "a"});
  table.Put({.id = "one", .service = "talk", .slots = 1, .started_at_ms = 1},
            0);
  Metrics metrics;
  Dispatcher dispatcher(io, table, metrics);
  Reason late = Reason::kNone;
  Reason next = Reason::kNone;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        StopToken token;
        co_await dispatcher.Acquire(Request("holder", 1'000), token);
        try {
          co_await dispatcher.Acquire(Request("late", 50), token);
        } catch (const Refusal& refusal) {
          late = refusal.reason();
        }
        // Worth a wait of 30 ms behind the running call, not of 60 ms behind
        // another one.
        try {
          co_await dispatcher.Acquire(Request("next", 45), token);
        } catch (const Refusal& refusal) {
          next = refusal.reason();
        }
      },
      asio::detached);
  io.run();
  CHECK(late == Reason::kQueueTimeout);
  CHECK(next == Reason::kQueueTimeout);
  CHECK(dispatcher.waiting() == 0);
}

TEST_CASE(
    "a team's priority precedes its route's, which decides among equals") {
  CHECK(CallRank(1, 0) < CallRank(1, 2));
  CHECK(CallRank(0, 2) < CallRank(1, 0));
  CHECK(CallRank(-1, 0) < CallRank(-1, 2));
  CHECK(CallRank(-1, 0) <= CallRank(0, 0));
  CHECK(CallRank(2'000'000'000, 2'000'000'000) > 0);
}

TEST_CASE("a kind is the most urgent one by its route, not by its team") {
  asio::io_context io;
  UpstreamTable table({.zone = "a"});
  table.Put({.id = "one", .service = "talk", .slots = 4, .started_at_ms = 1},
            0);
  Metrics metrics;
  Dispatcher dispatcher(io, table, metrics);
  CHECK(dispatcher.MostUrgent("talk", 2));
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        StopToken token;
        DispatchRequest urgent = Request("urgent", 1'000);
        urgent.priority = CallRank(3, 0);
        co_await dispatcher.Acquire(urgent, token);
        DispatchRequest other = Request("other", 1'000);
        other.priority = CallRank(0, 2);
        other.route_priority = 2;
        co_await dispatcher.Acquire(other, token);
      },
      asio::detached);
  io.run();
  CHECK(dispatcher.MostUrgent("talk", 0));
  CHECK_FALSE(dispatcher.MostUrgent("talk", 2));
  CHECK(dispatcher.MostUrgent("other", 2));
}
