// Identifies a request by what its caller repeats when it sends it again: the
// path, the caller and the body as they were sent. Headers, the history of a
// turn and the request id are left out.
#pragma once

#include <cstdint>
#include <string_view>

namespace pimento {

struct RequestFingerprints {
  uint64_t exact = 0;
  // Of the path, the caller and the beginning of the body: the prompt of a
  // later turn, or of another run of the same program, begins like this one and
  // goes on differently. Equal to `exact` for a short body.
  uint64_t leading = 0;
};

// XXH3, 64 bits. All hosts must use the same hash, since it is sent to peers.
RequestFingerprints FingerprintsOf(std::string_view path,
                                   std::string_view caller,
                                   std::string_view body);

}  // namespace pimento
