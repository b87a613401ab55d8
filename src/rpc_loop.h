// The thread that speaks Cap'n Proto RPC: one event loop for all peers.
//
// Nothing of the RPC library leaves this thread. Others reach it with Offer()
// for new work, which fails when the ring is full, and with Deliver() for the
// end of work that the loop itself asked for.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace pimento {

class RpcLoop {
 public:
  using Task = std::function<void()>;

  explicit RpcLoop(size_t ring_capacity);
  ~RpcLoop();

  bool Offer(Task task);
  // Never refused: bounded by the work that the loop has handed out.
  void Deliver(Task task);
  void Start();
  void Stop();

  // The library's context; use on the loop's thread only. Opaque here so that
  // its headers stay out of most of the program.
  struct Context;
  Context& context();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace pimento
