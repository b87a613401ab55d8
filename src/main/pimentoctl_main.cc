// pimentoctl: the command line of the operators. See kUsage for the commands
// and program_main.h for the exit codes.
#include <unistd.h>

#include <boost/algorithm/string.hpp>
#include <boost/json.hpp>
#include <future>
#include <map>
#include <vector>

#include "src/log.h"
#include "src/main/program_main.h"
#include "src/metrics.h"
#include "src/operator_commands.h"
#include "src/platform_client.h"
#include "src/settings.h"
#include "src/worker_thread.h"

namespace {

using namespace pimento;

constexpr const char* kUsage =
    "pimentoctl check FILE\n"
    "pimentoctl apply FILE\n"
    "pimentoctl promote [FROM TO]            trial to production by default\n"
    "pimentoctl status\n"
    "pimentoctl drain   zone|host NAME       takes it out of service\n"
    "pimentoctl restore zone|host NAME       brings it back\n"
    "pimentoctl lost    host NAME            declares its data permanently "
    "lost\n"
    "pimentoctl explain REQUEST|PROGRAM\n";

struct Arguments {
  std::vector<std::string> words;
  std::string platform;
  std::string environment;
  std::vector<std::string> admins;
  bool json = false;
};

const std::vector<SectionRule>& ControlRules() {
  static const std::vector<SectionRule> rules = {
      {.kind = "platform",
       .required = true,
       .keys = {{.name = "address",
                 .kind = ValueKind::kAddress,
                 .required = true},
                {.name = "environment", .default_value = "production"}}},
      {.kind = "schedulers",
       .required = true,
       .keys = {{.name = "admin_addresses",
                 .kind = ValueKind::kList,
                 .required = true}}},
  };
  return rules;
}

void ReadConfig(const std::string& path, Arguments& arguments) {
  const IniFile file = IniFile::Parse(ReadFile(path), path, ControlRules());
  file.ThrowIfFaulty();
  arguments.platform = file.SingleSection("platform").Text("address");
  arguments.environment = file.SingleSection("platform").Text("environment");
  arguments.admins = file.SingleSection("schedulers").List("admin_addresses");
}

// Runs an OperatorCommands coroutine on a thread of its own, waits for it and
// rethrows its exception.
CommandReport RunRemote(
    const Arguments& arguments,
    const std::function<
        boost::asio::awaitable<CommandReport>(OperatorCommands&)>& command) {
  Metrics metrics;
  WorkerThread thread("operator", 64);
  PlatformClient platform(thread, metrics,
                          {.address = arguments.platform, .timeout_ms = 2'000});
  OperatorCommands commands(platform, {.admins = arguments.admins});
  std::promise<CommandReport> result;
  boost::asio::co_spawn(
      thread.io(), command(commands),
      [&result](std::exception_ptr error, CommandReport report) {
        if (error) {
          result.set_exception(error);
        } else {
          result.set_value(std::move(report));
        }
      });
  thread.Start();
  auto future = result.get_future();
  future.wait();
  thread.Stop();
  return future.get();
}

// Throws UserError with the usage unless the command has this many words, its
// own name included.
void ExpectWordCount(const Arguments& arguments, size_t words) {
  if (arguments.words.size() != words) {
    throw UserError(
        std::string("These arguments are not understood. Usage:\n") + kUsage);
  }
}

CommandReport SetFlagOn(const Arguments& arguments, const std::string& key,
                        bool value) {
  ExpectWordCount(arguments, 3);
  const std::string kind = arguments.words[1];
  const bool known = kind == "host" || (kind == "zone" && key == "drained");
  if (!known)
    throw UserError("\"" + kind +
                    "\" is not a valid kind for this command; see --help.");
  return RunRemote(arguments, [&](OperatorCommands& commands) {
    return commands.SetFlag(arguments.environment, kind, arguments.words[2],
                            key, value);
  });
}

CommandReport Check(const Arguments& arguments) {
  ExpectWordCount(arguments, 2);
  return CheckDocument(ReadFile(arguments.words[1]), arguments.words[1]);
}

CommandReport Apply(const Arguments& arguments) {
  ExpectWordCount(arguments, 2);
  const std::string text = ReadFile(arguments.words[1]);
  return RunRemote(arguments, [&](OperatorCommands& commands) {
    return commands.Apply(text, arguments.words[1]);
  });
}

CommandReport Promote(const Arguments& arguments) {
  if (arguments.words.size() != 1) ExpectWordCount(arguments, 3);
  const bool named = arguments.words.size() == 3;
  const std::string from = named ? arguments.words[1] : "trial";
  const std::string to = named ? arguments.words[2] : "production";
  return RunRemote(arguments, [&](OperatorCommands& commands) {
    return commands.Promote(from, to);
  });
}

CommandReport Status(const Arguments& arguments) {
  ExpectWordCount(arguments, 1);
  return RunRemote(
      arguments, [](OperatorCommands& commands) { return commands.Status(); });
}

CommandReport Explain(const Arguments& arguments) {
  ExpectWordCount(arguments, 2);
  return RunRemote(arguments, [&](OperatorCommands& commands) {
    return commands.Explain(arguments.words[1]);
  });
}

const std::map<std::string, CommandReport (*)(const Arguments&)> kCommands = {
    {"check", Check},
    {"apply", Apply},
    {"promote", Promote},
    {"status", Status},
    {"explain", Explain},
    {"drain", [](const Arguments& a) { return SetFlagOn(a, "drained", true); }},
    {"restore",
     [](const Arguments& a) { return SetFlagOn(a, "drained", false); }},
    {"lost", [](const Arguments& a) { return SetFlagOn(a, "lost", true); }},
};

int ReportError(bool json, int code, const std::string& message) {
  if (json) {
    const boost::json::object fault = {{"ok", false}, {"error", message}};
    std::cout << boost::json::serialize(fault) << "\n";
  } else {
    std::cerr << message << "\n";
  }
  return code;
}

int Run(const Arguments& arguments) {
  const auto command = arguments.words.empty()
                           ? kCommands.end()
                           : kCommands.find(arguments.words.front());
  if (command == kCommands.end()) ExpectWordCount(arguments, SIZE_MAX);
  const CommandReport report = command->second(arguments);
  std::cout << (arguments.json ? report.json : report.text) << "\n";
  return report.ok ? kExitDone : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("pimentoctl", "Operates pimentopulley.");
  options.add_options()("config", "settings file, INI",
                        cxxopts::value<std::string>())(
      "platform", "address of the object API", cxxopts::value<std::string>())(
      "environment", "environment to change", cxxopts::value<std::string>())(
      "admin", "admin addresses of schedulers, with commas",
      cxxopts::value<std::string>())("json", "answer as JSON")(
      "version", "show the version")("help", "show this text")(
      "words", "command and its arguments",
      cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  options.positional_help("COMMAND");
  Arguments arguments;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n"
                << kUsage << "\nExit codes: 0 done, 1 failed, 2 usage error.\n";
      return kExitDone;
    }
    if (parsed.count("version") != 0) {
      std::cout << "pimentoctl " << kVersion << "\n";
      return kExitDone;
    }
    SetUpLogging("error", "text", "pimentoctl");
    arguments.json = parsed.count("json") != 0;
    arguments.environment = "production";
    if (parsed.count("config") != 0)
      ReadConfig(parsed["config"].as<std::string>(), arguments);
    if (parsed.count("platform") != 0)
      arguments.platform = parsed["platform"].as<std::string>();
    if (parsed.count("environment") != 0) {
      arguments.environment = parsed["environment"].as<std::string>();
    }
    if (parsed.count("admin") != 0) {
      const std::string list = parsed["admin"].as<std::string>();
      arguments.admins.clear();
      boost::split(arguments.admins, list, boost::is_any_of(","));
    }
    if (parsed.count("words") != 0) {
      arguments.words = parsed["words"].as<std::vector<std::string>>();
    }
    return Run(arguments);
  } catch (const UserError& e) {
    return ReportError(arguments.json, kExitUsage, e.what());
  } catch (const cxxopts::exceptions::exception& e) {
    return ReportError(arguments.json, kExitUsage, e.what());
  } catch (const std::exception& e) {
    return ReportError(arguments.json, kExitFailed, e.what());
  }
}
