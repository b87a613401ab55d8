// What one gateway knows of the upstreams, and where it sends the next call.
//
// Load pattern: bursts of turns whose prompts grow, before engines that admit
// in order of arrival and slow down as they fill; now and then some of them are
// slow, fail, turn cold or leave. A call goes where it is expected to end
// first:
//
//   expected = reading the part of the prompt that is not kept there
//            + the call's own work at the upstream's present pace
//            + a share of that for each call already there
//            + what recent failures there would cost
//
// An upstream that may be cold bears a known number of calls a second from all
// gateways. Any may turn cold unseen, so each gateway keeps to its share of
// that number for every upstream, always.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/call_head.h"
#include "src/desired_state.h"
#include "src/name_hash.h"
#include "src/upstream_entry.h"

namespace pimento {

struct UpstreamTableOptions {
  // By how much a cold upstream's rate may be exceeded: a factor, and calls on
  // top.
  double cold_factor = 1.5;
  double cold_slack = 5;
  // Zone of this host: calls inside it cost less.
  std::string zone = {};
};

struct PlacementInput {
  std::string service = {};
  const std::vector<PromptPart>* prompt = nullptr;
  // Tokens that the call may generate; 0 for a plain call.
  int64_t output_tokens = 0;
  int64_t tokens_per_event = 1;
  // The upstream that may hold the prompt of the program; empty when unknown.
  std::string held_at = {};
  // Upstreams that this call was sent to already.
  std::set<std::string> tried = {};
};

enum class CallOutcome : uint8_t { kServed, kRefused, kFailed, kAbandoned };

struct CallResult {
  CallOutcome outcome = CallOutcome::kServed;
  int64_t duration_ms = 0;
  int64_t events = 0;
};

class UpstreamTable {
 public:
  explicit UpstreamTable(UpstreamTableOptions options);

  // Returns true when something a request may notice has changed.
  bool Put(const UpstreamEntry& entry, int64_t now_ms);
  bool Remove(const std::string& id);
  void set_drained_zones(std::set<std::string> zones);
  void set_services(const DesiredState& state);
  // Gateways that may send to the same upstreams, this one included.
  void set_gateways(int64_t count) { gateways_ = count; }
  // This gateway's place among them, in the order of names.
  void set_position(int64_t position) { position_ = position; }
  // Calls that other gateways have in flight, by upstream hash.
  void set_others_load(std::unordered_map<uint64_t, int64_t> load);

  enum class Verdict : uint8_t {
    kChosen,
    // All that could serve the call are full for the moment.
    kFull,
    // None may be used.
    kNone,
  };
  struct Choice {
    Verdict verdict = Verdict::kNone;
    UpstreamEntry upstream = {};
  };
  Choice Choose(const PlacementInput& input, int64_t now_ms) const;

  void Started(const std::string& id, const PlacementInput& input,
               int64_t now_ms);
  void Finished(const std::string& id, const CallResult& result,
                int64_t now_ms);
  // Another upstream answered at the address: this one is gone.
  void Misdirected(const std::string& id);

  // Expected time until a place frees up for a call of `service` behind
  // `waiting` others, milliseconds.
  int64_t ExpectedWaitMs(const std::string& service, size_t waiting) const;
  size_t usable(const std::string& service) const;
  // Own calls in flight, by upstream hash; what other gateways are told.
  std::vector<std::pair<uint64_t, int64_t>> OwnLoad() const;
  std::vector<std::string> ids() const;

 private:
  struct Upstream {
    UpstreamEntry entry = {};
    uint64_t hash = 0;
    int64_t in_flight = 0;
    int64_t others_in_flight = 0;
    // Times of the last second's sends.
    std::deque<int64_t> sends = {};
    // Moving averages.
    double pace_ms = 0;
    double failure_rate = 0;
    // After failures in a row, none is sent before this time.
    int64_t avoid_until_ms = 0;
    int failures_in_a_row = 0;
    bool gone = false;
    // Prompt prefixes sent there, by hash, with the time of the last use.
    std::unordered_map<uint64_t, int64_t> prefixes = {};
  };

  bool Usable(const Upstream& upstream, const PlacementInput& input,
              int64_t now_ms) const;
  bool HasPlace(const Upstream& upstream, int64_t now_ms) const;
  double Expected(const Upstream& upstream, const PlacementInput& input) const;
  int64_t KeptTokens(const Upstream& upstream,
                     const PlacementInput& input) const;
  // This gateway's part of what the upstream bears when cold; nothing where it
  // never is.
  std::optional<int64_t> SendsPerSecond(const Upstream& upstream) const;
  // True when some upstream of the service takes calls of this gateway.
  bool HasShare(const std::string& service) const;

  UpstreamTableOptions options_;
  std::map<std::string, Upstream> upstreams_;
  std::set<std::string> drained_zones_;
  std::unordered_map<std::string, ServiceSpec> services_;
  int64_t gateways_ = 1;
  int64_t position_ = 0;
};

}  // namespace pimento
