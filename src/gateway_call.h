// One request on its way through a gateway, pass by pass:
//
//   read, authenticate, admit   what the caller may ask; no I/O
//   begin                       budget and history of a turn, from the archive
//   offer                       to an upstream, and to the next one while that
//                               is safe and there is time
//   relay                       the answer, whole or event by event
//   end                         the turn is kept before its answer ends
//
// At most once: what may have run is never offered again, but for requests that
// may be repeated and streams that may be resumed. "Not run" (429, 503) is only
// said when no upstream was sent anything or each said that it did not run it.
#pragma once

#include <boost/asio.hpp>

#include "src/caller_connection.h"
#include "src/gateway_state.h"

namespace pimento {

// Serves one request. Throws nothing; every end is logged.
boost::asio::awaitable<void> ServeCall(GatewayState& state,
                                       const CallerRequest& request,
                                       ResponseWriter& answer,
                                       StopToken& token);

}  // namespace pimento
