#include "src/program_ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cstdio>

namespace pimento {
namespace {

constexpr size_t kShardDigits = 4;
constexpr size_t kUniqueDigits = 16;

template <class T>
std::string Encode(const T& value) {
  return boost::json::serialize(boost::json::value_from(value));
}

template <class T>
T Decode(const std::string& text) {
  // An upstream's answer may hold any bytes.
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  return boost::json::value_to<T>(boost::json::parse(text, {}, options));
}

std::string Hex(uint64_t value, int digits) {
  char text[24];
  std::snprintf(text, sizeof text, "%0*llx", digits,
                static_cast<unsigned long long>(value));
  return text;
}

// Splits "c/ID/000007". Returns false for other keys.
bool SplitCallKey(const std::string& key, std::string& id, uint32_t& sequence) {
  const size_t slash = key.rfind('/');
  if (!key.starts_with("c/") || slash <= 2) return false;
  id = key.substr(2, slash - 2);
  const char* begin = key.data() + slash + 1;
  return std::from_chars(begin, key.data() + key.size(), sequence).ec ==
         std::errc{};
}

}  // namespace

std::string ProgramKey(const std::string& id) { return "p/" + id; }

std::string CallKey(const std::string& id, uint32_t sequence) {
  char digits[16];
  std::snprintf(digits, sizeof digits, "%06u", sequence);
  return "c/" + id + "/" + digits;
}

Record MakeRecord(const std::string& id, const ProgramRecord& program) {
  return {.key = ProgramKey(id),
          .epoch = {},
          .version = 0,
          .value = Encode(program)};
}

Record MakeRecord(const std::string& id, uint32_t sequence,
                  const CallRecord& call) {
  return {.key = CallKey(id, sequence),
          .epoch = {},
          .version = 0,
          .value = Encode(call)};
}

std::string ProgramId(uint32_t shard, const std::string& unique) {
  return Hex(shard, kShardDigits) + "-" +
         Hex(XXH3_64bits(unique.data(), unique.size()), 16);
}

std::optional<uint32_t> ShardOfProgram(const std::string& id) {
  const bool well_formed =
      id.size() == kShardDigits + 1 + kUniqueDigits &&
      id[kShardDigits] == '-' &&
      id.find_first_not_of("0123456789abcdef-") == std::string::npos;
  if (!well_formed) return std::nullopt;
  uint32_t shard = 0;
  std::from_chars(id.data(), id.data() + kShardDigits, shard, 16);
  return shard;
}

std::string CallDigest(const std::string& service, const std::string& path,
                       const std::string& input, uint64_t max_tokens) {
  const std::string all =
      service + "\n" + path + "\n" + std::to_string(max_tokens) + "\n" + input;
  return Hex(XXH3_64bits(all.data(), all.size()), 16);
}

void ProgramLedger::Load(const std::map<std::string, Record>& records) {
  programs_.clear();
  // "c/..." sorts before "p/...", but calls need their program: two passes.
  for (const auto& [key, record] : records) {
    if (key.starts_with("p/")) Apply(record);
  }
  for (const auto& [key, record] : records) {
    if (key.starts_with("c/")) Apply(record);
  }
  // A child may have been applied before its parent.
  for (const auto& [id, program] : programs_) {
    LinkToParent(id, program.record.parent);
  }
}

void ProgramLedger::LinkToParent(const std::string& id,
                                 const std::string& parent) {
  const auto it = programs_.find(parent);
  if (it == programs_.end()) return;
  std::vector<std::string>& children = it->second.children;
  if (std::find(children.begin(), children.end(), id) == children.end()) {
    children.push_back(id);
  }
}

void ProgramLedger::Apply(const Record& record) {
  if (record.key.starts_with("p/")) {
    const std::string id = record.key.substr(2);
    if (record.value.empty()) {
      programs_.erase(id);
      return;
    }
    Program& program = programs_[id];
    program.record = Decode<ProgramRecord>(record.value);
    LinkToParent(id, program.record.parent);
    return;
  }
  std::string id;
  uint32_t sequence = 0;
  if (!SplitCallKey(record.key, id, sequence)) return;
  const auto it = programs_.find(id);
  if (it == programs_.end()) return;
  if (record.value.empty()) {
    it->second.calls.erase(sequence);
    return;
  }
  it->second.calls[sequence] = Decode<CallRecord>(record.value);
}

Program* ProgramLedger::Find(const std::string& id) {
  const auto it = programs_.find(id);
  return it == programs_.end() ? nullptr : &it->second;
}

const Program* ProgramLedger::Find(const std::string& id) const {
  const auto it = programs_.find(id);
  return it == programs_.end() ? nullptr : &it->second;
}

CallPosition ProgramLedger::PositionOf(const Program& program,
                                       uint32_t sequence,
                                       const std::string& digest) const {
  const auto it = program.calls.find(sequence);
  if (it != program.calls.end()) {
    if (it->second.digest != digest) return CallPosition::kMismatch;
    if (program.running_sequence == sequence) return CallPosition::kRunning;
    return it->second.state == CallState::kIntent ? CallPosition::kInterrupted
                                                  : CallPosition::kRecorded;
  }
  if (program.running_sequence == sequence) return CallPosition::kRunning;
  if (program.running_sequence != 0 || sequence != program.NextSequence()) {
    return CallPosition::kAhead;
  }
  const auto last = program.calls.rbegin();
  const bool open =
      last != program.calls.rend() && last->second.state == CallState::kIntent;
  return open ? CallPosition::kAhead : CallPosition::kNext;
}

Usage ProgramLedger::Used(const Program& program) const {
  Usage used;
  for (const auto& [sequence, call] : program.calls) {
    ++used.calls;
    used.tokens +=
        call.state == CallState::kDone ? call.tokens : call.max_tokens;
  }
  const bool reserved = program.running_sequence != 0 &&
                        !program.calls.contains(program.running_sequence);
  if (reserved) {
    ++used.calls;
    used.tokens += program.reserved_tokens;
  }
  used.calls += program.pending_children.calls;
  used.tokens += program.pending_children.tokens;
  for (const std::string& id : program.children) {
    const Program* child = Find(id);
    if (child == nullptr) continue;
    const bool live = child->record.state == ProgramState::kLive ||
                      child->running_sequence != 0;
    const Usage child_usage = Used(*child);
    used.calls += live ? child->record.budget_calls : child_usage.calls;
    used.tokens += live ? child->record.budget_tokens : child_usage.tokens;
  }
  return used;
}

std::optional<Reason> ProgramLedger::OverBudget(const Program& program,
                                                uint64_t tokens,
                                                int64_t now_ms) const {
  return OverBudgetForChild(program, 1, tokens, now_ms);
}

std::optional<Reason> ProgramLedger::OverBudgetForChild(const Program& program,
                                                        uint32_t calls,
                                                        uint64_t tokens,
                                                        int64_t now_ms) const {
  const Usage used = Used(program);
  if (now_ms >= program.record.deadline_ms) return Reason::kBudgetTime;
  if (used.calls + calls > program.record.budget_calls) {
    return Reason::kBudgetCalls;
  }
  if (used.tokens + tokens > program.record.budget_tokens) {
    return Reason::kBudgetTokens;
  }
  return std::nullopt;
}

std::set<std::string> ProgramLedger::UpstreamsWithMemory(
    const Program& program) const {
  std::set<std::string> upstreams;
  for (const auto& [sequence, call] : program.calls) {
    // Plain services keep no session: only calls with tokens use engine memory.
    if (call.max_tokens == 0) continue;
    if (!call.upstream.empty()) upstreams.insert(call.upstream);
    upstreams.insert(call.earlier_upstreams.begin(),
                     call.earlier_upstreams.end());
  }
  for (const std::string& upstream : program.record.released) {
    upstreams.erase(upstream);
  }
  return upstreams;
}

std::vector<std::pair<std::string, std::string>>
ProgramLedger::PendingReleases() const {
  std::vector<std::pair<std::string, std::string>> all;
  for (const auto& [id, program] : programs_) {
    if (program.record.state == ProgramState::kLive ||
        program.running_sequence != 0) {
      continue;
    }
    for (const std::string& upstream : UpstreamsWithMemory(program)) {
      all.emplace_back(id, upstream);
    }
  }
  return all;
}

std::vector<std::string> ProgramLedger::Overdue(int64_t now_ms) const {
  std::vector<std::string> ids;
  for (const auto& [id, program] : programs_) {
    if (program.record.state != ProgramState::kLive) continue;
    if (now_ms >= program.record.deadline_ms) ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> ProgramLedger::Removable(int64_t before_ms) const {
  std::vector<std::string> ids;
  for (const auto& [id, program] : programs_) {
    if (program.record.state == ProgramState::kLive ||
        program.running_sequence != 0) {
      continue;
    }
    if (program.record.ended_ms < before_ms &&
        UpstreamsWithMemory(program).empty()) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<std::pair<std::string, uint32_t>> ProgramLedger::InterruptedCalls()
    const {
  std::vector<std::pair<std::string, uint32_t>> open;
  for (const auto& [id, program] : programs_) {
    if (program.calls.empty() || program.record.state != ProgramState::kLive) {
      continue;
    }
    const auto& [sequence, call] = *program.calls.rbegin();
    if (call.state == CallState::kIntent && program.running_sequence == 0) {
      open.emplace_back(id, sequence);
    }
  }
  return open;
}

}  // namespace pimento
