// A gateway's part of what a cold upstream bears.
//
// Load pattern: many gateways send to the same upstream at once, which turned
// cold unseen. Together they may send what it bears in a second, so each has
// its part; where there are more gateways than calls, each upstream takes calls
// of some gateways only, one a second each, and each gateway sends to some
// upstreams only. Gateways know their place among all, in the order of names,
// so no two of them need to agree on more.
//
//   bears 83, 6 gateways    13 a second each
//   bears 41, 79 gateways   1 a second each, from 41 of them
#pragma once

#include <cstdint>

namespace pimento {

struct ColdShareInput {
  // Calls a second that the upstream bears from all gateways.
  double bears = 0;
  int64_t gateways = 1;
  // This gateway's place among them, from 0.
  int64_t position = 0;
  uint64_t upstream_hash = 0;
};

// Calls a second that this gateway may send there; 0 for none.
inline int64_t ColdShare(const ColdShareInput& input) {
  const auto whole = static_cast<int64_t>(input.bears);
  const int64_t each = whole / input.gateways;
  if (each >= 1) return each;
  const auto first = static_cast<int64_t>(
      input.upstream_hash % static_cast<uint64_t>(input.gateways));
  const int64_t place =
      (input.position - first + input.gateways) % input.gateways;
  return place < whole ? 1 : 0;
}

}  // namespace pimento
