// Answers with a line in their head or trailers that is no field, or that is
// folded: through a gateway's real process.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "test/platform/scripted_fleet.h"

namespace pimento::testbed {
namespace {

using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Well below the deadline of a request.
constexpr milliseconds kSoon{1'000};

// Lines of a head that are no fields.
const std::string kOddLines[] = {
    "X Lead: 1",     "X-Lead : 1",
    "X-Lead\t: 1",   std::string("X-\0Lead: 1", 10),
    "X-\x01Lead: 1", "X-\x7fLead: 1",
    "X-\xc3\xa9: 1", "X(Lead): 1",
    ": 1",           "X-Lead",
};
// Lines that begin with a blank or a tab.
const std::string kFoldedLines[] = {
    " X-Lead: 1",
    "\tX-Lead: 1",
    "  \t X-Lead: 1",
    " more of the value",
    " Transfer-Encoding: chunked",
    "\tContent-Length: 1",
    " ",
};

std::vector<std::string> BrokenLines() {
  std::vector<std::string> all(std::begin(kOddLines), std::end(kOddLines));
  all.insert(all.end(), std::begin(kFoldedLines), std::end(kFoldedLines));
  return all;
}

enum class Place : uint8_t { kFirst, kMiddle, kLast };
constexpr Place kPlaces[] = {Place::kFirst, Place::kMiddle, Place::kLast};

// A head with `line` at `place`, around `fields`.
std::string HeadWith(const std::string& status_line, const std::string& fields,
                     const std::string& line, Place place) {
  const std::string broken = line + "\r\n";
  return status_line + "\r\n" + (place == Place::kFirst ? broken : "") +
         "X-P: p\r\n" + (place == Place::kMiddle ? broken : "") + fields +
         (place == Place::kLast ? broken : "") + "\r\n";
}

// An answer with `line` in its head.
using AnswerText = std::string (*)(const Request&, const std::string& line,
                                   Place place);

std::string Plain(const Request& request, const std::string& line,
                  Place place) {
  return HeadWith(
             "HTTP/1.1 200 OK",
             ScriptedUpstream::AnswerFields(request) + "Content-Length: 2\r\n",
             line, place) +
         "ok";
}

std::string Refusal(const Request& request, const std::string& line,
                    Place place) {
  return HeadWith("HTTP/1.1 503 Full",
                  ScriptedUpstream::AnswerFields(request) +
                      "X-Pimentopulley-Not-Run: 1\r\nContent-Length: 0\r\n",
                  line, place);
}

std::string Failure(const Request& request, const std::string& line,
                    Place place) {
  return HeadWith(
             "HTTP/1.1 500 Broken",
             ScriptedUpstream::AnswerFields(request) + "Content-Length: 2\r\n",
             line, place) +
         "ok";
}

std::string Interim(const Request& request, const std::string& line,
                    Place place) {
  return HeadWith("HTTP/1.1 103 Early Hints", "Link: </x>\r\n", line, place) +
         PlainHead(request, "Content-Length: 2\r\n") + "ok";
}

std::string Stream(const Request& request, const std::string& line,
                   Place place) {
  const std::string events = EventsUpTo(2);
  return HeadWith("HTTP/1.1 200 OK",
                  "Content-Type: text/event-stream\r\n" +
                      ScriptedUpstream::AnswerFields(request) +
                      "Content-Length: " + std::to_string(events.size()) +
                      "\r\n",
                  line, place) +
         events;
}

// An answer in chunks with `line` in its trailers.
std::string Trailer(const Request& request, const std::string& body,
                    const std::string& line, Place place) {
  const std::string type =
      body.starts_with("id:") ? "Content-Type: text/event-stream\r\n" : "";
  const std::string trailers = HeadWith("0", "X-Q: q\r\n", line, place);
  return PlainHead(request, type + "Transfer-Encoding: chunked\r\n") +
         Chunk(body) + trailers;
}

std::string PlainTrailer(const Request& request, const std::string& line,
                         Place place) {
  return Trailer(request, "ok", line, place);
}

std::string StreamTrailer(const Request& request, const std::string& line,
                          Place place) {
  return Trailer(request, EventsUpTo(2), line, place);
}

struct Kind {
  const char* name;
  AnswerText text;
};
constexpr Kind kPlainKinds[] = {{"plain", Plain},
                                {"refusal", Refusal},
                                {"failure", Failure},
                                {"interim", Interim},
                                {"trailer", PlainTrailer}};
constexpr Kind kStreamKinds[] = {{"stream", Stream},
                                 {"refusal", Refusal},
                                 {"interim", Interim},
                                 {"trailer", StreamTrailer}};

bool IsProbe(const Request& request) { return request.id.starts_with("probe"); }

// An upstream that sends `text` after its sound answers to probes, which are
// streams where the request is a turn.
ScriptedUpstream::Script Sending(const std::string& text) {
  return [&text](const Request& request, Answer& answer) {
    if (!IsProbe(request)) {
      std::string own = text;
      const std::string placeholder = "$ID";
      for (size_t at; (at = own.find(placeholder)) != std::string::npos;)
        own.replace(at, placeholder.size(), request.id);
      return answer.Write(own);
    }
    if (request.target.ends_with("turn")) {
      answer.Write(StreamHead(request) + EventsUpTo(2));
      return answer.Close();
    }
    answer.Write(PlainHead(request, "Content-Length: 2\r\n") + "ok");
  };
}

// The request in whose name the texts of answers are made.
const Request kAny = {.id = "$ID"};

}  // namespace

// Folded lines were added to the field before and passed on.
TEST_CASE("an answer with a line that is no field is a broken one") {
  auto fleet = FleetWithoutUpstreams("broken_head");
  std::string text;
  ScriptedUpstream desk(Sending(text));
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  int number = 0;
  for (const Kind& kind : kPlainKinds) {
    CAPTURE(std::string(kind.name));
    for (const std::string& line : BrokenLines()) {
      CAPTURE(line);
      for (const Place place : kPlaces) {
        CAPTURE(static_cast<int>(place));
        text = kind.text(kAny, line, place);
        const std::string id = "charge" + std::to_string(++number);
        const auto began = steady_clock::now();
        const auto got = fleet.Call(0, fleet.PlainRequest(id, false));
        CHECK(got.status == 502);
        CHECK(steady_clock::now() - began < kSoon);
        CHECK(got.headers.count("x-lead") == 0);
        CHECK(got.headers.count("x-p") == 0);
        // It may have run: no second run.
        CHECK(desk.CountRequests(id) == 1);
      }
    }
  }
}

TEST_CASE("a stream with a line that is no field is not complete") {
  auto fleet = FleetWithoutUpstreams("broken_stream_head");
  std::string text;
  ScriptedUpstream talk(Sending(text));
  fleet.RegisterUpstream(401, "talk", talk.address());
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  int number = 0;
  for (const Kind& kind : kStreamKinds) {
    CAPTURE(std::string(kind.name));
    for (const std::string& line : BrokenLines()) {
      CAPTURE(line);
      for (const Place place : kPlaces) {
        CAPTURE(static_cast<int>(place));
        text = kind.text(kAny, line, place);
        const std::string id = "turn" + std::to_string(++number);
        const auto got = fleet.Call(0, fleet.TurnRequest(id, "p", "", "x"));
        CHECK((got.status == 502 || !got.complete));
        CHECK(talk.CountRequests(id) == 1);
        // Nothing of it is kept as a turn.
        const auto next = fleet.Call(
            0, fleet.TurnRequest("next" + std::to_string(number), "p", id, ""));
        CHECK(next.status == 404);
      }
    }
  }
}

TEST_CASE("an idempotent request runs elsewhere after a broken head") {
  auto fleet = FleetWithoutUpstreams("broken_head_again");
  std::string text;
  ScriptedUpstream broken(Sending(text));
  ScriptedUpstream sound([](const Request& request, Answer& answer) {
    answer.Write(PlainHead(request, "Content-Length: 5\r\n") + "sound");
  });
  fleet.RegisterUpstream(301, "desk", broken.address());
  fleet.RegisterUpstream(302, "desk", sound.address());
  WaitUntilListed(fleet, 301);
  WaitUntilListed(fleet, 302);
  int number = 0;
  for (const std::string& line : BrokenLines()) {
    CAPTURE(line);
    text = Plain(kAny, line, Place::kMiddle);
    const std::string id = "status" + std::to_string(++number);
    const auto got = fleet.Call(0, fleet.PlainRequest(id, true));
    CHECK(got.status == 200);
    CHECK(got.body == "sound");
  }
}

TEST_CASE("sound heads and trailers are still passed on") {
  auto fleet = FleetWithoutUpstreams("sound_head");
  std::string text;
  ScriptedUpstream desk(Sending(text));
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  int number = 0;
  for (const std::string line :
       {"X-Lead: 1", "X-Lead:1", "X-Lead: \t 1 \t", "X-Lead:", "X_!#$%: a b",
        "X-Lead: a \t b", "x-lead: \x80\xff", "0: 1"}) {
    CAPTURE(line);
    for (const Kind& kind : kPlainKinds) {
      CAPTURE(std::string(kind.name));
      for (const Place place : kPlaces) {
        text = kind.text(kAny, line, place);
        const std::string id = "charge" + std::to_string(++number);
        const auto got = fleet.Call(0, fleet.PlainRequest(id, false));
        const bool refused = kind.text == Refusal;
        const bool failed = kind.text == Failure;
        CHECK(got.status == (refused ? 503 : failed ? 500 : 200));
        CHECK(got.complete);
        if (!refused) CHECK(got.body == "ok");
        if (kind.text == Plain) CHECK(got.headers.at("x-p") == "p");
      }
    }
  }
}

}  // namespace pimento::testbed
