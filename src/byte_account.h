// One account of the bytes that a process holds for others: requests being
// read, answers and streams being sent, histories, calls in progress. Decides
// who may make it hold more, and who is refused or closed when it is short.
//
// Load: clients that nobody controls. 60 connections each send a body of 1 MB
// in chunks, stop just short of its end and stay open. Each is inside its own
// limit; their sum takes a host of 48 MB past its memory.
//
//   ByteAccount account({.budget = 12'000'000});
//   // 12 readers hold 750'000 each: 9'000'000, three quarters of the budget.
//   account.MayGrow(reader_13, 4'096, now_ms)   // false: it pauses
//   account.MayGrow(ordinary, 4'096, now_ms)    // true: it holds little
//   account.ToClose(reader_13, now_ms)          // the one that holds most and
//                                               // has moved least
//
// What a holder with little may still use is the last quarter of the budget, so
// that ordinary callers are served beside a crowd. One that holds nearly all by
// itself is never short: a single request inside the limits is served in calm.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace pimento {

// How far a holder is.
enum class HolderStage : uint8_t {
  // A request is being read: nothing of it has run.
  kReading,
  // A whole answer is being sent: its upstream has done its work.
  kSending,
  // A piece of a stream is being sent, and its upstream is still at work.
  kStreaming,
  // A request waits for an upstream, or is with one. Never closed.
  kInProgress,
};

std::string_view Name(HolderStage stage);

class ByteAccount {
 public:
  using HolderId = uint64_t;

  struct Options {
    uint64_t budget = 64 * 1024 * 1024;
    // A holder of no more than this may use the budget to its end.
    uint64_t little = 16 * 1024;
    // A holder moves when so many bytes have come or gone: one that sends byte
    // by byte does not.
    uint64_t step = 1'024;
    // A holder that has not moved for so long has stalled. Others are closed
    // only for one that has waited so long itself.
    int64_t stalled_ms = 250;
  };

  explicit ByteAccount(Options options) : options_(options) {}

  HolderId Add(int64_t now_ms);
  void Remove(HolderId id);
  // What `id` holds from now on, memory that is allocated and not yet used
  // included.
  void SetBytes(HolderId id, uint64_t bytes);
  // `id` enters `stage`; it counts as having moved.
  void SetStage(HolderId id, HolderStage stage, int64_t now_ms);
  // `bytes` of `id` have arrived or were taken by its reader. Returns whether
  // `id` counts as having moved.
  bool NoteMoved(HolderId id, uint64_t bytes, int64_t now_ms);

  // Lets `id` grow without regard to others, until it is removed: when all that
  // is held belongs to requests in progress, they go on one after the other.
  void LetPass(HolderId id) { passing_ = id; }
  bool IsPassing() const { return passing_ != 0; }
  // Whether `id` may hold `more` bytes beyond what it holds.
  bool MayGrow(HolderId id, uint64_t more) const;
  // Whom to close for the room that `asking` waits for: the one that holds most
  // and has moved least, a stream only when there is no other, then one of
  // those that hold little and have stalled if `asking` holds little too, and
  // `asking` itself last. Empty when nobody may be closed now.
  std::optional<HolderId> ToClose(HolderId asking, int64_t now_ms) const;

  uint64_t held() const { return held_; }
  uint64_t budget() const { return options_.budget; }
  size_t holders() const { return holders_.size(); }
  uint64_t BytesOf(HolderId id) const;
  HolderStage StageOf(HolderId id) const;

 private:
  struct Holder {
    HolderStage stage = HolderStage::kReading;
    uint64_t bytes = 0;
    int64_t moved_ms = 0;
    // Bytes since `moved_ms`.
    uint64_t moved_bytes = 0;
  };

  bool Stalled(HolderId id, int64_t now_ms) const;

  Options options_;
  std::unordered_map<HolderId, Holder> holders_;
  // Sum of the bytes of all holders.
  uint64_t held_ = 0;
  HolderId next_id_ = 1;
  // The holder of LetPass(); 0 when there is none.
  HolderId passing_ = 0;
};

}  // namespace pimento
