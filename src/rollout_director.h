// The part that one gateway plays while services are moved to other versions:
// it applies the share in force, counts the answers of its own calls, reports
// them to the hosts that decide, and decides if it is one of them.
//
// Who decides: the ready gateways are ranked for each service by rendezvous
// hashing, so that all choose the same without agreement. The first one plans
// every step and writes it to the store on the condition that the order is as
// it read it. The next two get the same reports and take a bad version back
// when the first one has not done so for a moment; when the first one is no
// longer in contact, the second plans.
//
//   hosts a, b, c, d   order b, d, a: a, c, d report to b, d, a
//   b dies             d takes a bad version back 0.5 s after b would have, and
//                      plans from when b is silent
//
// Performs no I/O; times are passed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/rate_owner.h"
#include "src/rollout_evidence.h"
#include "src/rollout_order.h"
#include "src/rollout_plan.h"
#include "src/rollout_share.h"
#include "src/version_sample.h"

namespace pimento {

struct RolloutDirectorOptions {
  RolloutPlanOptions plan = {};
  uint64_t boot = 0;
  // Time after which a gateway without contact has no usable configuration.
  int64_t out_of_contact_ms = 4'250;
  // Age of the view of the orders beyond which it is too old.
  int64_t max_view_age_ms = 3'000;
};

// What the gateway knows of the others at a moment.
struct RolloutFleet {
  // Gateways in contact that serve requests, this one included.
  std::vector<std::string> ready_hosts = {};
  // Time since the last message of each other registered gateway.
  std::map<std::string, int64_t> silent_ms = {};
};

// What the gateway knows of the upstreams of one service.
struct ServiceUpstreams {
  // Versions of those in service.
  std::vector<std::string> versions = {};
  // This gateway's calls in flight, by version.
  std::map<std::string, int64_t> in_flight = {};
  bool service_known = true;
};

// One answer of an upstream, or the lack of it.
struct VersionAnswer {
  bool failed = false;
  // Time per event, or of the whole answer; empty if it says nothing.
  std::optional<double> unit_ms = {};
  int64_t duration_ms = 0;
};

// A record to write if the order is still at `revision`.
struct RolloutWrite {
  std::string service = {};
  uint64_t revision = 0;
  RolloutStatus status = {};
  // What it was decided from.
  VersionComparison comparison = {};
  int64_t answers = 0;
  int64_t target_answers = 0;
  int64_t old_in_flight = 0;
};

// A message to the hosts that decide.
struct RolloutReport {
  std::vector<std::string> to = {};
  std::vector<VersionSample> samples = {};
  std::vector<VersionStep> steps = {};
};

// What an operator should know about an order.
struct RolloutNote {
  std::string service = {};
  std::string text = {};
};

class RolloutDirector {
 public:
  explicit RolloutDirector(RolloutDirectorOptions options);

  // Takes over the orders as they stand in the store, by service.
  std::vector<RolloutNote> OnObjects(
      const std::map<std::string, RolloutObject>& objects, int64_t now_ms);
  // True while an order is neither completed nor taken back.
  bool running() const;
  // True if there is nothing to apply.
  bool idle() const { return orders_.empty() && removed_.empty(); }
  // Age of this gateway's view of the orders; call it several times a second.
  // With a view that is too old, or was until a moment ago, a version that is
  // being tried gets nothing: the store may be back before anybody could record
  // that the version is bad.
  void OnViewAge(int64_t age_ms, int64_t now_ms);
  // Services with a rule, and the rules; see RuleFor().
  std::map<std::string, VersionRule> Rules() const;
  // Forgets removed orders of which no upstream is left. `versions`: by
  // service, those of all registered upstreams.
  void Sweep(const std::map<std::string, std::vector<std::string>>& versions);

  // A call of this gateway ended.
  void OnAnswer(const std::string& service, const std::string& version,
                const std::string& route, const VersionAnswer& answer);
  // What gateway `host` reported.
  void OnReport(const std::string& host, uint64_t boot,
                const std::vector<VersionSample>& samples,
                const std::vector<VersionStep>& steps, int64_t now_ms);

  // What is to be written now. Call it several times a second.
  std::vector<RolloutWrite> Plan(
      const RolloutFleet& fleet,
      const std::map<std::string, ServiceUpstreams>& upstreams, int64_t now_ms);
  // A write was sent: nothing is planned until its effect is read, or until
  // `until_ms`.
  void OnWritten(const std::string& service, int64_t until_ms);
  // The messages to send now; a bad answer is reported at once, other news
  // every `interval_ms`.
  std::vector<RolloutReport> Reports(int64_t interval_ms, int64_t now_ms);

  // For metrics.
  std::map<std::string, RolloutObject> Objects() const;
  int64_t dropped_reports() const;

 private:
  // What a gateway said about the record that it follows.
  struct Follower {
    uint64_t boot = 0;
    uint64_t revision = 0;
    int64_t old_in_flight = 0;
  };
  struct Order {
    RolloutObject object = {};
    // When the order came, and when its status was read.
    int64_t ordered_ms = 0;
    int64_t status_read_ms = 0;
    int64_t target_seen_ms = 0;
    int64_t old_seen_ms = 0;
    int64_t old_in_flight = 0;
    int64_t bad_since_ms = -1;
    int64_t write_pending_until_ms = 0;
    int64_t last_tick_ms = 0;
    int64_t last_report_ms = 0;
    // True once something changed since the last report, or has to be told at
    // once.
    bool changed = true;
    bool urgent = false;
    // The hosts that decide, first one first.
    std::vector<std::string> deciders = {};
    // This gateway's counters, by version and route.
    std::map<std::pair<std::string, std::string>, VersionSample> counters = {};
    RolloutEvidence evidence = {};
    // As of the last moment of the evidence.
    VersionComparison comparison = {};
    std::map<std::string, Follower> followers = {};
  };

  bool IsRunning(const Order& order) const;
  void SetStatus(Order& order, const RolloutObject& object, int64_t now_ms);
  std::vector<VersionSample> Samples(const Order& order) const;
  RolloutView ViewOf(Order& order, const RolloutFleet& fleet,
                     const ServiceUpstreams& upstreams, int64_t now_ms) const;
  // True if every gateway that may send has read the status.
  bool EveryoneFollows(const Order& order, const RolloutFleet& fleet,
                       int64_t now_ms) const;
  // Ranks the hosts that may decide, if it is time to.
  void RankHosts(const RolloutFleet& fleet, int64_t now_ms);
  // Counts this gateway's calls in flight on the old versions.
  static void CountOldCalls(Order& order, const ServiceUpstreams& upstreams);
  // Compares the versions anew, if it is time to.
  void CompareAt(Order& order, int64_t now_ms);
  // What this host has to write now, if it is to decide.
  std::optional<RolloutWrite> Decide(Order& order, const RolloutFleet& fleet,
                                     const ServiceUpstreams& upstreams,
                                     int64_t now_ms);
  // Place of this host among those that decide; -1 if it is none of them.
  int RankOf(const Order& order) const;

  RolloutDirectorOptions options_;
  RateOwners ranking_;
  int64_t last_ranked_ms_ = 0;
  // The view was too old until shortly before.
  bool stale_ = false;
  int64_t stale_until_ms_ = 0;
  std::map<std::string, Order> orders_;
  // Rules of orders that were removed while upstreams of theirs are left.
  std::map<std::string, VersionRule> removed_;
};

}  // namespace pimento
