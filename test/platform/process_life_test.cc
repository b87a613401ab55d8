// How gateways and archives start and end: signals from the first moment on,
// ports that another process holds, limits on files, and the line that tells
// why a process ended. Real programs, without a store.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "src/archive_codec.h"
#include "src/archive_journal.h"
#include "src/connection_pool.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kFirstPort = 17'780;
constexpr int64_t kStartLimitMs = 15'000;
constexpr int64_t kPromptMs = 2'000;
// Entries of a journal whose replay takes a while.
constexpr int kManyEntries = 150'000;
constexpr rlim_t kSmallFileBytes = 4'096;

void Pause(int64_t time_ms) {
  std::this_thread::sleep_for(milliseconds(time_ms));
}

// Polls `condition` until it is true or `limit_ms` is over.
bool Within(int64_t limit_ms, const std::function<bool()> &condition) {
  const auto end = steady_clock::now() + milliseconds(limit_ms);
  while (!condition()) {
    if (steady_clock::now() > end) return false;
    Pause(1);
  }
  return true;
}

// One host: an address, a settings file and a data folder of its own. Nothing
// listens at the address of its store.
struct Host {
  explicit Host(const std::string &name)
      : dir("build/platform/life_" + name + "_" + std::to_string(getpid())) {
    static int number = 0;
    ip = "127." + std::to_string(1 + getpid() % 250) + ".201." +
         std::to_string(++number);
    std::filesystem::remove_all(dir);
    std::filesystem::create_directories(dir);
    std::ofstream(dir + "/settings") << "node=" << name << "\n"
                                     << "ip=" << ip << "\n"
                                     << "zone=z\n"
                                     << "listen.front=" << ip << ":18368\n"
                                     << "port_range=17780,17795\n"
                                     << "bootstrap=true\n"
                                     << "data_dir=" << dir << "/data\n"
                                     << "platform.addr=" << ip << ":9\n"
                                     << "bounds.grace_s=4\n";
  }
  ~Host() { std::filesystem::remove_all(dir); }
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;
  std::string peer_address() const {
    return ip + ":" + std::to_string(kFirstPort);
  }

  std::string dir;
  std::string ip;
};

struct ChildOptions {
  // Largest file that the process may write.
  std::optional<rlim_t> file_bytes = {};
  // Whether nobody reads what it prints.
  bool output_unread = false;
};

// A program on a host. Both its outputs go to one pipe.
class Child {
 public:
  Child(const Host &host, const std::string &program,
        ChildOptions options = {}) {
    const std::string path = "build/bin/" + program;
    const std::string settings =
        "PIMENTOPULLEY_SETTINGS=" + host.dir + "/settings";
    std::array<int, 2> output = {};
    std::array<int, 2> started = {};
    REQUIRE(pipe2(output.data(), O_CLOEXEC) == 0);
    REQUIRE(pipe2(started.data(), O_CLOEXEC) == 0);
    pid_ = fork();
    REQUIRE(pid_ >= 0);
    if (pid_ == 0) {
      dup2(output[1], STDOUT_FILENO);
      dup2(output[1], STDERR_FILENO);
      if (options.file_bytes) {
        const rlimit limit = {*options.file_bytes, *options.file_bytes};
        setrlimit(RLIMIT_FSIZE, &limit);
      }
      std::array<char *, 2> arguments = {const_cast<char *>(path.c_str()),
                                         nullptr};
      std::array<char *, 2> environment = {const_cast<char *>(settings.c_str()),
                                           nullptr};
      if (options.output_unread) close(output[0]);
      execve(path.c_str(), arguments.data(), environment.data());
      _exit(127);
    }
    close(output[1]);
    close(started[1]);
    output_ = output[0];
    if (options.output_unread) {
      close(output_);
      output_ = -1;
    }
    // The pipe ends once the program has replaced this one.
    char byte;
    while (read(started[0], &byte, 1) > 0) {
    }
    close(started[0]);
  }
  ~Child() {
    if (!status_) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    if (output_ >= 0) close(output_);
  }
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;

  void Signal(int number) const { kill(pid_, number); }
  bool Running() {
    int status = 0;
    if (!status_ && waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
    return !status_;
  }
  // Whether it ends by itself within `limit_ms`.
  bool Ends(int64_t limit_ms) {
    return Within(limit_ms, [this] { return !Running(); });
  }
  // Exit code, or the negative number of the signal that ended it.
  int code() const {
    if (!status_) return 1'000;
    return WIFEXITED(*status_) ? WEXITSTATUS(*status_) : -WTERMSIG(*status_);
  }
  // What it has printed so far.
  const std::string &Output() {
    std::array<char, 4'096> piece = {};
    pollfd ready = {.fd = output_, .events = POLLIN, .revents = 0};
    while (poll(&ready, 1, 0) == 1) {
      const ssize_t got = read(output_, piece.data(), piece.size());
      if (got <= 0) break;
      printed_.append(piece.data(), static_cast<size_t>(got));
    }
    return printed_;
  }
  bool Prints(const std::string &text, int64_t limit_ms) {
    return Within(limit_ms,
                  [&] { return Output().find(text) != std::string::npos; });
  }

 private:
  pid_t pid_ = -1;
  int output_ = -1;
  std::optional<int> status_;
  std::string printed_;
};

bool Answers(const std::string &address) {
  boost::system::error_code error;
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(ParseEndpoint(address), error);
  return !error;
}

// Whether the metrics page of `host` comes: its event loop runs.
bool Serves(const Host &host) {
  boost::system::error_code error;
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(ParseEndpoint(host.ip + ":9464"), error);
  const std::string request =
      "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  if (!error) asio::write(socket, asio::buffer(request), error);
  std::string answer;
  if (!error) asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer.find(" 200 OK") != std::string::npos;
}

void CheckEndsWell(Child &child, const std::string &signal) {
  INFO(child.Output());
  REQUIRE(child.Ends(5'000));
  CHECK(child.code() == 0);
  CHECK(child.Prints(
      "\"event\":\"ended\",\"reason\":\"signal\",\"detail\":\"" + signal + "\"",
      0));
}

void FillJournal(const Host &host) {
  ArchiveJournal journal(host.dir + "/data");
  std::vector<std::string> entries;
  for (int i = 0; i < kManyEntries; ++i)
    entries.push_back(EncodeEntry(TurnRecord{.turn = std::to_string(i),
                                             .team = "quilters",
                                             .input = "in",
                                             .output = "out",
                                             .upstream = "1",
                                             .retain_ms = 600'000}));
  journal.Append(entries);
}

// Waits until an archive has begun to replay its journal.
bool Replays(const Host &host) {
  return Within(kStartLimitMs, [&] {
    return std::filesystem::exists(host.dir + "/data/member");
  });
}

std::string PostOf(const std::string &body) {
  return "POST /archive HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The verdict on a turn with `bytes` bytes that is sent to an archive.
std::optional<ArchiveVerdict> Keep(const Host &host, size_t bytes) {
  const std::string call =
      EncodeCall({.body = TurnRecord{.turn = "t" + std::to_string(bytes),
                                     .team = "quilters",
                                     .input = std::string(bytes, 'x'),
                                     .retain_ms = 600'000}});
  const std::string answer =
      PlatformFleet::SendRawTo(host.peer_address(), PostOf(call), 3'000);
  const size_t at = answer.find("\r\n\r\n");
  if (at == std::string::npos) return std::nullopt;
  return DecodeReply(answer.substr(at + 4)).verdict;
}

constexpr std::array<const char *, 2> kPrograms = {"pimento-gateway",
                                                   "pimento-archive"};

}  // namespace

// Guards against an end that leaves no reason in the log.
TEST_CASE("the end of a process is logged with its reason") {
  for (const std::string program : kPrograms) {
    CAPTURE(program);
    Host host("reason");
    {
      Child child(host, program);
      REQUIRE(Within(kStartLimitMs, [&] { return Serves(host); }));
      child.Signal(SIGTERM);
      CheckEndsWell(child, "SIGTERM");
      CHECK(child.Output().find("\"descriptors\":") != std::string::npos);
    }
    for (const int number : {SIGSEGV, SIGABRT, SIGBUS, SIGQUIT}) {
      CAPTURE(number);
      Child child(host, program);
      REQUIRE(Within(kStartLimitMs, [&] { return Serves(host); }));
      child.Signal(number);
      REQUIRE(child.Ends(kPromptMs));
      CHECK(child.code() == -number);
      CHECK(
          child.Prints("\"event\":\"ended\",\"reason\":\"deadly_signal\"", 0));
    }
  }
}

// Guards against a failed start that the event log does not tell.
TEST_CASE("a start that fails is logged with its error") {
  Host host("failed_start");
  std::ofstream(host.dir + "/data") << "not a folder";
  Child child(host, "pimento-archive");
  REQUIRE(child.Ends(kStartLimitMs));
  CHECK(child.code() == 1);
  CHECK(child.Prints("\"event\":\"ended\",\"reason\":\"error\"", 0));
  CHECK(child.Prints("\"reached\":\"settings\"", 0));
}

// Guards against a start whose slow part nobody can tell.
TEST_CASE("an archive logs how long the parts of its start took") {
  Host host("parts");
  Child child(host, "pimento-archive");
  CHECK(
      child.Prints("\"event\":\"start_took\",\"settings_ms\":", kStartLimitMs));
  CHECK(child.Prints("\"ports_ms\":", 0));
}

// Guards against a SIGHUP before the event loop, which ended the process.
TEST_CASE("a signal while an archive replays its journal is heard") {
  for (const int number : {SIGHUP, SIGTERM}) {
    CAPTURE(number);
    Host host("replay");
    FillJournal(host);
    Child child(host, "pimento-archive");
    REQUIRE(Replays(host));
    child.Signal(number);
    if (number == SIGTERM) {
      // Well before the whole journal could be replayed.
      CheckEndsWell(child, "SIGTERM");
      CHECK(child.Output().find("replayed") == std::string::npos);
      continue;
    }
    const bool serves = Within(kStartLimitMs, [&] {
      return Answers(host.peer_address()) || !child.Running();
    });
    CHECK(serves);
    INFO(child.Output());
    REQUIRE(child.Running());
    CHECK(child.Prints("\"event\":\"reloaded\"", kPromptMs));
    child.Signal(SIGTERM);
    CheckEndsWell(child, "SIGTERM");
  }
}

// Guards against the time between the first open port and the event loop.
TEST_CASE("a signal as soon as a port is open is heard") {
  for (const std::string program : kPrograms) {
    CAPTURE(program);
    for (int i = 0; i < 20; ++i) {
      Host host("open");
      Child child(host, program);
      REQUIRE(Within(kStartLimitMs, [&] {
        return Answers(program == "pimento-gateway" ? host.ip + ":18368"
                                                    : host.peer_address());
      }));
      child.Signal(SIGHUP);
      child.Signal(SIGTERM);
      CheckEndsWell(child, "SIGTERM");
    }
  }
}

// Guards against a start that gives up while the process before it still ends.
TEST_CASE("a port that another process holds is waited for") {
  for (const std::string program : kPrograms) {
    for (const bool datagrams : {false, true}) {
      if (datagrams && program == "pimento-archive") continue;
      CAPTURE(program);
      CAPTURE(datagrams);
      Host host("held");
      asio::io_context io;
      const auto address = asio::ip::make_address(host.ip);
      std::optional<udp::socket> udp_holder;
      std::optional<tcp::acceptor> tcp_holder;
      if (datagrams)
        udp_holder.emplace(io, udp::endpoint(address, kFirstPort));
      else
        tcp_holder.emplace(io, tcp::endpoint(address, kFirstPort));
      // Else the program inherits the port that it waits for.
      fcntl(
          datagrams ? udp_holder->native_handle() : tcp_holder->native_handle(),
          F_SETFD, FD_CLOEXEC);
      Child child(host, program);
      child.Prints("\"event\":\"port_held\"", kPromptMs);
      INFO(child.Output());
      REQUIRE(child.Running());
      // No signal ends it, or is lost, while it waits.
      child.Signal(SIGHUP);
      Pause(300);
      REQUIRE(child.Running());
      udp_holder.reset();
      tcp_holder.reset();
      CHECK(Within(kStartLimitMs, [&] { return Answers(host.ip + ":9464"); }));
      CHECK(child.Prints("\"event\":\"reloaded\"", kPromptMs));
      child.Signal(SIGTERM);
      CheckEndsWell(child, "SIGTERM");
    }
  }
}

// Guards against a wait without an end, and one that no signal ends.
TEST_CASE("a port that stays held ends the start with a sentence") {
  Host host("kept");
  asio::io_context io;
  udp::socket holder(
      io, udp::endpoint(asio::ip::make_address(host.ip), kFirstPort));
  fcntl(holder.native_handle(), F_SETFD, FD_CLOEXEC);
  {
    Child child(host, "pimento-gateway");
    REQUIRE(child.Prints("\"event\":\"port_held\"", kStartLimitMs));
    child.Signal(SIGTERM);
    CheckEndsWell(child, "SIGTERM");
  }
  Child child(host, "pimento-gateway");
  REQUIRE(child.Ends(2 * kStartLimitMs));
  CHECK(child.code() == 1);
  INFO(child.Output());
  CHECK(child.Prints("Cannot listen on " + host.peer_address() +
                         " for datagrams: Address already in use, after ",
                     0));
}

// Guards against the end by SIGXFSZ of an archive whose file is at its limit.
TEST_CASE("an archive at its file size limit refuses and goes on") {
  Host host("file_limit");
  Child child(host, "pimento-archive", {.file_bytes = kSmallFileBytes});
  REQUIRE(Within(kStartLimitMs, [&] { return Answers(host.peer_address()); }));
  CHECK(Keep(host, 16) == ArchiveVerdict::kDone);
  CHECK(Keep(host, 2 * kSmallFileBytes) == ArchiveVerdict::kFailed);
  INFO(child.Output());
  REQUIRE(child.Running());
  CHECK(child.Prints("File too large", 0));
  CHECK(Keep(host, 16) == ArchiveVerdict::kDone);
}

// Guards against an end by SIGPIPE when the reader of the log has gone.
TEST_CASE("a process whose output nobody reads starts and stops") {
  for (const std::string program : kPrograms) {
    CAPTURE(program);
    Host host("unread");
    Child child(host, program, {.output_unread = true});
    CHECK(Within(kStartLimitMs, [&] { return Answers(host.ip + ":9464"); }));
    REQUIRE(child.Running());
    child.Signal(SIGTERM);
    CHECK(child.Ends(5'000));
    CHECK(child.code() == 0);
  }
}

}  // namespace pimento::testbed
