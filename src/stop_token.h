// Cancellation of the work for one request, with the reason. Single-threaded.
//
//   token.set_on_stop([&] { connection.Close(); });
//   ...
//   token.Stop(StopReason::kCallerLeft);   // closes the connection
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

namespace pimento {

// kCallerLeft: the caller closed its connection. kTimeLimit: the deadline of
// the request passed.
enum class StopReason : uint8_t { kNone, kCallerLeft, kTimeLimit };

class StopToken {
 public:
  StopReason reason() const { return reason_; }
  bool stopped() const { return reason_ != StopReason::kNone; }
  // Cancels the work. Later calls have no effect: the first reason is kept.
  void Stop(StopReason reason) {
    if (stopped()) return;
    reason_ = reason;
    if (on_stop_) on_stop_();
  }
  // Sets the callback that ends the current wait of the work. Called
  // immediately when the work is already cancelled.
  void set_on_stop(std::function<void()> on_stop) {
    on_stop_ = std::move(on_stop);
    if (stopped() && on_stop_) on_stop_();
  }
  void clear_on_stop() { on_stop_ = nullptr; }

 private:
  StopReason reason_ = StopReason::kNone;
  std::function<void()> on_stop_;
};

}  // namespace pimento
