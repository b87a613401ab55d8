// Keeps a copy of one kind of the store's objects: a list, then watches.
//
// The copy has an age: at `fresh_as_of` the store's own word was no newer.
// Objects that vanish while the store is away, or within `kReturnHold` of its
// return, are kept until that hold is over: their owners may only have been
// unable to reach it.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "platform/store_client.h"
#include "src/boot_clock.h"

namespace pimento {

struct StoreWatchOptions {
  std::string kind = {};
  // Longest a watch waits at the store.
  std::chrono::milliseconds wait{4'000};
  // True when vanished objects are held back after an outage.
  bool holds_vanished = false;
};

class StoreWatch {
 public:
  using Objects = std::map<std::string, platform::StoreObject>;

  StoreWatch(boost::asio::io_context& io, platform::StoreClient& store,
             StoreWatchOptions options);

  // Calls `on_change` after each change, and once after the first list.
  void Start(std::function<void()> on_change);

  const Objects& objects() const { return objects_; }
  // True once a list has been read.
  bool known() const { return known_; }
  // Latest time at which the copy is known to have been the newest.
  BootClock::time_point fresh_as_of() const { return fresh_as_of_; }
  bool reachable() const { return reachable_; }

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Relist();
  boost::asio::awaitable<void> WatchOnce();
  bool Holding() const;
  void Lost(const std::string& error);
  void Regained();
  void Vanish(const std::string& name);
  void ReleaseHeld();

  boost::asio::io_context& io_;
  platform::StoreClient& store_;
  StoreWatchOptions options_;
  std::function<void()> on_change_;
  Objects objects_;
  // Objects that vanished while held, by name.
  std::map<std::string, bool> vanished_;
  uint64_t revision_ = 0;
  bool known_ = false;
  bool reachable_ = true;
  BootClock::time_point fresh_as_of_{};
  std::chrono::steady_clock::time_point hold_until_{};
};

}  // namespace pimento
