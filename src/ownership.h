// The ownership object of a shard, as stored in the platform's object API.
//
// The object changes only when ownership or membership changes, by conditional
// update. Each update carries a fresh nonce: when the reply to an update is
// lost, reading the object back and comparing nonces shows whether the update
// took effect.
#pragma once

#include <string>

#include "src/shard_ids.h"

namespace pimento {

struct Ownership {
  uint32_t shard = 0;
  Epoch epoch;
  // The owner at `epoch`.
  Member holder;
  MemberList list;
  // Unique to one update.
  std::string nonce;
};
BOOST_DESCRIBE_STRUCT(Ownership, (), (shard, epoch, holder, list, nonce))

// Name of the shard's object in the platform, for example "ownership/00a7".
std::string OwnershipName(uint32_t shard);

std::string EncodeOwnership(const Ownership& ownership);

// Throws StateError when `text` is not an ownership object.
Ownership DecodeOwnership(const std::string& text);

// Returns the object by which `claimant` takes the shard over from the holder
// in `present`, at the next major epoch. The member list stays: replacing
// members is a separate step that copies the records first.
Ownership MakePlatformClaim(const Ownership& present, const Member& claimant,
                            std::string nonce);

}  // namespace pimento
