// Remembers, for the latest requests, what was decided and why, so that an
// operator can ask about one of them.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace pimento {

class ExplainLog {
 public:
  explicit ExplainLog(size_t max_lines) : max_lines_(max_lines) {}

  // Notes one step of the request. Safe from every thread.
  void Note(const std::string& request_id, const std::string& program,
            uint32_t sequence, const std::string& text);
  // Lines about a request or a program, oldest first.
  std::vector<std::string> Find(const std::string& id) const;

 private:
  struct Line {
    std::string request_id;
    std::string program;
    std::string text;
  };
  size_t max_lines_;
  mutable std::mutex mutex_;
  std::deque<Line> lines_;
};

}  // namespace pimento
