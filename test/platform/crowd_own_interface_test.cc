// Crowds before the project's own interface: an entry, and the scheduler's
// admin address and RPC port. The same is checked as for a gateway: each
// process lives within the memory and descriptors of its settings, and ordinary
// callers are answered while the crowd goes on.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "bench/lib/test_fleet.h"
#include "test/platform/crowd.h"
#include "test/platform/crowd_checks.h"

namespace pimento::testbed {
namespace {

using std::chrono::milliseconds;

constexpr size_t kCrowd = 60;
// More than kMaxDescriptors leave for connections.
constexpr size_t kManyConnections = 200;
constexpr int64_t kReturnsMs = 600'000;
constexpr int kSegmentBytes = 536;
constexpr uint64_t kPipelined = 2'000;
constexpr size_t kBody = 1'000'000;
constexpr const char* kOpenPath = "/v1/services/info/hours";

// Three hosts, the least of which each knows the others; the first one meets
// the crowd.
struct OwnFleet {
  explicit OwnFleet(const std::string& name) : fleet(Options(name)) {
    fleet.Start();
    REQUIRE(Serves());
  }

  static FleetOptions Options(const std::string& name) {
    const std::string limits =
        "memory = " + std::to_string(kMemoryMb) +
        "MiB\ndescriptors = " + std::to_string(kMaxDescriptors) + "\n";
    return {.bin_dir = "build/bin",
            .work_dir = "build/platform/crowd/" + name,
            .hosts = 3,
            .zones = 1,
            .engines = 1,
            .services = 2,
            .entry_limits = limits,
            .scheduler_limits = limits};
  }

  // Whether an ordinary call through the first host's entry is served.
  bool Serves() {
    return AskAsCaller([this](int) {
             return Ask(fleet.Entry("h1"), "POST", kOpenPath, "{}", {}, 5'000)
                 .status;
           }) == 200;
  }

  void CheckServes() {
    constexpr int kCallers = 5;
    for (int i = 0; i < kCallers; ++i) CHECK(Serves());
  }

  // Checks that an address that operators ask is served.
  static void CheckServes(const std::string& address,
                          const std::string& target) {
    constexpr int kRequests = 5;
    for (int i = 0; i < kRequests; ++i)
      CHECK(AskAsCaller([&](int) {
              return Ask(address, "GET", target, "", {}, 2'000).status;
            }) == 200);
  }

  void CheckProcesses() {
    CheckProcess(fleet.processes(), "h1-entry");
    CheckProcess(fleet.processes(), "h1-scheduler");
  }

  TestFleet fleet;
};

void LetBegin() { std::this_thread::sleep_for(milliseconds(2'000)); }

std::string Head(const std::string& method, const std::string& target,
                 const std::string& fields) {
  return method + " " + target + " HTTP/1.1\r\nHost: h1\r\n" + fields + "\r\n";
}

CrowdOptions ShortBodies(const std::string& address,
                         const std::string& target) {
  constexpr size_t kPieceBytes = 50'000;
  return {.address = address,
          .connections = kCrowd,
          .begin = Head("POST", target, "Content-Length: 1000000\r\n"),
          .piece = std::string(kPieceBytes, 'b'),
          .pieces = kBody / kPieceBytes - 1,
          .returns_ms = kReturnsMs};
}

CrowdOptions Idle(const std::string& address) {
  return {.address = address,
          .connections = kManyConnections,
          .returns_ms = kReturnsMs};
}

CrowdOptions HalfHeaders(const std::string& address) {
  constexpr size_t kHeaderBytes = 15'000;
  return {.address = address,
          .connections = kManyConnections,
          .begin = "POST " + std::string(kOpenPath) +
                   " HTTP/1.1\r\nHost: h1\r\nX-Half: " +
                   std::string(kHeaderBytes, 'h'),
          .returns_ms = kReturnsMs};
}

CrowdOptions Readers(const std::string& address, const std::string& target) {
  return {.address = address,
          .connections = kManyConnections,
          .piece = Head("GET", target, ""),
          .pieces = kPipelined,
          .reads = false,
          .returns_ms = kReturnsMs,
          .segment_bytes = kSegmentBytes};
}

// The beginning of a message of the RPC library: one segment of `words`.
std::string RpcMessageStart(uint32_t words) {
  std::string bytes(8, '\0');
  for (int i = 0; i < 4; ++i)
    bytes[4 + static_cast<size_t>(i)] = static_cast<char>(words >> (8 * i));
  return bytes;
}

}  // namespace

TEST_CASE("crowd: bodies that stop short at the entry") {
  OwnFleet own("entry_bodies");
  Crowd crowd(ShortBodies(own.fleet.Entry("h1"), kOpenPath));
  LetBegin();
  own.CheckServes();
  own.CheckProcesses();
}

TEST_CASE("crowd: connections opened and left at the entry") {
  OwnFleet own("entry_left");
  Crowd crowd(Idle(own.fleet.Entry("h1")));
  LetBegin();
  own.CheckServes();
  own.CheckProcesses();
}

TEST_CASE("crowd: half headers at the entry") {
  OwnFleet own("entry_headers");
  Crowd crowd(HalfHeaders(own.fleet.Entry("h1")));
  LetBegin();
  own.CheckServes();
  own.CheckProcesses();
}

TEST_CASE("crowd: readers at the entry") {
  OwnFleet own("entry_readers");
  Crowd crowd(Readers(own.fleet.Entry("h1"), "/metrics"));
  LetBegin();
  own.CheckServes();
  own.CheckProcesses();
}

TEST_CASE("crowd: the admin address of a scheduler") {
  OwnFleet own("admin");
  const std::string admin = own.fleet.Admin("h1");
  const CrowdOptions kinds[] = {ShortBodies(admin, "/status"), Idle(admin),
                                HalfHeaders(admin), Readers(admin, "/metrics")};
  for (const CrowdOptions& kind : kinds) {
    Crowd crowd(kind);
    LetBegin();
    OwnFleet::CheckServes(admin, "/healthz");
    own.CheckServes();
    own.CheckProcesses();
  }
}

TEST_CASE("crowd: messages to a scheduler that stop short") {
  OwnFleet own("rpc_messages");
  // 8 MiB each, of which a part is sent.
  constexpr uint32_t kWords = 1024 * 1024;
  constexpr size_t kPieceBytes = 100'000;
  Crowd crowd({.address = own.fleet.Rpc("h1"),
               .connections = kCrowd,
               .begin = RpcMessageStart(kWords),
               .piece = std::string(kPieceBytes, '\0'),
               .pieces = 50,
               .returns_ms = kReturnsMs});
  LetBegin();
  own.CheckServes();
  own.CheckProcesses();
}

TEST_CASE("crowd: connections opened and left at a scheduler") {
  OwnFleet own("rpc_left");
  Crowd crowd(Idle(own.fleet.Rpc("h1")));
  LetBegin();
  own.CheckServes();
  own.CheckProcesses();
}

TEST_CASE("crowd: bytes to a scheduler that are no message") {
  OwnFleet own("rpc_nonsense");
  Crowd crowd({.address = own.fleet.Rpc("h1"),
               .connections = kCrowd,
               .piece = Head("GET", "/metrics", ""),
               .pieces = 1'000,
               .returns_ms = kReturnsMs});
  LetBegin();
  own.CheckServes();
  own.CheckProcesses();
}

TEST_CASE("crowd: one body at the limit is served by the entry in calm") {
  OwnFleet own("entry_calm");
  const std::string at_limit(1024 * 1024, 'b');
  CHECK(Ask(own.fleet.Entry("h1"), "POST", kOpenPath, at_limit).status == 200);
  CHECK(Ask(own.fleet.Entry("h1"), "POST", kOpenPath, at_limit + "b").status ==
        413);
  own.CheckProcesses();
}

}  // namespace pimento::testbed
