// A fleet on loopback to try things on: starts it, writes its addresses to a
// file that shells can read, and stops it on SIGTERM or SIGINT.
//
//   build/bin/local-fleet --env build/fleet.env &
//   . build/fleet.env; curl "http://$HOST/healthz"
#include <signal.h>

#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "bench/lib/test_fleet.h"

int main(int argc, char** argv) {
  using namespace pimento::testbed;
  cxxopts::Options options("local-fleet", "Runs a fleet on loopback.");
  options.add_options()(
      "programs", "folder of the built programs",
      cxxopts::value<std::string>()->default_value("build/bin"))(
      "work", "folder for settings and logs",
      cxxopts::value<std::string>()->default_value("build/local-fleet"))(
      "env", "file to write the addresses to",
      cxxopts::value<std::string>()->default_value("build/fleet.env"))(
      "help", "show this text");
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    const std::string work = arguments["work"].as<std::string>();
    std::filesystem::remove_all(work);
    FleetOptions fleet_options;
    fleet_options.bin_dir = arguments["programs"].as<std::string>();
    fleet_options.work_dir = work;
    TestFleet fleet(fleet_options);
    fleet.Start();
    std::string admins;
    for (const std::string& host : fleet.hosts()) {
      admins += (admins.empty() ? "" : ",") + fleet.Admin(host);
    }
    const std::string file = arguments["env"].as<std::string>();
    std::ofstream(file + ".new")
        << "HOST=" << fleet.Entry("h1")
        << "\nKEY=key-quilters\nADMINS=" << admins
        << "\nPLATFORM=" << fleet.platform() << "\nDOCUMENT=" << work
        << "/document.ini\nDESK=" << fleet.Upstream("s1") << "\n";
    // Only a whole file gets the name that others wait for.
    std::filesystem::rename(file + ".new", file);
    std::cout << "ready; addresses are in " << file << std::endl;
    // Children were started without the mask: they must still get their
    // signals.
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    int signal_number = 0;
    sigwait(&stop_signals, &signal_number);
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "local-fleet: " << e.what() << "\n";
    return 1;
  }
}
