// Answers of upstreams with neither a length nor chunks, which end with their
// connection: through a gateway's real process.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "test/platform/scripted_fleet.h"

namespace pimento::testbed {
namespace {

using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;

}  // namespace

TEST_CASE("an answer without length or chunks is whole at an orderly close") {
  auto fleet = FleetWithoutUpstreams("unframed_whole");
  ScriptedUpstream desk([](const Request& request, Answer& answer) {
    answer.Write(PlainHead(request) + "first ");
    answer.Pause(30);
    answer.Write("second");
    answer.Close();
  });
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  for (int i = 0; i < 3; ++i) {
    const auto got =
        fleet.Call(0, fleet.PlainRequest("w" + std::to_string(i), i > 0));
    CHECK(got.status == 200);
    CHECK(got.complete);
    CHECK(got.body == "first second");
    // The caller can tell that it is whole.
    CHECK(got.headers.at("content-length") == "12");
  }
  // The connection never carries another request.
  for (const Request& request : desk.requests()) CHECK(request.position == 1);
}

TEST_CASE("an answer without length or chunks that is reset is not passed on") {
  auto fleet = FleetWithoutUpstreams("unframed_reset");
  ScriptedUpstream desk([](const Request& request, Answer& answer) {
    answer.Write(PlainHead(request) + "first ");
    if (request.id.starts_with("probe")) return answer.Close();
    answer.Pause(30);
    answer.Reset();
  });
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  const auto charge = fleet.Call(0, fleet.PlainRequest("charge", false));
  CHECK(charge.status != 200);
  // It may have run: no promise of the contrary, and no second run.
  CHECK(charge.status != 429);
  CHECK(charge.status != 503);
  CHECK(desk.CountRequests("charge") == 1);
  const auto status = fleet.Call(0, fleet.PlainRequest("status", true));
  CHECK(status.status != 200);
}

TEST_CASE("an idempotent request runs elsewhere after an unframed reset") {
  auto fleet = FleetWithoutUpstreams("unframed_again");
  ScriptedUpstream torn([](const Request& request, Answer& answer) {
    answer.Write(PlainHead(request) + "torn");
    answer.Reset();
  });
  ScriptedUpstream sound([](const Request& request, Answer& answer) {
    answer.Write(PlainHead(request) + "sound");
    answer.Close();
  });
  fleet.RegisterUpstream(301, "desk", torn.address());
  fleet.RegisterUpstream(302, "desk", sound.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  for (int i = 0; i < 4; ++i) {
    const auto got =
        fleet.Call(0, fleet.PlainRequest("s" + std::to_string(i), true));
    CHECK(got.status == 200);
    CHECK(got.body == "sound");
  }
}

TEST_CASE("a refusal without length or chunks is not waited for") {
  auto fleet = FleetWithoutUpstreams("unframed_refusal");
  ScriptedUpstream desk([](const Request& request, Answer& answer) {
    if (request.id.starts_with("probe")) {
      answer.Write(PlainHead(request));
      return answer.Close();
    }
    answer.Write("HTTP/1.1 503 Full\r\nX-Pimentopulley-Not-Run: 1\r\n" +
                 ScriptedUpstream::AnswerFields(request) + "\r\nfull");
    answer.Pause(1'200);
    answer.Close();
  });
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  const auto started = std::chrono::steady_clock::now();
  const auto got = fleet.Call(0, fleet.PlainRequest("charge", false));
  CHECK(got.status == 503);
  CHECK(std::chrono::steady_clock::now() - started <
        std::chrono::milliseconds(700));
}

TEST_CASE("a stream without length or chunks ends whole at a whole event") {
  auto fleet = FleetWithoutUpstreams("unframed_stream");
  ScriptedUpstream talk([](const Request& request, Answer& answer) {
    answer.Write(StreamHead(request) + EventsUpTo(2));
    answer.Pause(20);
    answer.Write(ScriptedUpstream::EventText(3, "w3"));
    answer.Close();
  });
  fleet.RegisterUpstream(401, "talk", talk.address());
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  const auto turn = fleet.Call(0, fleet.TurnRequest("t1", "p", "", "x"));
  CHECK(turn.status == 200);
  CHECK(turn.complete);
  CHECK(turn.body == EventsUpTo(3));
  CHECK(turn.headers.at("transfer-encoding") == "chunked");
  CHECK(fleet.Call(0, fleet.TurnRequest("t2", "p", "t1", "y")).status == 200);
  CHECK(talk.requests().back().body == "xw1\nw2\nw3\ny");
  for (const Request& request : talk.requests()) CHECK(request.position == 1);
}

TEST_CASE("an unframed stream is broken where it cannot be told to be whole") {
  enum class Break : uint8_t { kReset, kInsideEvent, kBeforeFirstEvent };
  for (const Break way :
       {Break::kReset, Break::kInsideEvent, Break::kBeforeFirstEvent}) {
    CAPTURE(static_cast<int>(way));
    auto fleet = FleetWithoutUpstreams("unframed_broken");
    ScriptedUpstream talk([way](const Request& request, Answer& answer) {
      answer.Write(StreamHead(request));
      const bool probe = request.id.starts_with("probe");
      if (probe || way != Break::kBeforeFirstEvent) answer.Write(EventsUpTo(2));
      if (probe) return answer.Close();
      if (way == Break::kInsideEvent) answer.Write("id: 3\ndata: w3\n");
      answer.Pause(30);
      if (way == Break::kReset) return answer.Reset();
      answer.Close();
    });
    fleet.RegisterUpstream(401, "talk", talk.address());
    WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
    const auto turn = fleet.Call(0, fleet.TurnRequest("t1", "p", "", "x"));
    CHECK((turn.status != 200 || !turn.complete));
    // It may have run: no promise of the contrary.
    CHECK(turn.status != 503);
    // Nothing of the torn event arrives, the run is not repeated, and the turn
    // does not exist.
    CHECK(turn.body.find("w3") == std::string::npos);
    CHECK(talk.CountRequests("t1") == 1);
    CHECK(fleet.Call(0, fleet.TurnRequest("t2", "p", "t1", "y")).status == 404);
  }
}

TEST_CASE("a broken unframed stream goes on elsewhere after its last event") {
  auto fleet = FleetWithoutUpstreams("unframed_resumed");
  const auto script = [](const Request& request, Answer& answer) {
    const bool resumed = !request.last_event_id.empty();
    if (resumed || request.id.starts_with("probe")) {
      answer.Write(StreamHead(request));
      const int first = resumed ? std::stoi(request.last_event_id) + 1 : 1;
      for (int i = first; i <= 4; ++i)
        answer.Write(ScriptedUpstream::EventText(i, "w" + std::to_string(i)));
      return answer.Close();
    }
    answer.Write(StreamHead(request) + EventsUpTo(2) + "id: 3\nda");
    answer.Close();
  };
  ScriptedUpstream one(script);
  ScriptedUpstream two(script);
  fleet.RegisterUpstream(401, "talk", one.address());
  fleet.RegisterUpstream(402, "talk", two.address());
  // An answer to a probe shows only that one of the two is known.
  WaitUntilListed(fleet, 401);
  WaitUntilListed(fleet, 402);
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  const auto got = fleet.Call(0, ResumableRequest(fleet, "r1"));
  CHECK(got.status == 200);
  CHECK(got.complete);
  CHECK(got.body == EventsUpTo(4));
  CHECK(one.CountRequests("r1") + two.CountRequests("r1") == 2);
}

// It counted the events of the first answer, and ended the stream as complete.
TEST_CASE("a resumed stream that breaks off before an event is not complete") {
  auto fleet = FleetWithoutUpstreams("unframed_resumed_empty");
  const auto script = [](const Request& request, Answer& answer) {
    answer.Write(StreamHead(request));
    if (request.id.starts_with("probe")) answer.Write(EventsUpTo(4));
    const bool first = request.id == "r1" && request.last_event_id.empty();
    if (first) answer.Write(EventsUpTo(2) + "id: 3\nda");
    answer.Close();
  };
  ScriptedUpstream one(script);
  ScriptedUpstream two(script);
  fleet.RegisterUpstream(401, "talk", one.address());
  fleet.RegisterUpstream(402, "talk", two.address());
  WaitUntilListed(fleet, 401);
  WaitUntilListed(fleet, 402);
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  const auto got = fleet.Call(0, ResumableRequest(fleet, "r1"));
  CHECK(got.status == 200);
  CHECK_FALSE(got.complete);
  CHECK(got.body == EventsUpTo(2));
  CHECK(one.CountRequests("r1") == 1);
  CHECK(two.CountRequests("r1") == 1);
}

TEST_CASE("a broken stream never looks complete to an HTTP/1.0 caller") {
  auto fleet = FleetWithoutUpstreams("unframed_http10");
  ScriptedUpstream talk([](const Request& request, Answer& answer) {
    answer.Write(StreamHead(request) + EventsUpTo(2));
    if (request.id == "broken") answer.Write("id: 3\nda");
    answer.Close();
  });
  fleet.RegisterUpstream(401, "talk", talk.address());
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  const auto send = [&](const std::string& id, const std::string& more) {
    return fleet.SendRaw(0,
                         "POST /kept/turn HTTP/1.0\r\nHost: x.example\r\n"
                         "X-Pimentopulley-Request-Id: " +
                             id + "\r\nAuthorization: Token " + fleet.key() +
                             "\r\n" + more + "Content-Length: 1\r\n\r\nx",
                         2'500);
  };
  for (const std::string more : {"", "Connection: keep-alive\r\n"}) {
    CAPTURE(more);
    const std::string whole = send("whole" + std::to_string(more.size()), more);
    CHECK(whole.find("200 OK") != std::string::npos);
    CHECK(whole.find("chunked") == std::string::npos);
    CHECK(
        whole.find("Content-Length: " + std::to_string(EventsUpTo(2).size())) !=
        std::string::npos);
    CHECK(whole.ends_with(EventsUpTo(2)));
  }
  // No byte of the broken stream arrives without the promise of its length.
  CHECK(send("broken", "").find("data:") == std::string::npos);
}

}  // namespace pimento::testbed
