// The thread that runs Cap'n Proto RPC: one event loop for all peers.
//
// Objects of the RPC library are used on this thread only. Other threads submit
// new work with Offer(), which fails when the bounded task queue (the ring) is
// full, and return the results of work that the loop started with Deliver(),
// which never fails.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace pimento {

class RpcLoop {
 public:
  using Task = std::function<void()>;

  // `ring_capacity` is the number of offered tasks that can wait.
  explicit RpcLoop(size_t ring_capacity);
  ~RpcLoop();

  // Queues `task` to run on the loop's thread. Returns false when the ring is
  // full.
  bool Offer(Task task);
  // As Offer(), through an unbounded queue. Its length is bounded by the amount
  // of work that the loop has started elsewhere.
  void Deliver(Task task);
  void Start();
  void Stop();

  // The RPC library's I/O context, for use on the loop's thread only. Defined
  // in rpc_loop_context.h, so that most of the program does not include the
  // library's headers.
  struct Context;
  Context& context();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace pimento
