// The programs of which any gateway has recently admitted a request. Used to
// tell a request that continues a program from one that starts a program.
//
// A gateway gossips each program that it admits first to its peers, several
// times, because gossip messages can get lost.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimento {

class RecentPrograms {
 public:
  // True when a gateway has admitted a request of the program.
  bool Contains(const std::string& program) const;
  // True when the token budget was spent at the program's last turn here.
  bool BudgetSpent(const std::string& program) const;
  // No effect for an unknown program.
  void set_budget_spent(const std::string& program, bool spent);
  // Records that this gateway admitted a request of the program.
  void OnAdmitted(const std::string& program, int64_t now_ms);
  // Records that a peer admitted a request of the program. `program_hash` is
  // HashName() the program's id.
  void OnPeerAdmitted(uint64_t program_hash, int64_t now_ms);
  // Hashes of the programs to include in the next gossip message. Each program
  // is returned several times, in different messages.
  std::vector<uint64_t> NextGossipBatch();
  // Removes programs without a recent request.
  void Sweep(int64_t now_ms);
  size_t size() const { return programs_.size(); }

 private:
  struct PendingGossip {
    uint64_t program_hash = 0;
    int sends_left = 0;
  };
  struct Program {
    int64_t last_request_ms = 0;
    bool budget_spent = false;
  };
  // By program hash.
  std::unordered_map<uint64_t, Program> programs_;
  std::deque<PendingGossip> pending_gossip_;
};

}  // namespace pimento
