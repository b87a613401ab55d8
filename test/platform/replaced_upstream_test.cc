// Upstreams that crash under a request and are back before anybody can see that
// they were away: only their new entry in the store shows it.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"

namespace pimento::testbed {
namespace {

using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;

constexpr int kUpstreamId = 301;
constexpr const char* kDeadly = "deadly";

// Number of log lines of the gateway that contain `text`.
size_t CountLines(const PlatformFleet& fleet, const std::string& text) {
  const std::string log = fleet.Log("gateway-0");
  size_t count = 0;
  for (size_t at = log.find(text); at != std::string::npos;
       at = log.find(text, at + 1)) {
    ++count;
  }
  return count;
}

bool EventuallyLines(const PlatformFleet& fleet, const std::string& text,
                     size_t count) {
  for (int i = 0; i < 100; ++i) {
    if (CountLines(fleet, text) >= count) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
  return false;
}

}  // namespace

// Guards against a crash that is taken for a reset, since the upstream is back
// at once.
TEST_CASE(
    "a request is refused though the upstreams it crashes restart at once") {
  PlatformFleet fleet(
      "build/bin", "build/platform/replaced_upstream",
      {.gateways = 1, .streaming_upstreams = 0, .plain_upstreams = 0});
  ScriptedUpstream upstream([](const Request& request, Answer& answer) {
    if (request.body == kDeadly) {
      answer.Reset();
      return;
    }
    answer.Write("HTTP/1.1 200 OK\r\n" +
                 ScriptedUpstream::AnswerFields(request) +
                 "Content-Length: 2\r\n\r\nok");
  });
  int64_t born = 1;
  fleet.RegisterUpstream(kUpstreamId, "desk", upstream.address(), 8, born);
  REQUIRE(EventuallyLines(fleet, "\"upstream_changed\"", 1));
  const auto send = [&](const std::string& id, const std::string& body) {
    ClientRequest call = fleet.PlainRequest(id, false);
    call.body = body;
    return fleet.Call(0, call);
  };
  CHECK(send("calm-1", "calm").status == 200);
  for (const std::string id : {"deadly-1", "deadly-2"}) {
    CHECK(send(id, kDeadly).status == 502);
    fleet.RegisterUpstream(kUpstreamId, "desk", upstream.address(), 8, ++born);
    const auto starts = static_cast<size_t>(born);
    REQUIRE(EventuallyLines(fleet, "\"upstream_changed\"", starts));
  }
  const auto refused = send("deadly-3", kDeadly);
  CHECK(refused.status == 503);
  CHECK(refused.body == "crashes_upstreams\n");
  CHECK(upstream.CountRequests("deadly-3") == 0);
  CHECK(send("calm-2", "calm").status == 200);
}

}  // namespace pimento::testbed
