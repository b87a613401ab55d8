// A fleet on loopback for the users' platform: the real programs as processes,
// the stand-in store and upstreams, and callers' requests.
//
// Each host has an address of its own, 127.1.N.1, so that all use the same
// ports, as on the real machines.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/lib/fault_proxy.h"
#include "bench/lib/process_set.h"

namespace pimento::testbed {

// What a caller got for one request.
struct CallerAnswer {
  // 0 when the connection ended without an answer.
  int status = 0;
  std::map<std::string, std::string> headers = {};
  std::string body = {};
  // False when the answer broke off.
  bool whole = false;
};

struct CallerCall {
  std::string method = "POST";
  std::string target = "/";
  std::map<std::string, std::string> headers = {};
  std::string body = {};
  int64_t limit_ms = 5'000;
};

class PlatformFleet {
 public:
  struct Options {
    int gateways = 2;
    int archives = 3;
    // Upstreams of the streaming service "talk" and the plain service "desk".
    int talkers = 2;
    int desks = 2;
    int64_t revoke_ms = 5'000;
    // Availability zones of the system's hosts; an upstream is in one of three.
    int zones = 3;
    // True when faults can be set on the links to the store and to upstreams.
    bool proxied = false;
  };
  // Starts everything and waits until each gateway is ready. Logs and data go
  // to `dir`. Throws std::runtime_error when that takes too long.
  PlatformFleet(const std::string& bin_dir, const std::string& dir,
                Options options);

  // Sends a request to gateway `index` on a connection of its own. A request id
  // is added where there is none.
  CallerAnswer Call(int gateway, CallerCall call);
  // A turn of `program` on the route that keeps history, or on the one that may
  // be resumed.
  CallerCall Turn(const std::string& id, const std::string& program,
                  const std::string& previous, const std::string& body,
                  int64_t budget = 100'000) const;
  CallerCall Plain(const std::string& id, bool idempotent) const;
  // Sends bytes as they are; returns what came back until the end or
  // `limit_ms`.
  std::string Raw(int gateway, const std::string& bytes, int64_t limit_ms);

  // What upstream `name` ("talk-0", "desk-1") ran: JSON array.
  std::string Runs(const std::string& name);
  // Sets switches of a stand-in ("store", "talk-0").
  void Faults(const std::string& name, const std::string& json);
  // Replaces the desired state; `keys` of the team "quilters".
  void PutState(int64_t version, const std::vector<std::string>& keys);
  void PutObject(const std::string& kind, const std::string& name,
                 const std::string& spec);
  std::string Object(const std::string& kind, const std::string& name);
  // Calls that the store has had.
  int64_t StoreCalls();

  // Hosts: "gateway-0", "archive-1".
  void StartHost(const std::string& name, bool first_start);
  void WipeDisk(const std::string& name);
  bool Ready(int gateway);
  void WaitUntilReady(int64_t limit_ms);
  // Metrics of a host ("gateway-0", "archive-1").
  std::string Metrics(const std::string& host);
  std::string Log(const std::string& name) const;

  // The link of a host to the store, or of all hosts to an upstream.
  FaultProxy& LinkOf(const std::string& name) { return *proxies_.at(name); }
  ProcessSet& processes() { return processes_; }
  const std::string& key() const { return key_; }
  const Options& options() const { return options_; }

 private:
  std::string HostAddress(const std::string& name, int port) const;
  CallerAnswer Ask(const std::string& address, const CallerCall& call);
  void StartUpstream(const std::string& name, int id);
  void WriteSettings(const std::string& name, bool first_start);
  int Number(const std::string& name) const;

  std::string bin_dir_;
  std::string dir_;
  Options options_;
  std::string key_ = "key-of-quilters";
  std::map<std::string, std::string> addresses_;
  // Second number of the hosts' addresses: fleets side by side do not meet.
  int net_ = 0;
  std::atomic<uint64_t> next_request_{1};
  std::map<std::string, std::unique_ptr<FaultProxy>> proxies_;
  // Last: what it runs ends before the rest goes.
  ProcessSet processes_;
};

}  // namespace pimento::testbed
