// Splits a text/event-stream that arrives in arbitrary fragments into complete
// events.
//
//   "id: 4\ndata: ab\n" , "\nid: 5\n"  ->  one event, id "4", data "ab"
//
// Data after the last blank line is buffered, so no part of an incomplete event
// is returned when the stream is cut off.
#pragma once

#include <string>
#include <vector>

namespace pimento {

struct StreamEvent {
  // The unmodified bytes of the event, including the blank line.
  std::string raw;
  std::string id;
  // The values of its data fields, joined by line feeds.
  std::string data;
  bool has_data = false;
};

class EventSplitter {
 public:
  // Adds received bytes and returns the events that they complete.
  std::vector<StreamEvent> Feed(const std::string& piece);
  // True when the buffer holds part of an incomplete event.
  bool partial() const { return !pending_.empty(); }
  // True when the incomplete event is longer than any real one.
  bool too_long() const { return pending_.size() > kMaxEventBytes; }

 private:
  static constexpr size_t kMaxEventBytes = 256 * 1024;

  std::string pending_;
  // The end of an event is searched from here: no earlier byte begins one.
  size_t search_from_ = 0;
};

}  // namespace pimento
