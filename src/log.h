// Logging through log4cxx. Each part logs short sentences under a fixed prefix:
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

// Sets level ("debug", "info", "warn", "error"), format ("text" or "json") and
// the name of this process, once, before the first line.
void SetUpLogging(const std::string& level, const std::string& format,
                  const std::string& process);

// Collects one line and writes it when it goes out of scope.
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
