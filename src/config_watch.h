// Keeps the environment document of this host up to date.
//
// A few hosts in each zone hold a watch at the platform; membership carries the
// generation's number, and the others fetch the text from a peer. A slow poll
// covers gaps. A generation never goes back.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "src/peer_messages.h"
#include "src/platform_client.h"
#include "src/scheduler_context.h"

namespace pimento {

struct ConfigWatchOptions {
  std::string environment;
  size_t watchers_per_zone = 2;
  int64_t watch_ms = 1'500;
  int64_t poll_ms = 2'500;
  int64_t gossip_ms = 150;
};

class ConfigWatch {
 public:
  ConfigWatch(SchedulerContext& context, ConfigWatchOptions options);
  void Start();

  // Uses `document` if it is newer and correct. Returns whether it did.
  bool Offer(const DocumentReply& document);
  DocumentReply Latest() const;

 private:
  boost::asio::awaitable<void> PlatformLoop();
  boost::asio::awaitable<void> LookOnce(bool watch);
  boost::asio::awaitable<void> PeerLoop();
  bool HoldsWatch() const;

  SchedulerContext& context_;
  ConfigWatchOptions options_;
  uint64_t seen_version_ = 0;
};

}  // namespace pimento
