// What a caller says about a request besides its body, with numbers read and
// checked. An absent number is nullopt, never 0.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

// A part of a prompt that other requests may share.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

struct CallHead {
  std::string request_id = {};
  std::string host = {};
  // Path without the query.
  std::string path = {};
  // Credential after the scheme; empty when there is none.
  std::string key = {};
  // How long the caller waits, milliseconds.
  std::optional<int64_t> deadline_ms = {};
  std::string affinity = {};
  std::string last_event_id = {};
  // Prompt, in order; the last part belongs to this request or its session.
  std::vector<PromptPart> prompt = {};
  std::optional<int64_t> prompt_tokens = {};
  // Most tokens that the request generates.
  std::optional<int64_t> max_output_tokens = {};

  // An agent program's request carries these.
  std::string program = {};
  std::string session = {};
  // Time left until the program should be finished, milliseconds.
  std::optional<int64_t> program_left_ms = {};
  // Tokens that all turns of the program may generate.
  std::optional<int64_t> token_budget = {};
  // Request id of the turn that this one continues from.
  std::string previous_turn = {};
};

}  // namespace pimento
