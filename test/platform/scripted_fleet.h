// A fleet whose upstreams are scripts of the test (ScriptedUpstream), and what
// tests of their answers share.
#pragma once

#include <string>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"

namespace pimento::testbed {

// One gateway, three archives and a store, without upstreams.
PlatformFleet FleetWithoutUpstreams(const std::string& name,
                                    int64_t max_body_bytes = 65'536);

// Sends copies of `probe`, whose ids begin with "probe", until one is answered
// with 200. Fails the test when none is.
void WaitForUpstream(PlatformFleet& fleet, ClientRequest probe);
// Waits until upstream `id` is in the gateway's table. Fails the test when it
// does not get there.
void WaitUntilListed(const PlatformFleet& fleet, int id);

// A turn on the route whose streams may be resumed.
ClientRequest ResumableRequest(const PlatformFleet& fleet,
                               const std::string& id);

// The head of an answer with status 200, with `more` header lines.
std::string PlainHead(const ScriptedUpstream::Request& request,
                      const std::string& more = "");
// The same for a stream of events.
std::string StreamHead(const ScriptedUpstream::Request& request,
                       const std::string& more = "");
// Events 1 to `last`, with the data "w1", "w2", ...
std::string EventsUpTo(int last);
// One chunk of a body in chunks.
std::string Chunk(const std::string& bytes);

}  // namespace pimento::testbed
