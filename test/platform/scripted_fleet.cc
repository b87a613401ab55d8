#include "test/platform/scripted_fleet.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdio>
#include <thread>

namespace pimento::testbed {
namespace {

constexpr int kPolls = 100;
constexpr std::chrono::milliseconds kPollPause{30};

}  // namespace

PlatformFleet FleetWithoutUpstreams(const std::string& name,
                                    int64_t max_body_bytes) {
  return PlatformFleet("build/bin", "build/platform/" + name,
                       {.gateways = 1,
                        .streaming_upstreams = 0,
                        .plain_upstreams = 0,
                        .max_body_bytes = max_body_bytes});
}

void WaitForUpstream(PlatformFleet& fleet, ClientRequest probe) {
  for (int i = 0; i < kPolls; ++i) {
    probe.headers["X-Pimentopulley-Request-Id"] = "probe" + std::to_string(i);
    if (fleet.Call(0, probe).status == 200) return;
    std::this_thread::sleep_for(kPollPause);
  }
  FAIL("The gateway found no upstream.");
}

void WaitUntilListed(const PlatformFleet& fleet, int id) {
  const std::string line =
      R"("event":"upstream_changed","upstream":")" + std::to_string(id) + '"';
  for (int i = 0; i < kPolls; ++i) {
    if (fleet.Log("gateway-0").find(line) != std::string::npos) return;
    std::this_thread::sleep_for(kPollPause);
  }
  FAIL("The gateway does not know the upstream ", id, ".");
}

ClientRequest ResumableRequest(const PlatformFleet& fleet,
                               const std::string& id) {
  ClientRequest call = fleet.TurnRequest(id, "p", "", "x");
  call.target = "/resumed/turn";
  return call;
}

std::string PlainHead(const ScriptedUpstream::Request& request,
                      const std::string& more) {
  return "HTTP/1.1 200 OK\r\n" + ScriptedUpstream::AnswerFields(request) +
         more + "\r\n";
}

std::string StreamHead(const ScriptedUpstream::Request& request,
                       const std::string& more) {
  return PlainHead(request, "Content-Type: text/event-stream\r\n" + more);
}

std::string EventsUpTo(int last) {
  std::string text;
  for (int i = 1; i <= last; ++i)
    text += ScriptedUpstream::EventText(i, "w" + std::to_string(i));
  return text;
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}

}  // namespace pimento::testbed
