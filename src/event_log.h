// Structured log: one JSON object a line on standard output, for each decision
// that touches a request or changes what the process believes.
//
//   EventLine(Event::kCallRefused).Text("request", id).Text("reason", "...");
//     -> {"time_ms":1764827620123,"host":"front-a-1","event":"call_refused",
//         "request":"9c41","reason":"..."}
//
// Lines are handed to a writer with a bounded buffer that drops and counts when
// full: logging never waits. Lines of one event above its rate are left out and
// counted in the field "left_out" of the next one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pimento {

enum class Event : uint8_t {
  kStarted,
  kStopping,
  kStopped,
  kReloaded,
  kStateInForce,
  kStateStale,
  kStateFresh,
  kDependencyLost,
  kDependencyRegained,
  kUpstreamAdded,
  kUpstreamChanged,
  kUpstreamRemoved,
  kUpstreamAvoided,
  kZonesDrained,
  kPeerSeen,
  kPeerLost,
  kStrain,
  kRateWaited,
  kCallQueued,
  kCallOffered,
  kOfferFailed,
  kCallRefused,
  kCallBroken,
  kCallEnded,
  kTurnBegun,
  kTurnKept,
  kArchiveFailed,
  kMembersChanged,
  kCopied,
  kRetirement,
  kJournal,
  kHandlerFailed,
  kAcceptFailed,
  kConnectionRefused,
  kCount,
};

std::string_view Name(Event event);

// Sets the host's name and starts the writer. `lines_per_second` bounds each
// event; without a set-up nothing is written.
void SetUpEventLog(const std::string& host, int lines_per_second);
// Writes what is buffered.
void FlushEventLog();

// Collects one line and hands it on when it goes out of scope.
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
