#include "src/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <utility>

namespace pimento {
namespace {

log4cxx::LevelPtr LevelOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

constexpr std::array<std::pair<const char*, LogLevel>, 4> kLevels = {
    {{"debug", LogLevel::kDebug},
     {"info", LogLevel::kInfo},
     {"warn", LogLevel::kWarn},
     {"error", LogLevel::kError}}};

std::string Pattern(const std::string& format, const std::string& process) {
  if (format == "json") {
    return "{\"time\":\"%d{ISO8601}\",\"level\":\"%p\",\"process\":\"" +
           process + "\",\"part\":\"%c\",\"text\":\"%m\"}%n";
  }
  return "%d{HH:mm:ss.SSS} %-5p " + process + " %c: %m%n";
}

}  // namespace

void SetUpLogging(const std::string& level, const std::string& format,
                  const std::string& process) {
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>(Pattern(format, process));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
  appender->setTarget("System.err");
  log4cxx::helpers::Pool pool;
  appender->activateOptions(pool);
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  for (const auto& [name, value] : kLevels) {
    if (level == name) root->setLevel(LevelOf(value));
  }
}

LogLine::LogLine(const std::string& part, LogLevel level)
    : part_(part),
      level_(level),
      enabled_(log4cxx::Logger::getLogger(part)->isEnabledFor(LevelOf(level))) {
}

LogLine::~LogLine() {
  if (!enabled_) return;
  log4cxx::Logger::getLogger(part_)->forcedLog(LevelOf(level_), text_.str());
}

}  // namespace pimento
