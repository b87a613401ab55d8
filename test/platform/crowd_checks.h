// What every test of a crowd checks: that a process lives, that it stays within
// the memory and the descriptors of its settings, and that ordinary callers are
// answered.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "bench/lib/platform_fleet.h"

namespace pimento::testbed {

// The host of the tests: both bounds hold for each process.
inline constexpr int64_t kMemoryMb = 48;
inline constexpr int64_t kMaxDescriptors = 320;
// Of them, so many are for files.
inline constexpr int64_t kFileDescriptors = 200;
inline constexpr int64_t kBodyBytes = 1'000'000;
// Longer than a test: nobody is closed for being idle.
inline constexpr int64_t kIdleTimeoutMs = 60'000;

// What the settings of a process allow it.
struct ProcessBounds {
  int64_t memory_mb = kMemoryMb;
  int64_t max_descriptors = kMaxDescriptors;
};

PlatformFleet::Options SmallHosts();

// Highest resident memory of a process so far, kB, and its open descriptors
// now; -1 when they cannot be read.
int64_t PeakMemoryKb(ProcessSet& processes, const std::string& name);
int64_t Descriptors(ProcessSet& processes, const std::string& name);

// Checks that process `name` lives and is within `bounds`.
void CheckProcess(ProcessSet& processes, const std::string& name,
                  const ProcessBounds& bounds = {});
void CheckHost(PlatformFleet& fleet, const std::string& host);

// An ordinary request, sent again on a new connection as a caller would that is
// refused or closed.
bool ServesOrdinaryRequest(PlatformFleet& fleet);
// Calls `ask` as a caller does who retries twice, each time on a new
// connection and after the pause that callers make; `ask` returns the status,
// 0 for a connection without an answer. Returns the last status.
int AskAsCaller(const std::function<int(int attempt)>& ask);
// Checks that ordinary callers are served while a crowd goes on, one after the
// other, each with the tries of a caller.
void CheckServesCallers(PlatformFleet& fleet);
// As above, where all slots are taken: a caller may be refused instead, with a
// promise and the time to come back.
void CheckAnswersCallers(PlatformFleet& fleet);

std::string CallersAddress(const PlatformFleet& fleet);
std::string ReadyAddress(const PlatformFleet& fleet);
std::string DirectoryAddress(const PlatformFleet& fleet);

std::string RequestHead(const std::string& target, const std::string& fields,
                        const std::string& version = "HTTP/1.1");
std::string ChunkedHead(const std::string& target = "/open/x");
std::string Chunk(size_t size);

}  // namespace pimento::testbed
