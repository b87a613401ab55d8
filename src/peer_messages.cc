#include "src/peer_messages.h"

namespace pimento {

Outcome OutcomeOf(const Refusal& refusal) {
  return {.reason = refusal.reason(),
          .run = refusal.run(),
          .message = refusal.what(),
          .retry_after_ms = refusal.retry_after_ms(),
          .owner = {}};
}

}  // namespace pimento
