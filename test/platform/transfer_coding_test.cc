// Answers whose body has a transfer coding other than chunks: through a
// gateway's real process.
#include <doctest/doctest.h>

#include <string>

#include "test/platform/scripted_fleet.h"

namespace pimento::testbed {
namespace {

using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;

bool IsProbe(const Request& request) { return request.id.starts_with("probe"); }

// Transfer codings that are not "chunked" alone.
const std::string kCodings[] = {
    "gzip",
    "xchunked",
    "identity",
    "chunked, gzip",
    "gzip, chunked",
    "chunked;q=1",
    "",
    "\"chunked\"",
    "chunked,",
    "deflate, gzip",
    "chunked, chunked",
    "chunke",
};

std::string CodingField(const std::string& coding) {
  return "Transfer-Encoding: " + coding + "\r\n";
}

}  // namespace

// The field was dropped and the coded bytes passed on as the body.
TEST_CASE("an answer with a transfer coding but chunks alone is a broken one") {
  auto fleet = FleetWithoutUpstreams("other_coding");
  std::string field;
  std::string body;
  ScriptedUpstream desk([&](const Request& request, Answer& answer) {
    if (IsProbe(request))
      return answer.Write(PlainHead(request, "Content-Length: 2\r\n") + "ok");
    answer.Write(PlainHead(request, field) + body);
    answer.Close();
  });
  ScriptedUpstream talk([&](const Request& request, Answer& answer) {
    answer.Write(StreamHead(request, IsProbe(request) ? "" : field) +
                 (IsProbe(request) ? EventsUpTo(2) : body));
    answer.Close();
  });
  fleet.RegisterUpstream(301, "desk", desk.address());
  fleet.RegisterUpstream(401, "talk", talk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  int number = 0;
  for (const std::string& coding : kCodings) {
    CAPTURE(coding);
    const std::string events = EventsUpTo(2);
    const std::string lengths[] = {
        "", "Content-Length: " + std::to_string(events.size()) + "\r\n"};
    for (const std::string& length : lengths) {
      CAPTURE(length);
      for (const bool length_first : {false, true}) {
        const std::string name = CodingField(coding);
        field = length_first ? length + name : name + length;
        for (const std::string& sent : {events, Chunk(events) + "0\r\n\r\n"}) {
          CAPTURE(sent);
          body = sent;
          const std::string id = std::to_string(++number);
          const auto got =
              fleet.Call(0, fleet.PlainRequest("charge" + id, false));
          CHECK(got.status == 502);
          CHECK(desk.CountRequests("charge" + id) == 1);
          const auto turn =
              fleet.Call(0, fleet.TurnRequest("turn" + id, "p", "", "x"));
          CHECK(turn.status == 502);
          CHECK(talk.CountRequests("turn" + id) == 1);
        }
      }
    }
  }
}

TEST_CASE("an idempotent request runs elsewhere after another coding") {
  auto fleet = FleetWithoutUpstreams("other_coding_again");
  std::string coding;
  ScriptedUpstream coded([&](const Request& request, Answer& answer) {
    answer.Write(PlainHead(request, CodingField(coding)) + "coded");
    answer.Close();
  });
  ScriptedUpstream sound([](const Request& request, Answer& answer) {
    answer.Write(PlainHead(request, "Content-Length: 5\r\n") + "sound");
  });
  fleet.RegisterUpstream(301, "desk", coded.address());
  fleet.RegisterUpstream(302, "desk", sound.address());
  WaitUntilListed(fleet, 301);
  WaitUntilListed(fleet, 302);
  int number = 0;
  for (const std::string& each : kCodings) {
    CAPTURE(each);
    coding = each;
    const std::string id = "status" + std::to_string(++number);
    const auto got = fleet.Call(0, fleet.PlainRequest(id, true));
    CHECK(got.status == 200);
    CHECK(got.body == "sound");
  }
}

TEST_CASE("chunks are read however their coding is written") {
  auto fleet = FleetWithoutUpstreams("chunked_coding");
  std::string coding = "chunked";
  ScriptedUpstream desk([&](const Request& request, Answer& answer) {
    answer.Write(PlainHead(request, CodingField(coding)) + Chunk("ok") +
                 "0\r\n\r\n");
  });
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  for (const std::string each : {"Chunked", " CHUNKED\t"}) {
    CAPTURE(each);
    coding = each;
    const auto got = fleet.Call(0, fleet.PlainRequest("c" + each, false));
    CHECK(got.status == 200);
    CHECK(got.body == "ok");
  }
}

}  // namespace pimento::testbed
