// Which records a member that joins fetches from which of its sources.
//
// The sources hold mostly the same records. Each names what it holds in
// digests; a record that several of them name is fetched from the first one
// only, and one that the member holds already from none:
//
//   member holds t1       source 1: t1 t2 t3      source 2: t1 t2 t3 t4
//   Claim(digest of 1)    t2 t3
//   Claim(digest of 2)                            t4
//
// Sources are read side by side, so a slow one claims fewer records. A record
// that its source no longer hands out, or whose source is gone, stays claimed:
// the digests are then read again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <vector>

#include "src/turn_archive.h"

namespace pimento {

class RecordCopy {
 public:
  // `trust_held`: whether what `held` has need not be fetched. False when part
  // of it may be missing from the journal.
  RecordCopy(const TurnArchive& held, bool trust_held)
      : held_(held), trust_held_(trust_held) {}

  // The positions, among the records that a source names in `digest`, of those
  // to fetch from it.
  std::vector<uint64_t> Claim(
      const std::vector<TurnArchive::DigestEntry>& digest);
  // The source has handed out this record.
  void Received(RecordHash hash);
  // Whether every claimed record has been received, or is held by now in a
  // later state: a reservation that was settled before it was fetched.
  bool Complete() const;
  // Lets records be claimed again that were not received.
  void ReadAgain() { claimed_.clear(); }

 private:
  const TurnArchive& held_;
  bool trust_held_ = true;
  std::unordered_set<RecordHash> claimed_;
  // Empty while what is held is trusted.
  std::unordered_set<RecordHash> received_;
};

}  // namespace pimento
