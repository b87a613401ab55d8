// Structured log on standard output with one JSON object per line: one line for
// each decision about a request and for each change of the process's state.
//
//   EventLine(Event::kCallRefused).Text("request", id).Text("reason", "...");
//     -> {"time_ms":1764827620123,"host":"front-a-1","event":"call_refused",
//         "request":"9c41","reason":"..."}
//
// Lines go to an asynchronous writer with a bounded buffer, which drops and
// counts lines when it is full: logging never blocks. The rate of each event is
// limited; lines above it are dropped and counted in the field "left_out" of
// the event's next line. Texts are cut, since callers choose some of them: a
// request's id may be as long as its header.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pimento {

enum class Event : uint8_t {
  kStarted,
  kStopping,
  kStopped,
  kStartTook,
  kEnded,
  kReloaded,
  kPortHeld,
  kStateInForce,
  kStateStale,
  kStateFresh,
  kStoreOutage,
  kDependencyLost,
  kDependencyRegained,
  kUpstreamAdded,
  kUpstreamChanged,
  kUpstreamRemoved,
  kUpstreamAvoided,
  kUpstreamLimitNamed,
  kUpstreamLeaving,
  kCrashSuspect,
  kCrashSuspectCleared,
  kZonesDrained,
  kRollout,
  kRolloutDecided,
  kPeerSeen,
  kPeerLost,
  kStrain,
  kRateWaited,
  kRateCharged,
  kRateRefunded,
  kRateLimitSet,
  kRateUnanswered,
  kPeerUsageUncharged,
  kCallQueued,
  kCallOffered,
  kOfferFailed,
  kSecondTry,
  kCallRefused,
  kCallBroken,
  kCallEnded,
  kTurnBegun,
  kTurnKept,
  kArchiveFailed,
  kMembersChanged,
  kCopied,
  kRepaired,
  kRetirement,
  kJournal,
  kHandlerFailed,
  kAcceptFailed,
  kConnectionRefused,
  kCount,
};

// Longest text of a field, in bytes; of a longer one the beginning is written,
// with "..." at its end.
inline constexpr size_t kMaxEventTextBytes = 1'024;

// `text` as it is written.
std::string CutEventText(std::string_view text);

// The name of `event` in the log.
std::string_view Name(Event event);

// Sets the host's name and starts the writer. `lines_per_second` limits each
// event separately. Until this is called, nothing is written.
void SetUpEventLog(const std::string& host, int lines_per_second);
// Whether lines are written.
bool EventLogIsOn();
// Writes the buffered lines and stops the writer.
void FlushEventLog();

// A fraction as a whole number of thousandths, for EventLine::Number().
int64_t Milli(double value);

// Builds one line and passes it to the writer on destruction.
class EventLine {
 public:
  explicit EventLine(Event event);
  ~EventLine();
  EventLine(const EventLine&) = delete;
  EventLine& operator=(const EventLine&) = delete;
  EventLine& Text(std::string_view key, std::string_view value);
  EventLine& Number(std::string_view key, int64_t value);

 private:
  bool enabled_;
  std::string line_;
};

}  // namespace pimento
