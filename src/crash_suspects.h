// The requests that were in flight on upstreams when those crashed, and which
// of them are refused because they are the likely cause.
//
// Load pattern: a request crashes every upstream that begins to run it, and
// comes again at any gateway. A crash also breaks off all other requests on
// that upstream, which are innocent and come again too. What tells them apart:
//
//   the guilty one    is in flight at one crash after the other, has begun to
//                     run each time, and never runs to its end
//   an innocent one   runs to its end on the next upstream, which clears it of
//                     all crashes before; one that has just run to its end
//                     elsewhere is not suspected at all
//
// Every crash adds to the weight of a request by how far it had got. It is
// refused once its weight, or the number of its crashes, reaches a bound: for a
// short time at first, since two crashes may be bad luck, and longer with each
// one more. After that it is sent again, so that a request that does no harm
// any more, for instance on another version of the upstreams, can clear itself.
// The same is done for all requests that begin alike; any of them that runs to
// its end clears them as a group.
//
// Gateways tell each other by gossip. A report is a pair of a request and a
// process, and its weight only grows, up to "cleared": reports may be lost,
// repeated and reordered, and gateways that have heard the same ones agree.
//
// Pure decision: no I/O, and times are passed in.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "src/request_fingerprint.h"

namespace pimento {

// How far a request had got on an upstream when that crashed.
enum class RunStage : uint8_t {
  // It was sent; it may still have waited in the upstream's queue.
  kSent,
  // It ran, and none of its output had arrived. Also any request whose answer
  // comes as a whole.
  kBegun,
  // Part of its output had arrived.
  kProducing,
  kCount,
};
std::string_view Name(RunStage stage);

// A request that was in flight on an upstream process when that crashed.
struct CrashReport {
  // One of its RequestFingerprints.
  uint64_t request = 0;
  // LeavingProcesses::HashOf() the upstream's entry.
  uint64_t process = 0;
  // See kClearedWeight.
  uint8_t weight = 0;
  // Time since the request's last crash, so that what is over is not revived.
  int64_t age_ms = 0;
};

// Weight of a report that does not count any more, because the request ran to
// its end later. The highest one, so that it outranks late repeats.
inline constexpr uint8_t kClearedWeight = 255;

struct CrashSuspectOptions {
  // A request is refused from this weight, or from this number of crashes, on.
  int max_weight = 4;
  int max_crashes = 3;
  // For how long since its last crash: after two crashes, by how much longer
  // after each further one, and at most.
  int64_t first_hold_ms = 60'000;
  int64_t hold_factor = 4;
  int64_t max_hold_ms = 3'600'000;
  // For how long crashes count, and what cleared them is remembered, while the
  // request is not refused.
  int64_t suspicion_ms = 600'000;
  // Beyond this number one is forgotten: of those that are clear the oldest,
  // then of those that are not refused, then of those that are.
  size_t max_requests = 4'096;
};

class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectOptions options) : options_(options) {}

  // The upstream process crashed while the request was in flight there. Returns
  // false when that was known.
  bool OnCrash(const RequestFingerprints& request, uint64_t process,
               RunStage stage, int64_t now_ms);
  // The request ran to its end on an upstream. Returns true when that clears it
  // of a suspicion. For some seconds, no crash counts against it.
  bool OnServed(const RequestFingerprints& request);
  // A peer's report. Returns true when it was news.
  bool OnPeerReport(const CrashReport& report, int64_t now_ms);

  // Crashes that count against the request.
  int Crashes(const RequestFingerprints& request) const;
  // For how long the request is refused from now on, milliseconds; 0 when it
  // may be sent.
  int64_t RefusedForMs(const RequestFingerprints& request,
                       int64_t now_ms) const;
  bool empty() const { return requests_.empty(); }
  size_t size() const { return requests_.size(); }

  // Reports to include in the next gossip message: what is new, several times
  // each, since messages get lost, and a few of the others in round-robin
  // order, one that is refused in each, for gateways that were not there.
  std::vector<CrashReport> NextGossipBatch(int64_t now_ms);
  // All that is known about requests that are refused, for a gateway that has
  // just started; at most a message full.
  std::vector<CrashReport> RefusedReports(int64_t now_ms) const;
  // Forgets requests whose hold, or whose suspicion, is over.
  void Sweep(int64_t now_ms);

 private:
  struct Request {
    // Weight of each crash, by process.
    std::map<uint64_t, uint8_t> crashes = {};
    int64_t last_crash_ms = 0;
  };
  // In the order in which requests are forgotten when there are too many.
  enum class Standing : uint8_t { kClear, kSuspect, kRefused };
  struct Place {
    Standing standing = Standing::kClear;
    int64_t expiry_ms = 0;
    uint64_t request = 0;
    auto operator<=>(const Place&) const = default;
  };
  struct PendingGossip {
    uint64_t request = 0;
    uint64_t process = 0;
    int sends_left = 0;
  };
  bool WasServed(uint64_t fingerprint) const;
  int CrashesOf(uint64_t fingerprint) const;
  int64_t RefusedForMs(uint64_t fingerprint, int64_t now_ms) const;
  // Clears one fingerprint. Returns true when it was suspect.
  bool Clear(uint64_t fingerprint);
  // Raises the weight of a report. Returns true when it was lower or unknown.
  bool Raise(const CrashReport& report, int64_t now_ms);
  // True when no crash can be added: all that are kept count.
  static bool IsFull(const Request& request);
  // For how long after its last crash the request is refused; 0 when it is not.
  int64_t HoldMs(const Request& request) const;
  // When the request is forgotten.
  int64_t ExpiryMs(const Request& request) const;
  Place PlaceOf(uint64_t fingerprint, const Request& request) const;
  void Forget(uint64_t fingerprint);
  void MakeRoom();
  void Announce(uint64_t request, uint64_t process);
  // Adds reports from the front of `queue` and has them repeated later.
  void AddPending(std::deque<PendingGossip>& queue, size_t count,
                  int64_t now_ms, std::vector<CrashReport>& reports);
  // Adds all that is known about a request, unless it is over.
  void AddRequest(uint64_t fingerprint, int64_t now_ms,
                  std::vector<CrashReport>& reports) const;
  // The next request that is refused, in turn; 0 when there is none.
  uint64_t NextRefused();

  CrashSuspectOptions options_;
  // Fingerprints that ran to their end since `served_since_ms_`, and in the
  // time before that.
  std::unordered_set<uint64_t> served_;
  std::unordered_set<uint64_t> served_before_;
  int64_t served_since_ms_ = 0;
  // By fingerprint; ordered, so that the round robin covers every request.
  std::map<uint64_t, Request> requests_;
  std::set<Place> places_;
  // Reports that no message has carried yet, and those to be repeated.
  std::deque<PendingGossip> new_reports_;
  std::deque<PendingGossip> repeats_;
  // Where the last round-robin steps ended.
  uint64_t last_refreshed_ = 0;
  Place last_refused_ = {};
};

}  // namespace pimento
