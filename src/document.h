// The environment document: what operators declare for one environment.
//
// It is checked whole before anything of it is used. See docs/OPERATORS.md for
// every section and key.
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
  // False when a call must run at most once.
  bool idempotent = true;
  // True when callers need no key.
  bool open = false;
  // True when its upstreams refuse orders with an old fencing number.
  bool fencing = false;
  int64_t call_limit_ms = 60'000;
  int64_t silence_limit_ms = 10'000;
  uint32_t queue_limit = 256;
};

struct Upstream {
  std::string name = {};
  std::string service = {};
  std::string address = {};
  std::string zone = {};
  WindowOptions window = {};
  // True when operators take it out: no new work.
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
  std::set<std::string> drained_zones;
  std::set<std::string> drained_hosts;
  // Hosts that operators declare gone for good, memory and all.
  std::set<std::string> lost_hosts;

  // Throws UserError that lists every fault in `text`.
  static Document Parse(const std::string& text, const std::string& file);

  // The team whose key has `digest`. Digests are compared, not keys: how long a
  // look-up takes tells nothing about a key.
  const Team* TeamOfDigest(const std::string& digest) const;
  const Service* FindService(const std::string& name) const;
  // True when the upstream may be given new work.
  bool Usable(const Upstream& upstream) const;
};

// Rules of the document, for `pimentoctl check` and the operators' page.
const std::vector<SectionRule>& DocumentRules();

// SHA-256 of a caller's key, lower-case hexadecimal.
std::string KeyDigest(const std::string& key);

// Returns `text` with `key` of the section [header] set to `value`. The section
// is added when it is missing; the rest, comments too, stays as it is.
std::string WithSetting(const std::string& text, const std::string& header,
                        const std::string& key, const std::string& value);

// One accepted state of an environment's document. Hosts never go back to a
// lower generation.
struct Generation {
  uint64_t generation = 0;
  std::string environment;
  std::string text;
  // Settles a conditional update whose answer was lost.
  std::string nonce;
};
BOOST_DESCRIBE_STRUCT(Generation, (), (generation, environment, text, nonce))

std::string GenerationName(const std::string& environment);
std::string EncodeGeneration(const Generation& generation);
// Throws StateError when `text` is no generation.
Generation DecodeGeneration(const std::string& text);

}  // namespace pimento
