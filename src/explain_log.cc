#include "src/explain_log.h"

#include "src/worker_thread.h"

namespace pimento {

void ExplainLog::Note(const std::string& request_id, const std::string& program,
                      uint32_t sequence, const std::string& text) {
  const std::string line = std::to_string(NowMs()) + " " + program + "/" +
                           std::to_string(sequence) + " " + request_id + ": " +
                           text;
  const std::lock_guard lock(mutex_);
  lines_.push_back(
      {.request_id = request_id, .program = program, .text = line});
  if (lines_.size() > max_lines_) lines_.pop_front();
}

std::vector<std::string> ExplainLog::Find(const std::string& id) const {
  std::vector<std::string> found;
  const std::lock_guard lock(mutex_);
  for (const Line& line : lines_) {
    if (line.request_id == id || line.program == id) found.push_back(line.text);
  }
  return found;
}

}  // namespace pimento
