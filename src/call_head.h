// Decoded header fields of a caller's request. Numbers are parsed and
// validated; an absent number is nullopt, never 0.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimento {

// A part of a prompt that may be shared with other requests, such as a common
// prefix.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

struct CallHead {
  std::string request_id = {};
  std::string host = {};
  // Path without the query string.
  std::string path = {};
  // Credential of the Authorization header, without the scheme; empty when
  // absent.
  std::string key = {};
  // How long the caller waits for the response, milliseconds.
  std::optional<int64_t> deadline_ms = {};
  std::string affinity = {};
  std::string last_event_id = {};
  // Prompt parts, in order; the last one is specific to this request or its
  // session.
  std::vector<PromptPart> prompt = {};
  std::optional<int64_t> prompt_tokens = {};
  // Upper bound on the tokens that the request generates.
  std::optional<int64_t> max_output_tokens = {};

  // The following fields are set on requests of agent programs.
  std::string program = {};
  std::string session = {};
  // Time remaining until the program should finish, milliseconds.
  std::optional<int64_t> program_left_ms = {};
  // Upper bound on the tokens that all turns of the program generate together.
  std::optional<int64_t> token_budget = {};
  // Request id of the turn that this one continues.
  std::string previous_turn = {};
};

}  // namespace pimento
