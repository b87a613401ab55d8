// How long answers of the store have been overdue: waiting watches, rejections
// and what a followed host reports.
#include "src/store_contact.h"

#include <doctest/doctest.h>

using pimento::StoreContact;

// Guards against a host that only waits on watches being taken for one that has
// lost the store: revoked keys were accepted on such reports.
TEST_CASE("a host with idle watches is not without the store") {
  StoreContact contact;
  constexpr int64_t kWaitMs = 4'000;
  int64_t now_ms = 0;
  for (int round = 0; round < 3; ++round) {
    const uint64_t first = contact.Begin(now_ms, kWaitMs);
    const uint64_t second = contact.Begin(now_ms, kWaitMs);
    for (int64_t waited_ms = 0; waited_ms <= kWaitMs; waited_ms += 100)
      CHECK(contact.OverdueMs(now_ms + waited_ms) == 0);
    now_ms += kWaitMs;
    contact.EndServed(first, now_ms);
    contact.EndServed(second, now_ms);
  }
}

TEST_CASE("an answer is overdue from the end of the call's wait") {
  StoreContact contact;
  const uint64_t call = contact.Begin(0, 4'000);
  CHECK(contact.OverdueMs(5'000) == 1'000);
  contact.EndFailed(call, 5'500);
  CHECK(contact.OverdueMs(6'000) == 2'000);
  // Failures that follow do not move the start.
  contact.EndFailed(contact.Begin(6'000, 0), 6'010);
  CHECK(contact.OverdueMs(6'100) == 2'100);
}

TEST_CASE("a rejected call counts as missing until the store serves one") {
  StoreContact contact;
  contact.EndFailed(contact.Begin(0, 4'000), 10);
  contact.EndFailed(contact.Begin(400, 4'000), 405);
  CHECK(contact.OverdueMs(810) == 800);
  contact.EndServed(contact.Begin(850, 0), 900);
  CHECK(contact.OverdueMs(900) == 0);
  CHECK(contact.OverdueMs(5'000) == 0);
}

TEST_CASE("a call that hangs while another is served is overdue from then on") {
  StoreContact contact;
  contact.Begin(0, 1'000);
  contact.EndServed(contact.Begin(2'900, 0), 3'000);
  CHECK(contact.OverdueMs(3'400) == 400);
}

TEST_CASE("what a followed host reports stands in for calls of one's own") {
  StoreContact contact;
  contact.EndFailed(contact.Begin(0, 0), 20);
  contact.AddRelayed(0, 500);
  CHECK(contact.OverdueMs(2'000) == 0);
  contact.AddRelayed(700, 3'000);
  CHECK(contact.OverdueMs(3'100) == 800);
  // The report covers a time at which the host was served.
  contact.AddRelayed(0, 3'200);
  contact.AddRelayed(900, 3'300);
  CHECK(contact.OverdueMs(3'300) == 100);
}

// Guards against a watch that is broken off and served again at once counting
// as an outage, after which removals of upstreams are held back.
TEST_CASE("only a long time without a served call is an outage") {
  StoreContact contact({.min_outage_ms = 2'400});
  contact.EndServed(contact.Begin(0, 1'300), 1'300);
  contact.EndFailed(contact.Begin(1'300, 1'300), 2'000);
  contact.EndServed(contact.Begin(2'100, 0), 2'105);
  CHECK_FALSE(contact.outage_ended_ms());
  // A long wait without a failure is none either.
  contact.EndServed(contact.Begin(2'200, 4'000), 6'202);
  CHECK_FALSE(contact.outage_ended_ms());
  contact.EndFailed(contact.Begin(6'300, 1'300), 8'300);
  contact.EndFailed(contact.Begin(8'400, 0), 9'100);
  contact.EndServed(contact.Begin(9'200, 0), 9'205);
  CHECK(contact.outage_ended_ms() == 9'205);
  // What breaks off later does not move its end.
  contact.EndFailed(contact.Begin(9'210, 1'300), 9'900);
  contact.EndServed(contact.Begin(10'000, 0), 10'005);
  CHECK(contact.outage_ended_ms() == 9'205);
}
