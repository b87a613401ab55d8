#include "src/ownership.h"

#include <boost/json.hpp>
#include <cstdio>
#include <utility>

#include "src/errors.h"

namespace pimento {

std::string OwnershipName(uint32_t shard) {
  char name[32];
  std::snprintf(name, sizeof name, "ownership/%04x", shard);
  return name;
}

std::string EncodeOwnership(const Ownership& ownership) {
  return boost::json::serialize(boost::json::value_from(ownership));
}

Ownership DecodeOwnership(const std::string& text) {
  try {
    return boost::json::value_to<Ownership>(boost::json::parse(text));
  } catch (const std::exception& e) {
    throw StateError("The ownership object cannot be read: " +
                     std::string(e.what()));
  }
}

Ownership MakePlatformClaim(const Ownership& present, const Member& claimant,
                            std::string nonce) {
  Ownership claimed = present;
  claimed.epoch = {.major = present.epoch.major + 1, .minor = 0};
  claimed.holder = claimant;
  claimed.nonce = std::move(nonce);
  return claimed;
}

}  // namespace pimento
