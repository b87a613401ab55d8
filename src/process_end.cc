#include "src/process_end.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <exception>

#include "src/errors.h"
#include "src/event_log.h"

namespace pimento {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(StartPart::kCount)>
    kPartNames = {"settings", "journal", "ports", "ready"};
constexpr std::array<std::string_view, static_cast<size_t>(EndReason::kCount)>
    kReasonNames = {"signal",    "settings", "error",
                    "terminate", "abort",    "deadly_signal"};

struct DeadlySignal {
  int number;
  const char* name;
};
// Signals whose default action ends a process and that nothing else handles.
constexpr std::array<DeadlySignal, 10> kDeadlySignals = {
    {{SIGSEGV, "SIGSEGV"},
     {SIGABRT, "SIGABRT"},
     {SIGBUS, "SIGBUS"},
     {SIGFPE, "SIGFPE"},
     {SIGILL, "SIGILL"},
     {SIGXCPU, "SIGXCPU"},
     {SIGQUIT, "SIGQUIT"},
     {SIGALRM, "SIGALRM"},
     {SIGUSR1, "SIGUSR1"},
     {SIGUSR2, "SIGUSR2"}}};

constexpr int64_t kMsPerSecond = 1'000;
constexpr int64_t kNsPerMs = 1'000'000;
constexpr int64_t kBytesPerKb = 1'024;
constexpr size_t kMaxLineBytes = 1'024;
// Room that a line keeps for its numbers.
constexpr size_t kMaxDetailBytes = 600;
constexpr size_t kMaxHostBytes = 128;
// A reader of standard output that takes nothing for so long gets no line.
constexpr int kWriteWaitMs = 100;
constexpr size_t kAlternateStackBytes = 65'536;

// What the signal handler reads; written before it can run, or atomic.
struct EndState {
  int64_t began_ms = 0;
  std::array<std::atomic<int64_t>, static_cast<size_t>(StartPart::kCount)>
      part_ended_ms = {};
  // The last part that has ended, -1 before the first.
  std::atomic<int> last_part{-1};
  std::array<char, kMaxHostBytes> host = {};
  std::atomic<size_t> host_bytes{0};
  std::atomic<bool> logged{false};
  // Opened at the start, since there may be no descriptor left at the end.
  int statm = -1;
  int descriptors = -1;
  std::array<struct sigaction, kDeadlySignals.size()> previous = {};
};

EndState state;
alignas(16) std::array<char, kAlternateStackBytes> alternate_stack;

int64_t ClockMs(clockid_t clock) {
  timespec now = {};
  clock_gettime(clock, &now);
  return now.tv_sec * kMsPerSecond + now.tv_nsec / kNsPerMs;
}

// One line in a fixed buffer; allocates nothing. What does not fit is left out.
class RawLine {
 public:
  void Add(std::string_view text) {
    const size_t count = std::min(text.size(), bytes_.size() - used_);
    memcpy(bytes_.data() + used_, text.data(), count);
    used_ += count;
  }
  void AddNumber(int64_t value) {
    if (value < 0) Add("-");
    uint64_t rest = value < 0 ? 0 - static_cast<uint64_t>(value)
                              : static_cast<uint64_t>(value);
    std::array<char, 20> digits = {};
    size_t at = digits.size();
    do {
      digits[--at] = static_cast<char>('0' + rest % 10);
      rest /= 10;
    } while (rest > 0);
    Add({digits.data() + at, digits.size() - at});
  }
  // Characters that JSON does not allow in a string become spaces.
  void AddEscaped(std::string_view text) {
    for (const char c : text.substr(0, kMaxDetailBytes)) {
      const bool plain = static_cast<unsigned char>(c) >= ' ';
      if (c == '"' || c == '\\') Add("\\");
      Add({plain ? &c : " ", 1});
    }
  }
  void Field(std::string_view key, std::string_view value) {
    Key(key);
    Add("\"");
    AddEscaped(value);
    Add("\"");
  }
  void Field(std::string_view key, int64_t value) {
    Key(key);
    AddNumber(value);
  }
  void WriteTo(int fd) const {
    pollfd ready = {.fd = fd, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, kWriteWaitMs) != 1) return;
    // Nothing can be done about a line that cannot be written.
    [[maybe_unused]] const ssize_t wrote = write(fd, bytes_.data(), used_);
  }

 private:
  void Key(std::string_view key) {
    Add(",\"");
    Add(key);
    Add("\":");
  }
  std::array<char, kMaxLineBytes> bytes_;
  size_t used_ = 0;
};

std::string_view LastPart() {
  const int last = state.last_part;
  return last < 0 ? "nothing" : kPartNames[static_cast<size_t>(last)];
}

// Async-signal-safe.
void WriteEndLine(EndReason reason, std::string_view detail) {
  if (state.logged.exchange(true)) return;
  RawLine line;
  line.Add("{\"time_ms\":");
  line.AddNumber(ClockMs(CLOCK_REALTIME));
  line.Field("host", std::string_view(state.host.data(), state.host_bytes));
  line.Field("event", Name(Event::kEnded));
  line.Field("reason", Name(reason));
  line.Field("detail", detail);
  line.Field("reached", LastPart());
  line.Field("memory_kb", MemoryInUseKb());
  line.Field("descriptors", DescriptorsInUse());
  line.Field("uptime_ms", ClockMs(CLOCK_MONOTONIC) - state.began_ms);
  line.Add("}\n");
  line.WriteTo(STDOUT_FILENO);
}

void OnDeadlySignal(int number) {
  const int saved_errno = errno;
  for (size_t i = 0; i < kDeadlySignals.size(); ++i) {
    if (kDeadlySignals[i].number != number) continue;
    WriteEndLine(EndReason::kDeadlySignal, kDeadlySignals[i].name);
    sigaction(number, &state.previous[i], nullptr);
  }
  errno = saved_errno;
  // Blocked while this handler runs, so the action follows on its return.
  raise(number);
}

[[noreturn]] void OnTerminate() {
  const auto error = std::current_exception();
  // Without the event log, whose locks this thread may hold.
  WriteEndLine(EndReason::kTerminate,
               error ? ExceptionMessage(error) : "no exception");
  std::abort();
}

void InstallDeadlySignalHandlers() {
  const stack_t stack = {.ss_sp = alternate_stack.data(),
                         .ss_flags = 0,
                         .ss_size = alternate_stack.size()};
  sigaltstack(&stack, nullptr);
  struct sigaction action = {};
  action.sa_handler = OnDeadlySignal;
  // A stack that has overflowed has no room for the handler.
  action.sa_flags = SA_ONSTACK;
  sigemptyset(&action.sa_mask);
  for (size_t i = 0; i < kDeadlySignals.size(); ++i) {
    sigaction(kDeadlySignals[i].number, &action, &state.previous[i]);
    if (state.previous[i].sa_handler == SIG_IGN) {
      sigaction(kDeadlySignals[i].number, &state.previous[i], nullptr);
    }
  }
}

void LogStart() {
  EventLine line(Event::kStartTook);
  int64_t before_ms = state.began_ms;
  for (size_t i = 0; i < kPartNames.size(); ++i) {
    const int64_t ended_ms = state.part_ended_ms[i];
    if (ended_ms == 0) continue;
    line.Number(std::string(kPartNames[i]) + "_ms", ended_ms - before_ms);
    before_ms = ended_ms;
  }
  line.Number("memory_kb", MemoryInUseKb())
      .Number("descriptors", DescriptorsInUse());
}

}  // namespace

std::string_view Name(StartPart part) {
  return kPartNames[static_cast<size_t>(part)];
}

std::string_view Name(EndReason reason) {
  return kReasonNames[static_cast<size_t>(reason)];
}

void WatchProcessEnd() {
  state.began_ms = ClockMs(CLOCK_MONOTONIC);
  state.statm = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
  state.descriptors = open("/proc/self/fd", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  std::set_terminate(OnTerminate);
  // A write beyond the file size limit fails with EFBIG, one to a reader that
  // has gone with EPIPE: both are failed writes, not ends.
  signal(SIGXFSZ, SIG_IGN);
  signal(SIGPIPE, SIG_IGN);
  InstallDeadlySignalHandlers();
}

void SetHostOfProcessEnd(const std::string& host) {
  const size_t count = std::min(host.size(), state.host.size());
  memcpy(state.host.data(), host.data(), count);
  state.host_bytes = count;
}

void EndStartPart(StartPart part) {
  const int number = static_cast<int>(part);
  if (state.last_part >= number) return;
  state.part_ended_ms[static_cast<size_t>(part)] = ClockMs(CLOCK_MONOTONIC);
  state.last_part = number;
  if (part == StartPart::kReady) LogStart();
}

void LogProcessEnd(EndReason reason, std::string_view detail) {
  FlushEventLog();
  WriteEndLine(reason, detail);
}

int64_t MemoryInUseKb() {
  std::array<char, 128> text = {};
  if (pread(state.statm, text.data(), text.size() - 1, 0) <= 0) return -1;
  // Pages of the whole address space, then those in memory.
  const char* resident = strchr(text.data(), ' ');
  if (resident == nullptr) return -1;
  int64_t pages = 0;
  for (++resident; *resident >= '0' && *resident <= '9'; ++resident) {
    pages = pages * 10 + (*resident - '0');
  }
  return pages * sysconf(_SC_PAGESIZE) / kBytesPerKb;
}

int64_t DescriptorsInUse() {
  // As the kernel lays out an entry of a directory; glibc does not declare it.
  struct Entry {
    uint64_t inode;
    int64_t offset;
    uint16_t bytes;
    unsigned char type;
    char name[1];
  };
  if (lseek(state.descriptors, 0, SEEK_SET) != 0) return -1;
  alignas(Entry) std::array<char, 4'096> buffer;
  int64_t count = 0;
  for (;;) {
    const auto got = syscall(SYS_getdents64, state.descriptors, buffer.data(),
                             buffer.size());
    if (got < 0) return -1;
    if (got == 0) return count;
    for (long at = 0; at < got;) {
      const auto* entry = reinterpret_cast<const Entry*>(buffer.data() + at);
      if (entry->name[0] != '.') ++count;
      at += entry->bytes;
    }
  }
}

}  // namespace pimento
