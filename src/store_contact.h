// What this host knows from its own calls about whether the platform's store
// serves it: for how long it has been left without an answer that was due, and
// when the last outage ended.
//
// Load pattern: a host whose only calls are watches hears nothing for seconds
// while nothing changes, and that silence says nothing about the store. An
// answer is due when the time has passed for which the call allows the store to
// wait, or once the call has failed. A rejection (429, 5xx) is a failed call:
// the store is up but serves nothing to this host.
//
//   watch of 4 s, begun at 0, answered at 4,000    never overdue
//   watch of 4 s, begun at 0, no answer            at 5,000: 1,000 overdue
//   rejected at 10, again at 400, served at 900    at 800: 790, from 900 on: 0
//
// A call that breaks off and is served when it is made again is no outage: an
// outage leaves the host without any served call for a time that its owner
// gives, in which at least one call has failed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace pimento {

// All times are milliseconds of one clock that counts suspensions of the host.
struct StoreContactOptions {
  // A shorter time between two served calls is no outage.
  int64_t min_outage_ms = 0;
};

class StoreContact {
 public:
  explicit StoreContact(StoreContactOptions options = {}) : options_(options) {}

  // A call begins that allows the store to wait for `wait_ms` before it
  // answers. Returns the call's ticket; each call must be ended.
  uint64_t Begin(int64_t now_ms, int64_t wait_ms);
  // The call ended with an answer that served it.
  void EndServed(uint64_t ticket, int64_t now_ms);
  // The call was rejected, broke off or timed out.
  void EndFailed(uint64_t ticket, int64_t now_ms);
  // Another host, which makes calls in this one's place, reports for how long
  // an answer to it has been overdue.
  void AddRelayed(int64_t overdue_ms, int64_t now_ms);

  // 0 while no answer is overdue.
  int64_t OverdueMs(int64_t now_ms) const;
  // When a call was served again after the last outage; empty if there was
  // none.
  std::optional<int64_t> outage_ended_ms() const { return outage_ended_ms_; }

 private:
  // An answer was due at `since_ms` and has not come.
  void NoteMissing(int64_t since_ms);
  void NoteServed(int64_t now_ms);

  StoreContactOptions options_;
  // When the answers to the open calls are due, by ticket.
  std::map<uint64_t, int64_t> due_ms_;
  uint64_t next_ticket_ = 1;
  // When the first answer was due that has not come since the store last
  // served a call.
  std::optional<int64_t> missing_since_ms_;
  // Open calls count as overdue from here on at the earliest: the store has
  // served another call meanwhile.
  int64_t served_at_ms_ = 0;
  std::optional<int64_t> outage_ended_ms_;
};

}  // namespace pimento
