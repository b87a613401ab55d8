// Client for the platform's object API: versioned objects, conditional updates,
// watches, and the list of hosts, which lags behind the fleet.
//
// All calls run on the platform's worker thread. They throw PlatformError if
// the platform is unreachable, does not answer in time or answers with an
// error. The response to a write can be lost after the write took effect:
// Write() then returns kUnknown, and the caller reads the object back.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/metrics.h"
#include "src/worker_thread.h"

namespace pimento {

struct PlatformObject {
  std::string name;
  uint64_t version = 0;
  std::string body;
};

// kConflict: the object is not at the expected version, and was not written.
// kUnknown: the write may have taken effect.
enum class WriteResult { kWritten, kConflict, kUnknown };

struct WriteReply {
  WriteResult result = WriteResult::kUnknown;
  // The new version after kWritten, the current one after kConflict.
  uint64_t version = 0;
};

struct ListedHost {
  std::string host;
  std::string rpc_address;
  // True while the host stops or is drained.
  bool leaving = false;
};

struct PlatformOptions {
  std::string address;
  int64_t timeout_ms = 1'000;
};

class PlatformClient {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  PlatformClient(WorkerThread& worker, Metrics& metrics,
                 PlatformOptions options);

  // Returns nullopt if there is no such object.
  Async<std::optional<PlatformObject>> Read(std::string name);
  // Writes `body` if the object is at `if_version`; 0 means that it must not
  // exist.
  Async<WriteReply> Write(std::string name, std::string body,
                          uint64_t if_version);
  // Returns whether the object was removed.
  Async<bool> Remove(std::string name);
  // Returns the objects whose names start with `prefix`, without their bodies.
  Async<std::vector<PlatformObject>> List(std::string prefix);
  // Returns the object once its version exceeds `after`, or nullopt after
  // `wait_ms`.
  Async<std::optional<PlatformObject>> Watch(std::string name, uint64_t after,
                                             int64_t wait_ms);
  Async<std::vector<ListedHost>> Hosts();
  // Adds or updates a host in the list. Returns whether the platform accepted
  // it.
  Async<bool> Register(ListedHost host);

  // False after a call that got no response, until a call succeeds. A write
  // that returns kUnknown counts as a success.
  bool reachable() const { return reachable_; }
  // Fault injection for scenario tests: while true, nothing is sent and every
  // call fails after its timeout.
  void set_partitioned(bool partitioned) { partitioned_ = partitioned; }

 private:
  template <class T>
  Async<T> Run(std::function<Async<T>()> work);

  WorkerThread& worker_;
  Metrics& metrics_;
  PlatformOptions options_;
  std::atomic<bool> reachable_{true};
  std::atomic<bool> partitioned_{false};
};

}  // namespace pimento
