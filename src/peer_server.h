// RPC server for calls from other hosts: decodes each request, runs it in a
// PeerHandler and encodes the reply.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

#include "src/connection_limits.h"
#include "src/membership.h"
#include "src/peer_client.h"
#include "src/peer_messages.h"
#include "src/replica.h"
#include "src/rpc_loop.h"
#include "src/worker_thread.h"

namespace pimento {

// Handles the calls of the interface `Peer` in schema/peer.capnp; peer_client.h
// describes them. Methods run on the worker thread given to PeerServer. A
// method whose reply carries an Outcome may throw Refusal; any other exception
// reaches the peer as a failed call.
class PeerHandler {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;
  virtual ~PeerHandler() = default;

  virtual Async<AppendReply> OnAppend(AppendRequest request) = 0;
  virtual Async<SealReply> OnSeal(SealRequest request) = 0;
  virtual Async<std::vector<HostGossip>> OnGossip(
      std::vector<HostGossip> gossip) = 0;
  virtual Async<bool> OnProbe(std::string rpc_address) = 0;
  virtual Async<ProgramView> OnCreate(CreateRequest request) = 0;
  virtual Async<CallReply> OnCall(CallRequest request, PieceSink sink) = 0;
  virtual Async<ProgramView> OnView(std::string program, std::string team) = 0;
  virtual Async<ProgramView> OnEnd(std::string program, std::string team) = 0;
  virtual Async<CreditReply> OnCredits(CreditRequest request) = 0;
  virtual Async<SlotReply> OnSlot(SlotRequest request) = 0;
  virtual Async<bool> OnSlotDone(SlotDone done) = 0;
  virtual Async<std::vector<SlotRequest>> OnInFlight(std::string upstream) = 0;
  virtual Async<DocumentReply> OnDocument(uint64_t after, int64_t wait_ms) = 0;
  virtual Async<OwnerReply> OnOwner(uint32_t shard) = 0;
  virtual Async<bool> OnTakeOver(TakeOverRequest request) = 0;
};

class PeerServer {
 public:
  // The first three must outlive the server.
  PeerServer(RpcLoop& loop, WorkerThread& worker, PeerHandler& handler,
             RpcLimits limits);
  ~PeerServer();

  // Throws TransportError if listening on `address` fails.
  void Listen(const std::string& address);
  // Stops accepting connections.
  void Close();
  // Connections and held bytes, Prometheus text. Waits for the RPC thread.
  std::string MetricsText();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace pimento
