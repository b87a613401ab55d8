// How many connections a host lets others open, from the memory and the
// descriptors that its settings give a process.
//
// Load: connections that are opened and left. A host of 320 descriptors, 200 of
// them for files, has 120 for sockets; 200 callers that send nothing leave none
// for upstreams, the store and ordinary callers.
//
//   LimitsOfConnections(88, 4'100)  ->  1'408 callers, 975 internal
#pragma once

#include <cstddef>
#include <cstdint>

namespace pimento {

struct ConnectionLimits {
  size_t callers = 1'500;
  // Other hosts, readiness checks, the directory and metrics.
  size_t internal = 1'000;
};

// 0 means that the settings name no limit.
ConnectionLimits LimitsOfConnections(int64_t memory_mb, int64_t max_fds);

}  // namespace pimento
