// Programs that some gateway has admitted a request of, so that a request can
// be told to go on with a program rather than to start one.
//
// Gateways tell each other of programs they see first, a few times over, since
// news get lost now and then.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimento {

class ProgramMemory {
 public:
  // True when some gateway admitted a request of the program.
  bool Known(const std::string& program) const;
  // True when its budget was spent at its last turn here.
  bool Spent(const std::string& program) const;
  void set_spent(const std::string& program, bool spent);
  // Notes an admitted request of the program at this gateway.
  void Admitted(const std::string& program, int64_t now_ms);
  // Another gateway told of the program, by hash.
  void Heard(uint64_t program_hash, int64_t now_ms);
  // What to tell the others now; each program is told a few times.
  std::vector<uint64_t> ToTell();
  void Sweep(int64_t now_ms);
  size_t size() const { return seen_.size(); }

 private:
  struct Telling {
    uint64_t program_hash = 0;
    int times_left = 0;
  };
  struct Seen {
    int64_t last_ms = 0;
    bool spent = false;
  };
  // By program hash.
  std::unordered_map<uint64_t, Seen> seen_;
  std::deque<Telling> telling_;
};

}  // namespace pimento
