// A team's rate and burst over all gateways, kept by each from what it hears of
// the others.
//
// Load pattern: one team sends many times its rate through all gateways at
// once, while gateways come, go and lose touch. Each gateway keeps a bucket for
// the whole fleet, takes its own admissions from it at once and those of others
// when it hears of them. The bucket may go below zero: what was admitted twice
// over in the time that news takes is paid back. A gateway out of touch with
// some others leaves them their share of rate and burst:
//
//   6 gateways, rate 60, burst 60; one hears 3 of 5 others
//   -> it admits 4/6 of the rate from a bucket of at most 40
//
// With tens of gateways news are seldom, and a flood would be admitted by each
// of them until the next. So a team that has used a part of its burst is tight:
// its admissions are told at once.
//
// What a team asks beyond its rate is refused by whole programs: a program that
// started needs more requests to end well, and one refused midway has wasted
// what it used. So a start is charged what programs of the team need on
// average, from a second bucket of the same rate and burst, and requests of
// programs that run are refused only when the first bucket is empty. A program
// whose budget is spent can end nothing more, as one that loops: it gets only
// what is left over. How much a program has asked for says nothing: the longest
// of a hundred sound ones needs ten times what the median needs.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "src/desired_state.h"

namespace pimento {

// Under which gateways tell each other of a team.
uint64_t TeamHash(const std::string& team);

enum class ProgramStanding : uint8_t { kStarts, kRuns, kSpent };

// What a gateway knows of a request's program.
struct ProgramFacts {
  // True when some gateway is known to have admitted a request of it.
  bool known = false;
  // True when a turn of it was refused lately because its budget was spent.
  bool spent = false;
  // True for a turn that names none before it; others cannot be a start.
  bool may_be_start = false;
};

class TeamQuota {
 public:
  void set_teams(const DesiredState& state, int64_t now_ms);
  // Gateways that may admit, and how many of them are heard, this one included.
  void set_fleet(int64_t gateways, int64_t heard);

  // Takes one request of `team`. Returns 0, or the milliseconds after which one
  // may be admitted.
  int64_t Take(const std::string& team, ProgramStanding standing,
               int64_t now_ms);
  // How the program of a request stands.
  static ProgramStanding StandingOf(const ProgramFacts& facts);
  // Time until a request that waits here may be tried again, behind those that
  // wait already; each gets a place of its own. Milliseconds.
  int64_t TakePlace(const std::string& team, int64_t now_ms);
  // True while so much of the burst is used that the others should hear of each
  // admission at once, and not with the next news.
  bool Tight(const std::string& team) const;
  // Gives back what did not run.
  void Return(const std::string& team);
  // Requests that ran and programs that started, since the gateway's start.
  struct Use {
    int64_t admitted = 0;
    int64_t started = 0;
  };
  // Another gateway admitted so much more, or gave some back. `team_hash` is
  // the team's TeamHash().
  void Spent(uint64_t team_hash, const Use& more);
  // Own use by team.
  const std::unordered_map<std::string, Use>& used() const { return used_; }

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    // What programs that start may still claim; below zero while overdrawn.
    double claims = 0;
    int64_t filled_ms = 0;
    // When the last of those that wait may be tried again.
    double last_place_ms = 0;
    // Use by all gateways, with less weight for what is long ago.
    double recent_admitted = 0;
    double recent_started = 0;
  };
  void Fill(Bucket& bucket, int64_t now_ms) const;
  static void Count(Bucket& bucket, const Use& more);
  // Requests that a program needs on average.
  static double Need(const Bucket& bucket);

  std::unordered_map<std::string, Bucket> buckets_;
  // Names of the teams that have a bucket.
  std::unordered_map<uint64_t, std::string> names_;
  // Others go by differences.
  std::unordered_map<std::string, Use> used_;
  double share_ = 1;
  int64_t heard_ = 1;
  // True once the first desired state was taken.
  bool started_ = false;
};

}  // namespace pimento
