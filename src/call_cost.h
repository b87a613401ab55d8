// Expected latency of a call at an upstream, from what is known of its pace and
// its load.
//
// Load pattern: engines of different speed run several calls in one batch. A
// call waits for its own prompt to be read, then makes its events; reading the
// prompts of the other calls holds it up, whatever their number of events.
//
//   654 tokens at 75 a ms, 5 events of 30 ms, alone       159 ms
//   5 other calls whose prompts take 9 ms to read each    219 ms
//   the same at an engine that is 2.4 times as fast        91 ms
#pragma once

#include <cstdint>

#include "src/upstream_pace.h"

namespace pimento {

struct CallCost {
  // Prompt tokens that are not cached there.
  int64_t read_tokens = 0;
  // Events that the call may make.
  double events = 1;
  // Calls in flight there, and how many it serves at once.
  int64_t load = 0;
  int64_t slots = 1;
  UpstreamPace::Pace pace = {};
};

double ExpectedCallMs(const CallCost& cost);

// An addition to the expected latency that differs for each call and upstream.
// Many gateways see the same load late; without it, all would choose the same
// upstream until they hear of its load. An upstream that costs more by
// `work_ms` times the spread is chosen e times less often. `hash` is of the
// call and the upstream.
double SpreadMs(uint64_t hash, int64_t gateways, double work_ms);

}  // namespace pimento
