// Carries a caller's request from the entry to the owner of its shard, through
// changes of ownership, and keeps the entry's copy of the document.
//
// Every request carries what makes it repeatable (a sequence number or a name),
// so trying again is always safe: the owner joins or replays what it knows.
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
  void Start(std::function<void()> on_document);

  // Each tries until an owner has answered or the patience is over, and then
  // throws Refusal(kOwnerUnreachable), unknown.
  Async<ProgramView> Create(CreateRequest request);
  Async<ProgramView> View(uint32_t shard, std::string program,
                          std::string team);
  Async<ProgramView> End(uint32_t shard, std::string program, std::string team);
  // `prepare` fills in, before each try, what the caller has of the answer.
  Async<CallReply> Call(uint32_t shard, CallRequest request,
                        std::function<void(CallRequest&)> prepare,
                        PieceSink sink);

  // Where a caller should connect for `shard`. Throws
  // Refusal(kOwnerUnreachable).
  Async<OwnerReply> Owner(uint32_t shard);

  std::shared_ptr<const EnvironmentState> environment() const {
    return environment_;
  }
  // False when no scheduler has been heard for too long to trust the document.
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
  std::map<uint32_t, std::string> owner_addresses_;
  size_t scheduler_ = 0;
  int64_t heard_ms_ = 0;
};

}  // namespace pimento
