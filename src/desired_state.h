// What operators want: routes, services, teams and limits on callers, in one
// version, with the look-ups that a request needs.
//
//   host "a.example", path "/orders/7/x"  -> route with prefix "/orders/7/"
//   key "nu6w..."                         -> team "quilters"
//
// A DesiredState never changes once built: requests share it by pointer, and a
// request keeps the version it started with.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
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
  // Never empty; one entry where the route is not split.
  std::vector<WeightedService> services = {};
  int64_t timeout_ms = 60'000;
  // Time to the answer, or to a stream's first event.
  int64_t latency_objective_ms = 1'000;
  // 0 is the most urgent.
  int32_t priority = 0;
  // Most upstreams to which one request may be sent.
  int32_t attempts = 2;
  // True when callers need no key.
  bool open = false;
  // True when upstreams work faster on what they handled before.
  bool sticky = false;
  // True when a broken stream may go on at another upstream.
  bool resumable = false;
  // True when the system keeps the history of turns.
  bool keeps_history = false;
  double retain_s = 60;
};

struct ServiceSpec {
  std::string name = {};
  // Most connections to one upstream, from all callers.
  int32_t max_connections = 100;
  // Requests a second that a cold upstream bears; 0 when it never is cold.
  double cold_per_second = 0;
  double cold_start_s = 0;
  // Tokens in one event of a stream.
  int64_t tokens_per_event = 1;
};

struct TeamSpec {
  std::string name = {};
  // Overrides the routes' priority; -1 when the team has none of its own.
  int32_t priority = -1;
  // Requests a second over all hosts; 0 for no limit.
  double rate_per_second = 0;
  double burst = 0;
};

struct CallerLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 4 * 1024 * 1024;
  int64_t header_timeout_ms = 3'000;
  int64_t idle_timeout_ms = 15'000;
};

class DesiredState {
 public:
  struct Parts {
    int64_t version = 0;
    std::vector<Route> routes = {};
    std::vector<ServiceSpec> services = {};
    std::vector<TeamSpec> teams = {};
    // Team names by caller key.
    std::unordered_map<std::string, std::string> team_of_key = {};
    CallerLimits limits = {};
  };
  explicit DesiredState(Parts parts);

  int64_t version() const { return parts_.version; }
  const CallerLimits& limits() const { return parts_.limits; }
  const std::vector<TeamSpec>& teams() const { return parts_.teams; }
  const std::vector<Route>& routes() const { return parts_.routes; }
  const std::vector<ServiceSpec>& services() const { return parts_.services; }
  // The route with the longest prefix of `path`, or null. `host` may carry a
  // port.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const TeamSpec* TeamOfKey(const std::string& key) const;
  const ServiceSpec* FindService(const std::string& name) const;

 private:
  Parts parts_;
  // Positions in `parts_`, by host, longest prefix first.
  std::unordered_map<std::string, std::vector<size_t>> routes_of_host_;
  std::unordered_map<std::string, size_t> service_index_;
  std::unordered_map<std::string, size_t> team_index_;
};

using DesiredStatePtr = std::shared_ptr<const DesiredState>;

// The service that `draw`, in [0, 1), falls on by weight.
const std::string& PickService(const Route& route, double draw);

}  // namespace pimento
