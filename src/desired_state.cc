#include "src/desired_state.h"

#include <algorithm>
#include <array>
#include <utility>

namespace pimento {
namespace {

constexpr std::array<std::string_view, 3> kKindNames = {
    "idempotent", "non_idempotent", "streaming"};

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

std::string_view Name(RouteKind kind) {
  return kKindNames[static_cast<size_t>(kind)];
}

DesiredState::DesiredState(Parts parts)
    : DesiredState(std::move(parts), Unindexed{}) {
  for (size_t i = 0; i < parts_.routes.size(); ++i) IndexRoute(i);
  for (size_t i = 0; i < parts_.services.size(); ++i) {
    service_index_[parts_.services[i].name] = i;
  }
  for (size_t i = 0; i < parts_.teams.size(); ++i) {
    team_index_[parts_.teams[i].name] = i;
  }
}

void DesiredState::IndexRoute(size_t index) {
  const auto& routes = parts_.routes;
  auto& indices = routes_of_host_[routes[index].host];
  // After those of the same length: the first of them wins.
  const auto longer = [&](size_t a, size_t b) {
    return routes[a].path_prefix.size() > routes[b].path_prefix.size();
  };
  indices.insert(
      std::upper_bound(indices.begin(), indices.end(), index, longer), index);
}

bool DesiredState::Builder::Step(size_t max_entries) {
  DesiredState& state = *state_;
  const size_t routes = state.parts_.routes.size();
  const size_t services = state.parts_.services.size();
  const size_t total = routes + services + state.parts_.teams.size();
  const size_t end = indexed_ + std::min(total - indexed_, max_entries);
  for (; indexed_ < end; ++indexed_) {
    size_t index = indexed_;
    if (index < routes) {
      state.IndexRoute(index);
      continue;
    }
    index -= routes;
    if (index < services) {
      state.service_index_[state.parts_.services[index].name] = index;
      continue;
    }
    index -= services;
    state.team_index_[state.parts_.teams[index].name] = index;
  }
  return indexed_ < total;
}

const Route* DesiredState::FindRoute(std::string_view host,
                                     std::string_view path) const {
  const auto it = routes_of_host_.find(std::string(WithoutPort(host)));
  if (it == routes_of_host_.end()) return nullptr;
  for (const size_t index : it->second) {
    const Route& route = parts_.routes[index];
    if (path.starts_with(route.path_prefix)) return &route;
  }
  return nullptr;
}

const TeamSpec* DesiredState::TeamOfKey(const std::string& key) const {
  const auto name = parts_.team_of_key.find(key);
  if (name == parts_.team_of_key.end()) return nullptr;
  const auto index = team_index_.find(name->second);
  return index == team_index_.end() ? nullptr : &parts_.teams[index->second];
}

const ServiceSpec* DesiredState::FindService(const std::string& name) const {
  const auto it = service_index_.find(name);
  return it == service_index_.end() ? nullptr : &parts_.services[it->second];
}

const std::string& PickService(const Route& route, double draw) {
  double total = 0;
  for (const auto& service : route.services) total += service.weight;
  double remaining = draw * total;
  for (const auto& service : route.services) {
    remaining -= service.weight;
    if (remaining < 0) return service.service;
  }
  // Reached by rounding, or when every weight is 0.
  return route.services.back().service;
}

}  // namespace pimento
