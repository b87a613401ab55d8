// The account of held bytes of one process, with the waits for room and the
// closing of holders: what ByteAccount decides is done here.
//
// A holder that may not grow waits, so that its peer's writes block: reading
// stops before anybody is closed. While someone waits, the account is asked
// every kRelieveInterval whom to close.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/byte_account.h"

namespace pimento {

// Not thread-safe; must outlive its holders.
class ByteBroker {
 public:
  ByteBroker(boost::asio::io_context& io, ByteAccount::Options options);

  // What one connection holds for its present request. Its bytes are given back
  // on destruction.
  class Holder {
   public:
    // `close` refuses or closes the connection; called at most once, never
    // inside a call of this class.
    Holder(ByteBroker& broker, std::function<void()> close);
    ~Holder();
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    void SetBytes(uint64_t bytes);
    void SetStage(HolderStage stage);
    // Returns whether the holder counts as having moved.
    bool NoteMoved(uint64_t bytes);
    bool MayGrow(uint64_t more) const;
    // Waits until the holder may grow by `more`, is closed, or `deadline` has
    // passed. Returns whether it may grow.
    boost::asio::awaitable<bool> WaitForRoom(
        uint64_t more, std::chrono::steady_clock::time_point deadline);
    // Ends its wait for room, since its connection was closed.
    void Abandon();
    // True once the connection was refused or closed.
    bool closed() const;
    ByteAccount::HolderId id() const { return id_; }

   private:
    ByteBroker& broker_;
    ByteAccount::HolderId id_;
  };

  // Refuses or closes the connection of `id`, a holder of account(); `reason`
  // goes to the log.
  void Close(ByteAccount::HolderId id, std::string_view reason);
  const ByteAccount& account() const { return account_; }
  // Bytes held, budget, waits and closed holders, Prometheus text.
  std::string MetricsText() const;

 private:
  struct Waiter {
    ByteAccount::HolderId id = 0;
    uint64_t more = 0;
    // Cancelled when the waiter may go on or was closed.
    boost::asio::steady_timer wakeup;
  };

  // Wakes waiters that may grow, in the order in which they came.
  void WakeWaiters();
  // Closes holders while nobody who waits may grow.
  boost::asio::awaitable<void> Relieve();
  void Wake(ByteAccount::HolderId id);

  boost::asio::io_context& io_;
  ByteAccount account_;
  std::list<Waiter> waiters_;
  std::unordered_map<ByteAccount::HolderId, std::function<void()>> close_;
  bool relieving_ = false;
  uint64_t waits_ = 0;
  uint64_t closed_ = 0;
};

}  // namespace pimento
