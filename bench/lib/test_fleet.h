// A fleet on loopback: hosts in availability zones, each with an entry and a
// scheduler, and stand-ins for the platform, engines and plain services. Used
// by the scenarios, the demo and the benchmarks.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/lib/process_set.h"

namespace pimento::testbed {

struct FleetOptions {
  // Folder of the executables, and a folder for settings and logs.
  std::string bin_dir = {};
  std::string work_dir = {};
  int hosts = 6;
  int zones = 3;
  int engines = 3;
  int services = 2;
  uint32_t shards = 8;
  // Team sections of the configuration document; the default teams when empty.
  std::string teams = {};
  std::string queue_policy = "fair";
  std::string choice_policy = "affinity";
  bool refusal_cache = true;
  bool idempotent_orders = false;
  bool fencing = true;
  int engine_window = 8;
  int engine_cold_window = 2;
  std::string engine_cold_start = "500ms";
  std::string engine_faults = R"({"cold_ms":300})";
  std::string replace_hold = "2s";
  std::string rebalance_after = "4s";
  std::string log_level = "info";
  // Lines of the section [limits] of entries and schedulers.
  std::string entry_limits = {};
  std::string scheduler_limits = {};
};

// One HTTP answer, as a caller sees it.
struct Answer {
  // 0 when the connection failed.
  int status = 0;
  std::string body;
  // True when the connection broke after the request was sent.
  bool connection_lost = false;
};

// Sends one request on a new connection and blocks until it is answered or
// `limit_ms` is over. Transport errors give status 0, not an exception.
Answer Ask(const std::string& address, const std::string& method,
           const std::string& target, const std::string& body = "",
           const std::map<std::string, std::string>& headers = {},
           int64_t limit_ms = 30'000);

class TestFleet {
 public:
  explicit TestFleet(FleetOptions options);

  // Starts everything and applies the configuration document. Throws
  // std::runtime_error when the fleet does not become ready.
  void Start();
  void StartPlatform();
  void StartHost(const std::string& host);
  // Kills, suspends or resumes the scheduler and the entry of a host, by
  // signal.
  void KillHost(const std::string& host);
  void FreezeHost(const std::string& host);
  void ThawHost(const std::string& host);
  // A planned stop: sends SIGTERM to both processes. Returns true when
  // both ended with exit code 0 within `limit_ms` each.
  bool StopHost(const std::string& host, int64_t limit_ms = 30'000);
  // Simulates a network partition between the host and `others`, in both
  // directions. Replaces earlier partitions, so an empty list heals them.
  // "platform" stands for the platform.
  void Cut(const std::string& host, const std::vector<std::string>& others);

  // Runs pimentoctl with `words` and the fleet's addresses, and returns its
  // exit code and its output, stdout and stderr together.
  struct Output {
    int code = 0;
    std::string text;
  };
  Output RunPimentoctl(const std::vector<std::string>& words);
  // Replaces the first `from` in the document by `to` and applies it. Throws
  // std::runtime_error when the document does not contain `from`.
  Output ApplyChange(const std::string& from, const std::string& to);

  // The configuration document as last applied.
  std::string Document() const { return document_; }
  // Addresses of a host's entry (HTTP), scheduler (RPC) and admin interface.
  std::string Entry(const std::string& host) const { return entries_.at(host); }
  std::string Rpc(const std::string& host) const { return rpcs_.at(host); }
  std::string Admin(const std::string& host) const { return admins_.at(host); }
  std::string Upstream(const std::string& name) const {
    return upstreams_.at(name);
  }
  std::string platform() const { return platform_; }
  std::vector<std::string> hosts() const;
  std::vector<std::string> upstreams() const;
  // The host that owns the program's shard, or "" when none says so.
  std::string OwnerOf(const std::string& program) const;
  // Sets fault switches of a stand-in: "platform" or the name of an upstream.
  void SetFaults(const std::string& name, const std::string& json);
  // Waits until at least `hosts` hosts answer, each of them sees that many
  // alive, every shard has an owner and that many entries are ready. Returns
  // false after `limit_ms`.
  bool WaitReady(size_t hosts, int64_t limit_ms) const;
  // Sum of the metrics lines that start with `line_start`, over all live
  // entries or all live schedulers.
  double CounterSum(const std::string& line_start, bool entries) const;
  ProcessSet& processes() { return processes_; }

 private:
  std::string MakeDocument() const;
  void WriteSettings(const std::string& host);
  std::string Path(const std::string& file) const {
    return options_.work_dir + "/" + file;
  }

  FleetOptions options_;
  ProcessSet processes_;
  std::string platform_;
  std::string document_;
  std::map<std::string, std::string> entries_;
  std::map<std::string, std::string> rpcs_;
  std::map<std::string, std::string> admins_;
  std::map<std::string, std::string> zones_;
  std::map<std::string, std::string> upstreams_;
};

}  // namespace pimento::testbed
