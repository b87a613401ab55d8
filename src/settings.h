// Settings of the daemons, read from INI and checked whole before start.
#pragma once

#include <string>
#include <vector>

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
  // Where callers reach this host's entry.
  std::string http_address;
  std::string platform_address;
  std::string environment;
  std::vector<std::string> seeds;
  LogSettings log;
  SchedulerTiming timing;
  std::string queue_policy;
  std::string choice_policy;
  int64_t stop_limit_ms = 20'000;
  size_t ring_capacity = 4'096;
  // Allows scenarios to cut connections through the admin port.
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
  int64_t patience_ms = 15'000;
  // Without news from any scheduler for this long, nothing is admitted.
  int64_t stale_ms = 4'000;
  int64_t stop_limit_ms = 20'000;
  uint64_t max_tokens = 8'192;
  // Of `false`, the entry splits nothing and asks for every grant; of `true`, a
  // repeated refusal is answered without asking.
  bool refusal_cache = true;
};

const std::vector<SectionRule>& SchedulerRules();
const std::vector<SectionRule>& EntryRules();

// Throw UserError that lists every fault of the file.
SchedulerSettings ReadSchedulerSettings(const std::string& path);
EntrySettings ReadEntrySettings(const std::string& path);

// Reads a file whole. Throws UserError.
std::string ReadFile(const std::string& path);

}  // namespace pimento
