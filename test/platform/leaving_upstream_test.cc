// Upstreams that state in their answers that they are about to stop, while
// their entries in the store still say that they serve: through real gateways.
#include <doctest/doctest.h>
#include <signal.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"

namespace pimento::testbed {
namespace {

using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* kLeaving = "Server-Leaving: 1\r\n";

PlatformFleet FleetWithoutUpstreams(const std::string& name, int gateways) {
  return PlatformFleet(
      "build/bin", "build/platform/" + name,
      {.gateways = gateways, .streaming_upstreams = 0, .plain_upstreams = 0});
}

std::string PlainAnswer(const Request& request, const std::string& status,
                        const std::string& more) {
  return "HTTP/1.1 " + status + "\r\n" +
         ScriptedUpstream::AnswerFields(request) + more +
         "Content-Length: 2\r\n\r\nok";
}

std::string StreamHead(const Request& request, const std::string& more) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Connection: close\r\n" +
         ScriptedUpstream::AnswerFields(request) + more + "\r\n";
}

void Pause(int64_t time_ms) {
  std::this_thread::sleep_for(milliseconds(time_ms));
}

// Polls `condition` for up to 3 s.
template <class Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 100; ++i) {
    if (condition()) return true;
    Pause(30);
  }
  return false;
}

// Sends idempotent requests through `gateway` until `upstream` got one.
bool Reaches(PlatformFleet& fleet, int gateway, ScriptedUpstream& upstream) {
  const size_t before = upstream.requests().size();
  return Eventually([&] {
    fleet.Call(gateway, {.method = "GET",
                         .target = "/open/x",
                         .headers = {{"X-Pimentopulley-Deadline-Ms", "900"}}});
    return upstream.requests().size() > before;
  });
}

}  // namespace

TEST_CASE("a gateway sends nothing to an upstream that said it is leaving") {
  // In a plain answer, in one with a failure, and in a true refusal.
  for (const std::string status :
       {"200 OK", "500 Failed", "503 Full\r\nX-Pimentopulley-Not-Run: 1"}) {
    CAPTURE(status);
    auto fleet = FleetWithoutUpstreams("leaving_plain", 1);
    std::atomic<bool> leaving = false;
    ScriptedUpstream one([&](const Request& request, Answer& answer) {
      answer.Write(leaving ? PlainAnswer(request, status, kLeaving)
                           : PlainAnswer(request, "200 OK", ""));
    });
    ScriptedUpstream two([](const Request& request, Answer& answer) {
      answer.Write(PlainAnswer(request, "200 OK", ""));
    });
    fleet.RegisterUpstream(301, "desk", one.address());
    REQUIRE(Reaches(fleet, 0, one));
    leaving = true;
    fleet.Call(0, fleet.PlainRequest("last", false));
    REQUIRE(one.CountRequests("last") == 1);
    // It is the only one: what cannot be served is refused at once.
    const auto started = steady_clock::now();
    CHECK(fleet.Call(0, fleet.PlainRequest("refused", false)).status == 503);
    CHECK(steady_clock::now() - started < milliseconds(500));
    fleet.RegisterUpstream(302, "desk", two.address());
    REQUIRE(Reaches(fleet, 0, two));
    const size_t before = one.requests().size();
    for (int i = 0; i < 20; ++i)
      CHECK(fleet.Call(0, fleet.PlainRequest("n" + std::to_string(i), i % 2))
                .status == 200);
    CHECK(one.requests().size() == before);
    // A new process under the same id is used again. Without the other one, the
    // gateway has no choice by speed.
    leaving = false;
    fleet.RegisterUpstream(301, "desk", one.address(), 8, 2);
    fleet.DeleteObject("servers", "302");
    CHECK(Reaches(fleet, 0, one));
    CHECK(fleet.Call(0, fleet.PlainRequest("again", false)).status == 200);
  }
}

TEST_CASE(
    "a stream at a leaving upstream ends there, the next goes elsewhere") {
  auto fleet = FleetWithoutUpstreams("leaving_stream", 1);
  ScriptedUpstream one([](const Request& request, Answer& answer) {
    answer.Write(StreamHead(request, kLeaving));
    answer.Pause(600);
    for (int i = 1; i <= 3; ++i)
      answer.Write(ScriptedUpstream::EventText(i, "one"));
    answer.Close();
  });
  ScriptedUpstream two([](const Request& request, Answer& answer) {
    answer.Write(StreamHead(request, "") +
                 ScriptedUpstream::EventText(1, "two"));
    answer.Close();
  });
  fleet.RegisterUpstream(401, "talk", one.address());
  CallerAnswer first;
  std::jthread caller([&] {
    Eventually([&] {
      first = fleet.Call(0, fleet.TurnRequest("t1", "p", "", "x"));
      return first.status == 200;
    });
  });
  REQUIRE(Eventually([&] { return !one.requests().empty(); }));
  Pause(100);
  fleet.RegisterUpstream(402, "talk", two.address());
  // Before the first event of the first stream.
  CallerAnswer next;
  CHECK(Eventually([&] {
    next = fleet.Call(0, fleet.TurnRequest("t2", "q", "", "x"));
    return next.status == 200;
  }));
  CHECK(next.body.find("two") != std::string::npos);
  caller.join();
  CHECK(first.complete);
  CHECK(first.body.find("id: 3") != std::string::npos);
  CHECK(one.requests().size() == 1);
}

TEST_CASE("a queued request is not sent to an upstream that began to leave") {
  auto fleet = FleetWithoutUpstreams("leaving_queue", 1);
  std::atomic<bool> leaving = false;
  ScriptedUpstream one([&](const Request& request, Answer& answer) {
    if (leaving) answer.Pause(500);
    answer.Write(PlainAnswer(request, "200 OK", leaving ? kLeaving : ""));
  });
  fleet.RegisterUpstream(301, "desk", one.address(), 1);
  REQUIRE(Reaches(fleet, 0, one));
  leaving = true;
  std::jthread running([&] {
    CHECK(fleet.Call(0, fleet.PlainRequest("running", false)).status == 200);
  });
  REQUIRE(Eventually([&] { return one.CountRequests("running") == 1; }));
  const auto started = steady_clock::now();
  CHECK(fleet.Call(0, fleet.PlainRequest("queued", false)).status == 503);
  running.join();
  CHECK(one.CountRequests("queued") == 0);
  // Refused when the last upstream left, not at its deadline of 1.5 s.
  CHECK(steady_clock::now() - started < milliseconds(1'000));
}

TEST_CASE("a request that is sent again avoids an upstream that is leaving") {
  auto fleet = FleetWithoutUpstreams("leaving_again", 1);
  ScriptedUpstream torn([](const Request& request, Answer& answer) {
    if (request.id != "again")
      return answer.Write(PlainAnswer(request, "200 OK", ""));
    answer.Pause(1'000);
    answer.Reset();
  });
  ScriptedUpstream gone([](const Request& request, Answer& answer) {
    answer.Write(PlainAnswer(request, "200 OK", kLeaving));
  });
  ScriptedUpstream sound([](const Request& request, Answer& answer) {
    answer.Write(PlainAnswer(request, "200 OK", ""));
  });
  // With one slot, it gets no other request meanwhile.
  fleet.RegisterUpstream(301, "desk", torn.address(), 1);
  REQUIRE(Reaches(fleet, 0, torn));
  CallerAnswer again;
  std::jthread caller(
      [&] { again = fleet.Call(0, fleet.PlainRequest("again", true)); });
  REQUIRE(Eventually([&] { return torn.CountRequests("again") == 1; }));
  fleet.RegisterUpstream(302, "desk", gone.address());
  REQUIRE(Reaches(fleet, 0, gone));
  fleet.RegisterUpstream(303, "desk", sound.address());
  REQUIRE(Reaches(fleet, 0, sound));
  caller.join();
  CHECK(again.status == 200);
  CHECK(gone.requests().size() == 1);
  CHECK(sound.CountRequests("again") == 1);
}

TEST_CASE("gateways tell each other which upstreams are leaving") {
  auto fleet = FleetWithoutUpstreams("leaving_peers", 2);
  std::atomic<bool> leaving = false;
  ScriptedUpstream one([&](const Request& request, Answer& answer) {
    answer.Write(PlainAnswer(request, "200 OK", leaving ? kLeaving : ""));
  });
  fleet.RegisterUpstream(301, "desk", one.address());
  REQUIRE(Reaches(fleet, 0, one));
  REQUIRE(Reaches(fleet, 1, one));
  leaving = true;
  CHECK(fleet.Call(1, fleet.PlainRequest("last", true)).status == 200);
  CHECK(Eventually([&] {
    return fleet.Metrics("gateway-0").find("leaving_reported_total 1") !=
           std::string::npos;
  }));
  const size_t before = one.requests().size();
  CHECK(fleet.Call(0, fleet.PlainRequest("other", true)).status == 503);
  // A gateway that restarts learns it from its peers.
  fleet.processes().Kill("gateway-0");
  fleet.StartHost("gateway-0", false);
  fleet.WaitUntilReady(10'000);
  Pause(400);
  CHECK(fleet.Call(0, fleet.PlainRequest("restarted", true)).status == 503);
  CHECK(one.requests().size() == before);
}

}  // namespace pimento::testbed
