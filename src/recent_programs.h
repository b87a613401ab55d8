// The programs of which any gateway has recently admitted a request. Used to
// tell a request that continues a program from one that starts a program.
//
// A gateway gossips each program that it admits first to its peers, several
// times, because gossip messages can get lost.
//
// Load: a client with a valid key that names a new program in each request.
// 50,000 of them a minute must neither make programs under way count as new
// ones nor hold back what the peers are told about those of other teams:
//
//   - Beyond the limit, the program that was named only once and longest ago is
//     forgotten; one that goes on is forgotten last.
//   - Each team has its turn in a gossip message, and a program that goes on
//     before the peers were told about it is told next.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimento {

class RecentPrograms {
 public:
  struct Options {
    // Bounds the memory.
    size_t max_programs = 200'000;
    // Programs that the peers have not been told about; beyond it the oldest of
    // the team with most of them are dropped.
    size_t max_pending_gossip = 2'048;
  };

  RecentPrograms() = default;
  explicit RecentPrograms(Options options) : options_(options) {}

  // True when a gateway has admitted a request of the program.
  bool Contains(const std::string& program) const;
  // True when the token budget was spent at the program's last turn here.
  bool BudgetSpent(const std::string& program) const;
  // No effect for an unknown program.
  void set_budget_spent(const std::string& program, bool spent);
  // Records that this gateway admitted a request of the program for `team`,
  // which is empty on a route that is open to all.
  void OnAdmitted(const std::string& program, const std::string& team,
                  int64_t now_ms);
  // Records that a peer admitted a request of the program. `program_hash` is
  // HashName() the program's id.
  void OnPeerAdmitted(uint64_t program_hash, int64_t now_ms);
  // Hashes of the programs to include in the next gossip message. Each program
  // is returned several times, in different messages.
  std::vector<uint64_t> NextGossipBatch();
  // Removes programs without a recent request.
  void Sweep(int64_t now_ms);
  size_t size() const { return programs_.size(); }
  // Programs that wait to be named in a gossip message, some more than once.
  size_t pending_gossip() const { return pending_count_; }
  // Programs that were forgotten, and gossip that was dropped, for want of
  // room.
  uint64_t forgotten() const { return forgotten_; }
  uint64_t gossip_dropped() const { return gossip_dropped_; }

 private:
  struct Program {
    int64_t first_request_ms = 0;
    int64_t last_request_ms = 0;
    bool budget_spent = false;
    // Whether it was named again, and is in `going_on_`.
    bool goes_on = false;
    // Gossip messages that are still to name it, and the last one that did.
    uint8_t sends_left = 0;
    uint32_t last_message = 0;
    // Own entry in `named_once_` or `going_on_`.
    std::list<uint64_t>::iterator position = {};
  };
  using Programs = std::unordered_map<uint64_t, Program>;
  // Programs of one team to tell the peers about. A program may stand there
  // more than once.
  struct PendingGossip {
    // Programs that go on and of which the peers have not been told.
    std::deque<uint64_t> first;
    std::deque<uint64_t> others;
    size_t size() const { return first.size() + others.size(); }
  };

  // Adds a program, in the place of another one if there is no room.
  Program& Add(uint64_t hash, int64_t now_ms);
  // Notes a further request of a known program.
  void NoteRequest(Program& program, bool goes_on, int64_t now_ms);
  void Forget(Programs::iterator program);
  void QueueGossip(const std::string& team, uint64_t hash, bool first);
  void DropOldestGossip();
  // Takes the next program of a team that the present message does not name
  // yet.
  std::optional<uint64_t> PopGossip(PendingGossip& pending);

  Options options_;
  // By program hash.
  Programs programs_;
  // Programs that were named once, and those that go on; each in the order of
  // their last requests.
  std::list<uint64_t> named_once_;
  std::list<uint64_t> going_on_;
  // By team; none is empty.
  std::map<std::string, PendingGossip> pending_gossip_;
  // Sum of the sizes of `pending_gossip_`.
  size_t pending_count_ = 0;
  // The team whose turn was last, and the number of the last message.
  std::string last_team_;
  uint32_t message_ = 0;
  uint64_t forgotten_ = 0;
  uint64_t gossip_dropped_ = 0;
};

}  // namespace pimento
