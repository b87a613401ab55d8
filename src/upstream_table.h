// One gateway's view of the upstreams, from which it selects the target of each
// call.
//
// Load pattern: bursts of turns with growing prompts, sent to engines that
// admit in order of arrival and slow down under load; some of them are slow,
// fail, turn cold or leave from time to time. A call goes to the upstream with
// the lowest expected latency:
//
//   expected = prefill of the prompt tokens that are not cached there
//            + the call's own work at the upstream's time per event
//            + a fraction of that work, and the time to read a typical prompt,
//              for each call in flight there
//            + a penalty for the recent failure rate
//            + a penalty when the upstream is in another zone
//
// A cold upstream serves only a configured number of calls a second from all
// gateways together. A gateway learns too late that an upstream has turned
// cold, so it applies its share of that rate to every upstream at all times.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/call_head.h"
#include "src/desired_state.h"
#include "src/leaving_processes.h"
#include "src/name_hash.h"
#include "src/rollout_share.h"
#include "src/slot_share.h"
#include "src/upstream_entry.h"
#include "src/upstream_pace.h"

namespace pimento {

struct UpstreamTableOptions {
  // The platform tolerates this excess over a cold upstream's rate: the rate
  // is multiplied by `cold_factor`, then `cold_slack` calls a second are added.
  double cold_factor = 1.5;
  double cold_slack = 5;
  // Zone of this gateway; upstreams in the same zone are preferred.
  std::string zone = {};
};

struct PlacementInput {
  std::string service = {};
  const std::vector<PromptPart>* prompt = nullptr;
  // Most tokens that the call may generate; 0 for a call without a stream.
  int64_t output_tokens = 0;
  int64_t tokens_per_event = 1;
  // Id of the upstream that may have the program's prompt cached; empty when
  // unknown.
  std::string prompt_holder = {};
  // Ids of the upstreams to which this call was already sent.
  std::set<std::string> tried = {};
  // Tokens of the whole prompt, history included; 0 when not stated.
  int64_t prompt_tokens = 0;
  // Time until the program of the call should finish; empty when not stated.
  std::optional<int64_t> program_left_ms = {};
  // The versions that may serve the call.
  VersionSide version_side = VersionSide::kAny;
  // Hash of the request's id.
  uint64_t call_hash = 0;
};

enum class CallOutcome : uint8_t { kServed, kRefused, kFailed, kAbandoned };

struct CallResult {
  CallOutcome outcome = CallOutcome::kServed;
  int64_t duration_ms = 0;
  // Stream events received.
  int64_t events = 0;
  // Time until the first event; empty if none came.
  std::optional<int64_t> first_event_ms = {};
  // True for an answer with a success, whose duration tells the upstream's
  // pace.
  bool success = true;
  // As in the call's PlacementInput.
  const std::vector<PromptPart>* prompt = nullptr;
};

// The versions of the upstreams of one service.
struct ServiceVersions {
  // Of those in service, whatever the rules about versions say.
  std::set<std::string> in_service = {};
  // This gateway's calls in flight, by version, of all that are registered.
  std::map<std::string, int64_t> in_flight = {};
};

class UpstreamTable {
 public:
  explicit UpstreamTable(UpstreamTableOptions options);

  // Adds or updates an upstream. Returns true when it is new or when its
  // address, its start time or `leaving` has changed.
  bool Put(const UpstreamEntry& entry, int64_t now_ms);
  // Returns false when the id is unknown.
  bool Remove(const std::string& id);
  void set_drained_zones(std::set<std::string> zones);
  // Sets which versions of services may be used, by service. An upstream that
  // is added later gets no calls until this is called again.
  void set_version_rules(std::map<std::string, VersionRule> rules);
  ServiceVersions VersionsOf(const std::string& service) const;
  void set_services(const DesiredState& state);
  // Number of gateways that may send to the same upstreams, this one included.
  void set_gateway_count(int64_t count) { gateways_ = count; }
  // Index of this gateway in the sorted list of gateway names, from 0.
  void set_gateway_index(int64_t index) { gateway_index_ = index; }
  // Load from all other gateways, by upstream hash.
  void set_peer_load(const std::unordered_map<uint64_t, UpstreamLoad>& load);

  // Sets the calls a second that the upstream says it accepts from all gateways
  // together; empty when it names no limit. Returns true when that changed.
  bool set_named_limit(const std::string& id, std::optional<double> per_second);
  // No calls are placed on the upstream before `until_ms`, because its limit is
  // used up.
  void OnLimitReached(const std::string& id, int64_t until_ms);
  // Empty when the upstream names no limit or is unknown.
  std::optional<double> named_limit(const std::string& id) const;

  // A response of the upstream states that it is about to stop. Its process
  // gets no new calls any more, whatever its entry says; a process that starts
  // later under the same id does. Returns true the first time.
  bool OnLeavingStated(const UpstreamEntry& entry);
  // A peer received such a response from a process, see
  // LeavingProcesses::HashOf(). Returns the upstream's id the first time; empty
  // otherwise, or if no entry is of that process.
  std::string OnPeerReportsLeaving(uint64_t process);
  // The processes whose responses to this gateway stated it while their entries
  // do not, for the peers.
  std::vector<uint64_t> LeavingToReport() const;
  // Forgets processes that have had no entry for a long time.
  void SweepLeaving(int64_t now_ms);
  // True while new calls may be sent to the upstream: its entry is present and
  // unchanged, and it is neither leaving nor misdirected nor in a drained zone.
  bool MayReceive(const UpstreamEntry& entry) const;
  // True while the upstream has an entry and is not about to stop, so that the
  // end of its process is not a planned one.
  bool ExpectedToRun(const UpstreamEntry& entry) const;

  enum class Verdict : uint8_t {
    kChosen,
    // Every usable upstream has no free slot or has reached this gateway's rate
    // share.
    kFull,
    // No upstream is usable.
    kNone,
  };
  struct Choice {
    Verdict verdict = Verdict::kNone;
    UpstreamEntry upstream = {};
  };
  // Selects the upstream with the lowest expected latency.
  Choice Choose(const PlacementInput& input, int64_t now_ms) const;

  // Selects an upstream for the second try of a call that is running elsewhere:
  // one with a free slot that is neither cold nor limited and has not failed
  // lately. Empty while the service has little capacity to spare.
  std::optional<UpstreamEntry> ChooseSpare(const PlacementInput& input,
                                           int64_t now_ms) const;

  // Record the start and the end of a call, for the load and the averages.
  void OnCallStarted(const std::string& id, const PlacementInput& input,
                     int64_t now_ms);
  // Undoes the last OnCallStarted() of a call that was not sent.
  void OnCallWithdrawn(const std::string& id);
  void OnCallFinished(const std::string& id, const CallResult& result,
                      int64_t now_ms);
  // A different upstream answered at this one's address: it is not used again
  // until it registers a new address or a new start.
  void OnMisdirected(const std::string& id);

  // Expected time until a slot becomes free for a call of `service` that queues
  // behind `waiting` others, milliseconds.
  int64_t ExpectedWaitMs(const std::string& service, size_t waiting) const;
  // The slots of `service` and the calls in flight there.
  SlotUse UseOf(const std::string& service) const;
  // Number of upstreams of `service` that may receive calls.
  size_t usable(const std::string& service) const;
  // How fast the upstreams are, as far as is known in the fleet.
  UpstreamPace& pace() { return pace_; }
  const UpstreamPace& pace() const { return pace_; }
  // Those of the upstreams that were measured lately, by id.
  std::vector<std::pair<std::string, UpstreamPace::Pace>> MeasuredPaces() const;
  // This gateway's calls in flight, as sent to its peers.
  std::vector<UpstreamLoad> LocalLoad() const;
  std::vector<std::string> ids() const;

 private:
  struct Upstream {
    UpstreamEntry entry = {};
    uint64_t hash = 0;
    uint64_t service = 0;
    // LeavingProcesses::HashOf() of the entry.
    uint64_t process = 0;
    // Calls in flight from this gateway and from all others.
    int64_t in_flight = 0;
    int64_t peers_in_flight = 0;
    // Times at which calls were sent within the last second.
    std::deque<int64_t> recent_sends = {};
    // Exponential moving average of failures per call, in [0, 1].
    double failure_rate = 0;
    // Backoff after consecutive failures: no call is sent before this time.
    int64_t backoff_until_ms = 0;
    int consecutive_failures = 0;
    // Calls a second that the upstream says it accepts from all gateways.
    std::optional<double> named_limit = {};
    // Its limit is used up until this time.
    int64_t limit_reached_until_ms = 0;
    // When it last turned a call of this gateway away; 0 if it never did.
    int64_t turned_away_ms = 0;
    // True after OnMisdirected(): another upstream answers at the address.
    bool misdirected = false;
    // What the rule of its service says about its version.
    VersionSide side = VersionSide::kAny;
    // Time of the last use, by hash of a prompt prefix that was sent there.
    std::unordered_map<uint64_t, int64_t> prefixes = {};
    // Prompt tokens that were not cached when a call began that is in flight,
    // by hash of its prompt.
    std::unordered_map<uint64_t, int64_t> reading = {};
  };

  // True when the entry or the upstream's own responses say that it is leaving.
  bool IsLeaving(const Upstream& upstream) const;
  // Sets the sides of the upstreams of services that have a rule.
  void ApplyVersionRules();
  // True when nothing but its version may keep calls from the upstream.
  bool Running(const Upstream& upstream) const;
  // True when the upstream may get new calls at all.
  bool InService(const Upstream& upstream) const;
  bool Usable(const Upstream& upstream, const PlacementInput& input,
              int64_t now_ms) const;
  // True when the upstream may serve a second try; see ChooseSpare().
  bool IsSpare(const Upstream& upstream, const PlacementInput& input,
               int64_t now_ms) const;
  // True when a slot is free and this gateway's rate share is not used up;
  // while calls are spread, a short queue counts as a slot.
  bool HasCapacity(const Upstream& upstream, const PlacementInput& input,
                   bool spread, int64_t now_ms) const;
  // The upstream that is expected to hold the prompt of the program's turn
  // before: the one that ran it, if that is known, or the one that all gateways
  // select for the program. Null if it is not usable.
  const Upstream* PromptHolder(const PlacementInput& input,
                               int64_t now_ms) const;
  // What Choose() minimises while calls are spread. An upstream that the call
  // does not consider comes after all others.
  double SpreadCost(const Upstream& upstream, const PlacementInput& input,
                    bool holds_prompt, bool considered) const;
  // Expected latency of the call at the upstream, milliseconds.
  double ExpectedMs(const Upstream& upstream,
                    const PlacementInput& input) const;
  // The same with an addition by which gateways that know the same choose
  // differently. What Choose() minimises unless calls are spread.
  double RandomizedMs(const Upstream& upstream, const PlacementInput& input,
                      int64_t now_ms) const;
  // Prompt tokens that the upstream is expected to have cached.
  int64_t CachedTokens(const Upstream& upstream,
                       const PlacementInput& input) const;
  // This gateway's share of the upstream's cold rate, calls a second; nullopt
  // when the service has no cold start.
  std::optional<int64_t> MaxSendsPerSecond(const Upstream& upstream) const;
  // True when this gateway has a share of at least one upstream of the service.
  bool HasShare(const std::string& service) const;

  UpstreamTableOptions options_;
  std::map<std::string, Upstream> upstreams_;
  LeavingProcesses leaving_;
  UpstreamPace pace_;
  std::set<std::string> drained_zones_;
  std::map<std::string, VersionRule> version_rules_;
  std::unordered_map<std::string, ServiceSpec> services_;
  int64_t gateways_ = 1;
  int64_t gateway_index_ = 0;
};

}  // namespace pimento
