// How many calls may be in progress, and for whom.
#include "src/calls_in_progress.h"

#include <doctest/doctest.h>

namespace pimento {

TEST_CASE("calls in progress: one team leaves half of the room to others") {
  CallsInProgress calls(30);
  int open = 0;
  while (calls.Enter("")) ++open;
  CHECK(open == 15);
  CHECK(calls.Enter("quilters"));
  int of_skips = 0;
  while (calls.Enter("skips")) ++of_skips;
  CHECK(of_skips == 14);
  CHECK(calls.in_progress() == 30);
  CHECK(!calls.Enter("others"));
  calls.Leave("");
  CHECK(calls.Enter("others"));
}

TEST_CASE("calls in progress: all are given back") {
  CallsInProgress calls(2);
  CHECK(calls.Enter("a"));
  CHECK(!calls.Enter("a"));
  calls.Leave("a");
  // Not counted twice.
  calls.Leave("a");
  CHECK(calls.in_progress() == 0);
  CHECK(calls.of("a") == 0);
  CHECK(calls.Enter("a"));
}

}  // namespace pimento
