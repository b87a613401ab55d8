#include "src/byte_account.h"

#include <array>

namespace pimento {
namespace {

// Share of the budget that a holder of more than little may use, in quarters.
constexpr uint64_t kSharedQuarters = 3;
constexpr uint64_t kQuarters = 4;

constexpr std::array<std::string_view, 4> kStageNames = {
    "reading", "sending", "streaming", "in_progress"};

}  // namespace

std::string_view Name(HolderStage stage) {
  return kStageNames[static_cast<size_t>(stage)];
}

ByteAccount::HolderId ByteAccount::Add(int64_t now_ms) {
  const HolderId id = next_id_++;
  holders_.emplace(id, Holder{.moved_ms = now_ms});
  return id;
}

void ByteAccount::Remove(HolderId id) {
  SetBytes(id, 0);
  holders_.erase(id);
  if (passing_ == id) passing_ = 0;
}

void ByteAccount::SetBytes(HolderId id, uint64_t bytes) {
  const auto it = holders_.find(id);
  if (it == holders_.end()) return;
  held_ = held_ - it->second.bytes + bytes;
  it->second.bytes = bytes;
}

void ByteAccount::SetStage(HolderId id, HolderStage stage, int64_t now_ms) {
  const auto it = holders_.find(id);
  if (it == holders_.end()) return;
  it->second.stage = stage;
  it->second.moved_bytes = 0;
  it->second.moved_ms = now_ms;
}

bool ByteAccount::NoteMoved(HolderId id, uint64_t bytes, int64_t now_ms) {
  const auto it = holders_.find(id);
  if (it == holders_.end()) return false;
  Holder& holder = it->second;
  holder.moved_bytes += bytes;
  if (holder.moved_bytes < options_.step) return false;
  holder.moved_bytes = 0;
  holder.moved_ms = now_ms;
  return true;
}

bool ByteAccount::MayGrow(HolderId id, uint64_t more) const {
  if (passing_ == id) return true;
  const uint64_t own = BytesOf(id);
  const uint64_t shared = options_.budget / kQuarters * kSharedQuarters;
  const uint64_t after = held_ + more;
  if (after <= shared) return true;
  if (own + more <= options_.little) return after <= options_.budget;
  // Only one at a time can hold so much more than all others together.
  return (held_ - own) * kQuarters <= options_.budget;
}

std::optional<ByteAccount::HolderId> ByteAccount::ToClose(
    HolderId asking, int64_t now_ms) const {
  const bool asking_stalled = Stalled(asking, now_ms);
  const bool asks_for_little = BytesOf(asking) <= options_.little;
  std::optional<HolderId> chosen;
  // Lower ranks go first.
  int chosen_rank = 0;
  double chosen_weight = 0;
  for (const auto& [id, holder] : holders_) {
    if (holder.stage == HolderStage::kInProgress) continue;
    const bool little = holder.bytes <= options_.little && id != asking;
    const bool streaming = holder.stage == HolderStage::kStreaming;
    const bool stalled = Stalled(id, now_ms);
    // What holds little gives room only for another that does.
    if (little && (!stalled || !asks_for_little)) continue;
    if (!stalled && (streaming || !asking_stalled)) continue;
    const int rank = id == asking ? 3 : little ? 2 : streaming ? 1 : 0;
    const double weight = static_cast<double>(holder.bytes) *
                          static_cast<double>(now_ms - holder.moved_ms + 1);
    const bool better = !chosen || rank < chosen_rank ||
                        (rank == chosen_rank && weight > chosen_weight);
    if (!better) continue;
    chosen = id;
    chosen_rank = rank;
    chosen_weight = weight;
  }
  return chosen;
}

bool ByteAccount::Stalled(HolderId id, int64_t now_ms) const {
  const auto it = holders_.find(id);
  return it != holders_.end() &&
         now_ms - it->second.moved_ms >= options_.stalled_ms;
}

uint64_t ByteAccount::BytesOf(HolderId id) const {
  const auto it = holders_.find(id);
  return it == holders_.end() ? 0 : it->second.bytes;
}

HolderStage ByteAccount::StageOf(HolderId id) const {
  const auto it = holders_.find(id);
  return it == holders_.end() ? HolderStage::kReading : it->second.stage;
}

}  // namespace pimento
