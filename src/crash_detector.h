// Tells whether an upstream crashed when one of its connections broke off.
//
// A broken connection alone says little: connections are reset, gateways are
// cut off, planned stops cut what runs too long. A process that is gone refuses
// new connections. The detector asks by opening one, once for all requests that
// broke off at the same upstream at the same time.
//
// One that is back before the detector asks does not refuse: its new entry,
// which follows, shows that the process was replaced. An upstream that refuses
// connections for another reason, such as a firewall, is taken for crashed; one
// that is cut off silently is not. A process that ends closes its connections
// one by one, so that one which does not refuse yet is worth asking again.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "src/connection_pool.h"
#include "src/crash_suspects.h"
#include "src/upstream_entry.h"

namespace pimento {

// A request whose connection to an upstream ended within an exchange.
struct BrokenRun {
  UpstreamEntry upstream = {};
  RequestFingerprints request = {};
  RunStage stage = RunStage::kSent;
};

class CrashDetector {
 public:
  CrashDetector(boost::asio::io_context& io, ConnectionPool& pool)
      : io_(io), pool_(pool) {}

  // A connection to the upstream ended within an exchange. Returns whether the
  // upstream process has crashed. Does not throw.
  boost::asio::awaitable<bool> HasCrashed(const UpstreamEntry& upstream);
  // The upstream has not been found to have crashed. Keeps the run for a while,
  // in case an entry shows it later.
  void KeepUnresolved(BrokenRun run);
  // An upstream has a new or changed entry. Returns the runs that were in
  // flight on the process that it replaces.
  std::vector<BrokenRun> TakeReplaced(const UpstreamEntry& entry);
  // Returns the runs on the process of `upstream`, which has just crashed, that
  // were kept since shortly before.
  std::vector<BrokenRun> TakeRunsOn(const UpstreamEntry& upstream);
  // The request ran to its end elsewhere: its kept runs are forgotten.
  void ForgetRunsOf(const RequestFingerprints& request);
  // Identifies the last crash of the process of `upstream` that was seen. An
  // upstream may be back under the same entry, while the store is down.
  uint64_t CrashOf(const UpstreamEntry& upstream) const;
  // Forgets old answers and runs.
  void Sweep(int64_t now_ms);

 private:
  struct Probe {
    explicit Probe(boost::asio::io_context& io)
        : done(io, std::chrono::steady_clock::time_point::max()) {}
    // Cancelled to wake the requests that wait for the answer.
    boost::asio::steady_timer done;
    bool answered = false;
    bool crashed = false;
    int64_t asked_ms = 0;
  };
  struct Unresolved {
    BrokenRun run;
    int64_t at_ms = 0;
  };
  boost::asio::awaitable<bool> RefusesConnections(std::string address);
  void NoteSeen(uint64_t process);
  // Removes and returns the kept runs for which `belongs` is true.
  template <class Predicate>
  std::vector<BrokenRun> Take(Predicate belongs);

  boost::asio::io_context& io_;
  ConnectionPool& pool_;
  // By LeavingProcesses::HashOf() the upstream's entry.
  std::unordered_map<uint64_t, std::shared_ptr<Probe>> probes_;
  std::vector<Unresolved> unresolved_;
  struct SeenCrash {
    int count = 0;
    int64_t last_ms = 0;
  };
  // Crashes seen under one entry, by process.
  std::unordered_map<uint64_t, SeenCrash> seen_;
};

}  // namespace pimento
