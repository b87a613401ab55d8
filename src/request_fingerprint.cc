#include "src/request_fingerprint.h"

#include <xxhash.h>

#include <array>

namespace pimento {
namespace {

// The beginning of a body by which requests that begin alike are known.
constexpr size_t kLeadingBytes = 1'024;

}  // namespace

RequestFingerprints FingerprintsOf(std::string_view path,
                                   std::string_view caller,
                                   std::string_view body) {
  const auto hash = [&](std::string_view part) {
    const std::array<uint64_t, 3> parts = {
        XXH3_64bits(path.data(), path.size()),
        XXH3_64bits(caller.data(), caller.size()),
        XXH3_64bits(part.data(), part.size())};
    return XXH3_64bits(parts.data(), sizeof parts);
  };
  return {.exact = hash(body), .leading = hash(body.substr(0, kLeadingBytes))};
}

}  // namespace pimento
