// How many connections a host lets others open, and how many bytes it holds for
// them, from the memory and the descriptors that its settings give a process.
//
// Load: connections that are opened and left. A host of 320 descriptors, 200 of
// them for files, has 120 for sockets; 200 callers that send nothing leave none
// for upstreams, the store and ordinary callers.
//
// Each listener has places of its own: clients of the directory must not make a
// host look unready, nor cut it off from other hosts.
//
//   LimitsOfConnections(88, 4'100)  ->  1'408 callers, 975 internal,
//                                       243 of the directory
#pragma once

#include <cstddef>
#include <cstdint>

namespace pimento {

struct ConnectionLimits {
  size_t callers = 1'500;
  // Other hosts.
  size_t internal = 1'000;
  size_t directory = 250;
  // Readiness checks, and readers of metrics.
  size_t readiness = 32;
  size_t metrics = 32;
  // Calls in progress, each of which may have a connection to an upstream.
  size_t calls = 1'000;
};

// Places for callers: `most`, or as many as memory and descriptors bear. 0
// means that the settings name no limit.
size_t PlacesForCallers(size_t most, int64_t memory_mb, int64_t max_fds);

// The share of a process's memory that is held for others, in bytes; 0 means
// that the settings name no limit.
uint64_t HeldBytesBudget(int64_t memory_mb);

// The same of an archive, most of whose memory is for its records.
uint64_t HeldBytesBudgetOfArchive(int64_t memory_mb);

// Approximate memory of the records of an archive, in bytes; 0: not limited.
uint64_t RecordBytesLimit(int64_t memory_mb);

// Of the RPC listener of a scheduler.
struct RpcLimits {
  // Most open connections; beyond it one that is idle or has stalled gives way.
  size_t connections = 4'096;
  // What messages being read and calls in progress may hold together; also the
  // longest message.
  uint64_t held_bytes = 64 * 1024 * 1024;
};

// 0 means that the settings name no limit.
ConnectionLimits LimitsOfConnections(int64_t memory_mb, int64_t max_fds);

}  // namespace pimento
