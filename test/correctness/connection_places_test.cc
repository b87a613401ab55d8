// Which connection gives way to a new one.
#include "src/connection_places.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace pimento {
namespace {

using Id = ConnectionPlaces::Id;

}  // namespace

TEST_CASE("places: whoever has made no progress for longest gives way") {
  ConnectionPlaces places({.limit = 4});
  const Id reader = places.Add(0);
  const Id slow = places.Add(0);
  const Id streaming = places.Add(0);
  const Id busy = places.Add(0);
  CHECK(places.full());
  places.SetUse(reader, PlaceUse::kSending, 0);
  places.SetUse(slow, PlaceUse::kReading, 0);
  places.SetUse(streaming, PlaceUse::kStreaming, 0);
  places.SetUse(busy, PlaceUse::kBusy, 0);
  // Nobody has been without progress for long enough.
  CHECK(!places.ToGiveWay(49));
  CHECK(places.NextToGiveWayMs() == 50);
  CHECK(places.ToGiveWay(50) == slow);
  CHECK(places.ToGiveWay(250) == slow);
  places.NoteMoved(slow, 200);
  CHECK(places.ToGiveWay(300) == reader);
  places.NoteMoved(reader, 260);
  CHECK(places.ToGiveWay(300) == streaming);
  places.NoteMoved(streaming, 280);
  // None has stalled: the one that may be refused before it has run.
  CHECK(places.ToGiveWay(300) == slow);
  places.NoteMoved(slow, 290);
  CHECK(!places.ToGiveWay(300));
  CHECK(places.NextToGiveWayMs() == 310);
  // A request in progress never does.
  places.Remove(slow);
  places.Remove(reader);
  places.Remove(streaming);
  CHECK(!places.ToGiveWay(100'000));
  CHECK(!places.NextToGiveWayMs());
  CHECK(places.open() == 1);
}

TEST_CASE("places: a new connection has time to send its request") {
  ConnectionPlaces places({.limit = 3});
  const Id reader = places.Add(0);
  places.SetUse(reader, PlaceUse::kSending, 0);
  const Id left = places.Add(0);
  const Id caller = places.Add(980);
  CHECK(places.ToGiveWay(1'000) == left);
  places.Remove(left);
  CHECK(places.ToGiveWay(1'000) == reader);
  places.Remove(reader);
  CHECK(!places.ToGiveWay(1'000));
  CHECK(places.ToGiveWay(1'030) == caller);
}

TEST_CASE("places: a request that moves gives way after a while") {
  ConnectionPlaces places({.limit = 1});
  const Id slow = places.Add(0);
  places.SetUse(slow, PlaceUse::kReading, 0);
  for (int64_t now_ms = 40; now_ms <= 1'000; now_ms += 40) {
    places.NoteMoved(slow, now_ms);
    if (now_ms < 1'000) CHECK(!places.ToGiveWay(now_ms));
  }
  CHECK(places.ToGiveWay(1'000) == slow);
}

TEST_CASE("places: what ended or idles goes before what has stalled") {
  ConnectionPlaces places({.limit = 3});
  const Id stalled = places.Add(0);
  const Id idle = places.Add(0);
  const Id ended = places.Add(0);
  places.SetUse(stalled, PlaceUse::kSending, 0);
  places.SetUse(idle, PlaceUse::kIdle, 500);
  places.SetUse(ended, PlaceUse::kEnded, 900);
  CHECK(places.ToGiveWay(1'000) == ended);
  places.Remove(ended);
  CHECK(places.ToGiveWay(1'000) == idle);
}

TEST_CASE("places: a random series keeps the count and finds one in time") {
  constexpr int kSteps = 20'000;
  std::mt19937_64 random(7);
  ConnectionPlaces places({.limit = 50});
  std::vector<Id> open;
  for (int step = 0; step < kSteps; ++step) {
    const int64_t now_ms = step;
    if (places.full()) {
      const auto spare = places.ToGiveWay(now_ms);
      const Id gone = spare ? *spare : open.front();
      places.Remove(gone);
      std::erase(open, gone);
    }
    open.push_back(places.Add(now_ms));
    const Id id = open[random() % open.size()];
    const auto uses = static_cast<uint64_t>(PlaceUse::kCount);
    places.SetUse(id, static_cast<PlaceUse>(random() % uses), now_ms);
    places.NoteMoved(open[random() % open.size()], now_ms);
    REQUIRE(places.open() == open.size());
  }
  for (const Id id : open) places.Remove(id);
  CHECK(places.open() == 0);
  CHECK(!places.ToGiveWay(kSteps));
}

}  // namespace pimento
