// A thread with one duty, fed through a bounded ring.
//
// Other threads offer work; when the ring is full the offer fails, and whoever
// offered says so to its own caller. Nothing queues without bound.
//
//   WorkerThread dispatch("dispatch", 1024);
//   const Reply reply = co_await RunOn<Reply>(dispatch, [&] { return
//   Send(call); });
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <boost/lockfree/queue.hpp>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "src/reason.h"

namespace pimento {

class WorkerThread {
 public:
  using Task = std::function<void()>;

  WorkerThread(std::string name, size_t ring_capacity);
  ~WorkerThread();
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  // Hands `task` to the duty's thread. Returns false when the ring is full.
  bool Offer(Task task);

  void Start();
  void Stop();
  // Called on the duty's thread when a task throws; the supervisor sets it.
  void set_on_failure(std::function<void(const std::string&)> on_failure) {
    on_failure_ = std::move(on_failure);
  }

  const std::string& name() const { return name_; }
  boost::asio::io_context& io() { return io_; }

 private:
  void Drain();
  void Run();

  std::string name_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  boost::lockfree::queue<Task*> ring_;
  // True while a Drain() is posted: one wake-up serves many offers.
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::function<void(const std::string&)> on_failure_;
  std::thread thread_;
};

// Starts duties in order, stops them in reverse, and restarts one that fails.
// A duty that fails too often takes the process down: half a process serves
// nobody.
class Supervisor {
 public:
  explicit Supervisor(std::string name) : name_(std::move(name)) {}
  ~Supervisor() { Stop(); }
  WorkerThread& Add(const std::string& name, size_t ring_capacity);
  void Start();
  void Stop();

 private:
  std::string name_;
  std::vector<std::unique_ptr<WorkerThread>> duties_;
  std::atomic<int> failures_{0};
  bool running_ = false;
};

// Keeps `work` alive while its coroutine runs: a coroutine lambda's captures
// live in the lambda, not in the coroutine.
template <class T>
boost::asio::awaitable<T> KeepAndRun(
    std::function<boost::asio::awaitable<T>()> work) {
  co_return co_await work();
}

// Runs `work` on `duty` and resumes the caller, on its own executor, with the
// result. Throws Refusal(kRingFull) when the ring is full.
template <class T>
boost::asio::awaitable<T> RunOn(
    WorkerThread& duty, std::function<boost::asio::awaitable<T>()> work) {
  namespace asio = boost::asio;
  auto initiate = [&duty, &work](auto handler) {
    using Handler = decltype(handler);
    auto shared = std::make_shared<Handler>(std::move(handler));
    auto executor = asio::get_associated_executor(*shared);
    auto finish = [shared, executor](std::exception_ptr error, T value) {
      asio::post(executor, [shared, error, value = std::move(value)]() mutable {
        (*shared)(error, std::move(value));
      });
    };
    const bool offered = duty.Offer([&duty, work, finish] {
      asio::co_spawn(duty.io(), KeepAndRun<T>(work), finish);
    });
    if (offered) return;
    finish(std::make_exception_ptr(
               Refusal(Reason::kRingFull, RunState::kNotRun,
                       "The duty " + duty.name() + " has a full ring.")),
           T{});
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(std::exception_ptr, T)>(
      initiate, asio::use_awaitable);
}

// Suspends the coroutine for `milliseconds`.
boost::asio::awaitable<void> Sleep(int64_t milliseconds);

// Wall-clock time, milliseconds and microseconds since 1970.
int64_t NowMs();
int64_t NowUs();

// Starts `work` and logs what it throws under `part`.
void Spawn(boost::asio::io_context& io, const std::string& part,
           boost::asio::awaitable<void> work);

}  // namespace pimento
