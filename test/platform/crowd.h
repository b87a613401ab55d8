// A crowd of clients that nobody controls: connections that send what they
// like, stay open, don't read, and come back when they are closed.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace pimento::testbed {

// What each connection of a crowd does.
struct CrowdOptions {
  std::string address = {};
  size_t connections = 0;
  // Sent first, then `piece` `pieces` times; then the connection stays open.
  std::string begin = {};
  std::string piece = {};
  uint64_t pieces = 0;
  // Pause after each write.
  int64_t pause_ms = 0;
  // Whether answers are read, as far as they come.
  bool reads = true;
  // Whether a closed connection is opened anew at once, and for how long.
  int64_t returns_ms = 0;
  // Longest TCP segment that the connection takes; 0 leaves it to the kernel,
  // which on loopback sends megabytes ahead of a reader.
  int segment_bytes = 0;
};

// Runs from its construction to its destruction.
class Crowd {
 public:
  explicit Crowd(CrowdOptions options);
  ~Crowd();

  // Waits until each connection has sent all, or was closed for good, and until
  // no byte was sent for a while: what is not read blocks its writer.
  void WaitUntilQuiet();
  // Connections that were opened so far.
  uint64_t opened() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
  std::thread thread_;
};

}  // namespace pimento::testbed
