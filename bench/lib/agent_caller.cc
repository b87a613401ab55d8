// Requests and immediate retries of the test client.
#include "bench/lib/agent_caller.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <thread>

#include "src/worker_thread.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;

// About the time that a refused connection costs a caller's machine.
constexpr int64_t kConnectCostMs = 1;
// Timeout of one attempt.
constexpr int64_t kAttemptTimeoutMs = 5'000;

// A string field of `body`, or "".
std::string Field(const json::value& body, const char* name) {
  const json::value* value = body.as_object().if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : "";
}

// True when another attempt may have another outcome.
bool IsRetryable(int status, const std::string& reason) {
  if (status == 0) return true;
  if (reason == "outcome_unknown") return false;
  return status == 429 || status >= 500;
}

}  // namespace

AgentCaller::AgentCaller(std::vector<std::string> addresses, std::string key)
    : addresses_(std::move(addresses)), key_(std::move(key)) {
  address_index_ = std::hash<std::string>{}(key_) % addresses_.size();
}

CallOutcome AgentCaller::Send(const std::string& method,
                              const std::string& target,
                              const std::string& body,
                              const std::map<std::string, std::string>& extra) {
  const int64_t started_us = NowUs();
  const int64_t deadline_ms = NowMs() + retry_limit_ms_;
  CallOutcome outcome;
  std::map<std::string, std::string> headers = extra;
  if (!key_.empty()) headers["Authorization"] = "Bearer " + key_;
  for (;;) {
    ++outcome.attempts;
    const Answer answer =
        Ask(addresses_[address_index_ % addresses_.size()], method, target,
            body, headers,
            std::clamp<int64_t>(deadline_ms - NowMs(), 1, kAttemptTimeoutMs));
    outcome.status = answer.status;
    outcome.output = answer.body;
    outcome.reason.clear();
    if (answer.status == 0) {
      ++connection_failures_;
      if (answer.connection_lost) ++lost_connections_;
      ++address_index_;
      std::this_thread::sleep_for(std::chrono::milliseconds(kConnectCostMs));
    } else if (answer.status >= 400) {
      boost::system::error_code error;
      const json::value parsed = json::parse(answer.body, error);
      if (!error && parsed.is_object() &&
          parsed.as_object().contains("error")) {
        outcome.reason = Field(parsed.at("error"), "reason");
        outcome.run = Field(parsed.at("error"), "run");
      }
      ++refusals_[outcome.reason];
      if (outcome.run == "not_run") ++not_run_;
    }
    const bool retry = (answer.status == 0 || answer.status >= 400) &&
                       IsRetryable(answer.status, outcome.reason) &&
                       NowMs() < deadline_ms;
    if (!retry) break;
  }
  outcome.duration_ms = static_cast<double>(NowUs() - started_us) / 1000;
  return outcome;
}

std::string AgentCaller::Create(const std::string& key,
                                const std::string& body) {
  const CallOutcome outcome =
      Send("POST", "/v1/programs", body, {{"Idempotency-Key", key}});
  if (outcome.status != 201) return "";
  return Field(json::parse(outcome.output), "program");
}

CallOutcome AgentCaller::Call(const std::string& program, uint32_t sequence,
                              const std::string& service,
                              const std::string& input, uint64_t max_tokens,
                              const std::string& path) {
  json::object body = {
      {"sequence", sequence}, {"service", service}, {"input", input}};
  if (max_tokens > 0) body["max_tokens"] = max_tokens;
  if (!path.empty()) body["path"] = path;
  CallOutcome outcome = Send("POST", "/v1/programs/" + program + "/calls",
                             json::serialize(body), {});
  if (outcome.ok())
    outcome.output = Field(json::parse(outcome.output), "output");
  return outcome;
}

CallOutcome AgentCaller::Service(const std::string& service,
                                 const std::string& path,
                                 const std::string& body,
                                 const std::string& idempotency_key) {
  std::map<std::string, std::string> headers;
  if (!idempotency_key.empty()) headers["Idempotency-Key"] = idempotency_key;
  return Send("POST", "/v1/services/" + service + path, body, headers);
}

CallOutcome AgentCaller::History(const std::string& program) {
  return Send("GET", "/v1/programs/" + program + "/history", "", {});
}

CallOutcome AgentCaller::End(const std::string& program) {
  return Send("DELETE", "/v1/programs/" + program, "", {});
}

}  // namespace pimento::testbed
