// How many calls a gateway has in progress, and for whom.
//
// Load: clients that send requests without a key, or all with one, to a service
// whose slots are taken. Each waits for its deadline and holds a place for
// callers, a descriptor and its request; together they take every place, and
// callers of other teams cannot connect. So one team has at most half of what
// may be in progress, as have the requests of open routes together; further
// ones are refused at once.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace pimento {

class CallsInProgress {
 public:
  explicit CallsInProgress(size_t limit) : limit_(limit) {}

  // A call of `team` begins; empty on a route that is open to all. Returns
  // false when it must be refused. Each success is followed by Leave().
  bool Enter(const std::string& team);
  void Leave(const std::string& team);

  size_t in_progress() const { return total_; }
  size_t of(const std::string& team) const;

 private:
  size_t limit_;
  size_t total_ = 0;
  // Teams without a call are not in it.
  std::unordered_map<std::string, size_t> by_team_;
};

}  // namespace pimento
