// Answers of archives, of the store and of services of the product's own
// interface whose body has a transfer coding other than chunks.
#include <doctest/doctest.h>

#include <string>

#include "test/error/peer_calls.h"

namespace pimento {
namespace {

const std::string kCodings[] = {"gzip",          "xchunked", "gzip, chunked",
                                "chunked, gzip", "identity", "chunked;q=1"};

}  // namespace

// A body with a length, or up to the connection's end, was taken for decoded.
TEST_CASE("a transfer coding but chunks alone breaks an answer") {
  for (const PeerClient& client : PeerClients()) {
    CAPTURE(std::string(client.name));
    const std::string& body = client.body;
    for (const std::string& coding : kCodings) {
      CAPTURE(coding);
      const std::string field = "Transfer-Encoding: " + coding + "\r\n";
      CHECK(IsBroken(OutcomeOf(Framed(field, body), client.call)));
      CHECK(IsBroken(OutcomeOf(InChunks("", body, coding), client.call)));
    }
  }
}

}  // namespace pimento
