#include "bench/lib/fleet_number.h"

#include <unistd.h>

#include <stdexcept>
#include <string>

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kNumbers = 250;
// No host of a fleet has this address or this port.
constexpr const char* kClaimHost = ".254.1";
constexpr unsigned short kClaimPort = 17'779;

}  // namespace

FleetNumber::FleetNumber() {
  for (int tried = 0; tried < kNumbers; ++tried) {
    value_ = 1 + (static_cast<int>(getpid()) + tried) % kNumbers;
    const auto address =
        asio::ip::make_address("127." + std::to_string(value_) + kClaimHost);
    boost::system::error_code error;
    claim_.open(tcp::v4());
    claim_.bind({address, kClaimPort}, error);
    if (!error) claim_.listen(asio::socket_base::max_listen_connections, error);
    if (!error) return;
    claim_.close();
  }
  throw std::runtime_error("All numbers of test fleets are taken.");
}

}  // namespace pimento::testbed
