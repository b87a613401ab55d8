// Starts, suspends and kills the processes of a test fleet. Only tests, the
// demo and the benchmarks use it: the system's own processes start no others.
#pragma once

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pimento::testbed {

// Processes by name. Not thread-safe.
class ProcessSet {
 public:
  ProcessSet();
  // Kills the processes that still run.
  ~ProcessSet();

  // Starts the executable `program` as process `name`. `variables` are added to
  // the current environment; stdout and stderr are appended to `log_file`.
  // Throws std::runtime_error when the log file cannot be opened.
  void Start(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments,
             const std::string& log_file,
             const std::map<std::string, std::string>& variables = {});
  bool Running(const std::string& name);
  // How a process of the set ended by itself: "exit code 1", "signal 6"; empty
  // while it runs, and when there is none.
  std::string HowEnded(const std::string& name);
  // Sends a signal; does nothing when the process does not run.
  void Signal(const std::string& name, int signal_number);
  // Sends SIGKILL, waits for the end and removes the process from the set.
  void Kill(const std::string& name);
  // Suspends a process with SIGSTOP, and resumes it with SIGCONT.
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  // Sends SIGTERM and returns the exit code. After `limit_ms` kills the process
  // and returns -1.
  int Terminate(const std::string& name, int64_t limit_ms);
  std::vector<std::string> names() const;
  // Throws std::runtime_error when there is no such process.
  pid_t Pid(const std::string& name) const;

 private:
  struct Process;
  std::map<std::string, std::unique_ptr<Process>> processes_;
};

// A TCP port on loopback that nothing listens on now. Never returns the same
// port twice in this process.
int FreePort();

}  // namespace pimento::testbed
