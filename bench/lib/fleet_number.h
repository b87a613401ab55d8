// A number that no other test fleet of this machine has now: the second part of
// the loopback addresses of its hosts.
#pragma once

#include <boost/asio.hpp>

namespace pimento::testbed {

class FleetNumber {
 public:
  // Takes a free number, starting from one that derives from the process id.
  // Throws std::runtime_error if all are taken.
  FleetNumber();
  int value() const { return value_; }

 private:
  int value_ = 0;
  boost::asio::io_context io_;
  // Listens on an address of the number for as long as it is taken. Processes
  // that are started meanwhile inherit it, so that hosts left over from a test
  // that was aborted keep their number.
  boost::asio::ip::tcp::acceptor claim_{io_};
};

}  // namespace pimento::testbed
