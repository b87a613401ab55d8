// A call under way on the owner of its program, shared by call_pipeline.cc
// (which call may run) and call_stages.cc (how it runs).
#pragma once

#include <atomic>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/call_pipeline.h"
#include "src/signal.h"

namespace pimento {

namespace Internal {

struct Subscriber {
  PieceSink sink;
};

// How long a coroutine waits before it looks again.
inline constexpr int64_t kPollMs = 40;

}  // namespace Internal

struct CallPipeline::Running {
  uint32_t shard = 0;
  std::string program;
  std::string team;
  uint32_t sequence = 0;
  std::string request_id;
  CallRecord record;
  bool single = false;
  bool idempotent = true;
  bool engine = true;
  // Began under a former owner.
  bool reopened = false;
  // True from the intent's commit on.
  bool dispatched = false;
  // Set when nobody wants the answer any more: the dispatch ends early.
  std::atomic<bool> given_up{false};
  // This owner lost the shard.
  bool orphaned = false;
  // Answer so far, of the present attempt.
  std::string text;
  std::vector<Internal::Subscriber> subscribers;
  std::set<std::string> failed;
  std::string last_upstream;
  double attained = 0;
  std::string prompt;
  int64_t started_ms = 0;
  int64_t deadline_ms = 0;
  bool finished = false;
  std::optional<Refusal> refusal;
  Signal done;
};

}  // namespace pimento
