#include "src/document.h"

#include <openssl/sha.h>

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string.hpp>
#include <boost/json.hpp>
#include <iterator>
#include <sstream>

#include "src/errors.h"

namespace pimento {
namespace {

constexpr size_t kDigestHexLength = size_t{2} * SHA256_DIGEST_LENGTH;

bool IsDigest(const std::string& text) {
  return text.size() == kDigestHexLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Team ReadTeam(const IniSection& section, IniFile& file) {
  Team team{.name = section.name,
            .rate = {.per_second = section.Number("rate"),
                     .burst = section.Number("burst")},
            .weight = section.Number("weight"),
            .key_digests = {},
            .services = {}};
  for (const std::string& key : section.List("keys")) {
    if (!IsDigest(key)) {
      file.AddFault(section, "keys",
                    "The value \"" + key +
                        "\" is not allowed; expected a SHA-256 digest of 64 "
                        "lower-case hexadecimal digits.");
    }
    team.key_digests.push_back(key);
  }
  const std::vector<std::string> services = section.List("services");
  team.services.insert(services.begin(), services.end());
  return team;
}

Service ReadService(const IniSection& section) {
  const bool engine = section.Text("kind") == "engine";
  return {.name = section.name,
          .kind = engine ? ServiceKind::kEngine : ServiceKind::kPlain,
          .idempotent = section.Bool("idempotent"),
          .open = section.Bool("open"),
          .fencing = section.Text("fencing") == "honoured",
          .call_limit_ms = section.Milliseconds("call_limit"),
          .silence_limit_ms = section.Milliseconds("silence_limit"),
          .queue_limit = static_cast<uint32_t>(section.Count("queue_limit"))};
}

Upstream ReadUpstream(const IniSection& section) {
  const WindowOptions window{
      .cold_window = static_cast<uint32_t>(section.Count("cold_window")),
      .full_window = static_cast<uint32_t>(section.Count("window")),
      .cold_start_ms = section.Milliseconds("cold_start"),
      .idle_ms = section.Milliseconds("idle")};
  return {.name = section.name,
          .service = section.Text("service"),
          .address = section.Text("address"),
          .zone = section.Text("zone"),
          .window = window,
          .leaving = section.Bool("leaving")};
}

// Checks references between sections: each name must be declared, and a key
// must belong to one team only.
void CheckReferences(const Document& document, IniFile& file) {
  std::map<std::string, std::string> key_owner;
  for (const IniSection* section : file.SectionsOfKind("team")) {
    const Team& team = document.teams.at(section->name);
    for (const std::string& service : team.services) {
      if (document.services.contains(service)) continue;
      file.AddFault(*section, "services",
                    "The service \"" + service + "\" is not declared.");
    }
    for (const std::string& digest : team.key_digests) {
      const auto [it, inserted] = key_owner.emplace(digest, team.name);
      if (inserted) continue;
      file.AddFault(*section, "keys",
                    "The key digest \"" + digest + "\" belongs to the team \"" +
                        it->second + "\" already.");
    }
  }
  for (const IniSection* section : file.SectionsOfKind("upstream")) {
    const Upstream& upstream = document.upstreams.at(section->name);
    if (!document.services.contains(upstream.service)) {
      file.AddFault(
          *section, "service",
          "The service \"" + upstream.service + "\" is not declared.");
    }
    if (!document.zones.contains(upstream.zone)) {
      file.AddFault(*section, "zone",
                    "The zone \"" + upstream.zone + "\" is not declared.");
    }
    if (upstream.window.cold_window > upstream.window.full_window) {
      file.AddFault(*section, "cold_window",
                    "The cold window is larger than the window.");
    }
  }
}

}  // namespace

const std::vector<SectionRule>& DocumentRules() {
  static const std::vector<SectionRule> rules = {
      {.kind = "environment",
       .required = true,
       .keys = {{.name = "name", .required = true},
                {.name = "shards",
                 .kind = ValueKind::kCount,
                 .default_value = "16",
                 .min_value = 1,
                 .max_value = 4096}}},
      {.kind = "team",
       .named = true,
       .keys = {{.name = "rate",
                 .kind = ValueKind::kRate,
                 .required = true,
                 .min_value = 0.01,
                 .max_value = 1e6},
                {.name = "burst",
                 .kind = ValueKind::kCount,
                 .required = true,
                 .min_value = 1,
                 .max_value = 1e6},
                {.name = "weight",
                 .kind = ValueKind::kNumber,
                 .default_value = "1",
                 .min_value = 0.01,
                 .max_value = 1000},
                {.name = "keys", .kind = ValueKind::kList},
                {.name = "services", .kind = ValueKind::kList}}},
      {.kind = "service",
       .named = true,
       .keys = {{.name = "kind",
                 .kind = ValueKind::kChoice,
                 .required = true,
                 .choices = "engine|plain"},
                {.name = "idempotent",
                 .kind = ValueKind::kBool,
                 .default_value = "true"},
                {.name = "open",
                 .kind = ValueKind::kBool,
                 .default_value = "false"},
                {.name = "fencing",
                 .kind = ValueKind::kChoice,
                 .default_value = "ignored",
                 .choices = "honoured|ignored"},
                {.name = "call_limit",
                 .kind = ValueKind::kDuration,
                 .default_value = "60s",
                 .min_value = 10,
                 .max_value = 3.6e6},
                {.name = "silence_limit",
                 .kind = ValueKind::kDuration,
                 .default_value = "10s",
                 .min_value = 10,
                 .max_value = 3.6e6},
                {.name = "queue_limit",
                 .kind = ValueKind::kCount,
                 .default_value = "256",
                 .min_value = 1,
                 .max_value = 100000}}},
      {.kind = "zone",
       .named = true,
       .keys = {{.name = "drained",
                 .kind = ValueKind::kBool,
                 .default_value = "false"}}},
      {.kind = "host",
       .named = true,
       .keys = {{.name = "drained",
                 .kind = ValueKind::kBool,
                 .default_value = "false"},
                {.name = "lost",
                 .kind = ValueKind::kBool,
                 .default_value = "false"}}},
      {.kind = "upstream",
       .named = true,
       .keys = {{.name = "service", .required = true},
                {.name = "address",
                 .kind = ValueKind::kAddress,
                 .required = true},
                {.name = "zone", .required = true},
                {.name = "window",
                 .kind = ValueKind::kCount,
                 .default_value = "8",
                 .min_value = 1,
                 .max_value = 10000},
                {.name = "cold_window",
                 .kind = ValueKind::kCount,
                 .default_value = "1",
                 .min_value = 1,
                 .max_value = 10000},
                {.name = "cold_start",
                 .kind = ValueKind::kDuration,
                 .default_value = "5s",
                 .min_value = 0,
                 .max_value = 3.6e6},
                {.name = "idle",
                 .kind = ValueKind::kDuration,
                 .default_value = "30s",
                 .min_value = 100,
                 .max_value = 3.6e6},
                {.name = "leaving",
                 .kind = ValueKind::kBool,
                 .default_value = "false"}}},
  };
  return rules;
}

Document Document::Parse(const std::string& text,
                         const std::string& file_name) {
  IniFile file = IniFile::Parse(text, file_name, DocumentRules());
  file.ThrowIfFaulty();
  Document document;
  const IniSection environment = file.SingleSection("environment");
  document.environment = environment.Text("name");
  document.shards = static_cast<uint32_t>(environment.Count("shards"));
  for (const IniSection* section : file.SectionsOfKind("zone")) {
    document.zones.insert(section->name);
    if (section->Bool("drained")) document.drained_zones.insert(section->name);
  }
  for (const IniSection* section : file.SectionsOfKind("host")) {
    if (section->Bool("drained")) document.drained_hosts.insert(section->name);
    if (section->Bool("lost")) document.lost_hosts.insert(section->name);
  }
  for (const IniSection* section : file.SectionsOfKind("service")) {
    document.services[section->name] = ReadService(*section);
  }
  for (const IniSection* section : file.SectionsOfKind("team")) {
    document.teams[section->name] = ReadTeam(*section, file);
  }
  for (const IniSection* section : file.SectionsOfKind("upstream")) {
    document.upstreams[section->name] = ReadUpstream(*section);
  }
  CheckReferences(document, file);
  file.ThrowIfFaulty();
  for (const auto& [name, team] : document.teams) {
    for (const std::string& digest : team.key_digests) {
      document.team_of_digest[digest] = name;
    }
  }
  return document;
}

const Team* Document::TeamOfDigest(const std::string& digest) const {
  const auto it = team_of_digest.find(digest);
  return it == team_of_digest.end() ? nullptr : &teams.at(it->second);
}

const Service* Document::FindService(const std::string& name) const {
  const auto it = services.find(name);
  return it == services.end() ? nullptr : &it->second;
}

bool Document::Usable(const Upstream& upstream) const {
  return !upstream.leaving && !drained_zones.contains(upstream.zone);
}

std::string KeyDigest(const std::string& key) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest);
  std::string text;
  boost::algorithm::hex_lower(std::begin(digest), std::end(digest),
                              std::back_inserter(text));
  return text;
}

std::string WithSetting(const std::string& text, const std::string& section,
                        const std::string& key, const std::string& value) {
  const std::string header = "[" + section + "]";
  const std::string setting = key + " = " + value;
  std::istringstream in(text);
  std::string out;
  std::string line;
  bool inside = false;
  bool seen = false;
  while (std::getline(in, line)) {
    const std::string trimmed = boost::trim_copy(line);
    if (boost::starts_with(trimmed, "[")) inside = trimmed == header;
    const std::string named =
        boost::trim_copy(trimmed.substr(0, trimmed.find('=')));
    if (inside && named == key) continue;
    out += line + "\n";
    if (inside && trimmed == header) {
      out += setting + "\n";
      seen = true;
    }
  }
  if (!seen) out += "\n" + header + "\n" + setting + "\n";
  return out;
}

std::string GenerationName(const std::string& environment) {
  return "environment/" + environment;
}

std::string EncodeGeneration(const Generation& generation) {
  return boost::json::serialize(boost::json::value_from(generation));
}

Generation DecodeGeneration(const std::string& text) {
  try {
    return boost::json::value_to<Generation>(boost::json::parse(text));
  } catch (const std::exception& e) {
    throw StateError("The environment object cannot be read: " +
                     std::string(e.what()));
  }
}

}  // namespace pimento
