// The hash that identifies upstreams, teams and programs in gossip messages.
#pragma once

#include <cstdint>
#include <string>

namespace pimento {

// XXH3, 64 bits. All hosts must use the same hash, since it is sent to peers.
uint64_t HashName(const std::string& name);

// Sixteen hexadecimal digits, for logs.
std::string HexOf(uint64_t hash);

}  // namespace pimento
