// Texts that callers choose are cut before they are logged.
#include <doctest/doctest.h>

#include <string>

#include "src/event_log.h"

namespace pimento {

TEST_CASE("event log: a text is no longer than its limit") {
  CHECK(CutEventText("9c41") == "9c41");
  const std::string whole(kMaxEventTextBytes, 'x');
  CHECK(CutEventText(whole) == whole);
  const std::string cut = CutEventText(whole + "y");
  CHECK(cut.size() == kMaxEventTextBytes);
  CHECK(cut.ends_with("x..."));
}

TEST_CASE("event log: a text is not cut inside a character") {
  std::string text(kMaxEventTextBytes - 4, 'x');
  for (int i = 0; i < 10; ++i) text += "\xC3\xA9";
  const std::string cut = CutEventText(text);
  CHECK(cut.size() <= kMaxEventTextBytes);
  CHECK(cut == std::string(kMaxEventTextBytes - 4, 'x') + "...");
}

}  // namespace pimento
