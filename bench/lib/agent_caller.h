// A caller as the cooperatives' client software is: it asks for an address,
// keeps it, and retries the moment anything goes wrong, without pause.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/lib/test_fleet.h"

namespace pimento::testbed {

// What became of one call, after all tries.
struct CallOutcome {
  int status = 0;
  std::string output;
  // Of the last refusal.
  std::string reason;
  std::string run;
  int tries = 0;
  double took_ms = 0;
  bool ok() const { return status == 200; }
};

class AgentCaller {
 public:
  AgentCaller(std::vector<std::string> addresses, std::string key);

  // Longest time that one call is retried for, milliseconds.
  void set_limit_ms(int64_t limit_ms) { limit_ms_ = limit_ms; }

  // Creates a program; "" when that failed. `key` makes retries safe.
  std::string Create(const std::string& key, const std::string& body = "{}");
  CallOutcome Call(const std::string& program, uint32_t sequence,
                   const std::string& service, const std::string& input,
                   uint64_t max_tokens, const std::string& path = "");
  CallOutcome Service(const std::string& service, const std::string& path,
                      const std::string& body,
                      const std::string& idempotency_key);
  CallOutcome History(const std::string& program);
  CallOutcome End(const std::string& program);
  // One request, retried at once on the next address while it may help.
  CallOutcome Send(const std::string& method, const std::string& target,
                   const std::string& body,
                   const std::map<std::string, std::string>& headers);

  // Refusals seen, by reason, over the caller's life.
  const std::map<std::string, int>& refusals() const { return refusals_; }
  // Refusals that claimed "not run".
  int not_run() const { return not_run_; }
  int connection_failures() const { return connection_failures_; }
  // Connections that broke after a request had gone out.
  int cut() const { return cut_; }

 private:
  std::vector<std::string> addresses_;
  std::string key_;
  size_t present_ = 0;
  int64_t limit_ms_ = 30'000;
  std::map<std::string, int> refusals_;
  int not_run_ = 0;
  int connection_failures_ = 0;
  int cut_ = 0;
};

}  // namespace pimento::testbed
