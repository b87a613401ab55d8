// Splits a text/event-stream into whole events, whatever pieces it comes in.
//
//   "id: 4\ndata: ab\n" , "\nid: 5\n"  ->  one event, id "4", data "ab"
//
// What follows the last blank line is kept back: a stream that breaks off in
// the middle of an event passes on no part of it.
#pragma once

#include <string>
#include <vector>

namespace pimento {

struct StreamEvent {
  // The event as it came, with its blank line.
  std::string raw;
  std::string id;
  // Its data lines, joined by line feeds.
  std::string data;
  bool has_data = false;
};

class EventSplitter {
 public:
  std::vector<StreamEvent> Feed(const std::string& piece);
  // True when bytes of an unfinished event are held.
  bool partial() const { return !pending_.empty(); }

 private:
  std::string pending_;
};

}  // namespace pimento
