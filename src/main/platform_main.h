// Code shared by the programs that run on the users' platform: command-line
// arguments, exit codes and signals.
#pragma once

#include <malloc.h>

#include <boost/asio.hpp>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <string>

#include "platform/boot_settings.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/main/program_main.h"
#include "src/process_end.h"
#include "src/stop_signals.h"

namespace pimento {

// Maximum log lines of one event per second; lines above that are only counted.
inline constexpr int kLogLinesPerSecond = 60;

// Larger blocks go back to the system when they are freed. By default the
// allocator raises this bound to the largest block that was freed, up to 32 MB,
// and then keeps what a crowd made the process hold.
inline constexpr int kMappedBlockBytes = 256 * 1024;

// Tells `error` on standard error and in the event log. Returns `code`.
inline int EndWithError(const std::string& name, EndReason reason, int code,
                        const std::exception& error) {
  std::cerr << name << ": " << error.what() << "\n";
  LogProcessEnd(reason, error.what());
  return code;
}

// Parses --check, --help and --version, reads the platform's settings file and
// calls `run`. Returns the exit code.
inline int RunOnPlatform(
    int argc, char** argv, const std::string& name, const std::string& purpose,
    const std::function<void(const platform::BootSettings&)>& run) {
  HoldStopSignals();
  WatchProcessEnd();
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  cxxopts::Options options(name, purpose);
  options.add_options()("check", "check the settings and exit")(
      "max-hedge-share",
      "second tries of slow answers, as a share (0 to 1) of the requests that "
      "may be repeated; only for pimento-gateway",
      cxxopts::value<double>()->default_value("0"))(
      "version", "show the version")("help", "show this text");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help()
                << "\nThe environment variable PIMENTOPULLEY_SETTINGS names "
                   "the settings file.\n"
                   "Exit codes: 0 done, 1 failed, 2 usage error.\n";
      return kExitDone;
    }
    if (arguments.count("version") != 0) {
      std::cout << name << " " << kVersion << "\n";
      return kExitDone;
    }
    platform::BootSettings settings = platform::ReadBootSettings();
    settings.hedge_share = arguments["max-hedge-share"].as<double>();
    if (!(settings.hedge_share >= 0 && settings.hedge_share <= 1))
      throw UserError("--max-hedge-share is not between 0 and 1.");
    if (arguments.count("check") != 0) {
      std::cout << "The settings are correct.\n";
      return kExitDone;
    }
    SetHostOfProcessEnd(settings.host);
    EndStartPart(StartPart::kSettings);
    SetUpEventLog(settings.host, kLogLinesPerSecond);
    EventLine(Event::kStarted).Text("program", name).Text("version", kVersion);
    run(settings);
    return kExitDone;
  } catch (const StopRequested& signal) {
    LogProcessEnd(EndReason::kSignal, signal.what());
    return kExitDone;
  } catch (const UserError& e) {
    return EndWithError(name, EndReason::kSettings, kExitUsage, e);
  } catch (const cxxopts::exceptions::exception& e) {
    return EndWithError(name, EndReason::kSettings, kExitUsage, e);
  } catch (const std::exception& e) {
    return EndWithError(name, EndReason::kError, kExitFailed, e);
  }
}

// Runs the event loop until it is stopped, and ends the process. `signal` is
// the name of the signal that stopped it. Destructors are skipped: suspended
// coroutines still refer to local objects of the callers.
[[noreturn]] inline void RunToTheEnd(boost::asio::io_context& io,
                                     const std::string& name,
                                     const std::string& signal) {
  try {
    io.run();
    LogProcessEnd(EndReason::kSignal, signal);
  } catch (const std::exception& e) {
    _exit(EndWithError(name, EndReason::kError, kExitFailed, e));
  }
  _exit(kExitDone);
}

// Calls `on_stop` with the signal's name on the first SIGTERM or SIGINT. SIGHUP
// is only logged.
inline boost::asio::awaitable<void> ServeSignals(
    boost::asio::io_context& io,
    std::function<void(const std::string&)> on_stop) {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  ReleaseStopSignals();
  for (;;) {
    const int number = co_await signals.async_wait(boost::asio::use_awaitable);
    if (number == SIGHUP) {
      // There is nothing to reload: addresses and limits are fixed for the
      // lifetime of the process, and everything else is read from the store.
      EventLine(Event::kReloaded).Text("signal", "SIGHUP");
      continue;
    }
    on_stop(StopSignalName(number));
    break;
  }
  // Further signals are ignored while the process shuts down.
  for (;;) co_await signals.async_wait(boost::asio::use_awaitable);
}

}  // namespace pimento
