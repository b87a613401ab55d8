// One gateway's token bucket for each team's request rate and burst, over all
// gateways together.
//
// Load pattern: one team sends many times its rate through all gateways at
// once, while gateways join, leave and lose contact with each other. The
// gateway that owns a team's limit decides for all (SharedRates); the others
// keep the same bucket, to take over when the owner is gone. It is charged with
// the admissions of peers when their reports arrive, and may go below zero. A
// gateway that has lost contact with some peers uses only the share of rate and
// burst of those it can reach, itself included:
//
//   6 gateways, rate 60, burst 60; one reaches 3 of its 5 peers
//   -> it admits 4/6 of the rate from a bucket of at most 40
//
// Load beyond the rate is refused by whole programs: a program that has started
// needs more requests to complete, and refusing one midway wastes what it has
// used. So the first request of a program is also charged to a second bucket of
// the same rate and burst, with the average number of requests of the team's
// programs. Requests of running programs are refused only when the first bucket
// is empty. A program whose token budget is spent, such as one in a loop,
// cannot complete: it is served only from spare capacity. The number of
// requests that a program has sent is no sign of a loop: of a hundred healthy
// programs the longest needs ten times the median.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "src/desired_state.h"

namespace pimento {

// The hash that identifies a team in gossip messages.
uint64_t TeamHash(const std::string& team);

// kNewProgram: the request is the first of its program. kRunningProgram: the
// program was admitted before, or the request belongs to none. kBudgetSpent:
// the program's token budget is spent.
enum class ProgramStatus : uint8_t {
  kNewProgram,
  kRunningProgram,
  kBudgetSpent
};

// What a gateway knows of a request's program.
struct ProgramFacts {
  // True when a gateway is known to have admitted a request of it.
  bool known = false;
  // True when its last turn here was refused because its budget was spent.
  bool spent = false;
  // True for a turn that names no previous turn; only such a request can be the
  // first of a program.
  bool may_be_first_request = false;
};

class TeamQuota {
 public:
  // Keeps the buckets of known teams. Teams without a rate limit have none.
  void set_teams(const DesiredState& state, int64_t now_ms);
  // Number of gateways that may admit requests, and number of those that this
  // one has contact with; both include this gateway. The share of the burst of
  // gateways that are lost counts as used by them.
  void set_gateway_counts(int64_t total, int64_t reachable, int64_t now_ms);

  // Admits one request of `team` and returns 0, or returns the time after which
  // a retry may be admitted, milliseconds.
  int64_t TryAcquire(const std::string& team, ProgramStatus status,
                     int64_t now_ms);
  // Classifies a request by its program.
  static ProgramStatus StatusOf(const ProgramFacts& facts);
  // Admits one request without the owner of the limit, which hears of it with
  // the next gossip message. Returns false unless the bucket would hold enough
  // even if every gateway had admitted as many since its last message.
  bool TryAcquireUnreported(const std::string& team, ProgramStatus status,
                            int64_t now_ms);
  // Takes one more request from the team's bucket, which another gateway may
  // have admitted without this one's knowledge.
  void ChargeElsewhere(const std::string& team);
  // Call when the usage of all teams was sent to the peers.
  void OnUsageReported();
  // Time after which a request that waits may retry, milliseconds. Each call
  // reserves the next point in time after those already reserved. `gateways`
  // hand out such times for the team, and each gets an equal share of the rate.
  int64_t ReserveRetryDelay(const std::string& team, int64_t gateways,
                            int64_t now_ms);
  // The rate limit of a team and the requests that may be admitted now.
  struct Level {
    double rate = 0;
    double burst = 0;
    // Below zero while overdrawn.
    double tokens = 0;
  };
  // Empty for a team without a rate limit.
  std::optional<Level> level(const std::string& team) const;
  // Refunds an admitted request that did not run. What was charged for the
  // start of a program stays charged.
  void Refund(const std::string& team, int64_t now_ms);
  // Requests admitted, less those refunded, and programs started.
  struct AdmissionCounts {
    int64_t admitted = 0;
    int64_t started = 0;
  };
  // Charges what a peer has admitted since its previous report; negative when
  // it refunded more than it admitted. `team_hash` is HashName() the team's
  // name.
  void AddPeerUsage(uint64_t team_hash, const AdmissionCounts& delta,
                    int64_t now_ms);
  // The team of a gossip hash; empty for a team without a rate limit.
  std::string NameOf(uint64_t team_hash) const;
  // This gateway's totals by team, since its start.
  const std::unordered_map<std::string, AdmissionCounts>& local_usage() const {
    return local_usage_;
  }

 private:
  struct Bucket {
    // Requests a second, and the size of the bucket, of the whole fleet.
    double rate = 0;
    double burst = 0;
    // Requests that may be admitted now; below zero while overdrawn.
    double tokens = 0;
    // The second bucket: requests that programs not started yet may need in
    // total; below zero while overdrawn.
    double start_tokens = 0;
    int64_t last_refill_ms = 0;
    // The latest retry time that ReserveRetryDelay() has reserved.
    double last_retry_ms = 0;
    // Usage through all gateways. Both are halved whenever `recent_started`
    // reaches a limit, so that old programs weigh less.
    double recent_admitted = 0;
    double recent_started = 0;
    // Requests admitted by TryAcquireUnreported() since the last report.
    int64_t unreported = 0;
  };
  // Takes one request from `bucket`, which may go below zero.
  void Charge(const std::string& team, Bucket& bucket, bool starts);
  // Adds the tokens that accrued since the last call. Every change of a bucket
  // or of what it accrues comes after a refill up to the time of the change:
  // tokens of a time in which the bucket was full must not cancel later
  // charges.
  void Refill(Bucket& bucket, int64_t now_ms) const;
  static void UpdateRecent(Bucket& bucket, const AdmissionCounts& delta);
  // Average number of requests of the team's programs.
  static double RequestsPerProgram(const Bucket& bucket);

  std::unordered_map<std::string, Bucket> buckets_;
  // Names of the teams that have a bucket, by hash.
  std::unordered_map<uint64_t, std::string> names_;
  // Never reset: peers compute differences between successive reports.
  std::unordered_map<std::string, AdmissionCounts> local_usage_;
  // Reachable gateways divided by all gateways, in [0, 1].
  double share_ = 1;
  int64_t gateways_ = 1;
  // True after the first set_teams().
  bool initialized_ = false;
};

}  // namespace pimento
