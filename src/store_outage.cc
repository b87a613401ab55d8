#include "src/store_outage.h"

namespace pimento {

void StoreOutage::Note(const std::string& host, int64_t silent_ms,
                       int64_t as_of_ms) {
  Word& word = words_[host];
  if (as_of_ms < word.as_of_ms) return;
  word = {.silent_ms = silent_ms, .as_of_ms = as_of_ms};
}

bool StoreOutage::Proved(int64_t hosts, int64_t now_ms) const {
  int64_t lost = 0;
  for (const auto& [host, word] : words_) {
    if (now_ms - word.as_of_ms > options_.word_life_ms) continue;
    if (word.silent_ms < options_.lost_after_ms) return false;
    ++lost;
  }
  return hosts > 1 && static_cast<double>(lost) >=
                          options_.share * static_cast<double>(hosts);
}

}  // namespace pimento
