#include "src/name_hash.h"

#include <xxhash.h>

#include <cstdio>

namespace pimento {

uint64_t HashName(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

std::string HexOf(uint64_t hash) {
  constexpr int kDigits = 16;
  char text[kDigits + 1];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(hash));
  return text;
}

}  // namespace pimento
