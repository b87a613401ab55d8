// Forwards a caller's request from the entry to the owner of its shard, retries
// across changes of ownership, and maintains the entry's copy of the
// configuration document.
//
// Every request carries an idempotency key (a sequence number or a program id),
// so a retry is always safe: the owner joins it to the running call or replays
// the recorded answer.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/document.h"
#include "src/metrics.h"
#include "src/peer_client.h"
#include "src/scheduler_context.h"
#include "src/settings.h"

namespace pimento {

class EntryForwarder {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  EntryForwarder(boost::asio::io_context& io, PeerClient& peers,
                 Metrics& metrics, const EntrySettings& settings);
  // Starts to poll the schedulers for the document. `on_document` is called
  // whenever a new generation of it has been loaded.
  void Start(std::function<void()> on_document);

  // These methods retry until an owner gives a final answer or the settings'
  // `patience_ms` has passed. They then throw a Refusal with the reason of the
  // last failure and RunState::kUnknown.
  Async<ProgramView> Create(CreateRequest request);
  Async<ProgramView> View(uint32_t shard, std::string program,
                          std::string team);
  Async<ProgramView> End(uint32_t shard, std::string program, std::string team);
  // `prepare` is called before each attempt and sets in the request how much of
  // the answer the caller has already received.
  Async<CallReply> Call(uint32_t shard, CallRequest request,
                        std::function<void(CallRequest&)> prepare,
                        PieceSink sink);

  // Returns the addresses that a caller should use for `shard`. Throws
  // Refusal(kOwnerUnreachable) when no scheduler answers.
  Async<OwnerReply> Owner(uint32_t shard);

  std::shared_ptr<const EnvironmentState> environment() const {
    return environment_;
  }
  // Returns false while the document is missing or too old to trust: no
  // scheduler has confirmed it for the settings' `stale_ms`.
  bool fresh() const;
  const EntrySettings& settings() const { return settings_; }

 private:
  template <class Reply>
  Async<Reply> Forward(uint32_t shard, int64_t patience_ms,
                       std::function<Async<Reply>(const std::string&)> send);
  Async<std::string> OwnerAddressOf(uint32_t shard);
  Async<void> DocumentLoop();

  boost::asio::io_context& io_;
  PeerClient& peers_;
  Metrics& metrics_;
  const EntrySettings& settings_;
  std::shared_ptr<const EnvironmentState> environment_ =
      std::make_shared<const EnvironmentState>();
  std::function<void()> on_document_;
  // RPC addresses of owners, by shard; dropped after a failed attempt.
  std::map<uint32_t, std::string> owner_addresses_;
  // Counts up through the settings' `schedulers`, modulo their number. 0 is
  // this host's own scheduler.
  size_t scheduler_index_ = 0;
  // When a scheduler last confirmed the document, milliseconds since 1970.
  int64_t last_contact_ms_ = 0;
};

}  // namespace pimento
