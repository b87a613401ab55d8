// Settings of pimento-scheduler and pimento-entry. Each is read from an INI
// file that is validated as a whole before the daemon starts.
#pragma once

#include <string>
#include <vector>

#include "src/connection_limits.h"
#include "src/http_server.h"
#include "src/ini_file.h"
#include "src/scheduler_context.h"

namespace pimento {

struct LogSettings {
  std::string level = "info";
  std::string format = "text";
};

struct SchedulerSettings {
  std::string host;
  std::string zone;
  std::string rpc_address;
  std::string admin_address;
  // Address at which callers reach this host's entry.
  std::string http_address;
  std::string platform_address;
  std::string environment;
  // RPC addresses of the schedulers to contact first.
  std::vector<std::string> seeds;
  LogSettings log;
  SchedulerTiming timing;
  std::string queue_policy;
  std::string choice_policy;
  // How long a graceful shutdown may take to hand over the shards.
  int64_t stop_limit_ms = 20'000;
  // Tasks that may wait for each thread; more are refused.
  size_t ring_capacity = 4'096;
  HttpLimits admin_limits;
  RpcLimits rpc_limits;
  // Enables the admin request /faults, with which test scenarios cut
  // connections.
  bool fault_injection = false;
};

struct EntrySettings {
  std::string host;
  std::string zone;
  std::string http_address;
  // RPC addresses of schedulers, this host's own first.
  std::vector<std::string> schedulers;
  LogSettings log;
  HttpLimits limits;
  // How long a call may wait before it starts: for the owner of its shard to
  // answer, and in the owner's queue.
  int64_t patience_ms = 15'000;
  // If no scheduler has answered for this long, the document may be out of date
  // and all requests are refused.
  int64_t stale_ms = 4'000;
  // How long a graceful shutdown waits for open requests to finish.
  int64_t stop_limit_ms = 20'000;
  // Maximum `max_tokens` that a call to an engine may ask for.
  uint64_t max_tokens = 8'192;
  // If true, the entry itself refuses repetitions of a call that was refused
  // because of its team's rate, until the team can get its next grant. If
  // false, it forwards each of them to the owner.
  bool refusal_cache = true;
};

const std::vector<SectionRule>& SchedulerRules();
const std::vector<SectionRule>& EntryRules();

// Throw UserError that lists all faults of the file.
SchedulerSettings ReadSchedulerSettings(const std::string& path);
EntrySettings ReadEntrySettings(const std::string& path);

// Returns the contents of a file. Throws UserError if it cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace pimento
