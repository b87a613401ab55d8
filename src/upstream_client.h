// Sends one call to an upstream: a streamed generation to an engine, or an
// operation to a plain service. Requests run on the dispatch thread.
//
// A caller's API key never reaches an upstream: requests are built from the
// call's own fields, and callers' headers are not forwarded.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "src/reason.h"
#include "src/worker_thread.h"

namespace pimento {

// A streamed generation on an engine.
struct EngineRequest {
  std::string address;
  std::string request_id;
  std::string program;
  std::string prompt;
  uint32_t sequence = 0;
  uint32_t attempt = 1;
  uint64_t max_tokens = 0;
  // Fencing number: an engine that honours it rejects requests of a stale
  // owner.
  uint64_t fence = 0;
  // Attach to the existing stream, if the engine still has it, instead of
  // starting a generation. A new owner continues a former owner's call this
  // way.
  bool resume = false;
  // Longest time without a received byte, and for the whole request.
  int64_t silence_ms = 10'000;
  int64_t total_ms = 60'000;
  // Called on the dispatch thread with the text of one or more new tokens.
  // Returning false aborts the request.
  std::function<bool(const std::string&)> on_token;
};

// An operation on a plain service.
struct ServiceRequest {
  std::string address;
  std::string request_id;
  // Identifies the operation; the same for every attempt at it, so that the
  // service can detect repeats.
  std::string operation;
  std::string path;
  std::string body;
  // Longest time without a received byte, and for the whole request.
  int64_t silence_ms = 10'000;
  int64_t total_ms = 60'000;
};

struct UpstreamAnswer {
  // kNone when the complete answer arrived.
  Reason failure = Reason::kNone;
  // False only when no byte of the request can have reached the upstream.
  bool sent = true;
  int http_status = 0;
  std::string content_type;
  std::string body;
  uint64_t tokens = 0;
  // Prompt tokens that the engine found in its cache.
  uint64_t cached_tokens = 0;
  // Time to the first token; 0 when there was none.
  double first_token_ms = 0;
  double total_ms = 0;
  // Describes the failure.
  std::string detail;
};

class UpstreamClient {
 public:
  // `thread` is the dispatch thread.
  explicit UpstreamClient(WorkerThread& thread) : thread_(thread) {}

  // Report failures in the answer. The only exception is Refusal(kRingFull),
  // when the dispatch thread's queue is full.
  boost::asio::awaitable<UpstreamAnswer> Generate(EngineRequest request);
  boost::asio::awaitable<UpstreamAnswer> InvokeService(ServiceRequest request);
  // Releases a program's memory on an engine. Returns true only when the engine
  // has confirmed it.
  boost::asio::awaitable<bool> ReleaseSession(std::string address,
                                              std::string program,
                                              uint64_t fence);

 private:
  // The dispatch thread, which runs the requests.
  WorkerThread& thread_;
};

}  // namespace pimento
