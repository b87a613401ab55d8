// Whether a program may begin while a service has little room left.
//
// Load pattern: a burst of programs of up to a few dozen turns each. Programs
// that begin while the upstreams are full make all of them late, also those
// that had nearly ended: for seconds after the burst, nothing ends in time.
// Turns of programs under way are therefore never refused here; what is refused
// is the first turn of a new one, the less urgent kinds first.
//
// Gateways hear of a new program after its next turn may have come. So the
// decision depends on the program's hash and on the load of the whole service,
// which all gateways know alike: what one has admitted, another one does not
// refuse a moment later.
//
//   less urgent   0.5 calls for each slot   all programs begin
//                 0.65                      the lower half of hashes
//                 0.8                       none
//   most urgent   1.1, 1.3, 1.5             the same
#pragma once

#include <cstdint>

#include "src/slot_share.h"

namespace pimento {

struct ProgramRequest {
  uint64_t program_hash = 0;
  uint64_t call_hash = 0;
  // True when no kind of calls to the service is more urgent.
  bool most_urgent = false;
};

// 0 when the program may begin. Otherwise the time after which a retry may find
// room, milliseconds, spread so that refused callers do not return together.
int64_t RefuseProgramForMs(const ProgramRequest& request, const SlotUse& use);

}  // namespace pimento
