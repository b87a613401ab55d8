#include "src/connection_limits.h"

#include <algorithm>

namespace pimento {
namespace {

constexpr int64_t kFileDescriptors = 200;
// The rest of the descriptors is for upstreams, archives and the store.
constexpr int64_t kCallersShare = 2;
constexpr int64_t kInternalShare = 4;
// What a connection takes beside its request, and the share of the memory that
// all connections of callers may take.
constexpr int64_t kConnectionBytes = 8LL * 1024;
constexpr int64_t kMemoryShare = 8;
constexpr int64_t kMegabyte = 1024LL * 1024;
// A host that is given less serves nobody.
constexpr int64_t kFewest = 8;

size_t AtMost(size_t limit, int64_t share) {
  return std::min(limit, static_cast<size_t>(std::max(kFewest, share)));
}

}  // namespace

ConnectionLimits LimitsOfConnections(int64_t memory_mb, int64_t max_fds) {
  ConnectionLimits limits;
  if (max_fds > 0) {
    const int64_t sockets = max_fds - kFileDescriptors;
    limits.callers = AtMost(limits.callers, sockets / kCallersShare);
    limits.internal = AtMost(limits.internal, sockets / kInternalShare);
  }
  if (memory_mb > 0) {
    limits.callers =
        AtMost(limits.callers,
               memory_mb * kMegabyte / kMemoryShare / kConnectionBytes);
  }
  return limits;
}

}  // namespace pimento
