#include "src/record_copy.h"

#include <algorithm>

namespace pimento {

std::vector<uint64_t> RecordCopy::Claim(
    const std::vector<TurnArchive::DigestEntry>& digest) {
  std::vector<uint64_t> positions;
  for (const TurnArchive::DigestEntry& entry : digest) {
    const bool lacking =
        trust_held_ ? held_.Lacks(entry.hash) : !received_.contains(entry.hash);
    if (lacking && claimed_.insert(entry.hash).second) {
      positions.push_back(entry.position);
    }
  }
  return positions;
}

void RecordCopy::Received(RecordHash hash) {
  claimed_.erase(hash);
  if (!trust_held_) received_.insert(hash);
}

bool RecordCopy::Complete() const {
  return std::all_of(claimed_.begin(), claimed_.end(), [this](RecordHash hash) {
    return trust_held_ && !held_.Lacks(hash);
  });
}

}  // namespace pimento
