// Keeps the environment document of this host up to date.
//
// A few hosts in each zone watch the document at the platform. Gossip carries
// the number of the generation that each host uses, and a host that sees a
// newer one fetches the document from that peer. The remaining hosts also poll
// the platform slowly, in case the gossip does not reach them. A host never
// returns to an older generation.
//
//   h1 watches         the platform has generation 8; h1 uses it
//   h1 gossips "8"     h5, at generation 7, fetches generation 8 from h1
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "src/peer_messages.h"
#include "src/platform_client.h"
#include "src/scheduler_context.h"

namespace pimento {

struct ConfigWatchOptions {
  // Name of the environment; documents of other environments are ignored.
  std::string environment;
  size_t watchers_per_zone = 2;
  // How long one watch request waits for a newer document.
  int64_t watch_timeout_ms = 1'500;
  // Pause between reads from the platform on hosts that do not watch.
  int64_t poll_interval_ms = 2'500;
  // Pause between checks for a peer with a newer generation.
  int64_t peer_check_interval_ms = 150;
};

// Runs on `shards_io` of the context.
class ConfigWatch {
 public:
  ConfigWatch(SchedulerContext& context, ConfigWatchOptions options);
  void Start();

  // Switches to `document` if it is newer and valid. Returns whether it did.
  bool ApplyIfNewer(const DocumentReply& document);
  // The document in use. May be called on any thread.
  DocumentReply Latest() const;

 private:
  boost::asio::awaitable<void> PlatformLoop();
  // Reads the document from the platform. With `watch` set it waits until there
  // is a newer one or the request times out.
  boost::asio::awaitable<void> ReadFromPlatform(bool watch);
  boost::asio::awaitable<void> PeerLoop();
  // True when this host is one of those in its zone that watch.
  bool IsWatcher() const;

  SchedulerContext& context_;
  ConfigWatchOptions options_;
  // Version of the platform's object that was read last.
  uint64_t seen_version_ = 0;
};

}  // namespace pimento
