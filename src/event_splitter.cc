#include "src/event_splitter.h"

#include <algorithm>
#include <string_view>

namespace pimento {
namespace {

// Position after the blank line that ends the first event, or npos. The line
// does not begin before `from`.
size_t EndOfEvent(const std::string& text, size_t from) {
  const size_t plain = text.find("\n\n", from);
  const size_t carriage = text.find("\r\n\r\n", from);
  if (plain == std::string::npos && carriage == std::string::npos) {
    return std::string::npos;
  }
  if (carriage < plain) return carriage + 4;
  return plain + 2;
}

// Returns true and sets `value` if `line` is the field `name`. One space after
// the colon is not part of the value.
bool FieldValue(std::string_view line, std::string_view name,
                std::string_view& value) {
  if (!line.starts_with(name)) return false;
  line.remove_prefix(name.size());
  if (!line.starts_with(':')) return false;
  line.remove_prefix(1);
  if (line.starts_with(' ')) line.remove_prefix(1);
  value = line;
  return true;
}

StreamEvent ParseEvent(std::string raw) {
  StreamEvent event;
  std::string_view rest = raw;
  while (!rest.empty()) {
    const size_t end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    std::string_view value;
    if (FieldValue(line, "id", value)) event.id = value;
    if (!FieldValue(line, "data", value)) continue;
    if (event.has_data) event.data += '\n';
    event.data += value;
    event.has_data = true;
  }
  event.raw = std::move(raw);
  return event;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Feed(const std::string& piece) {
  // A blank line of up to four bytes may have arrived in part.
  constexpr size_t kMaxBlankLine = 4;
  pending_ += piece;
  std::vector<StreamEvent> events;
  for (;;) {
    const size_t end = EndOfEvent(pending_, search_from_);
    if (end == std::string::npos) break;
    events.push_back(ParseEvent(pending_.substr(0, end)));
    pending_.erase(0, end);
    search_from_ = 0;
  }
  search_from_ = pending_.size() - std::min(pending_.size(), kMaxBlankLine - 1);
  return events;
}

}  // namespace pimento
