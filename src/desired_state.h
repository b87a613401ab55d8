// One version of the operators' configuration: routes, services, teams and
// limits on callers, with the lookups that a request needs.
//
//   host "a.example", path "/orders/7/x"  -> route with prefix "/orders/7/"
//   key "nu6w..."                         -> team "quilters"
//
// A DesiredState is immutable: requests share it by pointer, and each request
// uses the version that was current when it started.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimento {

enum class RouteKind : uint8_t { kIdempotent, kNonIdempotent, kStreaming };

std::string_view Name(RouteKind kind);

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name = {};
  std::string host = {};
  // Begins and ends with a slash.
  std::string path_prefix = {};
  RouteKind kind = RouteKind::kNonIdempotent;
  // Never empty; more than one entry when the traffic is split by weight.
  std::vector<WeightedService> services = {};
  int64_t timeout_ms = 60'000;
  // Target for the time to the response, or to a stream's first event.
  int64_t latency_objective_ms = 1'000;
  // 0 is the most urgent.
  int32_t priority = 0;
  // Maximum number of upstreams to which one request may be sent.
  int32_t attempts = 2;
  // True when callers need no API key.
  bool open = false;
  // True when requests are faster at an upstream that served their program
  // before.
  bool sticky = false;
  // True when an interrupted stream may resume at another upstream.
  bool resumable = false;
  // True when the archive stores the history of turns.
  bool keeps_history = false;
  // How long the archive keeps a turn, seconds.
  double retain_s = 60;
};

struct ServiceSpec {
  std::string name = {};
  // Maximum connections to one upstream, from all callers together.
  int32_t max_connections = 100;
  // Requests a second that an upstream can serve while cold, from all gateways
  // together; 0 when the service has no cold start.
  double cold_per_second = 0;
  // Duration of a cold start, seconds.
  double cold_start_s = 0;
  // Tokens in each event of a stream.
  int64_t tokens_per_event = 1;
};

struct TeamSpec {
  std::string name = {};
  // Overrides the priority of routes; -1 for no override.
  int32_t priority = -1;
  // Requests a second through all hosts together; 0 for no limit.
  double rate_per_second = 0;
  // Size of the token bucket, requests.
  double burst = 0;
};

struct CallerLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 4 * 1024 * 1024;
  int64_t header_timeout_ms = 3'000;
  int64_t idle_timeout_ms = 15'000;
  // Time for a body; 0: as long as a connection may idle.
  int64_t body_timeout_ms = 0;
};

class DesiredState {
 public:
  struct Parts {
    int64_t version = 0;
    std::vector<Route> routes = {};
    std::vector<ServiceSpec> services = {};
    std::vector<TeamSpec> teams = {};
    // Team names by API key.
    std::unordered_map<std::string, std::string> team_of_key = {};
    CallerLimits limits = {};
  };
  explicit DesiredState(Parts parts);
  // Builds the lookups of a state in steps.
  class Builder;

  int64_t version() const { return parts_.version; }
  const CallerLimits& limits() const { return parts_.limits; }
  const std::vector<TeamSpec>& teams() const { return parts_.teams; }
  const std::vector<Route>& routes() const { return parts_.routes; }
  const std::vector<ServiceSpec>& services() const { return parts_.services; }
  // The route of `host` with the longest prefix of `path`, or null. A port in
  // `host` is ignored.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Null when the key is unknown.
  const TeamSpec* TeamOfKey(const std::string& key) const;
  // Null when there is no such service.
  const ServiceSpec* FindService(const std::string& name) const;

 private:
  struct Unindexed {};
  DesiredState(Parts parts, Unindexed) : parts_(std::move(parts)) {}
  void IndexRoute(size_t index);

  Parts parts_;
  // Indices into `parts_.routes`, by host, longest path prefix first.
  std::unordered_map<std::string, std::vector<size_t>> routes_of_host_;
  // Indices into `parts_`, by name.
  std::unordered_map<std::string, size_t> service_index_;
  std::unordered_map<std::string, size_t> team_index_;
};

using DesiredStatePtr = std::shared_ptr<const DesiredState>;

class DesiredState::Builder {
 public:
  explicit Builder(Parts parts)
      : state_(new DesiredState(std::move(parts), Unindexed{})) {}
  // Indexes up to `max_entries` routes, services and teams. Returns false once
  // all are indexed.
  bool Step(size_t max_entries);
  DesiredStatePtr Take() && { return std::move(state_); }

 private:
  std::shared_ptr<DesiredState> state_;
  // Entries indexed so far, of all three lists in this order.
  size_t indexed_ = 0;
};

// Selects a service of the route by weight. `draw` is a uniform random number
// in [0, 1).
const std::string& PickService(const Route& route, double draw);

}  // namespace pimento
