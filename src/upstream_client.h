// Sends one call to an upstream: a streamed generation to an engine, or an
// operation to a plain service. Runs on the dispatch duty.
//
// No caller's key ever gets here: a request is built from the call alone.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "src/reason.h"
#include "src/worker_thread.h"

namespace pimento {

struct EngineOrder {
  std::string address;
  std::string request_id;
  std::string program;
  std::string prompt;
  uint32_t sequence = 0;
  uint32_t attempt = 1;
  uint64_t max_tokens = 0;
  uint64_t fence = 0;
  // Only joins the stream if the engine still has it: a new owner goes on with
  // what a former one began.
  bool resume = false;
  int64_t silence_ms = 10'000;
  int64_t total_ms = 60'000;
  // Called on the dispatch duty with each token's text. Returning false gives
  // up.
  std::function<bool(const std::string&)> on_token;
};

struct ServiceOrder {
  std::string address;
  std::string request_id;
  // Same for every try of one operation, so that the service can tell them
  // apart.
  std::string operation;
  std::string path;
  std::string body;
  int64_t silence_ms = 10'000;
  int64_t total_ms = 60'000;
};

struct UpstreamAnswer {
  // kNone when the whole answer arrived.
  Reason failure = Reason::kNone;
  // False when no byte of the request can have reached the upstream.
  bool sent = true;
  int http_status = 0;
  std::string content_type;
  std::string body;
  uint64_t tokens = 0;
  uint64_t cached_tokens = 0;
  double first_token_ms = 0;
  double total_ms = 0;
  std::string detail;
};

class UpstreamClient {
 public:
  explicit UpstreamClient(WorkerThread& duty) : duty_(duty) {}

  // Failures come back in the answer; nothing is thrown but Refusal(kRingFull).
  boost::asio::awaitable<UpstreamAnswer> Generate(EngineOrder order);
  boost::asio::awaitable<UpstreamAnswer> Operate(ServiceOrder order);
  // Frees a program's memory on an engine. Returns false unless confirmed.
  boost::asio::awaitable<bool> ReleaseSession(std::string address,
                                              std::string program,
                                              uint64_t fence);

 private:
  WorkerThread& duty_;
};

}  // namespace pimento
