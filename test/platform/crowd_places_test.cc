// Crowds that take the places of a gateway: as many connections as its settings
// let it have, or more, which hold them by not reading, by sending little, or
// by coming back at once. Ordinary callers are asked while the crowd goes on.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"
#include "test/platform/crowd.h"
#include "test/platform/crowd_checks.h"

namespace pimento::testbed {
namespace {

using std::chrono::milliseconds;

// A host of kMaxDescriptors has 60 places for callers.
constexpr size_t kMoreThanPlaces = 90;
// Longer than a test: what is closed comes back until the crowd goes.
constexpr int64_t kReturnsMs = 600'000;
// Segments as on an ordinary network: the kernel then holds kilobytes, not
// megabytes, for a client that does not read.
constexpr int kSegmentBytes = 536;
constexpr size_t kAnswerBytes = 100'000;
// Requests that a client sends without reading the answers.
constexpr uint64_t kPipelined = 2'000;
constexpr int64_t kSlots = 64;
constexpr int64_t kSlowAnswerMs = 1'500;
constexpr int64_t kComesBackMs = 15'000;

std::string Get(const std::string& target) {
  return "GET " + target +
         " HTTP/1.1\r\nHost: x.example\r\nX-Pimentopulley-Request-Id: crowd\r\n"
         "X-Pimentopulley-Deadline-Ms: 3000\r\n\r\n";
}

// Answers "/open/large" with more than a client takes that does not read,
// "/open/slow" late, all else at once.
void Answer(const ScriptedUpstream::Request& request,
            ScriptedUpstream::Answer& answer) {
  if (request.target == "/open/slow") answer.Pause(kSlowAnswerMs);
  const size_t size = request.target == "/open/large" ? kAnswerBytes : 2;
  answer.Write("HTTP/1.1 200 OK\r\n" + ScriptedUpstream::AnswerFields(request) +
               "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
               std::string(size, 'a'));
}

// A small host before one scripted upstream.
struct SmallSite {
  explicit SmallSite(const std::string& name,
                     PlatformFleet::Options options = SmallHosts(),
                     int64_t slots = kSlots)
      : fleet("build/bin", "build/platform/crowd/" + name,
              WithoutUpstreams(options)),
        upstream(Answer) {
    fleet.RegisterUpstream(301, "desk", upstream.address(), slots);
    REQUIRE(ServesOrdinaryRequest(fleet));
  }

  static PlatformFleet::Options WithoutUpstreams(
      PlatformFleet::Options options) {
    options.plain_upstreams = 0;
    return options;
  }

  PlatformFleet fleet;
  ScriptedUpstream upstream;
};

// Clients that send requests and do not read the answers.
CrowdOptions Readers(const std::string& address, const std::string& target) {
  return {.address = address,
          .connections = kMoreThanPlaces,
          .piece = Get(target),
          .pieces = kPipelined,
          .reads = false,
          .returns_ms = kReturnsMs,
          .segment_bytes = kSegmentBytes};
}

// Clients whose body stops just short of its end.
CrowdOptions ShortBodies(const std::string& address) {
  constexpr size_t kPieceBytes = 50'000;
  return {.address = address,
          .connections = kMoreThanPlaces,
          .begin = RequestHead("/open/x", "Content-Length: 1000000\r\n"),
          .piece = std::string(kPieceBytes, 'b'),
          .pieces = kBodyBytes / kPieceBytes - 1,
          .returns_ms = kReturnsMs};
}

// Lets a crowd begin: it has taken its places, and some have come back.
void LetBegin() { std::this_thread::sleep_for(milliseconds(2'000)); }

int StatusOf(const std::string& address, const std::string& target) {
  const std::string answer = PlatformFleet::SendRawTo(
      address,
      "GET " + target +
          " HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n\r\n",
      1'000);
  constexpr size_t kStatusAt = 9;
  return answer.size() > kStatusAt + 3 ? std::stoi(answer.substr(kStatusAt, 3))
                                       : 0;
}

// Checks that each of some requests to an internal address is served, with the
// tries of a caller.
void CheckServes(const std::string& address, const std::string& target) {
  constexpr int kRequests = 5;
  CAPTURE(target);
  for (int i = 0; i < kRequests; ++i) {
    const int status = AskAsCaller([&](int) {
      try {
        return StatusOf(address, target);
      } catch (const std::exception&) {
        return 0;  // reset
      }
    });
    CHECK(status == 200);
  }
}

int64_t MetricOf(const std::string& page, const std::string& name) {
  const size_t at = page.find("\n" + name + " ");
  if (at == std::string::npos) return -1;
  return std::stoll(page.substr(at + name.size() + 2));
}

// Waits until `condition` holds. Returns whether it came to.
template <class Condition>
bool ComesBack(Condition condition) {
  for (int64_t waited = 0; waited < kComesBackMs; waited += 100) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return condition();
}

}  // namespace

TEST_CASE("crowd: readers that hold every place") {
  SmallSite site("places_readers");
  Crowd crowd(Readers(CallersAddress(site.fleet), "/open/large"));
  LetBegin();
  CheckServesCallers(site.fleet);
  CheckHost(site.fleet, "gateway-0");
}

TEST_CASE("crowd: readers of the directory") {
  SmallSite site("places_directory");
  Crowd crowd(Readers(DirectoryAddress(site.fleet),
                      "/-/resolve?name=x.example&region=r&zone=zone-0"));
  LetBegin();
  const std::vector<std::string> addresses = site.fleet.Listening("gateway-0");
  CheckServes(ReadyAddress(site.fleet), "/-/ready");
  CheckServes(addresses.at(0), "/metrics");
  CheckServes(addresses.at(1), "/metrics");
  CheckServes(DirectoryAddress(site.fleet), "/-/resolve?name=x.example");
  CheckServesCallers(site.fleet);
  CheckHost(site.fleet, "gateway-0");
}

TEST_CASE("crowd: connections that are opened and left, again and again") {
  SmallSite site("places_left");
  Crowd crowd({.address = CallersAddress(site.fleet),
               .connections = kMoreThanPlaces,
               .returns_ms = kReturnsMs});
  LetBegin();
  CheckServesCallers(site.fleet);
  CheckHost(site.fleet, "gateway-0");
}

TEST_CASE("crowd: bodies that each hold little") {
  // Places for callers and for the directory, and memory for half of them.
  constexpr int64_t kManyDescriptors = 2'200;
  constexpr size_t kCallers = 760;
  constexpr size_t kOfDirectory = 400;
  constexpr size_t kBodyStart = 2'800;
  PlatformFleet::Options options = SmallHosts();
  options.max_fds = kManyDescriptors;
  SmallSite site("places_little", options);
  const auto little = [&](const std::string& address, size_t connections) {
    return CrowdOptions{
        .address = address,
        .connections = connections,
        .begin = RequestHead("/open/x", "Content-Length: 60000\r\n") +
                 std::string(kBodyStart, 'b')};
  };
  Crowd at_directory(little(DirectoryAddress(site.fleet), kOfDirectory));
  Crowd at_callers(little(CallersAddress(site.fleet), kCallers));
  LetBegin();
  CheckServesCallers(site.fleet);
  CheckServes(ReadyAddress(site.fleet), "/-/ready");
  CheckProcess(site.fleet.processes(), "gateway-0",
               {.max_descriptors = kManyDescriptors});
}

TEST_CASE("crowd: two kinds at once") {
  SmallSite site("places_two_kinds");
  Crowd readers(Readers(CallersAddress(site.fleet), "/open/large"));
  Crowd bodies(ShortBodies(CallersAddress(site.fleet)));
  LetBegin();
  CheckServesCallers(site.fleet);
  CheckHost(site.fleet, "gateway-0");
}

TEST_CASE("crowd: one kind after another") {
  SmallSite site("places_in_turn");
  const std::string address = CallersAddress(site.fleet);
  const CrowdOptions kinds[] = {
      Readers(address, "/open/large"),
      ShortBodies(address),
      {.address = address,
       .connections = kMoreThanPlaces,
       .begin = "POST /open/x HTTP/1.1\r\nHost: x.example\r\nX-Half: ",
       .returns_ms = kReturnsMs},
      {.address = address,
       .connections = kMoreThanPlaces,
       .returns_ms = kReturnsMs}};
  for (const CrowdOptions& kind : kinds) {
    Crowd crowd(kind);
    LetBegin();
    CheckServesCallers(site.fleet);
    CheckHost(site.fleet, "gateway-0");
  }
}

TEST_CASE("crowd: readers while all slots are taken") {
  constexpr int64_t kFewSlots = 4;
  SmallSite site("places_slots", SmallHosts(), kFewSlots);
  const std::string address = CallersAddress(site.fleet);
  {
    Crowd slow({.address = address,
                .connections = kMoreThanPlaces,
                .piece = Get("/open/slow"),
                .pieces = kPipelined,
                .returns_ms = kReturnsMs});
    Crowd readers(Readers(address, "/open/large"));
    LetBegin();
    CheckAnswersCallers(site.fleet);
    CheckServes(ReadyAddress(site.fleet), "/-/ready");
    CheckHost(site.fleet, "gateway-0");
  }
  CHECK(ServesOrdinaryRequest(site.fleet));
}

TEST_CASE("crowd: readers that hold every slot") {
  constexpr int64_t kFewSlots = 4;
  constexpr size_t kFewReaders = 30;
  SmallSite site("places_held_slots", SmallHosts(), kFewSlots);
  CrowdOptions options = Readers(CallersAddress(site.fleet), "/open/large");
  options.connections = kFewReaders;
  Crowd crowd(options);
  LetBegin();
  CheckServesCallers(site.fleet);
  CheckHost(site.fleet, "gateway-0");
}

TEST_CASE("crowd: readers of the metrics") {
  SmallSite site("places_metrics");
  const std::string gateway = site.fleet.Listening("gateway-0").at(1);
  const std::string archive = site.fleet.Listening("archive-0").at(1);
  Crowd at_gateway(Readers(gateway, "/metrics"));
  Crowd at_archive(Readers(archive, "/metrics"));
  LetBegin();
  CheckServes(gateway, "/metrics");
  CheckServes(archive, "/metrics");
  CheckServes(ReadyAddress(site.fleet), "/-/ready");
  CheckServesCallers(site.fleet);
  CheckHost(site.fleet, "gateway-0");
  CheckHost(site.fleet, "archive-0");
}

TEST_CASE("crowd: turns without end that an archive is to keep") {
  constexpr int kTurns = 160;
  constexpr size_t kInputBytes = 500'000;
  PlatformFleet fleet("build/bin", "build/platform/crowd/turns", SmallHosts());
  const std::string input(kInputBytes, 'i');
  for (int i = 0; i < kTurns; ++i) {
    const std::string id = std::to_string(i);
    fleet.Call(0, fleet.TurnRequest("made-up-" + id, "p" + id, "", input));
  }
  for (int i = 0; i < fleet.options().archives; ++i)
    CheckHost(fleet, "archive-" + std::to_string(i));
  // Another team's turns are kept, and go on.
  const auto turn = [&](const std::string& id, const std::string& previous) {
    return AskAsCaller([&](int attempt) {
      ClientRequest request = fleet.TurnRequest(id + std::to_string(attempt),
                                                "ordinary", previous, "in");
      request.headers["Authorization"] = "Token key-of-others";
      return fleet.Call(0, request).status;
    });
  };
  CHECK(turn("first", "") == 200);
  CHECK(turn("second", "first0") == 200);
  CheckHost(fleet, "gateway-0");
}

TEST_CASE("crowd: what it held comes back") {
  SmallSite site("places_back");
  ProcessSet& processes = site.fleet.processes();
  const int64_t before = Descriptors(processes, "gateway-0");
  {
    Crowd readers(Readers(CallersAddress(site.fleet), "/open/large"));
    Crowd bodies(ShortBodies(CallersAddress(site.fleet)));
    Crowd directory(Readers(DirectoryAddress(site.fleet),
                            "/-/resolve?name=x.example&region=r"));
    LetBegin();
    CheckHost(site.fleet, "gateway-0");
    const std::string page = site.fleet.Metrics("gateway-0");
    CHECK(MetricOf(page, "pimento_connections{listener=\"callers\"}") > 0);
  }
  // The connection that asks for the metrics holds a little itself.
  constexpr int64_t kOfOneRequest = 16 * 1024;
  CHECK(ComesBack([&] {
    const std::string page = site.fleet.Metrics("gateway-0");
    return MetricOf(page, "pimento_connections{listener=\"callers\"}") == 0 &&
           MetricOf(page, "pimento_connections{listener=\"directory\"}") == 0 &&
           MetricOf(page, "pimento_held_bytes") >= 0 &&
           MetricOf(page, "pimento_held_bytes") < kOfOneRequest;
  }));
  // Connections to the upstream stay open for a while.
  CHECK(ComesBack(
      [&] { return Descriptors(processes, "gateway-0") <= before + kSlots; }));
  CHECK(ServesOrdinaryRequest(site.fleet));
  CheckHost(site.fleet, "gateway-0");
}

}  // namespace pimento::testbed
