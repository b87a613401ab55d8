// Joins the pieces of one answer for one caller.
//
// Pieces may come twice, from two owners, or from a new attempt that makes its
// own text. The caller gets every byte once, in order, or is told to start
// over.
//
//   piece(1, 0, "ab")  -> "ab"
//   piece(1, 1, "bc")  -> "c"        the "b" is known already
//   piece(2, 0, "xy")  -> restart, "xy"
#pragma once

#include <cstdint>
#include <string>

namespace pimento {

class AnswerStream {
 public:
  // `offset` bytes of attempt `attempt` are with the caller already.
  AnswerStream(uint32_t attempt, uint64_t offset)
      : attempt_(attempt), delivered_(offset) {}

  struct Output {
    bool restart = false;
    uint64_t offset = 0;
    std::string text;
  };
  // Returns what the caller must be sent for this piece.
  Output AddPiece(uint32_t attempt, uint64_t offset, const std::string& text);
  // Returns what is missing once the whole answer is known.
  Output Finish(uint32_t attempt, const std::string& whole);

  uint32_t attempt() const { return attempt_; }
  uint64_t delivered() const { return delivered_; }

 private:
  // 0 until the first piece.
  uint32_t attempt_;
  // Bytes of `attempt_` that the caller has.
  uint64_t delivered_;
};

}  // namespace pimento
