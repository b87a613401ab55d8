// Child processes by means of Boost.Process and signals.
#include "bench/lib/process_set.h"

#include <signal.h>
#include <sys/wait.h>

#include <boost/asio.hpp>
#include <boost/process.hpp>
#include <chrono>
#include <set>
#include <stdexcept>
#include <thread>

namespace pimento::testbed {
namespace {

namespace process = boost::process;

}  // namespace

struct ProcessSet::Process {
  process::child child;
};

ProcessSet::ProcessSet() = default;

ProcessSet::~ProcessSet() {
  for (const std::string& name : names()) Kill(name);
}

void ProcessSet::Start(const std::string& name, const std::string& program,
                       const std::vector<std::string>& arguments,
                       const std::string& log_file,
                       const std::map<std::string, std::string>& variables) {
  auto started = std::make_unique<Process>();
  FILE* log = std::fopen(log_file.c_str(), "a");
  if (log == nullptr)
    throw std::runtime_error("Cannot open the log file " + log_file);
  process::environment environment = boost::this_process::environment();
  for (const auto& [key, value] : variables) environment[key] = value;
  started->child =
      process::child(process::exe = program, process::args = arguments,
                     process::env = environment, process::std_out > log,
                     process::std_err > log, process::std_in < process::null);
  std::fclose(log);
  processes_[name] = std::move(started);
}

pid_t ProcessSet::Pid(const std::string& name) const {
  const auto it = processes_.find(name);
  if (it == processes_.end())
    throw std::runtime_error("There is no process named " + name + ".");
  return it->second->child.id();
}

bool ProcessSet::Running(const std::string& name) {
  const auto it = processes_.find(name);
  return it != processes_.end() && it->second->child.running();
}

std::string ProcessSet::HowEnded(const std::string& name) {
  if (!processes_.contains(name) || Running(name)) return {};
  const int status = processes_[name]->child.native_exit_code();
  if (WIFSIGNALED(status)) return "signal " + std::to_string(WTERMSIG(status));
  return "exit code " + std::to_string(WEXITSTATUS(status));
}

void ProcessSet::Signal(const std::string& name, int signal_number) {
  if (Running(name)) kill(Pid(name), signal_number);
}

void ProcessSet::Kill(const std::string& name) {
  if (!processes_.contains(name)) return;
  Signal(name, SIGKILL);
  processes_[name]->child.wait();
  processes_.erase(name);
}

void ProcessSet::Freeze(const std::string& name) { Signal(name, SIGSTOP); }

void ProcessSet::Thaw(const std::string& name) { Signal(name, SIGCONT); }

int ProcessSet::Terminate(const std::string& name, int64_t limit_ms) {
  Signal(name, SIGTERM);
  for (int64_t waited = 0; waited < limit_ms; waited += 20) {
    if (!Running(name)) {
      processes_[name]->child.wait();
      const int code = processes_[name]->child.exit_code();
      processes_.erase(name);
      return code;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  Kill(name);
  return -1;
}

std::vector<std::string> ProcessSet::names() const {
  std::vector<std::string> all;
  for (const auto& [name, process] : processes_) all.push_back(name);
  return all;
}

int FreePort() {
  static std::set<int> returned;
  namespace asio = boost::asio;
  for (;;) {
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    const int port = acceptor.local_endpoint().port();
    if (returned.insert(port).second) return port;
  }
}

}  // namespace pimento::testbed
