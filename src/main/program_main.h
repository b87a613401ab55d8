// Code shared by the main functions: command-line arguments, exit codes and
// stop signals.
//
// Exit codes: 0 done, 1 failed while running, 2 usage error (invalid arguments
// or settings).
#pragma once

#include <signal.h>

#include <cxxopts.hpp>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

#include "src/errors.h"

namespace pimento {

inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;
inline constexpr const char* kVersion = "0.1.0";

// Blocks SIGTERM and SIGINT in the calling thread and in all threads that it
// starts. Call it before any thread starts, so that only WaitForStopSignal()
// receives them.
inline sigset_t BlockStopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  return set;
}

// Blocks until the process receives one of the signals in `set`.
inline void WaitForStopSignal(const sigset_t& set) {
  int signal_number = 0;
  sigwait(&set, &signal_number);
}

// Parses --config, --check, --help and --version. `check` reads the settings
// file and throws UserError if it is invalid; `run` serves until the process is
// stopped. Returns the exit code.
inline int RunDaemon(int argc, char** argv, const std::string& name,
                     const std::string& purpose,
                     const std::function<void(const std::string&)>& check,
                     const std::function<void(const std::string&)>& run) {
  cxxopts::Options options(name, purpose);
  options.add_options()("config", "settings file, INI",
                        cxxopts::value<std::string>())(
      "check", "check the settings and exit")("version", "show the version")(
      "help", "show this text");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help()
                << "\nExit codes: 0 done, 1 failed, 2 usage error.\n";
      return kExitDone;
    }
    if (arguments.count("version") != 0) {
      std::cout << name << " " << kVersion << "\n";
      return kExitDone;
    }
    if (arguments.count("config") == 0)
      throw UserError("The option --config is missing.");
    const std::string path = arguments["config"].as<std::string>();
    check(path);
    if (arguments.count("check") != 0) {
      std::cout << path << ": the settings are correct.\n";
      return kExitDone;
    }
    run(path);
    return kExitDone;
  } catch (const UserError& e) {
    std::cerr << e.what() << "\n";
    return kExitUsage;
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return kExitFailed;
  }
}

}  // namespace pimento
