// What the programs for the users' platform share: arguments, exit codes and
// signals.
#pragma once

#include <boost/asio.hpp>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <string>

#include "platform/boot_settings.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/main/program_main.h"

namespace pimento {

// Lines of one event a second; above that they are counted only.
inline constexpr int kLogLinesPerSecond = 60;

// Parses --check, --help and --version, reads the platform's settings file and
// calls `run`.
inline int RunOnPlatform(
    int argc, char** argv, const std::string& name, const std::string& purpose,
    const std::function<void(const platform::BootSettings&)>& run) {
  cxxopts::Options options(name, purpose);
  options.add_options()("check", "check the settings and exit")(
      "version", "show the version")("help", "show this text");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help()
                << "\nThe environment variable PIMENTOPULLEY_SETTINGS names "
                   "the settings file.\n"
                   "Exit codes: 0 done, 1 failed, 2 wrong use.\n";
      return kExitDone;
    }
    if (arguments.count("version") != 0) {
      std::cout << name << " " << kVersion << "\n";
      return kExitDone;
    }
    const platform::BootSettings settings = platform::ReadBootSettings();
    if (arguments.count("check") != 0) {
      std::cout << "The settings are correct.\n";
      return kExitDone;
    }
    SetUpEventLog(settings.host, kLogLinesPerSecond);
    EventLine(Event::kStarted).Text("program", name).Text("version", kVersion);
    run(settings);
    FlushEventLog();
    return kExitDone;
  } catch (const UserError& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return kExitUsage;
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return kExitFailed;
  }
}

// Logs SIGHUP and calls `on_stop` for the first SIGTERM or SIGINT.
inline boost::asio::awaitable<void> ServeSignals(
    boost::asio::io_context& io, std::function<void()> on_stop) {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  for (;;) {
    const int number = co_await signals.async_wait(boost::asio::use_awaitable);
    if (number == SIGHUP) {
      // Addresses and bounds are fixed for the life of a process; the rest is
      // read from the store.
      EventLine(Event::kReloaded).Text("signal", "SIGHUP");
      continue;
    }
    on_stop();
    break;
  }
  // Further signals find a stop under way.
  for (;;) co_await signals.async_wait(boost::asio::use_awaitable);
}

}  // namespace pimento
