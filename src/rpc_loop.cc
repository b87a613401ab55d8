#include "src/rpc_loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

#include "src/log.h"
#include "src/rpc_loop_context.h"

namespace pimento {
namespace {

const Log kLog("rpc");

}  // namespace

struct RpcLoop::State {
  explicit State(size_t capacity)
      : ring(capacity), wake_fd(eventfd(0, EFD_CLOEXEC)) {}
  ~State() { close(wake_fd); }

  void Wake() const {
    const uint64_t one = 1;
    if (write(wake_fd, &one, sizeof one) < 0)
      kLog.Error() << "Writing to the wake-up eventfd failed.";
  }

  // Runs the queued tasks at each wake-up until `stopping` is set.
  kj::Promise<void> RunUntilStopped(kj::AsyncInputStream& wakeups) {
    return wakeups.read(&wake_count, sizeof wake_count)
        .then([this, &wakeups]() -> kj::Promise<void> {
          Drain();
          if (stopping) return kj::READY_NOW;
          return RunUntilStopped(wakeups);
        });
  }

  void RunTask(const Task& task) {
    try {
      task();
    } catch (const kj::Exception& e) {
      kLog.Error() << "An RPC task failed: " << e.getDescription().cStr();
    } catch (const std::exception& e) {
      kLog.Error() << "An RPC task failed: " << e.what();
    }
  }

  void Drain() {
    Task* next = nullptr;
    while (ring.pop(next)) {
      const std::unique_ptr<Task> task(next);
      RunTask(*task);
    }
    std::deque<Task> batch;
    {
      const std::lock_guard lock(mutex);
      batch.swap(delivered);
    }
    for (const Task& task : batch) RunTask(task);
  }

  // Tasks from Offer().
  boost::lockfree::queue<Task*> ring;
  std::mutex mutex;
  // Tasks from Deliver(), guarded by `mutex`.
  std::deque<Task> delivered;
  int wake_fd;
  uint64_t wake_count = 0;
  std::atomic<bool> stopping{false};
  Context context;
  std::thread thread;
};

RpcLoop::RpcLoop(size_t ring_capacity)
    : state_(std::make_unique<State>(ring_capacity)) {}

RpcLoop::~RpcLoop() { Stop(); }

RpcLoop::Context& RpcLoop::context() { return state_->context; }

bool RpcLoop::Offer(Task task) {
  auto owned = std::make_unique<Task>(std::move(task));
  if (!state_->ring.bounded_push(owned.get())) return false;
  owned.release();
  state_->Wake();
  return true;
}

void RpcLoop::Deliver(Task task) {
  {
    const std::lock_guard lock(state_->mutex);
    state_->delivered.push_back(std::move(task));
  }
  state_->Wake();
}

void RpcLoop::Start() {
  std::promise<void> ready;
  state_->thread = std::thread([this, &ready] {
    auto io = kj::setupAsyncIo();
    state_->context.io = &io;
    auto wakeups = io.lowLevelProvider->wrapInputFd(state_->wake_fd);
    ready.set_value();
    try {
      state_->RunUntilStopped(*wakeups).wait(io.waitScope);
    } catch (const kj::Exception& e) {
      kLog.Error() << "The RPC event loop ended with an error: "
                   << e.getDescription().cStr();
    }
  });
  ready.get_future().wait();
}

void RpcLoop::Stop() {
  if (!state_->thread.joinable()) return;
  state_->stopping = true;
  state_->Wake();
  state_->thread.join();
}

}  // namespace pimento
