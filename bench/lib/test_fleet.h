// A fleet on loopback: hosts of entry and scheduler in three zones, a platform,
// engines and plain services. Shared by scenarios, the demo and the bench.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/lib/process_set.h"

namespace pimento::testbed {

struct FleetOptions {
  // Folder of the programs, and a folder for settings and logs.
  std::string programs = {};
  std::string work_folder = {};
  int hosts = 6;
  int zones = 3;
  int engines = 3;
  int services = 2;
  uint32_t shards = 8;
  // Sections or keys put into the document besides the usual ones.
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
};

// One answer over HTTP, as a caller sees it.
struct Answer {
  // 0 when the connection failed.
  int status = 0;
  std::string body;
  // True when the connection broke after the request had gone out.
  bool cut = false;
};

// One request on a connection of its own, blocking. Never throws.
Answer Ask(const std::string& address, const std::string& method,
           const std::string& target, const std::string& body = "",
           const std::map<std::string, std::string>& headers = {},
           int64_t limit_ms = 30'000);

class TestFleet {
 public:
  explicit TestFleet(FleetOptions options);

  // Starts everything and applies the first document. Throws when the fleet
  // does not become ready.
  void Start();
  void StartPlatform();
  void StartHost(const std::string& host);
  void KillHost(const std::string& host);
  void FreezeHost(const std::string& host);
  void ThawHost(const std::string& host);
  // A planned stop of both processes. Returns true when both ended with code 0.
  bool StopHost(const std::string& host, int64_t limit_ms = 30'000);
  // Cuts the connections between the host and others, both ways; an empty list
  // mends them. "platform" stands for the platform.
  void Cut(const std::string& host, const std::vector<std::string>& others);

  // Runs pimentoctl with the fleet's addresses; returns exit code and output.
  struct Output {
    int code = 0;
    std::string text;
  };
  Output Control(const std::vector<std::string>& words);
  // Applies the document with `change` made to it by text replacement.
  Output ApplyChange(const std::string& from, const std::string& to);

  std::string Document() const { return document_; }
  std::string Entry(const std::string& host) const { return entries_.at(host); }
  std::string Rpc(const std::string& host) const { return rpcs_.at(host); }
  std::string Admin(const std::string& host) const { return admins_.at(host); }
  std::string Upstream(const std::string& name) const {
    return upstreams_.at(name);
  }
  std::string platform() const { return platform_; }
  std::vector<std::string> hosts() const;
  std::vector<std::string> upstreams() const;
  // The host that owns the program's shard, or "".
  std::string OwnerOf(const std::string& program) const;
  // Sets switches of a stand-in: "platform" or an upstream's name.
  void Faults(const std::string& name, const std::string& json);
  // Waits until `hosts` hosts are alive in every live host's view and every
  // shard has an owner.
  bool WaitReady(size_t hosts, int64_t limit_ms) const;
  // Sum of a counter over all live processes of the given kind.
  double CounterSum(const std::string& line_start, bool entries) const;
  ProcessSet& processes() { return processes_; }

 private:
  std::string MakeDocument() const;
  void WriteSettings(const std::string& host);
  std::string Path(const std::string& file) const {
    return options_.work_folder + "/" + file;
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
