#include "src/settings.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "src/connection_limits.h"
#include "src/errors.h"

namespace pimento {
namespace {

const SectionRule kLogRule = {.kind = "log",
                              .keys = {{.name = "level",
                                        .kind = ValueKind::kChoice,
                                        .default_value = "info",
                                        .choices = "debug|info|warn|error"},
                                       {.name = "format",
                                        .kind = ValueKind::kChoice,
                                        .default_value = "text",
                                        .choices = "text|json"}}};

KeyRule Duration(const char* name, const char* default_value) {
  return {.name = name,
          .kind = ValueKind::kDuration,
          .default_value = default_value,
          .min_value = 1,
          .max_value = 86'400'000};
}

KeyRule Address(const char* name) {
  return {.name = name, .kind = ValueKind::kAddress, .required = true};
}

// Memory and descriptors of a process, from which it derives what it holds for
// clients and how many connections it takes.
KeyRule MemoryRule() {
  return {.name = "memory",
          .kind = ValueKind::kSize,
          .default_value = "256MiB",
          .min_value = 16LL * 1024 * 1024,
          .max_value = 1LL << 40};
}

KeyRule DescriptorsRule() {
  return {.name = "descriptors",
          .kind = ValueKind::kCount,
          .default_value = "0",
          .min_value = 0,
          .max_value = 1'000'000};
}

KeyRule Required(const char* name) { return {.name = name, .required = true}; }

LogSettings ReadLog(const IniFile& file) {
  const IniSection section = file.SingleSection("log");
  return {.level = section.Text("level"), .format = section.Text("format")};
}

// 0 in the settings stands for what the system allows the process.
int64_t DescriptorsOf(const IniSection& limits) {
  const int64_t named = limits.Count("descriptors");
  rlimit allowed{};
  constexpr rlim_t kMost = 1'000'000;
  if (named > 0 || getrlimit(RLIMIT_NOFILE, &allowed) != 0) return named;
  return static_cast<int64_t>(std::min(allowed.rlim_cur, kMost));
}

int64_t MegabytesOf(const IniSection& limits) {
  constexpr int64_t kMegabyte = 1024LL * 1024;
  return limits.Bytes("memory") / kMegabyte;
}

// Callers do not reach the scheduler: most of what it may hold is for messages
// of other hosts.
void SetSchedulerLimits(const IniSection& section,
                        SchedulerSettings& settings) {
  constexpr int64_t kAdminShare = 4;
  const int64_t memory_mb = MegabytesOf(section);
  const int64_t descriptors = DescriptorsOf(section);
  const ConnectionLimits places = LimitsOfConnections(memory_mb, descriptors);
  settings.admin_limits = {.memory_mb = memory_mb / kAdminShare,
                           .descriptors = descriptors,
                           .connections = places.directory};
  settings.rpc_limits = {.connections = PlacesForCallers(
                             RpcLimits{}.connections, memory_mb, descriptors),
                         .held_bytes = HeldBytesBudget(memory_mb)};
}

SchedulerTiming ReadTiming(const IniFile& file) {
  const IniSection section = file.SingleSection("timing");
  SchedulerTiming timing;
  timing.rpc_timeout_ms = section.Milliseconds("rpc");
  timing.append_grace_ms = section.Milliseconds("append_grace");
  timing.replacement_delay_ms = section.Milliseconds("replace_hold");
  timing.rebalance_delay_ms = section.Milliseconds("rebalance_after");
  timing.flush_interval_ms = section.Milliseconds("flush");
  timing.gap_timeout_ms = section.Milliseconds("gap");
  timing.retention_ms = section.Milliseconds("retention");
  return timing;
}

}  // namespace

const std::vector<SectionRule>& SchedulerRules() {
  static const std::vector<SectionRule> rules = {
      {.kind = "host",
       .required = true,
       .keys = {Required("name"), Required("zone"), Address("rpc_address"),
                Address("admin_address"), Address("http_address")}},
      {.kind = "platform",
       .required = true,
       .keys = {Address("address"), Required("environment")}},
      {.kind = "peers", .keys = {{.name = "seeds", .kind = ValueKind::kList}}},
      kLogRule,
      {.kind = "timing",
       .keys = {Duration("rpc", "1s"), Duration("append_grace", "40ms"),
                Duration("replace_hold", "3s"),
                Duration("rebalance_after", "6s"), Duration("flush", "500ms"),
                Duration("gap", "2s"), Duration("retention", "10m"),
                Duration("stop_limit", "20s")}},
      {.kind = "policy",
       .keys = {{.name = "queue",
                 .kind = ValueKind::kChoice,
                 .default_value = "fair",
                 .choices = "fair|fifo"},
                {.name = "choice",
                 .kind = ValueKind::kChoice,
                 .default_value = "affinity",
                 .choices = "affinity|round-robin"}}},
      {.kind = "limits",
       .keys = {{.name = "ring",
                 .kind = ValueKind::kCount,
                 .default_value = "4096",
                 .min_value = 16,
                 .max_value = 65'000},
                MemoryRule(),
                DescriptorsRule()}},
      {.kind = "testing",
       .keys = {{.name = "faults",
                 .kind = ValueKind::kBool,
                 .default_value = "false"}}},
  };
  return rules;
}

const std::vector<SectionRule>& EntryRules() {
  static const std::vector<SectionRule> rules = {
      {.kind = "host",
       .required = true,
       .keys = {Required("name"), Required("zone"), Address("http_address")}},
      {.kind = "schedulers",
       .required = true,
       .keys = {{.name = "addresses",
                 .kind = ValueKind::kList,
                 .required = true}}},
      kLogRule,
      {.kind = "limits",
       .keys = {{.name = "connections",
                 .kind = ValueKind::kCount,
                 .default_value = "4096",
                 .min_value = 1,
                 .max_value = 100'000},
                MemoryRule(),
                DescriptorsRule(),
                {.name = "header",
                 .kind = ValueKind::kSize,
                 .default_value = "16KiB",
                 .min_value = 1024,
                 .max_value = 1'048'576},
                {.name = "body",
                 .kind = ValueKind::kSize,
                 .default_value = "1MiB",
                 .min_value = 1024,
                 .max_value = 67'108'864},
                {.name = "max_tokens",
                 .kind = ValueKind::kCount,
                 .default_value = "8192",
                 .min_value = 1,
                 .max_value = 650'000},
                Duration("read", "10s"),
                Duration("write", "10s"),
                Duration("idle", "60s"),
                Duration("patience", "15s"),
                Duration("stale", "4s"),
                Duration("stop_limit", "20s")}},
      {.kind = "policy",
       .keys = {{.name = "refusal_cache",
                 .kind = ValueKind::kBool,
                 .default_value = "true"}}},
  };
  return rules;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw UserError("The file \"" + path + "\" cannot be read.");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

SchedulerSettings ReadSchedulerSettings(const std::string& path) {
  const IniFile file = IniFile::Parse(ReadFile(path), path, SchedulerRules());
  file.ThrowIfFaulty();
  const IniSection host = file.SingleSection("host");
  SchedulerSettings settings;
  settings.host = host.Text("name");
  settings.zone = host.Text("zone");
  settings.rpc_address = host.Text("rpc_address");
  settings.admin_address = host.Text("admin_address");
  settings.http_address = host.Text("http_address");
  settings.platform_address = file.SingleSection("platform").Text("address");
  settings.environment = file.SingleSection("platform").Text("environment");
  settings.seeds = file.SingleSection("peers").List("seeds");
  settings.log = ReadLog(file);
  settings.timing = ReadTiming(file);
  settings.stop_limit_ms =
      file.SingleSection("timing").Milliseconds("stop_limit");
  settings.queue_policy = file.SingleSection("policy").Text("queue");
  settings.choice_policy = file.SingleSection("policy").Text("choice");
  const IniSection limits = file.SingleSection("limits");
  settings.ring_capacity = static_cast<size_t>(limits.Count("ring"));
  SetSchedulerLimits(limits, settings);
  settings.fault_injection = file.SingleSection("testing").Bool("faults");
  return settings;
}

EntrySettings ReadEntrySettings(const std::string& path) {
  const IniFile file = IniFile::Parse(ReadFile(path), path, EntryRules());
  file.ThrowIfFaulty();
  const IniSection host = file.SingleSection("host");
  const IniSection limits = file.SingleSection("limits");
  EntrySettings settings;
  settings.host = host.Text("name");
  settings.zone = host.Text("zone");
  settings.http_address = host.Text("http_address");
  settings.schedulers = file.SingleSection("schedulers").List("addresses");
  settings.log = ReadLog(file);
  settings.limits = {
      .memory_mb = MegabytesOf(limits),
      .descriptors = DescriptorsOf(limits),
      .connections = static_cast<size_t>(limits.Count("connections")),
      .header_bytes = static_cast<uint32_t>(limits.Bytes("header")),
      .body_bytes = static_cast<uint64_t>(limits.Bytes("body")),
      .read_ms = limits.Milliseconds("read"),
      .write_ms = limits.Milliseconds("write"),
      .idle_ms = limits.Milliseconds("idle")};
  settings.max_tokens = static_cast<uint64_t>(limits.Count("max_tokens"));
  settings.patience_ms = limits.Milliseconds("patience");
  settings.stale_ms = limits.Milliseconds("stale");
  settings.stop_limit_ms = limits.Milliseconds("stop_limit");
  settings.refusal_cache = file.SingleSection("policy").Bool("refusal_cache");
  return settings;
}

}  // namespace pimento
