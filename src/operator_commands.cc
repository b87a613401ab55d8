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

constexpr int64_t kAdminTimeoutMs = 800;
constexpr int64_t kPollIntervalMs = 50;

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
  const json::object fields = {{"ok", true},
                               {"environment", document.environment},
                               {"teams", document.teams.size()},
                               {"services", document.services.size()},
                               {"zones", document.zones.size()},
                               {"upstreams", document.upstreams.size()}};
  std::ostringstream summary;
  summary << file << ": correct; environment " << document.environment << ", "
          << document.teams.size() << " teams, " << document.services.size()
          << " services, " << document.zones.size() << " zones, "
          << document.upstreams.size() << " upstreams.";
  return {.text = summary.str(), .json = json::serialize(fields)};
}

OperatorCommands::Async<OperatorCommands::CurrentDocument>
OperatorCommands::ReadCurrent(std::string environment) {
  const auto object = co_await platform_.Read(GenerationName(environment));
  CurrentDocument current;
  if (object) {
    current.version = object->version;
    current.generation = DecodeGeneration(object->body);
  }
  co_return current;
}

OperatorCommands::Async<CommandReport> OperatorCommands::Apply(
    std::string text, std::string file) {
  const Document document = Document::Parse(text, file);
  const CurrentDocument current = co_await ReadCurrent(document.environment);
  if (current.generation.generation > 0) {
    const Document before =
        Document::Parse(current.generation.text, "the current document");
    if (before.shards != document.shards) {
      throw UserError(
          file +
          ": [environment] shards: The number of shards is part of every " +
          "program's name and stays " + std::to_string(before.shards) + ".");
    }
  }
  co_return co_await WriteNext(current, document.environment, std::move(text));
}

OperatorCommands::Async<CommandReport> OperatorCommands::WriteNext(
    CurrentDocument current, std::string environment, std::string text) {
  if (current.generation.text == text) {
    co_return co_await WaitInForce(environment, current.generation.generation);
  }
  const Generation next{.generation = current.generation.generation + 1,
                        .environment = environment,
                        .text = std::move(text),
                        .nonce = NewNonce()};
  const WriteReply reply = co_await platform_.Write(
      GenerationName(environment), EncodeGeneration(next), current.version);
  bool written = reply.result == WriteResult::kWritten;
  if (reply.result == WriteResult::kUnknown) {
    // The answer was lost: the stored nonce tells whose write took effect.
    const CurrentDocument seen = co_await ReadCurrent(environment);
    written = seen.generation.nonce == next.nonce;
  }
  if (!written) {
    throw UserError("The document of " + environment +
                    " was changed by another operator in the meantime. "
                    "Nothing was applied; review the current document and try "
                    "again.");
  }
  co_return co_await WaitInForce(environment, next.generation);
}

OperatorCommands::Async<CommandReport> OperatorCommands::WaitInForce(
    std::string environment, uint64_t generation) {
  const int64_t started_ms = NowMs();
  HostGenerations hosts;
  do {
    hosts = co_await QueryGenerations(environment);
    if (hosts.count > 0 && hosts.lowest >= generation) break;
    co_await Sleep(kPollIntervalMs);
  } while (NowMs() - started_ms < options_.in_force_timeout_ms);
  const int64_t took_ms = NowMs() - started_ms;
  const bool in_force = hosts.count > 0 && hosts.lowest >= generation;
  const json::object fields = {{"ok", true},
                               {"environment", environment},
                               {"generation", generation},
                               {"in_force", in_force},
                               {"hosts", hosts.count},
                               {"in_force_ms", took_ms}};
  std::ostringstream summary;
  summary << "Generation " << generation << " of " << environment
          << " is accepted";
  if (in_force) {
    summary << " and in force on " << hosts.count << " live hosts after "
            << took_ms << " ms.";
  } else if (hosts.count == 0) {
    summary << "; no live host of the environment answers.";
  } else {
    summary << "; the slowest of " << hosts.count
            << " live hosts is at generation " << hosts.lowest << ".";
  }
  co_return CommandReport{.text = summary.str(),
                          .json = json::serialize(fields)};
}

OperatorCommands::Async<std::string> OperatorCommands::QueryAdmin(
    std::string address, std::string target) {
  HttpCall call{.address = address,
                .target = target,
                .idle_timeout_ms = kAdminTimeoutMs,
                .total_ms = kAdminTimeoutMs};
  try {
    const HttpResult result = co_await Fetch(std::move(call));
    if (result.status == 200) co_return result.body;
  } catch (const TransportError&) {
    // Another host may answer.
  }
  co_return "";
}

OperatorCommands::Async<OperatorCommands::HostGenerations>
OperatorCommands::QueryGenerations(std::string environment) {
  HostGenerations hosts;
  for (const std::string& address : options_.admins) {
    const std::string body = co_await QueryAdmin(address, "/status");
    if (body.empty()) continue;
    const json::value status = json::parse(body);
    if (status.at("environment").as_string() != environment) continue;
    const auto generation = status.at("generation").to_number<uint64_t>();
    hosts.lowest =
        hosts.count == 0 ? generation : std::min(hosts.lowest, generation);
    ++hosts.count;
  }
  co_return hosts;
}

OperatorCommands::Async<CommandReport> OperatorCommands::Promote(
    std::string from, std::string to) {
  const CurrentDocument source = co_await ReadCurrent(from);
  if (source.generation.generation == 0) {
    throw UserError("There is no document of " + from + " to promote.");
  }
  const HostGenerations hosts = co_await QueryGenerations(from);
  if (hosts.count > 0 && hosts.lowest < source.generation.generation) {
    throw UserError(
        "Generation " + std::to_string(source.generation.generation) + " of " +
        from +
        " is not in force on all of its hosts yet, so it cannot be promoted.");
  }
  const std::string text =
      WithSetting(source.generation.text, "environment", "name", to);
  const CurrentDocument current = co_await ReadCurrent(to);
  co_return co_await WriteNext(current, to, text);
}

OperatorCommands::Async<CommandReport> OperatorCommands::SetFlag(
    std::string environment, std::string kind, std::string name,
    std::string key, bool value) {
  const CurrentDocument current = co_await ReadCurrent(environment);
  if (current.generation.generation == 0) {
    throw UserError("There is no document of " + environment + ".");
  }
  const Document document =
      Document::Parse(current.generation.text, environment);
  if (kind == "zone" && !document.zones.contains(name)) {
    throw UserError("The zone \"" + name + "\" is not declared.");
  }
  const std::string text =
      WithSetting(current.generation.text, kind + " " + name, key,
                  value ? "true" : "false");
  co_return co_await WriteNext(current, environment, text);
}

OperatorCommands::Async<CommandReport> OperatorCommands::Status() {
  std::string first;
  for (const std::string& address : options_.admins) {
    if (first.empty()) first = co_await QueryAdmin(address, "/status");
  }
  if (first.empty())
    co_return CommandReport{
        .ok = false, .text = "No host answers.", .json = "{}"};
  const json::value status = json::parse(first);
  std::ostringstream summary;
  summary << "environment " << status.at("environment").as_string().c_str()
          << ", generation " << status.at("generation") << ", "
          << status.at("shards") << " shards, platform "
          << (status.at("platform_reachable").as_bool() ? "reachable"
                                                        : "not reachable");
  for (const json::value& host : status.at("hosts").as_array()) {
    summary << "\n  " << host.at("host").as_string().c_str() << " in "
            << host.at("zone").as_string().c_str() << ": "
            << host.at("state").as_string().c_str()
            << (host.at("leaving").as_bool() ? ", leaving" : "")
            << (host.at("in_service").as_bool() ? "" : ", out of service")
            << ", generation " << host.at("generation") << ", owns "
            << host.at("owned").as_array().size() << " shards";
  }
  co_return CommandReport{.text = summary.str(), .json = first};
}

OperatorCommands::Async<CommandReport> OperatorCommands::Explain(
    std::string id) {
  std::vector<std::string> lines;
  for (const std::string& address : options_.admins) {
    const std::string body = co_await QueryAdmin(address, "/explain?id=" + id);
    if (body.empty()) continue;
    const json::value found = json::parse(body);
    for (const json::value& line : found.as_array())
      lines.emplace_back(line.as_string());
  }
  // Each line begins with its timestamp.
  std::sort(lines.begin(), lines.end());
  std::string summary;
  json::array all;
  for (const std::string& line : lines) {
    summary += (summary.empty() ? "" : "\n") + line;
    all.emplace_back(line);
  }
  if (lines.empty()) summary = "No live host remembers " + id + ".";
  co_return CommandReport{
      .ok = !lines.empty(), .text = summary, .json = json::serialize(all)};
}

}  // namespace pimento
