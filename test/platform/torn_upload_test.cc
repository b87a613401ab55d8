// Upstreams that answer a long request while it is still being written, and
// reset the connection: through a gateway's real process.
#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <string>
#include <utility>

#include "test/platform/scripted_fleet.h"

namespace pimento::testbed {
namespace {

using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;

// Within the buffers of the kernel, beyond those of one end, beyond both.
constexpr size_t kUploadBytes[] = {20'000, 300'000, 1'048'576, 4'194'304};
constexpr size_t kLongUploadBytes = 4'194'304;
// Still being written after a while.
constexpr size_t kLongestUploadBytes = 12'582'912;
constexpr int64_t kMaxBodyBytes = 16 * 1024 * 1024;
// What an upstream reads of a body before it answers.
constexpr ScriptedUpstream::Options kEarly = {.body_bytes_first = 1'024};

struct Ending {
  const char* name;
  std::function<void(Answer&)> end;
};

const Ending kResets[] = {
    {"at once", [](Answer& answer) { answer.Reset(); }},
    {"30 ms later",
     [](Answer& answer) {
       answer.Pause(30);
       answer.Reset();
     }},
    {"in two parts",
     [](Answer& answer) {
       answer.Pause(30);
       answer.Write(ScriptedUpstream::EventText(3, "w3"));
       answer.Reset();
     }},
    {"by a close with bytes unread",
     [](Answer& answer) {
       answer.Pause(30);
       answer.CloseUnread();
     }},
};

bool IsProbe(const Request& request) { return request.id.starts_with("probe"); }

PlatformFleet Fleet(const std::string& name) {
  return FleetWithoutUpstreams("torn_upload_" + name, kMaxBodyBytes);
}

// A request to the plain service that carries a body.
ClientRequest PlainUpload(const PlatformFleet& fleet, const std::string& id,
                          bool idempotent, size_t bytes) {
  ClientRequest call = fleet.PlainRequest(id, idempotent);
  call.method = "POST";
  call.headers["X-Pimentopulley-Deadline-Ms"] = "3000";
  call.body = std::string(bytes, 'u');
  return call;
}

ClientRequest TurnUpload(const PlatformFleet& fleet, const std::string& id,
                         const std::string& target, size_t bytes) {
  ClientRequest call = fleet.TurnRequest(id, "p", "", std::string(bytes, 'u'));
  call.target = target;
  return call;
}

// Two events without length or chunks, then `end`.
ScriptedUpstream::Script TornStream(const std::function<void(Answer&)>& end) {
  return [end](const Request& request, Answer& answer) {
    answer.Write(StreamHead(request) + EventsUpTo(2));
    if (IsProbe(request)) return answer.Close();
    end(answer);
  };
}

void CheckNoPromise(const CallerAnswer& got) {
  // It may have run: nothing may promise the contrary.
  CHECK(got.status != 429);
  CHECK(got.status != 503);
  CHECK(got.status != 408);
  CHECK(got.status != 421);
}

}  // namespace

// The caller got the part that had arrived as the whole answer.
TEST_CASE("a plain answer that is reset during its upload is not passed on") {
  auto fleet = Fleet("plain");
  std::function<void(Answer&)> end;
  ScriptedUpstream desk(
      [&](const Request& request, Answer& answer) {
        answer.Write(PlainHead(request) + "part");
        if (IsProbe(request)) return answer.Close();
        end(answer);
      },
      kEarly);
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  int number = 0;
  for (const Ending& ending : kResets) {
    CAPTURE(std::string(ending.name));
    end = ending.end;
    for (const size_t bytes : kUploadBytes) {
      CAPTURE(bytes);
      for (const bool idempotent : {false, true}) {
        CAPTURE(idempotent);
        const std::string id = "own" + std::to_string(++number);
        const auto got =
            fleet.Call(0, PlainUpload(fleet, id, idempotent, bytes));
        CHECK(got.status == 502);
        CHECK(got.body.find("part") == std::string::npos);
        // What may have run does not run again.
        if (!idempotent) CHECK(desk.CountRequests(id) == 1);
      }
    }
  }
  // A connection whose request was not written whole carries no other.
  for (const Request& request : desk.requests()) CHECK(request.position == 1);
}

TEST_CASE("a stream that is reset during its upload is not complete") {
  for (const Ending& ending : kResets) {
    CAPTURE(std::string(ending.name));
    auto fleet = Fleet("stream");
    ScriptedUpstream talk(TornStream(ending.end), kEarly);
    fleet.RegisterUpstream(401, "talk", talk.address());
    WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
    for (const size_t bytes : kUploadBytes) {
      CAPTURE(bytes);
      const std::string id = "turn" + std::to_string(bytes);
      const auto turn =
          fleet.Call(0, TurnUpload(fleet, id, "/kept/turn", bytes));
      CHECK((turn.status != 200 || !turn.complete));
      CheckNoPromise(turn);
      CHECK(talk.CountRequests(id) == 1);
      // Nothing of it is kept as a turn.
      const auto next = fleet.Call(
          0, fleet.TurnRequest("next" + std::to_string(bytes), "p", id, "y"));
      CHECK(next.status == 404);
    }
  }
}

TEST_CASE("what may be repeated goes elsewhere after a reset in its upload") {
  auto fleet = Fleet("elsewhere");
  std::function<void(Answer&)> end;
  ScriptedUpstream torn(
      [&](const Request& request, Answer& answer) {
        answer.Write(PlainHead(request) + "part");
        end(answer);
      },
      kEarly);
  ScriptedUpstream sound([](const Request& request, Answer& answer) {
    answer.Write(PlainHead(request) + "sound");
    answer.Close();
  });
  // Ends its first answer to a request in the middle, and resumes others.
  const auto resumed = [&](const Request& request, Answer& answer) {
    if (request.last_event_id.empty() && !IsProbe(request)) {
      answer.Write(StreamHead(request) + EventsUpTo(2));
      return end(answer);
    }
    answer.Write(StreamHead(request));
    const int first =
        IsProbe(request) ? 1 : std::stoi(request.last_event_id) + 1;
    for (int i = first; i <= 4; ++i)
      answer.Write(ScriptedUpstream::EventText(i, "w" + std::to_string(i)));
    if (answer.ReadRequest()) answer.Close();
  };
  ScriptedUpstream one(resumed, kEarly);
  ScriptedUpstream two(resumed, kEarly);
  end = [](Answer& answer) { answer.Reset(); };
  fleet.RegisterUpstream(301, "desk", torn.address());
  fleet.RegisterUpstream(302, "desk", sound.address());
  fleet.RegisterUpstream(401, "talk", one.address());
  fleet.RegisterUpstream(402, "talk", two.address());
  for (const int id : {301, 302, 401, 402}) WaitUntilListed(fleet, id);
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  for (const Ending& ending : kResets) {
    CAPTURE(std::string(ending.name));
    end = ending.end;
    for (const size_t bytes : kUploadBytes) {
      CAPTURE(bytes);
      const std::string id = std::string(ending.name) + std::to_string(bytes);
      const auto got =
          fleet.Call(0, PlainUpload(fleet, "status" + id, true, bytes));
      CHECK(got.status == 200);
      CHECK(got.body == "sound");
      const auto stream =
          fleet.Call(0, TurnUpload(fleet, "r" + id, "/resumed/turn", bytes));
      CHECK(stream.status == 200);
      CHECK(stream.complete);
      CHECK(stream.body == EventsUpTo(4));
      CHECK(one.CountRequests("r" + id) + two.CountRequests("r" + id) == 2);
    }
  }
}

TEST_CASE("a reset during an upload on a connection that served before") {
  auto fleet = Fleet("reused");
  ScriptedUpstream desk(
      [](const Request& request, Answer& answer) {
        if (!request.id.starts_with("torn"))
          return answer.Write(PlainHead(request, "Content-Length: 2\r\n") +
                              "ok");
        answer.Write(PlainHead(request) + "part");
        answer.Pause(30);
        answer.Reset();
      },
      kEarly);
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  for (const size_t bytes : kUploadBytes) {
    CAPTURE(bytes);
    const std::string id = std::to_string(bytes);
    CHECK(fleet.Call(0, fleet.PlainRequest("a" + id, false)).status == 200);
    const auto got =
        fleet.Call(0, PlainUpload(fleet, "torn" + id, false, bytes));
    CHECK(got.status == 502);
    CHECK(desk.CountRequests("torn" + id) == 1);
    CHECK(desk.requests().back().position > 1);
  }
}

TEST_CASE("a reset during an upload looks complete to no HTTP/1.0 caller") {
  auto fleet = Fleet("http10");
  ScriptedUpstream talk(TornStream([](Answer& answer) {
                          answer.Pause(30);
                          answer.Reset();
                        }),
                        kEarly);
  ScriptedUpstream desk(
      [](const Request& request, Answer& answer) {
        answer.Write(PlainHead(request) + "part");
        if (IsProbe(request)) return answer.Close();
        answer.Reset();
      },
      kEarly);
  fleet.RegisterUpstream(301, "desk", desk.address());
  fleet.RegisterUpstream(401, "talk", talk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  for (const std::string target : {"/kept/turn", "/charge/x", "/status/x"}) {
    CAPTURE(target);
    const std::string got = fleet.SendRaw(
        0,
        "POST " + target +
            " HTTP/1.0\r\nHost: x.example\r\nX-Pimentopulley-Request-Id: r" +
            target.substr(1, 4) + "\r\nAuthorization: Token " + fleet.key() +
            "\r\nContent-Length: " + std::to_string(kLongUploadBytes) +
            "\r\n\r\n" + std::string(kLongUploadBytes, 'u'),
        2'500);
    CHECK(got.find("200 OK") == std::string::npos);
    CHECK(got.find("data:") == std::string::npos);
    CHECK(got.find("part") == std::string::npos);
  }
}

TEST_CASE("sound answers stay whole while their upload goes on") {
  auto fleet = Fleet("sound");
  // How an upstream ends an answer before it has read the whole request.
  enum class Sound : uint8_t { kLength, kLengthThenReset, kOrderlyEnd };
  Sound way = Sound::kLength;
  ScriptedUpstream desk(
      [&](const Request& request, Answer& answer) {
        if (IsProbe(request)) {
          answer.Write(PlainHead(request) + "ok");
          return answer.Close();
        }
        const bool framed = way != Sound::kOrderlyEnd;
        const std::string head =
            PlainHead(request, framed ? "Content-Length: 8\r\n" : "");
        // In one piece: a reset takes back what the kernel still holds.
        if (way == Sound::kLengthThenReset) {
          answer.Write(head + "fourfour");
          return answer.Reset();
        }
        answer.Write(head + "four");
        answer.Pause(30);
        answer.Write("four");
        if (way == Sound::kOrderlyEnd) answer.EndWriting();
        answer.Pause(50);
        answer.ReadRequest();
      },
      kEarly);
  ScriptedUpstream talk(
      [](const Request& request, Answer& answer) {
        answer.Write(StreamHead(request) + EventsUpTo(2));
        if (IsProbe(request)) return answer.Close();
        answer.Pause(30);
        answer.Write(ScriptedUpstream::EventText(3, "w3"));
        answer.EndWriting();
        answer.Pause(50);
        answer.ReadRequest();
      },
      kEarly);
  fleet.RegisterUpstream(301, "desk", desk.address());
  fleet.RegisterUpstream(401, "talk", talk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  WaitForUpstream(fleet, fleet.TurnRequest("p", "q", "", "x"));
  int number = 0;
  for (const size_t bytes : kUploadBytes) {
    CAPTURE(bytes);
    for (const Sound each :
         {Sound::kLength, Sound::kLengthThenReset, Sound::kOrderlyEnd}) {
      CAPTURE(static_cast<int>(each));
      way = each;
      const std::string id = "own" + std::to_string(++number);
      const auto got = fleet.Call(0, PlainUpload(fleet, id, false, bytes));
      CHECK(got.status == 200);
      CHECK(got.complete);
      CHECK(got.body == "fourfour");
      CHECK(desk.CountRequests(id) == 1);
    }
    const std::string id = "turn" + std::to_string(bytes);
    const auto turn =
        fleet.Call(0, TurnUpload(fleet, id, "/resumed/turn", bytes));
    CHECK(turn.status == 200);
    CHECK(turn.complete);
    CHECK(turn.body == EventsUpTo(3));
    CHECK(talk.CountRequests(id) == 1);
  }
}

TEST_CASE("a second try goes on where the first is reset in its upload") {
  PlatformFleet fleet("build/bin", "build/platform/torn_upload_hedged",
                      {.gateways = 1,
                       .streaming_upstreams = 0,
                       .plain_upstreams = 0,
                       .max_body_bytes = kMaxBodyBytes,
                       .gateway_arguments = {"--max-hedge-share", "1"}});
  std::atomic<int> tries = 0;
  const auto script = [&](const Request& request, Answer& answer) {
    const bool framed = !request.id.starts_with("own");
    if (framed)
      return answer.Write(PlainHead(request, "Content-Length: 2\r\n") + "ok");
    const bool first = ++tries == 1;
    answer.Pause(first ? 300 : 500);
    answer.Write(PlainHead(request) + (first ? "part" : "sound"));
    if (first) return answer.Reset();
    answer.EndWriting();
    answer.ReadRequest();
  };
  ScriptedUpstream one(script, kEarly);
  ScriptedUpstream two(script, kEarly);
  fleet.RegisterUpstream(301, "desk", one.address());
  fleet.RegisterUpstream(302, "desk", two.address());
  WaitUntilListed(fleet, 301);
  WaitUntilListed(fleet, 302);
  // From these it learns which answers are slow.
  constexpr int kAnswers = 40;
  for (int i = 0; i < kAnswers; ++i) {
    const std::string id = "fast" + std::to_string(i);
    CHECK(fleet.Call(0, fleet.PlainRequest(id, true)).status == 200);
  }
  const auto got =
      fleet.Call(0, PlainUpload(fleet, "own", true, kLongestUploadBytes));
  CHECK(got.status == 200);
  CHECK(got.body == "sound");
  CHECK(tries == 2);
  // The second one was not sent for the end of the first.
  CHECK(
      fleet.Log("gateway-0").find(R"("event":"second_try","request":"own")") !=
      std::string::npos);
}

// Nothing of the upstream has ended, so the request did not end it.
TEST_CASE("a request whose early answer is reset is not taken for deadly") {
  auto fleet = Fleet("not_deadly");
  bool torn = true;
  ScriptedUpstream desk(
      [&](const Request& request, Answer& answer) {
        answer.Write(PlainHead(request) + "whole");
        if (IsProbe(request)) return answer.Close();
        if (torn) return answer.Reset();
        answer.EndWriting();
        answer.ReadRequest();
      },
      kEarly);
  fleet.RegisterUpstream(301, "desk", desk.address());
  WaitForUpstream(fleet, fleet.PlainRequest("p", true));
  constexpr int kRepeats = 6;
  for (int i = 0; i < kRepeats; ++i) {
    const std::string id = "torn" + std::to_string(i);
    const auto got =
        fleet.Call(0, PlainUpload(fleet, id, i % 2 == 0, kLongUploadBytes));
    CHECK(got.status == 502);
    CHECK(desk.CountRequests(id) >= 1);
  }
  torn = false;
  const auto got =
      fleet.Call(0, PlainUpload(fleet, "whole", false, kLongUploadBytes));
  CHECK(got.status == 200);
  CHECK(got.body == "whole");
  CHECK(fleet.Metrics("gateway-0").find("crash_suspects_total 0") !=
        std::string::npos);
}

}  // namespace pimento::testbed
