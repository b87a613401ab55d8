// Tells why a process ended and how long its start took.
//
// Every end writes one line to standard output, in the form of the event log:
//
//   {"time_ms":...,"host":"front-a-1","event":"ended","reason":"signal",
//    "detail":"SIGTERM","reached":"ready","memory_kb":48120,"descriptors":61,
//    "uptime_ms":93120}
//
// An end by a signal that nothing can go on from, such as SIGSEGV, writes the
// line from the signal handler: it is put together in a fixed buffer with
// system calls only, and the signal's own action follows. No line is left by
// SIGKILL, by signals that kDeadlySignals does not list, such as SIGSYS, by a
// stack that overflows on another thread than the first, and on an output that
// takes nothing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pimento {

// Parts of a start, in the order in which they end.
enum class StartPart : uint8_t {
  kSettings,
  kJournal,
  kPorts,
  kReady,
  kCount,
};

enum class EndReason : uint8_t {
  // The process was told to stop, and did.
  kSignal,
  // The settings or arguments are wrong.
  kSettings,
  // An exception reached the main function.
  kError,
  // An exception that nothing caught reached the end of a thread.
  kTerminate,
  // The process gave up by itself.
  kAbort,
  kDeadlySignal,
  kCount,
};

std::string_view Name(StartPart part);
std::string_view Name(EndReason reason);

// Starts the clock of the start and of the uptime, installs the handlers of
// deadly signals and of uncaught exceptions, and ignores SIGXFSZ and SIGPIPE,
// so that the write fails instead. Call it once, first thing.
void WatchProcessEnd();
// The host that the line of the end names. Empty until this is called.
void SetHostOfProcessEnd(const std::string& host);

// Notes that `part` of the start has ended. Its duration counts from the end of
// the part before it. The end of kReady writes the event `start_took`; further
// calls do nothing.
void EndStartPart(StartPart part);

// Flushes the event log and writes the line of the end. Only the first call of
// a process writes one.
void LogProcessEnd(EndReason reason, std::string_view detail);

// Resident memory in KiB and number of open descriptors; -1 where unknown.
int64_t MemoryInUseKb();
int64_t DescriptorsInUse();

}  // namespace pimento
