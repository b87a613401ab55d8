// How fast each upstream process reads prompts and makes events, learned from
// the calls of all gateways.
//
// Load pattern: the engines of a service differ in speed, pause now and then,
// and are sent calls by so many gateways that each of these sees a few answers
// of an engine in a minute. What one gateway measured, all use:
//
//   - Pauses and queues make single answers slow: the middle half of what was
//     measured lately is taken.
//   - A gateway compares an upstream with the service as it sees it itself, so
//     that its own slow link, which makes all upstreams look slow, cancels out.
//   - The median over the gateways that measured last is used, so that one of
//     them cannot mislead the others, and it is pulled towards the pace of the
//     service's other upstreams while few have measured.
//   - How long it takes until the first event tells little of a single upstream
//     beside the wait in its queue. The reading speed is therefore measured for
//     the service, from the fastest of many calls, and an upstream that makes
//     events slowly is taken to read slowly.
//   - What nobody has tried is taken to be like the faster of the others, so
//     that it is tried before these are full.
//   - A gateway tells its peers only what they would not assume: nothing, where
//     all upstreams of a service are alike.
//
//   others 10 ms an event; 1 gateway says 20             14.1 ms
//                          5 gateways say 20             17.8 ms
//                          1 says 200, 4 say 10          10 ms
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pimento {

// What a gateway learned about the pace of one process of an upstream; see
// LeavingProcesses::HashOf(). Of a service as a whole, `process` is the hash of
// its name. A value is 0 where it is unknown.
struct PaceSample {
  uint64_t process = 0;
  // Prompt tokens read in a millisecond.
  double read_tokens_per_ms = 0;
  // Time per event of a call that runs alone.
  double event_ms = 0;
};

// A call that was served.
struct ServedCall {
  // HashName() of the service.
  uint64_t service = 0;
  uint64_t process = 0;
  // Prompt tokens that the upstream was expected to read; 0 if unknown.
  int64_t read_tokens = 0;
  int64_t events = 0;
  int64_t duration_ms = 0;
  // Time until the first event; empty if it is not known.
  std::optional<int64_t> first_event_ms = {};
};

// One measured duration: the newest own samples, and the newest value of a few
// peers.
class PaceEstimate {
 public:
  struct Limits {
    size_t own_samples = 0;
    // Older values are dropped.
    int64_t max_age_ms = 0;
  };
  explicit PaceEstimate(Limits limits) : limits_(limits) {}

  void AddOwn(double value, int64_t now_ms);
  void AddReport(uint64_t reporter, double value, int64_t now_ms);
  void Sweep(int64_t now_ms);
  // The mean of the middle half of the own samples; 0 if there are none.
  double own() const { return own_value_; }
  std::vector<double> reported() const;
  size_t reports() const { return reports_.size(); }

 private:
  struct Value {
    uint64_t reporter = 0;
    double value = 0;
    int64_t at_ms = 0;
  };

  Limits limits_;
  // In the order of arrival.
  std::vector<Value> own_ = {};
  std::vector<Value> reports_ = {};
  double own_value_ = 0;
};

class UpstreamPace {
 public:
  struct Pace {
    double read_tokens_per_ms = 0;
    double event_ms = 0;
    // That of the service's typical upstream.
    double service_event_ms = 0;
    // Time that a typical call of the service takes to read its prompt here.
    double typical_read_ms = 0;
  };

  // The hashes of a service's name and of one of its processes.
  void AddProcess(uint64_t service, uint64_t process);
  void RemoveProcess(uint64_t process);

  void OnServed(const ServedCall& call, int64_t now_ms);
  // `reporter`: hash of the peer's name.
  void OnPeerReport(uint64_t reporter, const PaceSample& sample,
                    int64_t now_ms);
  // Where nothing is known of the process, the pace of its service; where
  // nothing is known of that either, one that is the same for all.
  Pace PaceOf(uint64_t service, uint64_t process) const;
  // True when a gateway has measured the process lately.
  bool Measured(uint64_t process) const;
  // What the peers should learn next; bounded, and empty where they would
  // assume the same.
  std::vector<PaceSample> NextGossipBatch(int64_t now_ms);
  // Drops what is too old to be used.
  void Sweep(int64_t now_ms);

 private:
  // One quantity of a service: its typical value in the fleet, 0 if unknown.
  // Each gateway takes the known differences between upstreams out of what it
  // measures, so that it does not depend on which of them it happened to call.
  struct Typical {
    PaceEstimate estimate;
    double value = 0;
    // Ratios to `value` of the middle one and of a faster one of the processes.
    double middle_factor = 1;
    double faster_factor = 1;

    void Update();
    void UpdateFactors(std::vector<double> factors);
  };
  // One quantity of a process, and its ratio to the service's typical value.
  struct Relative {
    PaceEstimate estimate;
    // Empty while nobody has measured it.
    std::optional<double> factor = {};
    // Moving average of answers without events, and how many it holds. These
    // differ by what was asked, so they are averaged, and not shared.
    double whole_ms = 0;
    int wholes = 0;
    // The ratio that the peers were told last, and when; 0 if they were not.
    double told = 0;
    int64_t told_at_ms = 0;

    void AddWhole(double ms);
    void Update(const Typical& typical);
    // As this gateway measured it; 0 if unknown.
    double OwnRatio(const Typical& typical) const;
    // True when the peers assume something else than what was measured.
    bool IsNews(const Typical& typical, int64_t now_ms) const;
  };
  // Of a call on an upstream of the typical pace.
  struct FirstEvent {
    double tokens = 0;
    double ms = 0;
  };
  struct Service {
    Service();
    Typical event_ms;
    // Time in which one prompt token is read.
    Typical token_ms;
    // Of the newest calls, and how many there were in all.
    std::vector<FirstEvent> first_events = {};
    size_t first_events_seen = 0;
    // Tokens read for a typical call, as seen by this gateway.
    double read_tokens = 0;
  };
  struct Process {
    Process();
    uint64_t service = 0;
    Relative event_ms;
    // True while it is in `to_tell_`.
    bool to_tell = false;
  };

  static void AddFirstEvent(Service& service, FirstEvent sample,
                            int64_t now_ms);
  static FirstEvent FastestOf(std::vector<FirstEvent> calls);
  std::optional<PaceSample> NewsOf(uint64_t id, Process& process,
                                   int64_t now_ms);
  static std::optional<PaceSample> NewsOf(uint64_t id, const Service& service);
  void UpdateService(uint64_t id, Service& service);

  std::unordered_map<uint64_t, Process> processes_ = {};
  std::unordered_map<uint64_t, Service> services_ = {};
  // Processes measured since the peers were told, oldest first.
  std::deque<uint64_t> to_tell_ = {};
};

}  // namespace pimento
