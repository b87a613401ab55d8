// Answers of archives, of the store and of services of the product's own
// interface whose status is outside the protocol.
#include <doctest/doctest.h>

#include <string>

#include "test/error/peer_calls.h"

namespace pimento {
namespace {

std::string AnswerWith(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

const std::string kStatuses[] = {"000 Zero", "00 Short", "099 Low",
                                 "600 High", "999 Top",  "+20 Signed",
                                 "20 Short", "200OK"};

}  // namespace

TEST_CASE("archives, store and services cannot answer outside the protocol") {
  const std::string reply = ArchiveAnswer();
  const std::string list = StoreAnswer();
  CHECK(OutcomeOf(AnswerWith("200 OK", reply), CallArchive) == "answered");
  CHECK(OutcomeOf(AnswerWith("200 OK", list), ListStore) == "answered");
  CHECK(OutcomeOf(AnswerWith("200 OK", "ok"), FetchPage) == "answered");
  for (const std::string& status : kStatuses) {
    CAPTURE(status);
    CHECK(OutcomeOf(AnswerWith(status, reply), CallArchive) != "answered");
    CHECK(OutcomeOf(AnswerWith(status, list), ListStore) != "answered");
    CHECK(OutcomeOf(AnswerWith(status, "ok"), FetchPage) != "answered");
  }
}

}  // namespace pimento
