// What an upstream says of itself to the platform's store.
#pragma once

#include <cstdint>
#include <string>

namespace pimento {

struct UpstreamEntry {
  // Unique to one start of the upstream, but for one that starts again under
  // its old id: `born_ms` tells the two apart.
  std::string id = {};
  std::string service = {};
  std::string address = {};
  std::string zone = {};
  int64_t slots = 1;
  // True when it will stop soon: nothing new may be sent.
  bool leaving = false;
  // Milliseconds for which it stays cold, at the time of writing.
  int64_t cold_left_ms = 0;
  // Unix time of its start, milliseconds.
  int64_t born_ms = 0;
};

}  // namespace pimento
