// Reassembles the pieces of one streamed answer for one caller.
//
// The same piece may arrive twice, from two owners of the shard, and a new
// attempt generates its own text. The caller receives every byte once, in
// order, or an instruction to discard what it has and start over.
//
//   AddPiece(1, 0, "ab")  -> "ab"
//   AddPiece(1, 1, "bc")  -> "c"       "b" was delivered before
//   AddPiece(2, 0, "xy")  -> restart, "xy"
#pragma once

#include <cstdint>
#include <string>

namespace pimento {

class AnswerStream {
 public:
  // Continues an answer of which the caller already has the first `offset`
  // bytes, from attempt `attempt`. Both are 0 for a new answer.
  AnswerStream(uint32_t attempt, uint64_t offset)
      : attempt_(attempt), delivered_(offset) {}

  // What to send to the caller.
  struct Output {
    // The caller must first discard the text it has received so far.
    bool restart = false;
    // Position of `text` in the answer, in bytes.
    uint64_t offset = 0;
    // Empty when there is nothing new to send.
    std::string text;
  };
  // Returns the bytes of this piece that the caller does not have yet. Pieces
  // of an older attempt and pieces after a gap yield nothing.
  Output AddPiece(uint32_t attempt, uint64_t offset, const std::string& text);
  // Returns the rest of the answer; `whole` is its complete text.
  Output Finish(uint32_t attempt, const std::string& whole);

  uint32_t attempt() const { return attempt_; }
  uint64_t delivered() const { return delivered_; }

 private:
  // 0 until the first piece.
  uint32_t attempt_;
  // Bytes of `attempt_` that the caller has received.
  uint64_t delivered_;
};

}  // namespace pimento
