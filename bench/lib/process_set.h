// Starts, freezes and kills the processes of a test fleet. Only tests, the demo
// and the bench use this: a process of the system starts no other.
#pragma once

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pimento::testbed {

class ProcessSet {
 public:
  ProcessSet();
  // Kills what still runs.
  ~ProcessSet();

  // Starts `program` with `arguments`, and `variables` on top of the present
  // environment; output goes to `log_file`.
  void Start(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments,
             const std::string& log_file,
             const std::map<std::string, std::string>& variables = {});
  bool Running(const std::string& name);
  void Signal(const std::string& name, int signal_number);
  void Kill(const std::string& name);
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  // Sends SIGTERM and waits; returns the exit code, or -1 after `limit_ms`.
  int Terminate(const std::string& name, int64_t limit_ms);
  std::vector<std::string> names() const;
  pid_t Id(const std::string& name) const;

 private:
  struct Process;
  std::map<std::string, std::unique_ptr<Process>> processes_;
};

// Ports that nothing listens on now, each returned once in this process.
int FreePort();

}  // namespace pimento::testbed
