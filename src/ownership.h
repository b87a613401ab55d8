// The ownership object of a shard, as the platform's object API keeps it.
//
// The object changes only when ownership or membership changes, by conditional
// update. Each writer stamps a fresh nonce: when the answer to an update is
// lost, reading the object back and comparing nonces tells whether the update
// took effect.
#pragma once

#include <string>

#include "src/shard_ids.h"

namespace pimento {

struct Ownership {
  uint32_t shard = 0;
  Epoch epoch;
  Member holder;
  MemberList list;
  std::string nonce;
};
BOOST_DESCRIBE_STRUCT(Ownership, (), (shard, epoch, holder, list, nonce))

// Name of the shard's object in the platform, for example "ownership/00a7".
std::string OwnershipName(uint32_t shard);

std::string EncodeOwnership(const Ownership& ownership);

// Throws StateError when `text` is no ownership object.
Ownership DecodeOwnership(const std::string& text);

// A claim by `claimant` over `present` at the next major epoch. The members
// stay: replacing them is a separate step that copies the records first.
Ownership ClaimedByPlatform(const Ownership& present, const Member& claimant,
                            std::string nonce);

}  // namespace pimento
