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
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "src/desired_state.h"

namespace pimento {

class TeamQuota {
 public:
  void set_teams(const DesiredState& state, int64_t now_ms);
  // Gateways that may admit, and how many of them are heard, this one included.
  void set_fleet(int64_t gateways, int64_t heard);

  // Takes one request of `team`. Returns 0, or the milliseconds after which one
  // may be admitted.
  int64_t Take(const std::string& team, int64_t now_ms);
  // Gives back what did not run.
  void Return(const std::string& team);
  // Another gateway admitted `count` more, or gave some back.
  void Spent(const std::string& team, int64_t count);
  // Own admissions since the start, less returned ones, by team.
  const std::unordered_map<std::string, int64_t>& admitted() const {
    return admitted_;
  }

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    int64_t filled_ms = 0;
  };
  void Fill(Bucket& bucket, int64_t now_ms) const;

  std::unordered_map<std::string, Bucket> buckets_;
  // Others go by differences.
  std::unordered_map<std::string, int64_t> admitted_;
  double share_ = 1;
  // True once the first desired state was taken.
  bool started_ = false;
};

}  // namespace pimento
