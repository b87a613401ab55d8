#include "src/operator_commands.h"

#include <boost/json.hpp>
#include <random>
#include <sstream>
#include <utility>

#include "src/errors.h"
#include "src/http_client.h"

namespace pimento {
namespace {

namespace json = boost::json;

constexpr int64_t kAdminMs = 800;
constexpr int64_t kPollMs = 50;

std::string NewNonce() {
  std::random_device random;
  std::ostringstream nonce;
  nonce << std::hex << random() << random() << random();
  return nonce.str();
}

}  // namespace

OperatorCommands::OperatorCommands(PlatformClient& platform,
                                   OperatorOptions options)
    : platform_(platform), options_(std::move(options)) {}

CommandReport CheckDocument(const std::string& text, const std::string& file) {
  const Document document = Document::Parse(text, file);
  const json::object facts = {{"ok", true},
                              {"environment", document.environment},
                              {"teams", document.teams.size()},
                              {"services", document.services.size()},
                              {"zones", document.zones.size()},
                              {"upstreams", document.upstreams.size()}};
  std::ostringstream words;
  words << file << ": correct; environment " << document.environment << ", "
        << document.teams.size() << " teams, " << document.services.size()
        << " services, " << document.zones.size() << " zones, "
        << document.upstreams.size() << " upstreams.";
  return {.text = words.str(), .json = json::serialize(facts)};
}

OperatorCommands::Async<OperatorCommands::Present>
OperatorCommands::ReadPresent(std::string environment) {
  const auto object = co_await platform_.Read(GenerationName(environment));
  Present present;
  if (object) {
    present.version = object->version;
    present.generation = DecodeGeneration(object->body);
  }
  co_return present;
}

OperatorCommands::Async<CommandReport> OperatorCommands::Apply(
    std::string text, std::string file) {
  const Document document = Document::Parse(text, file);
  const Present present = co_await ReadPresent(document.environment);
  if (present.generation.generation > 0) {
    const Document before =
        Document::Parse(present.generation.text, "the present document");
    if (before.shards != document.shards) {
      throw UserError(
          file +
          ": [environment] shards: The number of shards is part of every " +
          "program's name and stays " + std::to_string(before.shards) + ".");
    }
  }
  co_return co_await WriteNext(present, document.environment, std::move(text));
}

OperatorCommands::Async<CommandReport> OperatorCommands::WriteNext(
    Present present, std::string environment, std::string text) {
  if (present.generation.text == text) {
    co_return co_await WaitInForce(environment, present.generation.generation);
  }
  const Generation next{.generation = present.generation.generation + 1,
                        .environment = environment,
                        .text = std::move(text),
                        .nonce = NewNonce()};
  const WriteReply reply = co_await platform_.Write(
      GenerationName(environment), EncodeGeneration(next), present.version);
  bool written = reply.result == WriteResult::kWritten;
  if (reply.result == WriteResult::kUnknown) {
    // The answer was lost; the object itself tells whose write took effect.
    const Present seen = co_await ReadPresent(environment);
    written = seen.generation.nonce == next.nonce;
  }
  if (!written) {
    throw UserError("The document of " + environment +
                    " was changed by another operator meanwhile. Nothing was "
                    "applied; look at "
                    "the present one and try again.");
  }
  co_return co_await WaitInForce(environment, next.generation);
}

OperatorCommands::Async<CommandReport> OperatorCommands::WaitInForce(
    std::string environment, uint64_t generation) {
  const int64_t started_ms = NowMs();
  Spread spread;
  do {
    spread = co_await SpreadOf(environment);
    if (spread.hosts > 0 && spread.lowest >= generation) break;
    co_await Sleep(kPollMs);
  } while (NowMs() - started_ms < options_.in_force_ms);
  const int64_t took_ms = NowMs() - started_ms;
  const bool in_force = spread.hosts > 0 && spread.lowest >= generation;
  const json::object facts = {{"ok", true},
                              {"environment", environment},
                              {"generation", generation},
                              {"in_force", in_force},
                              {"hosts", spread.hosts},
                              {"in_force_ms", took_ms}};
  std::ostringstream words;
  words << "Generation " << generation << " of " << environment
        << " is accepted";
  if (in_force) {
    words << " and in force on " << spread.hosts << " live hosts after "
          << took_ms << " ms.";
  } else if (spread.hosts == 0) {
    words << "; no live host of the environment answers.";
  } else {
    words << "; the slowest of " << spread.hosts
          << " live hosts is at generation " << spread.lowest << ".";
  }
  co_return CommandReport{.text = words.str(), .json = json::serialize(facts)};
}

OperatorCommands::Async<std::string> OperatorCommands::AskAdmin(
    std::string address, std::string target) {
  HttpCall call{.address = address,
                .target = target,
                .idle_timeout_ms = kAdminMs,
                .total_ms = kAdminMs};
  try {
    const HttpResult result = co_await Fetch(std::move(call));
    if (result.status == 200) co_return result.body;
  } catch (const TransportError&) {
    // Another host may answer.
  }
  co_return "";
}

OperatorCommands::Async<OperatorCommands::Spread> OperatorCommands::SpreadOf(
    std::string environment) {
  Spread spread;
  for (const std::string& address : options_.admins) {
    const std::string body = co_await AskAdmin(address, "/status");
    if (body.empty()) continue;
    const json::value status = json::parse(body);
    if (status.at("environment").as_string() != environment) continue;
    const auto generation = status.at("generation").to_number<uint64_t>();
    spread.lowest =
        spread.hosts == 0 ? generation : std::min(spread.lowest, generation);
    ++spread.hosts;
  }
  co_return spread;
}

OperatorCommands::Async<CommandReport> OperatorCommands::Promote(
    std::string from, std::string to) {
  const Present trial = co_await ReadPresent(from);
  if (trial.generation.generation == 0) {
    throw UserError("There is no document of " + from + " to promote.");
  }
  const Spread spread = co_await SpreadOf(from);
  if (spread.hosts > 0 && spread.lowest < trial.generation.generation) {
    throw UserError(
        "Generation " + std::to_string(trial.generation.generation) + " of " +
        from +
        " is not in force on all its hosts yet, so it has not proven itself.");
  }
  const std::string text =
      WithSetting(trial.generation.text, "environment", "name", to);
  const Present present = co_await ReadPresent(to);
  co_return co_await WriteNext(present, to, text);
}

OperatorCommands::Async<CommandReport> OperatorCommands::SetFlag(
    std::string environment, std::string kind, std::string name,
    std::string key, bool value) {
  const Present present = co_await ReadPresent(environment);
  if (present.generation.generation == 0) {
    throw UserError("There is no document of " + environment + ".");
  }
  const Document document =
      Document::Parse(present.generation.text, environment);
  if (kind == "zone" && !document.zones.contains(name)) {
    throw UserError("The zone \"" + name + "\" is not declared.");
  }
  const std::string text =
      WithSetting(present.generation.text, kind + " " + name, key,
                  value ? "true" : "false");
  co_return co_await WriteNext(present, environment, text);
}

OperatorCommands::Async<CommandReport> OperatorCommands::Status() {
  std::string first;
  for (const std::string& address : options_.admins) {
    if (first.empty()) first = co_await AskAdmin(address, "/status");
  }
  if (first.empty())
    co_return CommandReport{
        .ok = false, .text = "No host answers.", .json = "{}"};
  const json::value status = json::parse(first);
  std::ostringstream words;
  words << "environment " << status.at("environment").as_string().c_str()
        << ", generation " << status.at("generation") << ", "
        << status.at("shards") << " shards, platform "
        << (status.at("platform_reachable").as_bool() ? "reachable"
                                                      : "not reachable");
  for (const json::value& host : status.at("hosts").as_array()) {
    words << "\n  " << host.at("host").as_string().c_str() << " in "
          << host.at("zone").as_string().c_str() << ": "
          << host.at("state").as_string().c_str()
          << (host.at("leaving").as_bool() ? ", leaving" : "")
          << (host.at("in_service").as_bool() ? "" : ", taken out")
          << ", generation " << host.at("generation") << ", owns "
          << host.at("owned").as_array().size() << " shards";
  }
  co_return CommandReport{.text = words.str(), .json = first};
}

OperatorCommands::Async<CommandReport> OperatorCommands::Explain(
    std::string id) {
  std::vector<std::string> lines;
  for (const std::string& address : options_.admins) {
    const std::string body = co_await AskAdmin(address, "/explain?id=" + id);
    if (body.empty()) continue;
    const json::value found = json::parse(body);
    for (const json::value& line : found.as_array())
      lines.emplace_back(line.as_string());
  }
  // Each line begins with its time.
  std::sort(lines.begin(), lines.end());
  std::string words;
  json::array all;
  for (const std::string& line : lines) {
    words += (words.empty() ? "" : "\n") + line;
    all.emplace_back(line);
  }
  if (lines.empty()) words = "No live host remembers " + id + ".";
  co_return CommandReport{
      .ok = !lines.empty(), .text = words, .json = json::serialize(all)};
}

}  // namespace pimento
