// A fleet of gateways and archives on loopback, as on the users' platform: the
// real executables as processes, a stand-in object store, stand-in upstreams
// and requests of callers.
//
// Each host has an address of its own, 127.F.N.1 with the fleet's number F and
// the host's number N, so that all hosts use the same ports, as on separate
// machines.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/lib/fault_proxy.h"
#include "bench/lib/fleet_number.h"
#include "bench/lib/process_set.h"

namespace pimento::testbed {

// The answer to one request, as the caller received it.
struct CallerAnswer {
  // 0 when the connection ended without an answer.
  int status = 0;
  // By name in lower case.
  std::map<std::string, std::string> headers = {};
  std::string body = {};
  // False when the connection ended before the whole answer had arrived.
  bool complete = false;
};

// A request of a caller.
struct ClientRequest {
  std::string method = "POST";
  std::string target = "/";
  std::map<std::string, std::string> headers = {};
  std::string body = {};
  // Limit for connecting, sending and the whole answer.
  int64_t limit_ms = 5'000;
};

class PlatformFleet {
 public:
  struct Options {
    int gateways = 2;
    int archives = 3;
    // Number of upstreams of the streaming service "talk" and of the plain
    // service "desk".
    int streaming_upstreams = 2;
    int plain_upstreams = 2;
    // Value of the setting bounds.revoke_ms.
    int64_t revoke_ms = 5'000;
    // Value of the setting tolerate.machines.
    int64_t tolerated_losses = 1;
    // Availability zones of gateways and archives. Upstreams are always spread
    // over three.
    int zones = 3;
    // Whether links to the store and to upstreams go through a FaultProxy.
    bool proxied = false;
    // Values of the settings limits.memory_mb and limits.max_fds of gateways
    // and archives; 0 leaves them out.
    int64_t memory_mb = 0;
    int64_t max_fds = 0;
    // Longest body and idle time of callers, in the configuration.
    int64_t max_body_bytes = 65'536;
    int64_t idle_timeout_ms = 5'000;
    // Further arguments of gateways.
    std::vector<std::string> gateway_arguments = {};
  };
  // Starts everything and waits until each gateway is ready. Executables come
  // from `bin_dir`. Logs, settings and data go to `dir`, which is emptied
  // first. Throws std::runtime_error on a timeout.
  PlatformFleet(const std::string& bin_dir, const std::string& dir,
                Options options);

  // Sends a request to gateway number `gateway` on a new connection. Adds a
  // request id if the request has none.
  CallerAnswer Call(int gateway, ClientRequest call);
  // A turn of `program`, with request id `id`, on the route that keeps history.
  // `previous` is the request id of the turn before, or "" for the first turn;
  // `budget` is in tokens.
  ClientRequest TurnRequest(const std::string& id, const std::string& program,
                            const std::string& previous,
                            const std::string& body,
                            int64_t budget = 100'000) const;
  // A request with id `id` to the plain service "desk".
  ClientRequest PlainRequest(const std::string& id, bool idempotent) const;
  // Sends `bytes` unchanged to a gateway. Returns what it received until the
  // connection ended or `limit_ms` was over.
  std::string SendRaw(int gateway, const std::string& bytes, int64_t limit_ms);
  // The same, to any address.
  static std::string SendRawTo(const std::string& address,
                               const std::string& bytes, int64_t limit_ms);
  // Addresses on which host `name` listens by TCP; the first one is for other
  // hosts, which also send datagrams there.
  std::vector<std::string> Listening(const std::string& name) const;

  // JSON array of the requests that upstream `name` ("talk-0", "desk-1") ran.
  std::string Runs(const std::string& name);
  // Sets fault switches of a stand-in ("store", "talk-0"). Throws
  // std::runtime_error when it does not confirm them.
  void SetFaults(const std::string& name, const std::string& json);
  // Replaces the configuration in the store. `keys` are the API keys of the
  // team "quilters".
  void PutState(int64_t version, const std::vector<std::string>& keys);
  // Creates or replaces an object of the store; `spec` is JSON.
  void PutObject(const std::string& kind, const std::string& name,
                 const std::string& spec);
  void DeleteObject(const std::string& kind, const std::string& name);
  // Puts an object of the store whose text is `text`, as it is. `name` is where
  // it stands among the others and may hold any bytes, as in `text`.
  void PutRawObject(const std::string& kind, const std::string& name,
                    const std::string& text);
  // Writes the store entry of an upstream of `service` ("talk" or "desk") with
  // the numeric `id`, which started at `born` (Unix milliseconds).
  void RegisterUpstream(int id, const std::string& service,
                        const std::string& address, int64_t slots = 8,
                        int64_t born = 1, const std::string& version = "v1");
  // An address of loopback for upstream `name` ("talk-5"), the same each time.
  std::string UpstreamAddress(const std::string& name) const;
  // Whether the stand-in that listens on `address` answers.
  bool Answers(const std::string& address);
  // From now on the store refuses hosts' writes to objects of this name.
  void RefuseWrites(const std::string& name);
  // An object of the store, as JSON.
  std::string Object(const std::string& kind, const std::string& name);
  // Restarts the store: what waits is broken off, and all calls for `down_ms`;
  // its history is gone.
  void RestartStore(int64_t down_ms);
  // Address of the stand-in store.
  std::string StoreAddress() const { return addresses_.at("store"); }
  // Hosts that are started from now on use the store at `address`.
  void set_store_of_hosts(std::string address) {
    store_of_hosts_ = std::move(address);
  }
  // Number of calls that the store has received.
  int64_t StoreCalls();

  // Starts host `name` ("gateway-0", "archive-1"). `first_start` is the value
  // of its setting `bootstrap`.
  void StartHost(const std::string& name, bool first_start);
  // Data folder of a host.
  std::string DataDir(const std::string& name) const;
  // Deletes the data folder of a host.
  void WipeDisk(const std::string& name);
  // Whether the gateway reports itself ready.
  bool Ready(int gateway);
  // Waits for all gateways, up to `limit_ms` for each. Throws
  // std::runtime_error on a timeout.
  void WaitUntilReady(int64_t limit_ms);
  // Metrics page of a host.
  std::string Metrics(const std::string& host);
  // Log output of a process so far.
  std::string Log(const std::string& name) const;

  // The proxy between a host and the store, or between all gateways and an
  // upstream, when Options::proxied is set.
  FaultProxy& LinkOf(const std::string& name) { return *proxies_.at(name); }
  ProcessSet& processes() { return processes_; }
  // API key of the team "quilters" at the start.
  const std::string& key() const { return key_; }
  const Options& options() const { return options_; }

 private:
  std::string HostAddress(const std::string& name, int port) const;
  // Sends a request to `address` on a new connection.
  CallerAnswer SendTo(const std::string& address, const ClientRequest& call);
  void StartUpstream(const std::string& name, int id);
  void WriteSettings(const std::string& name, bool first_start);
  // Number of a process in its address, unique in the fleet.
  int HostNumber(const std::string& name) const;

  std::string bin_dir_;
  std::string dir_;
  Options options_;
  std::string key_ = "key-of-quilters";
  // Addresses of the stand-ins by name, without proxies.
  std::map<std::string, std::string> addresses_;
  // Replaces the stand-in store for hosts when it is not empty.
  std::string store_of_hosts_;
  // Keeps the addresses of concurrent test runs apart.
  FleetNumber fleet_number_;
  std::atomic<uint64_t> next_request_{1};
  std::map<std::string, std::unique_ptr<FaultProxy>> proxies_;
  // Declared last, so that its processes end before the proxies are destroyed.
  ProcessSet processes_;
};

}  // namespace pimento::testbed
