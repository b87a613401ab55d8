#include "src/settings.h"

#include <fstream>
#include <sstream>

#include "src/errors.h"

namespace pimento {
namespace {

const SectionRule kLogRule = {.kind = "log",
                              .keys = {{.name = "level",
                                        .kind = ValueKind::kChoice,
                                        .fallback = "info",
                                        .choices = "debug|info|warn|error"},
                                       {.name = "format",
                                        .kind = ValueKind::kChoice,
                                        .fallback = "text",
                                        .choices = "text|json"}}};

KeyRule Duration(const char* name, const char* fallback) {
  return {.name = name,
          .kind = ValueKind::kDuration,
          .fallback = fallback,
          .least = 1,
          .most = 86'400'000};
}

KeyRule Address(const char* name) {
  return {.name = name, .kind = ValueKind::kAddress, .required = true};
}

KeyRule Required(const char* name) { return {.name = name, .required = true}; }

LogSettings ReadLog(const IniFile& file) {
  const IniSection section = file.Only("log");
  return {.level = section.Text("level"), .format = section.Text("format")};
}

SchedulerTiming ReadTiming(const IniFile& file) {
  const IniSection section = file.Only("timing");
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
                 .fallback = "fair",
                 .choices = "fair|fifo"},
                {.name = "choice",
                 .kind = ValueKind::kChoice,
                 .fallback = "affinity",
                 .choices = "affinity|round-robin"}}},
      {.kind = "limits",
       .keys = {{.name = "ring",
                 .kind = ValueKind::kCount,
                 .fallback = "4096",
                 .least = 16,
                 .most = 65'000}}},
      {.kind = "testing",
       .keys = {{.name = "faults",
                 .kind = ValueKind::kBool,
                 .fallback = "false"}}},
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
                 .fallback = "4096",
                 .least = 1,
                 .most = 100'000},
                {.name = "header",
                 .kind = ValueKind::kSize,
                 .fallback = "16KiB",
                 .least = 1024,
                 .most = 1'048'576},
                {.name = "body",
                 .kind = ValueKind::kSize,
                 .fallback = "1MiB",
                 .least = 1024,
                 .most = 67'108'864},
                {.name = "max_tokens",
                 .kind = ValueKind::kCount,
                 .fallback = "8192",
                 .least = 1,
                 .most = 650'000},
                Duration("read", "10s"),
                Duration("write", "10s"),
                Duration("idle", "60s"),
                Duration("patience", "15s"),
                Duration("stale", "4s"),
                Duration("stop_limit", "20s")}},
      {.kind = "policy",
       .keys = {{.name = "refusal_cache",
                 .kind = ValueKind::kBool,
                 .fallback = "true"}}},
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
  const IniSection host = file.Only("host");
  SchedulerSettings settings;
  settings.host = host.Text("name");
  settings.zone = host.Text("zone");
  settings.rpc_address = host.Text("rpc_address");
  settings.admin_address = host.Text("admin_address");
  settings.http_address = host.Text("http_address");
  settings.platform_address = file.Only("platform").Text("address");
  settings.environment = file.Only("platform").Text("environment");
  settings.seeds = file.Only("peers").List("seeds");
  settings.log = ReadLog(file);
  settings.timing = ReadTiming(file);
  settings.stop_limit_ms = file.Only("timing").Milliseconds("stop_limit");
  settings.queue_policy = file.Only("policy").Text("queue");
  settings.choice_policy = file.Only("policy").Text("choice");
  settings.ring = static_cast<size_t>(file.Only("limits").Count("ring"));
  settings.faults = file.Only("testing").Bool("faults");
  return settings;
}

EntrySettings ReadEntrySettings(const std::string& path) {
  const IniFile file = IniFile::Parse(ReadFile(path), path, EntryRules());
  file.ThrowIfFaulty();
  const IniSection host = file.Only("host");
  const IniSection limits = file.Only("limits");
  EntrySettings settings;
  settings.host = host.Text("name");
  settings.zone = host.Text("zone");
  settings.http_address = host.Text("http_address");
  settings.schedulers = file.Only("schedulers").List("addresses");
  settings.log = ReadLog(file);
  settings.limits = {
      .connections = static_cast<size_t>(limits.Count("connections")),
      .header_bytes = static_cast<uint32_t>(limits.Bytes("header")),
      .body_bytes = static_cast<uint64_t>(limits.Bytes("body")),
      .read_ms = limits.Milliseconds("read"),
      .write_ms = limits.Milliseconds("write"),
      .idle_ms = limits.Milliseconds("idle")};
  settings.most_tokens = static_cast<uint64_t>(limits.Count("max_tokens"));
  settings.patience_ms = limits.Milliseconds("patience");
  settings.stale_ms = limits.Milliseconds("stale");
  settings.stop_limit_ms = limits.Milliseconds("stop_limit");
  settings.refusal_cache = file.Only("policy").Bool("refusal_cache");
  return settings;
}

}  // namespace pimento
