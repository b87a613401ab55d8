#include "src/connection_limits.h"

#include <algorithm>

namespace pimento {
namespace {

constexpr int64_t kFileDescriptors = 200;
// The rest of the descriptors is for upstreams, archives and the store.
constexpr int64_t kCallersShare = 2;
constexpr int64_t kInternalShare = 4;
constexpr int64_t kCallsShare = 8;
constexpr int64_t kDirectoryShare = 16;
constexpr int64_t kChecksShare = 32;
// What a connection takes beside its request, and the share of the memory that
// all connections of callers may take.
constexpr int64_t kConnectionBytes = 8LL * 1024;
constexpr int64_t kMemoryShare = 8;
// Share of the memory that is held for others. The rest is the process's own:
// its tables, connections, code, and what the allocator cannot reuse.
constexpr int64_t kHeldShare = 4;
constexpr int64_t kDefaultHeldMb = 256;
// Share of an archive's memory for its records, and how much less than other
// processes it holds for others.
constexpr int64_t kRecordsPercent = 66;
constexpr uint64_t kArchiveHeldShare = 2;
constexpr int64_t kMegabyte = 1024LL * 1024;
// A listener that is given less serves nobody.
constexpr int64_t kFewest = 8;
constexpr int64_t kFewestChecks = 4;

size_t AtMost(size_t limit, int64_t share, int64_t fewest = kFewest) {
  return std::min(limit, static_cast<size_t>(std::max(fewest, share)));
}

}  // namespace

uint64_t HeldBytesBudget(int64_t memory_mb) {
  const int64_t held = memory_mb > 0 ? memory_mb * kMegabyte / kHeldShare
                                     : kDefaultHeldMb * kMegabyte;
  return static_cast<uint64_t>(held);
}

uint64_t HeldBytesBudgetOfArchive(int64_t memory_mb) {
  return HeldBytesBudget(memory_mb) / kArchiveHeldShare;
}

uint64_t RecordBytesLimit(int64_t memory_mb) {
  return static_cast<uint64_t>(std::max<int64_t>(0, memory_mb)) * kMegabyte *
         kRecordsPercent / 100;
}

size_t PlacesForCallers(size_t most, int64_t memory_mb, int64_t max_fds) {
  if (max_fds > 0) {
    const int64_t sockets = max_fds - kFileDescriptors;
    most = AtMost(most, sockets / kCallersShare);
  }
  if (memory_mb > 0) {
    const int64_t bytes = memory_mb * kMegabyte / kMemoryShare;
    most = AtMost(most, bytes / kConnectionBytes);
  }
  return most;
}

ConnectionLimits LimitsOfConnections(int64_t memory_mb, int64_t max_fds) {
  ConnectionLimits limits;
  limits.callers = PlacesForCallers(limits.callers, memory_mb, max_fds);
  if (max_fds > 0) {
    const int64_t sockets = max_fds - kFileDescriptors;
    limits.internal = AtMost(limits.internal, sockets / kInternalShare);
    limits.calls = AtMost(limits.calls, sockets / kCallsShare);
    limits.directory = AtMost(limits.directory, sockets / kDirectoryShare);
    const int64_t checks = sockets / kChecksShare;
    limits.readiness = AtMost(limits.readiness, checks, kFewestChecks);
    limits.metrics = AtMost(limits.metrics, checks, kFewestChecks);
  }
  return limits;
}

}  // namespace pimento
