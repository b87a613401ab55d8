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
  // Calls that the upstream serves concurrently.
  int64_t slots = 1;
  // True when it is about to stop: no new calls may be sent.
  bool leaving = false;
  // Remaining time of the cold start when the entry was written, milliseconds.
  int64_t cold_left_ms = 0;
  // Start time of the process, Unix milliseconds.
  int64_t started_at_ms = 0;
};

}  // namespace pimento
