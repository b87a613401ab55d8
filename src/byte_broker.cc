#include "src/byte_broker.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "src/background_loop.h"
#include "src/boot_clock.h"
#include "src/event_log.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// One holder is closed at a time, and gives its bytes back before the next.
constexpr milliseconds kRelieveInterval{20};

}  // namespace

ByteBroker::ByteBroker(asio::io_context& io, ByteAccount::Options options)
    : io_(io), account_(options) {}

ByteBroker::Holder::Holder(ByteBroker& broker, std::function<void()> close)
    : broker_(broker), id_(broker.account_.Add(SteadyMs())) {
  broker_.close_.emplace(id_, std::move(close));
}

ByteBroker::Holder::~Holder() {
  broker_.close_.erase(id_);
  broker_.account_.Remove(id_);
  broker_.WakeWaiters();
}

void ByteBroker::Holder::SetBytes(uint64_t bytes) {
  const bool less = bytes < broker_.account_.BytesOf(id_);
  broker_.account_.SetBytes(id_, bytes);
  if (less) broker_.WakeWaiters();
}

void ByteBroker::Holder::SetStage(HolderStage stage) {
  broker_.account_.SetStage(id_, stage, SteadyMs());
}

bool ByteBroker::Holder::NoteMoved(uint64_t bytes) {
  return broker_.account_.NoteMoved(id_, bytes, SteadyMs());
}

bool ByteBroker::Holder::MayGrow(uint64_t more) const {
  return broker_.account_.MayGrow(id_, more);
}

asio::awaitable<bool> ByteBroker::Holder::WaitForRoom(
    uint64_t more, steady_clock::time_point deadline) {
  if (MayGrow(more)) co_return true;
  ByteBroker& broker = broker_;
  ++broker.waits_;
  const auto waiter = broker.waiters_.insert(
      broker.waiters_.end(),
      Waiter{
          .id = id_, .more = more, .wakeup = asio::steady_timer(broker.io_)});
  if (!broker.relieving_) {
    broker.relieving_ = true;
    RunTask(broker.io_, "held bytes", [&broker] { return broker.Relieve(); });
  }
  bool may_grow = false;
  while (!may_grow && !closed() && steady_clock::now() < deadline) {
    waiter->wakeup.expires_at(deadline);
    boost::system::error_code ignored;  // woken by cancellation
    co_await waiter->wakeup.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    may_grow = MayGrow(more);
  }
  broker.waiters_.erase(waiter);
  co_return may_grow && !closed();
}

void ByteBroker::Holder::Abandon() {
  broker_.close_.erase(id_);
  // Not chosen to be closed while it gives its bytes back.
  broker_.account_.SetStage(id_, HolderStage::kInProgress, SteadyMs());
  broker_.Wake(id_);
}

bool ByteBroker::Holder::closed() const {
  return !broker_.close_.contains(id_);
}

void ByteBroker::WakeWaiters() {
  // What those before it take is not there for a later one.
  uint64_t promised = 0;
  for (Waiter& waiter : waiters_) {
    if (!account_.MayGrow(waiter.id, waiter.more + promised)) continue;
    promised += waiter.more;
    waiter.wakeup.cancel();
  }
}

void ByteBroker::Wake(ByteAccount::HolderId id) {
  for (Waiter& waiter : waiters_) {
    if (waiter.id == id) waiter.wakeup.cancel();
  }
}

asio::awaitable<void> ByteBroker::Relieve() {
  while (!waiters_.empty()) {
    asio::steady_timer pause(io_, kRelieveInterval);
    co_await pause.async_wait(asio::use_awaitable);
    WakeWaiters();
    if (waiters_.empty()) break;
    // Requests in progress go before those that are being read.
    auto first = std::find_if(
        waiters_.begin(), waiters_.end(), [this](const Waiter& waiter) {
          return account_.StageOf(waiter.id) == HolderStage::kInProgress;
        });
    if (first == waiters_.end()) first = waiters_.begin();
    if (account_.MayGrow(first->id, first->more)) continue;
    const auto chosen = account_.ToClose(first->id, SteadyMs());
    if (chosen) {
      Close(*chosen, "memory_short");
    } else if (account_.StageOf(first->id) == HolderStage::kInProgress &&
               !account_.IsPassing()) {
      account_.LetPass(first->id);
      first->wakeup.cancel();
    }
  }
  relieving_ = false;
}

void ByteBroker::Close(ByteAccount::HolderId id, std::string_view reason) {
  const auto it = close_.find(id);
  if (it == close_.end()) return;
  ++closed_;
  EventLine(Event::kConnectionRefused)
      .Text("reason", reason)
      .Text("stage", Name(account_.StageOf(id)))
      .Number("bytes", static_cast<int64_t>(account_.BytesOf(id)))
      .Number("held", static_cast<int64_t>(account_.held()))
      .Number("budget", static_cast<int64_t>(account_.budget()));
  // Not closed a second time while it gives its bytes back.
  account_.SetStage(id, HolderStage::kInProgress, SteadyMs());
  const auto close = std::move(it->second);
  close_.erase(it);
  close();
  Wake(id);
}

std::string ByteBroker::MetricsText() const {
  std::ostringstream out;
  out << "# TYPE pimento_held_bytes gauge\n"
      << "pimento_held_bytes " << account_.held() << "\n"
      << "# TYPE pimento_held_bytes_budget gauge\n"
      << "pimento_held_bytes_budget " << account_.budget() << "\n"
      << "# TYPE pimento_held_bytes_waits_total counter\n"
      << "pimento_held_bytes_waits_total " << waits_ << "\n"
      << "# TYPE pimento_held_bytes_closed_total counter\n"
      << "pimento_held_bytes_closed_total " << closed_ << "\n";
  return out.str();
}

}  // namespace pimento
