// A gateway's share of the request rate that a cold upstream can serve.
//
// Load pattern: many gateways send to the same upstream at once, and it has
// turned cold without their knowledge. Together they must not exceed the rate
// that it can serve, so each gateway gets an equal share. Where there are more
// gateways than calls a second, each upstream accepts calls from some of the
// gateways only, one a second each, and each gateway uses some of the upstreams
// only. Every gateway computes its share from its index in the sorted list of
// gateway names, so no other agreement among them is needed.
//
//   capacity 83, 6 gateways    13 a second each
//   capacity 41, 79 gateways   1 a second each, from 41 of them
#pragma once

#include <cstdint>

namespace pimento {

struct ColdShareInput {
  // Calls a second that the upstream can serve from all gateways together.
  double capacity_per_second = 0;
  int64_t gateways = 1;
  // Index of this gateway in the sorted list of gateways, from 0.
  int64_t gateway_index = 0;
  uint64_t upstream_hash = 0;
};

// Calls a second that this gateway may send to the upstream; 0 for none.
inline int64_t ColdShare(const ColdShareInput& input) {
  const auto capacity = static_cast<int64_t>(input.capacity_per_second);
  const int64_t each = capacity / input.gateways;
  if (each >= 1) return each;
  // The upstream accepts calls from `capacity` consecutive gateways, starting
  // at an index derived from its hash.
  const auto first = static_cast<int64_t>(
      input.upstream_hash % static_cast<uint64_t>(input.gateways));
  const int64_t distance =
      (input.gateway_index - first + input.gateways) % input.gateways;
  return distance < capacity ? 1 : 0;
}

}  // namespace pimento
