// An HTTP client that behaves like the cooperatives' client software: it keeps
// to one address, moves to the next one when a connection fails, and retries at
// once, without backoff.
// Every refusal is thus followed immediately by another request.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/lib/test_fleet.h"

namespace pimento::testbed {

// Outcome of one call after all its attempts.
struct CallOutcome {
  // HTTP status of the last attempt; 0 when its connection failed.
  int status = 0;
  // Body of the last answer; Call reduces it to the field "output".
  std::string output;
  // Fields "reason" and "run" of the last refusal.
  std::string reason;
  std::string run;
  int attempts = 0;
  // Over all attempts.
  double duration_ms = 0;
  bool ok() const { return status == 200; }
};

// Not thread-safe: each thread has a caller of its own.
class AgentCaller {
 public:
  // `addresses` are entries, `key` is the team's key.
  AgentCaller(std::vector<std::string> addresses, std::string key);

  // Longest time that one call is retried for, in milliseconds.
  void set_retry_limit_ms(int64_t limit_ms) { retry_limit_ms_ = limit_ms; }

  // Creates a program and returns its id, or "" when that failed. `key` is the
  // idempotency key of the request, so that retries create one program.
  std::string Create(const std::string& key, const std::string& body = "{}");
  // Sends call number `sequence` of the program. A `max_tokens` of 0 and an
  // empty `path` are left out of the request.
  CallOutcome Call(const std::string& program, uint32_t sequence,
                   const std::string& service, const std::string& input,
                   uint64_t max_tokens, const std::string& path = "");
  // Sends a call that belongs to no program.
  CallOutcome Service(const std::string& service, const std::string& path,
                      const std::string& body,
                      const std::string& idempotency_key);
  CallOutcome History(const std::string& program);
  CallOutcome End(const std::string& program);
  // Sends a request and retries it at once until it succeeds, its refusal is
  // final or the retry limit is over.
  CallOutcome Send(const std::string& method, const std::string& target,
                   const std::string& body,
                   const std::map<std::string, std::string>& headers);

  // Refusals by reason, over the caller's lifetime.
  const std::map<std::string, int>& refusals() const { return refusals_; }
  // Refusals that said "not_run".
  int not_run() const { return not_run_; }
  int connection_failures() const { return connection_failures_; }
  // Connections that broke after a request was sent.
  int lost_connections() const { return lost_connections_; }

 private:
  std::vector<std::string> addresses_;
  std::string key_;
  // Index of the present address, modulo the number of addresses.
  size_t address_index_ = 0;
  int64_t retry_limit_ms_ = 30'000;
  std::map<std::string, int> refusals_;
  int not_run_ = 0;
  int connection_failures_ = 0;
  int lost_connections_ = 0;
};

}  // namespace pimento::testbed
