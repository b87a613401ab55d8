#include "src/connection_places.h"

#include <algorithm>

namespace pimento {
namespace {

// What gives way, in this order.
constexpr std::array kGiveWay = {PlaceUse::kUnused, PlaceUse::kIdle,
                                 PlaceUse::kReading, PlaceUse::kSending,
                                 PlaceUse::kStreaming};

}  // namespace

ConnectionPlaces::Id ConnectionPlaces::Add(int64_t now_ms) {
  const Id id = next_id_++;
  auto& unused = Of(PlaceUse::kUnused);
  places_.emplace(
      id, Place{.moved_ms = now_ms, .in_use = unused.insert(unused.end(), id)});
  return id;
}

void ConnectionPlaces::Remove(Id id) {
  const auto it = places_.find(id);
  if (it == places_.end()) return;
  Of(it->second.use).erase(it->second.in_use);
  const Place& place = it->second;
  if (place.use == PlaceUse::kReading) {
    by_read_start_.erase(place.in_read_start);
  }
  places_.erase(it);
}

void ConnectionPlaces::SetUse(Id id, PlaceUse use, int64_t now_ms) {
  const auto it = places_.find(id);
  if (it == places_.end()) return;
  Place& place = it->second;
  const bool was_reading = place.use == PlaceUse::kReading;
  const bool reads = use == PlaceUse::kReading;
  auto& list = Of(use);
  list.splice(list.end(), Of(place.use), place.in_use);
  if (was_reading && !reads) by_read_start_.erase(place.in_read_start);
  if (reads && !was_reading) {
    place.in_read_start = by_read_start_.insert(by_read_start_.end(), id);
    place.read_since_ms = now_ms;
  }
  place.use = use;
  place.moved_ms = now_ms;
}

void ConnectionPlaces::NoteMoved(Id id, int64_t now_ms) {
  const auto it = places_.find(id);
  if (it == places_.end()) return;
  auto& list = Of(it->second.use);
  list.splice(list.end(), list, it->second.in_use);
  it->second.moved_ms = now_ms;
}

std::optional<ConnectionPlaces::Id> ConnectionPlaces::Oldest(
    PlaceUse use, int64_t age_ms, int64_t now_ms) const {
  const auto& list = by_use_[static_cast<size_t>(use)];
  if (list.empty()) return std::nullopt;
  if (now_ms - places_.at(list.front()).moved_ms < age_ms) return std::nullopt;
  return list.front();
}

std::optional<ConnectionPlaces::Id> ConnectionPlaces::ToGiveWay(
    int64_t now_ms) const {
  const auto& ended = by_use_[static_cast<size_t>(PlaceUse::kEnded)];
  if (!ended.empty()) return ended.front();
  for (const int64_t age_ms : {options_.stalled_ms, options_.shortest_ms}) {
    for (const PlaceUse use : kGiveWay) {
      const auto oldest = Oldest(use, age_ms, now_ms);
      if (oldest) return oldest;
    }
  }
  if (by_read_start_.empty()) return std::nullopt;
  const Id longest = by_read_start_.front();
  const int64_t read_ms = now_ms - places_.at(longest).read_since_ms;
  if (read_ms < options_.longest_read_ms) return std::nullopt;
  return longest;
}

std::optional<int64_t> ConnectionPlaces::NextToGiveWayMs() const {
  std::optional<int64_t> next;
  const auto consider = [&next](int64_t time_ms) {
    next = next ? std::min(*next, time_ms) : time_ms;
  };
  for (const PlaceUse use : kGiveWay) {
    const auto& list = by_use_[static_cast<size_t>(use)];
    if (list.empty()) continue;
    consider(places_.at(list.front()).moved_ms + options_.shortest_ms);
  }
  if (by_read_start_.empty()) return next;
  const Place& longest = places_.at(by_read_start_.front());
  consider(longest.read_since_ms + options_.longest_read_ms);
  return next;
}

}  // namespace pimento
