// Calls to other hosts' schedulers, as coroutines.
//
// One connection a peer, made when first needed. Each is probed while in use: a
// connection that has gone silent is dropped within kDeadConnectionTimeoutMs,
// its calls fail with TransportError, and the next call opens a new one.
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

// A silent connection is found within this time, milliseconds.
inline constexpr int64_t kDeadConnectionTimeoutMs = 2'500;

// Receives pieces of an answer: attempt, offset in bytes, text.
using PieceSink = std::function<void(uint32_t, uint64_t, const std::string&)>;

// Every call throws TransportError when the peer cannot be reached or does not
// answer within `timeout_ms`.
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
  Async<std::vector<HostNews>> Gossip(Address to, std::string from,
                                      std::vector<HostNews> news,
                                      int64_t timeout_ms);
  Async<bool> Probe(Address to, Address target, int64_t timeout_ms);
  Async<ProgramView> Create(Address to, CreateRequest request,
                            int64_t timeout_ms);
  // `on_piece` runs on the RPC thread.
  Async<CallReply> Call(Address to, CallRequest request, PieceSink on_piece,
                        int64_t timeout_ms);
  Async<ProgramView> View(Address to, std::string program, std::string team,
                          int64_t timeout_ms);
  Async<ProgramView> End(Address to, std::string program, std::string team,
                         int64_t timeout_ms);
  Async<CreditReply> Credits(Address to, CreditRequest request,
                             int64_t timeout_ms);
  Async<SlotReply> Slot(Address to, SlotRequest request, int64_t timeout_ms);
  Async<bool> ReportSlotDone(Address to, SlotDone request, int64_t timeout_ms);
  Async<std::vector<SlotRequest>> InFlight(Address to, std::string upstream,
                                           int64_t timeout_ms);
  Async<DocumentReply> Document(Address to, uint64_t after, int64_t wait_ms,
                                int64_t timeout_ms);
  Async<OwnerReply> Owner(Address to, uint32_t shard, int64_t timeout_ms);
  Async<bool> TakeOver(Address to, TakeOverRequest request, int64_t timeout_ms);

  // Faults for scenarios: nothing is sent to a cut address, nothing fails at
  // once.
  void SimulatePartition(const std::set<std::string>& addresses);

 private:
  struct State;
  template <class T, class Send>
  Async<T> Invoke(Address to, int64_t timeout_ms, Send send);

  std::shared_ptr<State> state_;
};

}  // namespace pimento
