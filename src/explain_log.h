// A bounded log of the decisions made for recent requests, for `pimentoctl
// explain`.
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

  // Adds a line about a request and drops the oldest line if there are more
  // than `max_lines`. Thread-safe.
  void Note(const std::string& request_id, const std::string& program,
            uint32_t sequence, const std::string& text);
  // Returns the lines about a request or program id, oldest first. Thread-safe.
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
