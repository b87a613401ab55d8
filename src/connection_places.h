// Which of the connections of a listener gives way to a new one, when as many
// are open as may be. No sockets, no clock.
//
// Load: clients that hold places without use. 450 of them send requests and do
// not read the answers, before a host with 400 places, and come back as soon as
// they are closed. Whoever has made no progress for longest goes, so that a new
// connection always finds a place beside them:
//
//   ConnectionPlaces places({.limit = 2});
//   const auto reader = places.Add(0);
//   places.SetUse(reader, PlaceUse::kSending, 0);
//   const auto caller = places.Add(900);
//   places.ToGiveWay(1'000)    // reader: its answer has not moved for 1 s
//
// A connection whose request is with an upstream never gives way, nor one whose
// answer moves. When nobody has been without progress for long enough, the new
// connection waits for the moment at which someone will have been, and those
// that come after it wait behind it: were it turned away, whoever comes back
// most often would get the places. Each call takes the same time however many
// are open.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace pimento {

// What a connection does.
enum class PlaceUse : uint8_t {
  // Its last response was sent, and it discards what else arrives.
  kEnded,
  // It waits for its first request, or for a further one.
  kUnused,
  kIdle,
  // A request is being read.
  kReading,
  // A whole answer, or a piece of a stream, is being sent.
  kSending,
  kStreaming,
  // A request is in progress.
  kBusy,
  kCount,
};

class ConnectionPlaces {
 public:
  using Id = uint64_t;

  struct Options {
    size_t limit = 1'500;
    // A connection that has made no progress for so long has stalled. Where
    // none has, one gives way that has made none for the shorter time.
    int64_t stalled_ms = 250;
    int64_t shortest_ms = 50;
    // A request that has been read for so long gives way although it moves.
    int64_t longest_read_ms = 1'000;
  };

  explicit ConnectionPlaces(Options options) : options_(options) {}

  // Adds a connection that waits for its first request.
  Id Add(int64_t now_ms);
  void Remove(Id id);
  // `id` does something else from now on; that is progress.
  void SetUse(Id id, PlaceUse use, int64_t now_ms);
  // Some of the request or the answer of `id` has moved.
  void NoteMoved(Id id, int64_t now_ms);

  bool full() const { return places_.size() >= options_.limit; }
  size_t open() const { return places_.size(); }
  size_t limit() const { return options_.limit; }
  // The connection that can best be spared; empty when none can now.
  std::optional<Id> ToGiveWay(int64_t now_ms) const;
  // When there may be one, if no connection makes progress until then; empty
  // when the requests of all are in progress.
  std::optional<int64_t> NextToGiveWayMs() const;

 private:
  struct Place {
    PlaceUse use = PlaceUse::kUnused;
    int64_t moved_ms = 0;
    // Start of the request that is being read.
    int64_t read_since_ms = 0;
    // Own entries in `by_use_` and, while a request is being read, in
    // `by_read_start_`.
    std::list<Id>::iterator in_use = {};
    std::list<Id>::iterator in_read_start = {};
  };

  std::list<Id>& Of(PlaceUse use) { return by_use_[static_cast<size_t>(use)]; }
  // The connection with this use that has made no progress for longest, if that
  // is at least `age_ms`.
  std::optional<Id> Oldest(PlaceUse use, int64_t age_ms, int64_t now_ms) const;

  Options options_;
  std::unordered_map<Id, Place> places_;
  // By PlaceUse; each in the order of the last progress.
  std::array<std::list<Id>, static_cast<size_t>(PlaceUse::kCount)> by_use_;
  // Connections whose request is being read, in the order of its start.
  std::list<Id> by_read_start_;
  Id next_id_ = 1;
};

}  // namespace pimento
