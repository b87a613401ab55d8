// Logging through log4cxx, to standard error. Each part of the program has a
// Log with the part's name, which stands in front of each of its messages:
//
//   const Log log("shard");
//   log.Info() << "Took over shard " << 7 << ".";
//     -> 12:00:01.250 INFO  h1 shard: Took over shard 7.
#pragma once

#include <memory>
#include <sstream>
#include <string>

namespace pimento {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// Sets the level ("debug", "info", "warn", "error"), the format ("text" or
// "json") and the process name that each line carries. Call it once, before
// anything is logged.
void SetUpLogging(const std::string& level, const std::string& format,
                  const std::string& process);

// Collects the text of one log line. The destructor writes the line.
class LogLine {
 public:
  LogLine(const std::string& part, LogLevel level);
  LogLine(LogLine&&) = default;
  ~LogLine();
  template <class T>
  LogLine& operator<<(const T& value) {
    if (enabled_) text_ << value;
    return *this;
  }

 private:
  std::string part_;
  LogLevel level_;
  bool enabled_;
  std::ostringstream text_;
};

// The logger of one part of the program.
class Log {
 public:
  explicit Log(std::string part) : part_(std::move(part)) {}
  LogLine Debug() const { return {part_, LogLevel::kDebug}; }
  LogLine Info() const { return {part_, LogLevel::kInfo}; }
  LogLine Warn() const { return {part_, LogLevel::kWarn}; }
  LogLine Error() const { return {part_, LogLevel::kError}; }

 private:
  std::string part_;
};

}  // namespace pimento
