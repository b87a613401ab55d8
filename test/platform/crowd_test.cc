// Crowds of clients outside the limits: no process ends, each stays within the
// memory and the descriptors that its settings give it, and one ordinary
// request is answered afterwards, beside those of the crowd that stay open.
//
// The bounds come from the settings of the test, and no check depends on the
// machine's speed. Memory of the kernel's sockets is not the process's own.
#include "test/platform/crowd.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"
#include "src/archive_codec.h"
#include "test/platform/crowd_checks.h"

namespace pimento::testbed {
namespace {

using std::chrono::milliseconds;

// Longest call that an archive takes.
constexpr int64_t kArchiveCallBytes = 8 * 1024 * 1024;
constexpr size_t kCrowd = 60;
constexpr size_t kCrowdOfConnections = 200;
constexpr size_t kCrowdOfReaders = 30;
constexpr uint64_t kWithoutEnd = 1'000'000;
constexpr int64_t kLongAnswerBytes = 7'000'000;

// Lets `crowd` do its worst to a gateway, and checks it.
void CheckGatewayAgainst(const std::string& name, CrowdOptions options) {
  PlatformFleet fleet("build/bin", "build/platform/crowd/" + name,
                      SmallHosts());
  options.address = CallersAddress(fleet);
  Crowd crowd(options);
  crowd.WaitUntilQuiet();
  CheckHost(fleet, "gateway-0");
  CHECK(ServesOrdinaryRequest(fleet));
  CheckHost(fleet, "gateway-0");
}

// Answers "/open/long" and long streams with more than a reader takes, all else
// at once.
void AnswerLong(const ScriptedUpstream::Request& request,
                ScriptedUpstream::Answer& answer) {
  const std::string head =
      "HTTP/1.1 200 OK\r\n" + ScriptedUpstream::AnswerFields(request);
  if (request.target == "/open/long") {
    answer.Write(head + "Content-Length: " + std::to_string(kLongAnswerBytes) +
                 "\r\n\r\n" + std::string(kLongAnswerBytes, 'a'));
  } else if (request.target.ends_with("/long")) {
    constexpr int kEventBytes = 4'000;
    answer.Write(head + "Content-Type: text/event-stream\r\n\r\n");
    const std::string data(kEventBytes, 'e');
    for (int id = 1; id * kEventBytes < kLongAnswerBytes && answer.open(); ++id)
      answer.Write(ScriptedUpstream::EventText(id, data));
    answer.Close();
  } else {
    answer.Write(head + "Content-Length: 2\r\n\r\nok");
  }
}

// Callers that ask for `target` and don't read what comes.
void CheckAgainstSlowReaders(const std::string& name,
                             const std::string& service,
                             const std::string& target,
                             const std::string& fields,
                             const std::string& version = "HTTP/1.1") {
  PlatformFleet::Options options = SmallHosts();
  options.streaming_upstreams = 0;
  options.plain_upstreams = 0;
  PlatformFleet fleet("build/bin", "build/platform/crowd/" + name, options);
  ScriptedUpstream upstream(AnswerLong);
  constexpr int64_t kSlots = 64;
  fleet.RegisterUpstream(301, service, upstream.address(), kSlots);
  if (service != "desk")
    fleet.RegisterUpstream(302, "desk", upstream.address(), kSlots);
  REQUIRE(ServesOrdinaryRequest(fleet));
  Crowd crowd(
      {.address = CallersAddress(fleet),
       .connections = kCrowdOfReaders,
       .begin = RequestHead(target, fields + "Content-Length: 0\r\n", version),
       .reads = false});
  crowd.WaitUntilQuiet();
  // Answers have arrived as far as the gateway reads them.
  std::this_thread::sleep_for(milliseconds(2'000));
  CheckHost(fleet, "gateway-0");
  CHECK(ServesOrdinaryRequest(fleet));
  CheckHost(fleet, "gateway-0");
}

}  // namespace

TEST_CASE("crowd: trailers without end") {
  CheckGatewayAgainst("trailers", {.connections = kCrowd,
                                   .begin = ChunkedHead() + "0\r\n",
                                   .piece = "X-Trailer: more and more\r\n",
                                   .pieces = kWithoutEnd});
}

TEST_CASE("crowd: headers without end") {
  CheckGatewayAgainst("headers",
                      {.connections = kCrowd,
                       .begin = "POST /open/x HTTP/1.1\r\nHost: x.example\r\n",
                       .piece = "X-Header: more and more\r\n",
                       .pieces = kWithoutEnd});
}

TEST_CASE("crowd: bodies announced far over the limit") {
  CheckGatewayAgainst(
      "announced",
      {.connections = kCrowd,
       .begin = RequestHead("/open/x", "Content-Length: 1000000000000\r\n"),
       .piece = std::string(4'096, 'b'),
       .pieces = kWithoutEnd});
}

TEST_CASE("crowd: bodies sent far over the limit") {
  CheckGatewayAgainst("sent", {.connections = kCrowd,
                               .begin = ChunkedHead(),
                               .piece = Chunk(4'096),
                               .pieces = kWithoutEnd});
}

TEST_CASE("crowd: bodies with a length that stop short") {
  constexpr size_t kPieceBytes = 50'000;
  CheckGatewayAgainst(
      "length", {.connections = kCrowd,
                 .begin = RequestHead("/open/x", "Content-Length: 1000000\r\n"),
                 .piece = std::string(kPieceBytes, 'b'),
                 .pieces = kBodyBytes / kPieceBytes - 1});
}

TEST_CASE("crowd: bodies in large chunks that stop short") {
  constexpr size_t kChunkBytes = 250'000;
  // The fourth chunk would end the body.
  const std::string begin = ChunkedHead() + Chunk(kChunkBytes) +
                            Chunk(kChunkBytes) + Chunk(kChunkBytes) +
                            Chunk(kChunkBytes - 1'000);
  CheckGatewayAgainst("large_chunks", {.connections = kCrowd, .begin = begin});
}

TEST_CASE("crowd: bodies in very small chunks that stop short") {
  constexpr size_t kChunkBytes = 2;
  CheckGatewayAgainst("small_chunks",
                      {.connections = kCrowd,
                       .begin = ChunkedHead(),
                       .piece = Chunk(kChunkBytes),
                       .pieces = kBodyBytes / kChunkBytes - 500});
}

TEST_CASE("crowd: headers byte by byte") {
  constexpr int64_t kPauseMs = 20;
  constexpr uint64_t kBytes = 150;
  CheckGatewayAgainst("slow_headers",
                      {.connections = kCrowdOfConnections,
                       .begin = "POST /open/x HTTP/1.1\r\nHost: x.example\r\n"
                                "X-Slow: ",
                       .piece = "x",
                       .pieces = kBytes,
                       .pause_ms = kPauseMs});
}

TEST_CASE("crowd: bodies byte by byte") {
  constexpr int64_t kPauseMs = 20;
  constexpr uint64_t kBytes = 150;
  CheckGatewayAgainst(
      "slow_bodies",
      {.connections = kCrowdOfConnections,
       .begin = RequestHead("/open/x", "Content-Length: 100000\r\n"),
       .piece = "x",
       .pieces = kBytes,
       .pause_ms = kPauseMs});
}

TEST_CASE("crowd: connections opened and left") {
  CheckGatewayAgainst("left", {.connections = kCrowdOfConnections});
}

TEST_CASE("crowd: bodies over the limit that come back at once") {
  constexpr int64_t kReturnsMs = 4'000;
  CheckGatewayAgainst("back", {.connections = kCrowd,
                               .begin = ChunkedHead(),
                               .piece = Chunk(4'096),
                               .pieces = kWithoutEnd,
                               .returns_ms = kReturnsMs});
}

TEST_CASE("crowd: slow readers of answers") {
  CheckAgainstSlowReaders("answers", "desk", "/open/long", "");
}

TEST_CASE("crowd: slow readers of streams") {
  CheckAgainstSlowReaders("streams", "talk", "/kept/long",
                          "Authorization: Token key-of-quilters\r\n");
}

TEST_CASE("crowd: slow readers of streams without chunks") {
  CheckAgainstSlowReaders("streams_1_0", "talk", "/resumed/long",
                          "Authorization: Token key-of-quilters\r\n",
                          "HTTP/1.0");
}

TEST_CASE("crowd: calls to an archive that stop short") {
  PlatformFleet fleet("build/bin", "build/platform/crowd/archive",
                      SmallHosts());
  constexpr size_t kChunkBytes = 100'000;
  Crowd crowd({.address = fleet.Listening("archive-0").front(),
               .connections = kCrowd,
               .begin = ChunkedHead("/archive"),
               .piece = Chunk(kChunkBytes),
               .pieces = kArchiveCallBytes / kChunkBytes});
  crowd.WaitUntilQuiet();
  CheckHost(fleet, "archive-0");
  const CallerAnswer answer =
      fleet.Call(0, fleet.TurnRequest("turn1", "program", "", "in"));
  CHECK(answer.status == 200);
  CHECK(fleet.Metrics("archive-0").find("pimento_archive_turns") !=
        std::string::npos);
  CheckHost(fleet, "archive-0");
}

TEST_CASE("crowd: one body at the limit is served in calm") {
  PlatformFleet fleet("build/bin", "build/platform/crowd/calm", SmallHosts());
  ClientRequest request = fleet.PlainRequest("atlimit", false);
  request.body = std::string(kBodyBytes, 'b');
  CHECK(fleet.Call(0, request).status == 200);
  request = fleet.PlainRequest("overlimit", false);
  request.body = std::string(kBodyBytes + 1, 'b');
  CHECK(fleet.Call(0, request).status == 413);
  CheckHost(fleet, "gateway-0");
}

TEST_CASE("crowd: one long answer is served in calm") {
  PlatformFleet::Options options = SmallHosts();
  options.plain_upstreams = 0;
  PlatformFleet fleet("build/bin", "build/platform/crowd/calm_answer", options);
  ScriptedUpstream upstream(AnswerLong);
  fleet.RegisterUpstream(301, "desk", upstream.address());
  REQUIRE(ServesOrdinaryRequest(fleet));
  ClientRequest request = fleet.PlainRequest("longanswer", true);
  request.target = "/open/long";
  const CallerAnswer answer = fleet.Call(0, request);
  CHECK(answer.status == 200);
  CHECK(answer.body.size() == kLongAnswerBytes);
  CheckHost(fleet, "gateway-0");
}

}  // namespace pimento::testbed
