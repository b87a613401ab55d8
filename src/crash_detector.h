// Tells whether an upstream crashed when one of its connections broke off.
//
// A broken connection alone says little: connections are reset, gateways are
// cut off, planned stops cut what runs too long. A process that is gone refuses
// new connections. The detector asks by opening one, once for all requests that
// broke off at the same upstream at the same time.
//
// An upstream that refuses connections for another reason, such as a firewall,
// is taken for crashed; one that is cut off silently, or that is back before
// the detector asks, is not.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "src/connection_pool.h"
#include "src/upstream_entry.h"

namespace pimento {

class CrashDetector {
 public:
  CrashDetector(boost::asio::io_context& io, ConnectionPool& pool)
      : io_(io), pool_(pool) {}

  // A connection to the upstream ended within an exchange. Returns whether the
  // upstream process has crashed. Does not throw.
  boost::asio::awaitable<bool> HasCrashed(const UpstreamEntry& upstream);
  // Forgets old answers.
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
  boost::asio::awaitable<bool> RefusesConnections(std::string address);

  boost::asio::io_context& io_;
  ConnectionPool& pool_;
  // By LeavingProcesses::HashOf() the upstream's entry.
  std::unordered_map<uint64_t, std::shared_ptr<Probe>> probes_;
};

}  // namespace pimento
