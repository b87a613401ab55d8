// The platform's object API: versioned objects, conditional updates, watches
// and the lagging list of hosts.
//
// All calls run on the platform duty and throw PlatformError when the platform
// is down or slow. The answer to a write can be lost after the write took
// effect: Write() then returns kUnknown, and the caller reads back.
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

enum class WriteResult { kWritten, kConflict, kUnknown };

struct WriteReply {
  WriteResult result = WriteResult::kUnknown;
  // After kWritten the new version; after kConflict the present one.
  uint64_t version = 0;
};

struct ListedHost {
  std::string host;
  std::string rpc_address;
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

  PlatformClient(WorkerThread& duty, Metrics& metrics, PlatformOptions options);

  Async<std::optional<PlatformObject>> Read(std::string name);
  // Writes `body` if the object is at `if_version`; 0 stands for "absent".
  Async<WriteReply> Write(std::string name, std::string body,
                          uint64_t if_version);
  Async<bool> Remove(std::string name);
  // Names and versions, without bodies.
  Async<std::vector<PlatformObject>> List(std::string prefix);
  // Returns once the object is newer than `after`, or nothing after `wait_ms`.
  Async<std::optional<PlatformObject>> Watch(std::string name, uint64_t after,
                                             int64_t wait_ms);
  Async<std::vector<ListedHost>> Hosts();
  Async<bool> Register(ListedHost host);

  // True while the last call was answered.
  bool reachable() const { return reachable_; }
  // Faults for scenarios: cuts this host off from the platform.
  void set_partitioned(bool cut) { cut_ = cut; }

 private:
  template <class T>
  Async<T> Run(std::function<Async<T>()> work);

  WorkerThread& duty_;
  Metrics& metrics_;
  PlatformOptions options_;
  std::atomic<bool> reachable_{true};
  std::atomic<bool> cut_{false};
};

}  // namespace pimento
