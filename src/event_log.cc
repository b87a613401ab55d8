#include "src/event_log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <mutex>

namespace pimento {
namespace {

constexpr const char* kLogger = "pimento.events";
constexpr int kBufferedLines = 4'096;
constexpr int64_t kMsPerSecond = 1'000;

constexpr std::array<std::string_view, static_cast<size_t>(Event::kCount)>
    kEventNames = {"started",
                   "stopping",
                   "stopped",
                   "start_took",
                   "ended",
                   "reloaded",
                   "port_held",
                   "state_in_force",
                   "state_stale",
                   "state_fresh",
                   "store_outage",
                   "dependency_lost",
                   "dependency_regained",
                   "upstream_added",
                   "upstream_changed",
                   "upstream_removed",
                   "upstream_avoided",
                   "upstream_limit_named",
                   "upstream_leaving",
                   "crash_suspect",
                   "crash_suspect_cleared",
                   "zones_drained",
                   "rollout",
                   "rollout_decided",
                   "peer_seen",
                   "peer_lost",
                   "strain",
                   "rate_waited",
                   "rate_charged",
                   "rate_refunded",
                   "rate_limit_set",
                   "rate_unanswered",
                   "peer_usage_uncharged",
                   "call_queued",
                   "call_offered",
                   "offer_failed",
                   "second_try",
                   "call_refused",
                   "call_broken",
                   "call_ended",
                   "turn_begun",
                   "turn_kept",
                   "archive_failed",
                   "members_changed",
                   "copied",
                   "repaired",
                   "retirement",
                   "journal",
                   "handler_failed",
                   "accept_failed",
                   "connection_refused"};

// Lines of one event in the current second.
struct Allowance {
  int64_t second = 0;
  int written = 0;
  int64_t left_out = 0;
};

struct Writer {
  std::mutex mutex;
  bool on = false;
  int lines_per_second = 0;
  std::string host;
  std::array<Allowance, static_cast<size_t>(Event::kCount)> allowances;
};

Writer& TheWriter() {
  static Writer* writer = new Writer;
  return *writer;
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Takes one line from the event's allowance. Returns the number of lines
// dropped since the last written one, or -1 if this line is dropped too.
int64_t TakeLine(Writer& writer, Event event, int64_t now_ms) {
  Allowance& allowance = writer.allowances[static_cast<size_t>(event)];
  const int64_t second = now_ms / kMsPerSecond;
  if (allowance.second != second) {
    allowance.second = second;
    allowance.written = 0;
  }
  if (allowance.written >= writer.lines_per_second) {
    ++allowance.left_out;
    return -1;
  }
  ++allowance.written;
  const int64_t left_out = allowance.left_out;
  allowance.left_out = 0;
  return left_out;
}

}  // namespace

std::string_view Name(Event event) {
  return kEventNames[static_cast<size_t>(event)];
}

std::string CutEventText(std::string_view text) {
  if (text.size() <= kMaxEventTextBytes) return std::string(text);
  constexpr std::string_view kMark = "...";
  size_t kept = kMaxEventTextBytes - kMark.size();
  // Not in the middle of a character.
  const auto continues = [&](size_t at) {
    return (static_cast<unsigned char>(text[at]) & 0xC0U) == 0x80U;
  };
  while (kept > 0 && continues(kept)) --kept;
  return std::string(text.substr(0, kept)) + std::string(kMark);
}

int64_t Milli(double value) {
  constexpr double kMilliPerUnit = 1'000;
  return std::llround(value * kMilliPerUnit);
}

void SetUpEventLog(const std::string& host, int lines_per_second) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout);
  console->setTarget("System.out");
  log4cxx::helpers::Pool pool;
  console->activateOptions(pool);
  const auto async = std::make_shared<log4cxx::AsyncAppender>();
  async->setBufferSize(kBufferedLines);
  async->setBlocking(false);
  async->addAppender(console);
  async->activateOptions(pool);
  const auto logger = log4cxx::Logger::getLogger(kLogger);
  logger->setAdditivity(false);
  logger->removeAllAppenders();
  logger->addAppender(async);
  logger->setLevel(log4cxx::Level::getInfo());
  Writer& writer = TheWriter();
  const std::lock_guard lock(writer.mutex);
  writer.host = host;
  writer.lines_per_second = lines_per_second;
  writer.on = true;
}

bool EventLogIsOn() {
  Writer& writer = TheWriter();
  const std::lock_guard lock(writer.mutex);
  return writer.on;
}

void FlushEventLog() {
  Writer& writer = TheWriter();
  {
    const std::lock_guard lock(writer.mutex);
    if (!writer.on) return;
    writer.on = false;
  }
  // Removing the appender closes it, which writes its buffer.
  log4cxx::Logger::getLogger(kLogger)->removeAllAppenders();
}

EventLine::EventLine(Event event) {
  Writer& writer = TheWriter();
  const std::lock_guard lock(writer.mutex);
  const int64_t now_ms = UnixMs();
  const int64_t left_out = writer.on ? TakeLine(writer, event, now_ms) : -1;
  enabled_ = left_out >= 0;
  if (!enabled_) return;
  line_ = "{\"time_ms\":" + std::to_string(now_ms) + ",\"host\":\"" +
          writer.host + "\",\"event\":\"" + std::string(Name(event)) + "\"";
  if (left_out > 0) Number("left_out", left_out);
}

EventLine::~EventLine() {
  if (!enabled_) return;
  line_ += "}";
  log4cxx::Logger::getLogger(kLogger)->forcedLog(log4cxx::Level::getInfo(),
                                                 line_);
}

EventLine& EventLine::Text(std::string_view key, std::string_view value) {
  if (!enabled_) return *this;
  line_ += ",\"";
  line_ += key;
  line_ += "\":";
  line_ += boost::json::serialize(boost::json::string(CutEventText(value)));
  return *this;
}

EventLine& EventLine::Number(std::string_view key, int64_t value) {
  if (!enabled_) return *this;
  line_ += ",\"";
  line_ += key;
  line_ += "\":" + std::to_string(value);
  return *this;
}

}  // namespace pimento
