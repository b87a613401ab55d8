// Operator commands: check, apply and promote environment documents, drain and
// restore zones and hosts, and query the state of the fleet. pimentoctl is
// their command line.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "src/document.h"
#include "src/platform_client.h"

namespace pimento {

// The result of a command: a summary for people and the same facts as JSON.
struct CommandReport {
  bool ok = true;
  std::string text;
  std::string json;
};

struct OperatorOptions {
  // Admin addresses of schedulers. Those that do not answer are skipped.
  std::vector<std::string> admins;
  // How long to wait for a change to be in force on all live hosts.
  int64_t in_force_timeout_ms = 5'000;
};

class OperatorCommands {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  OperatorCommands(PlatformClient& platform, OperatorOptions options);

  // Writes `text` as the next generation of its environment and waits until it
  // is in force. Throws UserError if the text is invalid or another operator
  // changed the document at the same time, and PlatformError if the platform
  // cannot be reached.
  Async<CommandReport> Apply(std::string text, std::string file);
  // Copies the document of environment `from` to `to`. Throws UserError unless
  // its latest generation is in force on every host of `from` that answers.
  Async<CommandReport> Promote(std::string from, std::string to);
  // Sets `key` of [kind name] in the environment's document.
  Async<CommandReport> SetFlag(std::string environment, std::string kind,
                               std::string name, std::string key, bool value);
  Async<CommandReport> Status();
  // Collects the decisions about a request or program from all hosts.
  Async<CommandReport> Explain(std::string id);

 private:
  // The stored document and the object version for a conditional update.
  struct CurrentDocument {
    uint64_t version = 0;
    Generation generation;
  };
  Async<CurrentDocument> ReadCurrent(std::string environment);
  Async<CommandReport> WriteNext(CurrentDocument current,
                                 std::string environment, std::string text);
  Async<CommandReport> WaitInForce(std::string environment,
                                   uint64_t generation);
  // The number of live hosts of an environment and their lowest generation.
  struct HostGenerations {
    size_t count = 0;
    uint64_t lowest = 0;
  };
  Async<HostGenerations> QueryGenerations(std::string environment);
  // Returns an empty string if the host does not answer.
  Async<std::string> QueryAdmin(std::string address, std::string target);

  PlatformClient& platform_;
  OperatorOptions options_;
};

// Throws UserError that lists all faults of the document.
CommandReport CheckDocument(const std::string& text, const std::string& file);

}  // namespace pimento
