// The environment document: the teams, services, upstreams, zones and hosts
// that operators declare for one environment.
//
// The document is validated as a whole before any of it is used. See
// docs/OPERATORS.md for its sections and keys.
#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/admission_window.h"
#include "src/ini_file.h"
#include "src/rate_bucket.h"

namespace pimento {

enum class ServiceKind { kEngine, kPlain };

struct Team {
  std::string name;
  RateLimit rate;
  double weight = 1;
  // SHA-256 digests of caller keys, lower-case hexadecimal.
  std::vector<std::string> key_digests;
  std::set<std::string> services;
};

struct Service {
  std::string name;
  ServiceKind kind = ServiceKind::kEngine;
  // False if a call must run at most once.
  bool idempotent = true;
  // True if callers need no key.
  bool open = false;
  // True if its upstreams reject requests with an outdated fencing token.
  bool fencing = false;
  // Timeout of a call, and of a pause within its answer.
  int64_t call_limit_ms = 60'000;
  int64_t silence_limit_ms = 10'000;
  // Maximum number of calls that wait for an upstream.
  uint32_t queue_limit = 256;
};

struct Upstream {
  std::string name = {};
  std::string service = {};
  std::string address = {};
  std::string zone = {};
  WindowOptions window = {};
  // True if an operator has taken it out of service: it gets no new calls.
  bool leaving = false;
};

struct Document {
  std::string environment;
  uint32_t shards = 16;
  std::map<std::string, Team> teams;
  // Team names by key digest.
  std::unordered_map<std::string, std::string> team_of_digest;
  std::map<std::string, Service> services;
  std::map<std::string, Upstream> upstreams;
  std::set<std::string> zones;
  // Zones and hosts that operators have taken out of service.
  std::set<std::string> drained_zones;
  std::set<std::string> drained_hosts;
  // Hosts that operators have declared permanently lost, with the data they
  // held in memory.
  std::set<std::string> lost_hosts;

  // Throws UserError that lists all faults in `text`. Messages name `file`.
  static Document Parse(const std::string& text, const std::string& file);

  // Returns the team that has a key with `digest`, or nullptr. Digests are
  // compared instead of keys, so that the duration of a lookup reveals nothing
  // about a key.
  const Team* TeamOfDigest(const std::string& digest) const;
  const Service* FindService(const std::string& name) const;
  // Returns whether the upstream may get new calls.
  bool Usable(const Upstream& upstream) const;
};

// The sections and keys that a document may contain.
const std::vector<SectionRule>& DocumentRules();

// Returns the SHA-256 digest of a caller's key in lower-case hexadecimal.
std::string KeyDigest(const std::string& key);

// Returns `text` with `key` of the section [header] set to `value`. A missing
// section is appended; all other lines, including comments, are kept.
std::string WithSetting(const std::string& text, const std::string& header,
                        const std::string& key, const std::string& value);

// A version of an environment's document, as stored in the object API. The
// number grows by one with each change, and a host never goes back to a lower
// one.
struct Generation {
  uint64_t generation = 0;
  std::string environment;
  std::string text;
  // Random. A writer that lost the answer to its conditional update reads the
  // object back and compares the nonce to learn whether its write took effect.
  std::string nonce;
};
BOOST_DESCRIBE_STRUCT(Generation, (), (generation, environment, text, nonce))

// Name of the object that holds the environment's document.
std::string GenerationName(const std::string& environment);
std::string EncodeGeneration(const Generation& generation);
// Throws StateError if `text` is not an encoded generation.
Generation DecodeGeneration(const std::string& text);

}  // namespace pimento
