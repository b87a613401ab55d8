// Answers of archives, of the store and of services of the product's own
// interface whose head or trailers hold a line that is no field, or a folded
// one.
#include <doctest/doctest.h>

#include <string>

#include "test/error/peer_calls.h"

namespace pimento {
namespace {

const std::string kLines[] = {
    "X Lead: 1",
    "X-Lead : 1",
    std::string("X-\0Lead: 1", 10),
    "X-\x01Lead: 1",
    "X-\x7fLead: 1",
    "X-\xc3\xa9: 1",
    ": 1",
    "X-Lead",
    " X-Lead: 1",
    "\tX-Lead: 1",
    " more of the value",
    " Transfer-Encoding: chunked",
    " ",
};

}  // namespace

// Folded lines were added to the field before.
TEST_CASE("a line that is no field breaks an answer wherever one is read") {
  for (const PeerClient& client : PeerClients()) {
    CAPTURE(std::string(client.name));
    const std::string& body = client.body;
    CHECK(OutcomeOf(Framed("X-A: a\r\n", body), client.call) == "answered");
    CHECK(OutcomeOf(InChunks("X-Q: q\r\n", body), client.call) == "answered");
    CHECK(OutcomeOf(InChunks("", body), client.call) == "answered");
    for (const std::string& line : kLines) {
      CAPTURE(line);
      const std::string broken = line + "\r\n";
      CHECK(IsBroken(
          OutcomeOf(Framed(broken + "X-P: p\r\n", body), client.call)));
      CHECK(IsBroken(
          OutcomeOf(Framed("X-P: p\r\n" + broken, body), client.call)));
      CHECK(IsBroken(OutcomeOf(InChunks(broken, body), client.call)));
      CHECK(IsBroken(
          OutcomeOf(InChunks("X-Q: q\r\n" + broken, body), client.call)));
    }
  }
}

TEST_CASE("a head without end is given up at its limit") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Long: " + std::string(100'000, 'x');
  for (const PeerClient& client : PeerClients()) {
    CAPTURE(std::string(client.name));
    CHECK(IsBroken(OutcomeOf(head, client.call)));
    CHECK(IsBroken(OutcomeOf(head + "\r\n\r\n", client.call)));
  }
}

}  // namespace pimento
