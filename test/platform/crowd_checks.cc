// Checks of crowd tests, on /proc and on requests of ordinary callers.
#include "test/platform/crowd_checks.h"

#include <doctest/doctest.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

namespace pimento::testbed {
namespace {

using std::chrono::milliseconds;

// Callers that are asked while a crowd goes on, and the tries of each: the
// first one and two more.
constexpr int kCallers = 10;
constexpr int kTriesOfCaller = 3;
constexpr milliseconds kPauseOfCaller{300};

CallerAnswer AskPlain(PlatformFleet& fleet, int caller, int attempt) {
  ClientRequest request = fleet.PlainRequest(
      "caller" + std::to_string(caller) + "-" + std::to_string(attempt), true);
  CallerAnswer answer = fleet.Call(0, request);
  if (answer.status != 200)
    MESSAGE("status " << answer.status << ", " << answer.body);
  return answer;
}

bool Promises(const CallerAnswer& answer) {
  return (answer.status == 503 || answer.status == 429) &&
         answer.headers.contains("retry-after");
}

}  // namespace

PlatformFleet::Options SmallHosts() {
  return {.gateways = 1,
          .plain_upstreams = 1,
          .zones = 1,
          .memory_mb = kMemoryMb,
          .max_fds = kMaxDescriptors,
          .max_body_bytes = kBodyBytes,
          .idle_timeout_ms = kIdleTimeoutMs};
}

int64_t PeakMemoryKb(ProcessSet& processes, const std::string& name) {
  std::ifstream in("/proc/" + std::to_string(processes.Pid(name)) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmHWM:"))
      return std::strtoll(line.c_str() + 6, nullptr, 10);
  }
  return -1;
}

int64_t Descriptors(ProcessSet& processes, const std::string& name) {
  const std::filesystem::path folder =
      "/proc/" + std::to_string(processes.Pid(name)) + "/fd";
  int64_t count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator(folder))
    ++count;
  return count;
}

void CheckProcess(ProcessSet& processes, const std::string& name,
                  const ProcessBounds& bounds) {
  REQUIRE(processes.HowEnded(name) == "");
  REQUIRE(processes.Running(name));
  const int64_t peak_kb = PeakMemoryKb(processes, name);
  const int64_t descriptors = Descriptors(processes, name);
  MESSAGE(name << ": peak " << peak_kb << " kB, " << descriptors
               << " descriptors");
  CHECK(peak_kb > 0);
  CHECK(peak_kb < bounds.memory_mb * 1024);
  CHECK(descriptors < bounds.max_descriptors - kFileDescriptors);
}

void CheckHost(PlatformFleet& fleet, const std::string& host) {
  CheckProcess(fleet.processes(), host);
}

bool ServesOrdinaryRequest(PlatformFleet& fleet) {
  constexpr int kTries = 20;
  for (int i = 0; i < kTries; ++i) {
    const std::string id = "ordinary" + std::to_string(i);
    ClientRequest request = fleet.PlainRequest(id, true);
    if (fleet.Call(0, request).status == 200) return true;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

int AskAsCaller(const std::function<int(int attempt)>& ask) {
  int status = 0;
  for (int attempt = 0; attempt < kTriesOfCaller && status != 200; ++attempt) {
    if (attempt > 0) std::this_thread::sleep_for(kPauseOfCaller);
    status = ask(attempt);
  }
  return status;
}

void CheckServesCallers(PlatformFleet& fleet) {
  for (int caller = 0; caller < kCallers; ++caller) {
    const int status = AskAsCaller(
        [&](int attempt) { return AskPlain(fleet, caller, attempt).status; });
    CHECK(status == 200);
  }
}

void CheckAnswersCallers(PlatformFleet& fleet) {
  for (int caller = 0; caller < kCallers; ++caller) {
    bool answered = false;
    AskAsCaller([&](int attempt) {
      const CallerAnswer answer = AskPlain(fleet, caller, attempt);
      answered |= answer.status == 200 || Promises(answer);
      return answer.status;
    });
    CHECK(answered);
  }
}

std::string CallersAddress(const PlatformFleet& fleet) {
  return fleet.Listening("gateway-0").at(2);
}

std::string ReadyAddress(const PlatformFleet& fleet) {
  return fleet.Listening("gateway-0").at(3);
}

std::string DirectoryAddress(const PlatformFleet& fleet) {
  return fleet.Listening("gateway-0").at(4);
}

std::string RequestHead(const std::string& target, const std::string& fields,
                        const std::string& version) {
  return "POST " + target + " " + version +
         "\r\nHost: x.example\r\nX-Pimentopulley-Request-Id: crowd\r\n"
         "X-Pimentopulley-Deadline-Ms: 3000\r\n" +
         fields + "\r\n";
}

std::string ChunkedHead(const std::string& target) {
  return RequestHead(target, "Transfer-Encoding: chunked\r\n");
}

std::string Chunk(size_t size) {
  char length[32];
  std::snprintf(length, sizeof length, "%zx\r\n", size);
  return length + std::string(size, 'c') + "\r\n";
}

}  // namespace pimento::testbed
