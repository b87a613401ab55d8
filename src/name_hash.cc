#include "src/name_hash.h"

#include <xxhash.h>

namespace pimento {

uint64_t HashName(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace pimento
