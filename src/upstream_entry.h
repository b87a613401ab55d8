// The registration that an upstream writes to the platform's store.
#pragma once

#include <cstdint>
#include <string>

namespace pimento {

struct UpstreamEntry {
  // Unique to one start of the upstream, except when it restarts under the same
  // id: then `started_at_ms` differs.
  std::string id = {};
  std::string service = {};
  std::string address = {};
  std::string zone = {};
  // Version of the software that the upstream runs.
  std::string version = {};
  // Calls that the upstream serves concurrently.
  int64_t slots = 1;
  // True when it is about to stop: no new calls may be sent.
  bool leaving = false;
  // Remaining time of the cold start when the entry was written, milliseconds.
  int64_t cold_left_ms = 0;
  // Start time of the process, Unix milliseconds.
  int64_t started_at_ms = 0;
};

// Calls of one gateway that are in flight on an upstream.
struct UpstreamLoad {
  // HashName() of the upstream's id.
  uint64_t upstream = 0;
  int64_t in_flight = 0;
  // Tokens that these calls hold in the upstream's memory, prompt and output.
  int64_t tokens = 0;
};

}  // namespace pimento
