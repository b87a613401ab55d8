// Answers whose status is outside the protocol: through a gateway's real
// process.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "test/platform/scripted_fleet.h"

namespace pimento::testbed {
namespace {

using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Well below the deadline of a request.
constexpr milliseconds kSoon{1'000};

std::string AnswerWith(const std::string& status, const Request& request) {
  return "HTTP/1.1 " + status + "\r\n" +
         ScriptedUpstream::AnswerFields(request) +
         "Content-Length: 2\r\n\r\nok";
}

const std::string kStatuses[] = {"000 Zero", "00 Short", "099 Low",
                                 "600 High", "999 Top",  "+20 Signed",
                                 "20 Short", "200OK",    "2000 Long"};

}  // namespace

// 000 and 099 were discarded as interim answers, 600 and 999 passed on.
TEST_CASE("an answer with a status outside the protocol is a broken one") {
  auto fleet = FleetWithoutUpstreams("status_outside");
  std::string status;
  ScriptedUpstream desk([&](const Request& request, Answer& answer) {
    const bool probe = request.id.starts_with("probe");
    answer.Write(AnswerWith(probe ? "200 OK" : status, request));
  });
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  int number = 0;
  for (const std::string& wrong : kStatuses) {
    CAPTURE(wrong);
    status = wrong;
    const std::string id = "charge" + std::to_string(++number);
    const auto began = steady_clock::now();
    const auto got = fleet.Call(0, fleet.PlainRequest(id, false));
    CHECK(got.status == 502);
    CHECK(steady_clock::now() - began < kSoon);
    // It may have run: no second run.
    CHECK(desk.CountRequests(id) == 1);
  }
  const std::string metrics = fleet.Metrics("gateway-0");
  // Those of three digits; the others cannot be read as an answer at all.
  CHECK(metrics.find("invalid_statuses_total 4") != std::string::npos);
  CHECK(fleet.Log("gateway-0").find("the status 600") != std::string::npos);
}

TEST_CASE("an idempotent request runs elsewhere after a status that is none") {
  auto fleet = FleetWithoutUpstreams("status_outside_again");
  std::string status = "000 Zero";
  ScriptedUpstream wrong([&](const Request& request, Answer& answer) {
    answer.Write(AnswerWith(status, request));
  });
  ScriptedUpstream sound([](const Request& request, Answer& answer) {
    answer.Write(AnswerWith("200 OK", request));
  });
  fleet.RegisterUpstream(301, "desk", wrong.address());
  fleet.RegisterUpstream(302, "desk", sound.address());
  WaitUntilListed(fleet, 301);
  WaitUntilListed(fleet, 302);
  int number = 0;
  for (const std::string& text : kStatuses) {
    CAPTURE(text);
    status = text;
    const std::string id = "status" + std::to_string(++number);
    const auto began = steady_clock::now();
    CHECK(fleet.Call(0, fleet.PlainRequest(id, true)).status == 200);
    CHECK(steady_clock::now() - began < kSoon);
  }
}

TEST_CASE("a stream with a status outside the protocol is a broken one") {
  auto fleet = FleetWithoutUpstreams("status_outside_stream");
  std::string status;
  ScriptedUpstream talk([&](const Request& request, Answer& answer) {
    const bool probe = request.id.starts_with("probe");
    answer.Write("HTTP/1.1 " + (probe ? "200 OK" : status) + "\r\n" +
                 ScriptedUpstream::AnswerFields(request) +
                 "Content-Type: text/event-stream\r\n\r\n" + EventsUpTo(2));
    answer.Close();
  });
  fleet.RegisterUpstream(401, "talk", talk.address());
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  int number = 0;
  for (const std::string& wrong : kStatuses) {
    CAPTURE(wrong);
    status = wrong;
    const std::string id = "turn" + std::to_string(++number);
    const auto got = fleet.Call(0, fleet.TurnRequest(id, "p", "", "x"));
    CHECK(got.status == 502);
    CHECK(talk.CountRequests(id) == 1);
    // Nothing of it is kept as a turn.
    const auto next = fleet.Call(0, fleet.TurnRequest("n" + id, "p", id, "y"));
    CHECK(next.status == 404);
  }
}

TEST_CASE("interim answers are still waited out") {
  auto fleet = FleetWithoutUpstreams("status_interim");
  ScriptedUpstream desk([](const Request& request, Answer& answer) {
    if (!request.id.starts_with("probe"))
      answer.Write("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
    answer.Pause(20);
    answer.Write(AnswerWith("200 OK", request));
  });
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  const auto got = fleet.Call(0, fleet.PlainRequest("charge", false));
  CHECK(got.status == 200);
  CHECK(got.body == "ok");
}

}  // namespace pimento::testbed
