// RPC client for the schedulers of other hosts; every call is a coroutine.
//
// There is one connection per peer, opened by the first call. It is probed
// while calls are in flight: if the peer stops answering, the connection is
// dropped within kDeadConnectionTimeoutMs, its calls fail with TransportError,
// and the next call opens a new one.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/errors.h"
#include "src/membership.h"
#include "src/metrics.h"
#include "src/peer_messages.h"
#include "src/replica.h"
#include "src/rpc_loop.h"

namespace pimento {

// Longest time until a connection to an unresponsive peer is dropped,
// milliseconds. Covers one probe interval and one probe timeout.
inline constexpr int64_t kDeadConnectionTimeoutMs = 2'500;

// Receives the pieces of a streamed answer: number of the attempt that produced
// the piece, its offset in the answer in bytes, and its text.
using PieceSink = std::function<void(uint32_t, uint64_t, const std::string&)>;

// Every call throws TransportError if the peer at `to` cannot be reached or
// does not answer within `timeout_ms`. The messages are described in
// peer_messages.h, replica.h and membership.h.
class PeerClient {
 public:
  PeerClient(RpcLoop& loop, Metrics& metrics);
  ~PeerClient();

  using Address = std::string;
  template <class T>
  using Async = boost::asio::awaitable<T>;

  Async<AppendReply> Append(Address to, AppendRequest request,
                            int64_t timeout_ms);
  Async<SealReply> Seal(Address to, SealRequest request, int64_t timeout_ms);
  Async<std::vector<HostGossip>> Gossip(Address to, std::string from,
                                        std::vector<HostGossip> gossip,
                                        int64_t timeout_ms);
  // Asks `to` to probe the host at `target` and returns whether that host
  // answered. With an empty `target`, checks that `to` itself answers.
  Async<bool> Probe(Address to, Address target, int64_t timeout_ms);
  Async<ProgramView> Create(Address to, CreateRequest request,
                            int64_t timeout_ms);
  // `on_piece` runs on the RPC thread, once for each piece of the answer.
  Async<CallReply> Call(Address to, CallRequest request, PieceSink on_piece,
                        int64_t timeout_ms);
  Async<ProgramView> View(Address to, std::string program, std::string team,
                          int64_t timeout_ms);
  Async<ProgramView> End(Address to, std::string program, std::string team,
                         int64_t timeout_ms);
  // Requests grants from the token bucket of a team.
  Async<CreditReply> Credits(Address to, CreditRequest request,
                             int64_t timeout_ms);
  // Waits for a slot of an upstream. ReportSlotDone() gives it back.
  Async<SlotReply> Slot(Address to, SlotRequest request, int64_t timeout_ms);
  Async<bool> ReportSlotDone(Address to, SlotDone request, int64_t timeout_ms);
  // Returns the calls that `to` has in flight at `upstream`.
  Async<std::vector<SlotRequest>> InFlight(Address to, std::string upstream,
                                           int64_t timeout_ms);
  // Returns the environment document once its generation exceeds `after`, or
  // the latest one after `wait_ms`.
  Async<DocumentReply> Document(Address to, uint64_t after, int64_t wait_ms,
                                int64_t timeout_ms);
  // Returns the owner of `shard`, as far as `to` knows it.
  Async<OwnerReply> Owner(Address to, uint32_t shard, int64_t timeout_ms);
  // Asks `to` to take over a shard with the consent of its current owner, and
  // returns whether it did.
  Async<bool> TakeOver(Address to, TakeOverRequest request, int64_t timeout_ms);

  // Fault injection for scenario tests: calls to `addresses` are not sent, and
  // fail after a timeout as they do in a network partition. Replaces the
  // addresses of the previous call.
  void SimulatePartition(const std::set<std::string>& addresses);

 private:
  struct State;
  template <class T, class Send>
  Async<T> Invoke(Address to, int64_t timeout_ms, Send send);

  std::shared_ptr<State> state_;
};

}  // namespace pimento
