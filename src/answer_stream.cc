#include "src/answer_stream.h"

namespace pimento {

AnswerStream::Output AnswerStream::AddPiece(uint32_t attempt, uint64_t offset,
                                            const std::string& text) {
  Output output;
  // An abandoned attempt may still send pieces; they are discarded.
  if (attempt < attempt_) return output;
  if (attempt > attempt_) {
    output.restart = attempt_ != 0 && delivered_ > 0;
    attempt_ = attempt;
    delivered_ = 0;
  }
  const bool gap = offset > delivered_;
  const bool duplicate = offset + text.size() <= delivered_;
  // After a gap, Finish() supplies the missing bytes.
  if (gap || duplicate) return output;
  output.offset = delivered_;
  output.text = text.substr(delivered_ - offset);
  delivered_ += output.text.size();
  return output;
}

AnswerStream::Output AnswerStream::Finish(uint32_t attempt,
                                          const std::string& whole) {
  return AddPiece(attempt < attempt_ ? attempt_ : attempt, 0, whole);
}

}  // namespace pimento
