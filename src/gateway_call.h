// Handles one request at a gateway, in these stages:
//
//   parse, authenticate, admit  checks what the caller may do; no I/O
//   begin turn                  reserves token budget and loads the history of
//                               a turn from the archive
//   try upstreams               sends the request to an upstream, and to
//   another
//                               one while a retry is safe and time remains
//   relay                       forwards the response, buffered or event by
//                               event
//   finish                      stores the turn in the archive before the
//                               response is completed
//
// Delivery is at most once: a request that an upstream may have run is not sent
// again, except for idempotent requests and resumable streams. Status 429 and
// 503 mean "not run": they are returned only when no upstream received the
// request or every one that did reported that it did not run it.
#pragma once

#include <boost/asio.hpp>

#include "src/caller_connection.h"
#include "src/gateway_state.h"

namespace pimento {

// Serves one request and logs its result. Does not throw.
boost::asio::awaitable<void> ServeCall(GatewayState& state,
                                       const CallerRequest& request,
                                       ResponseWriter& response,
                                       StopToken& token);

}  // namespace pimento
