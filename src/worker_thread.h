// A thread that runs an event loop and takes tasks from a bounded lock-free
// queue, the ring.
//
// Other threads submit tasks with Offer(). When the ring is full, Offer()
// fails and the submitter reports the overload to its own caller, so no queue
// grows without bound.
//
//   WorkerThread dispatch("dispatch", 1024);
//   const Reply reply =
//       co_await RunOn<Reply>(dispatch, [&] { return Send(call); });
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

// One thread with an io_context of its own. Tasks run in the order in which
// they were offered; a task that throws does not end the thread.
class WorkerThread {
 public:
  using Task = std::function<void()>;

  // `ring_capacity` is the number of tasks that can wait.
  WorkerThread(std::string name, size_t ring_capacity);
  ~WorkerThread();
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  // Queues `task` to run on this thread. Returns false when the ring is full.
  bool Offer(Task task);

  void Start();
  // Stops the event loop and joins the thread. Tasks still in the ring are
  // destroyed unrun with the object.
  void Stop();
  // `on_failure` runs on this thread with the message of each exception that a
  // task lets escape. Set by Supervisor.
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
  // True while a Drain() is posted, so that one wake-up serves many offers.
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::function<void(const std::string&)> on_failure_;
  std::thread thread_;
};

// Owns the worker threads of a process: starts them in order and stops them in
// reverse. An exception from a task is logged, and its thread continues. After
// too many failures in total the process aborts, because one with only some of
// its threads working cannot serve requests.
class Supervisor {
 public:
  explicit Supervisor(std::string name) : name_(std::move(name)) {}
  ~Supervisor() { Stop(); }
  WorkerThread& Add(const std::string& name, size_t ring_capacity);
  void Start();
  void Stop();

 private:
  std::string name_;
  std::vector<std::unique_ptr<WorkerThread>> workers_;
  std::atomic<int> failures_{0};
  bool running_ = false;
};

// Keeps `work` alive while its coroutine runs: the captures of a coroutine
// lambda live in the lambda object, not in the coroutine frame.
template <class T>
boost::asio::awaitable<T> RunKeepingAlive(
    std::function<boost::asio::awaitable<T>()> work) {
  co_return co_await work();
}

// Runs `work` on `worker` and resumes the caller, on the caller's executor,
// with the result. Throws Refusal(kRingFull) when the ring is full.
template <class T>
boost::asio::awaitable<T> RunOn(
    WorkerThread& worker, std::function<boost::asio::awaitable<T>()> work) {
  namespace asio = boost::asio;
  auto initiate = [&worker, &work](auto handler) {
    using Handler = decltype(handler);
    auto shared = std::make_shared<Handler>(std::move(handler));
    auto executor = asio::get_associated_executor(*shared);
    auto finish = [shared, executor](std::exception_ptr error, T value) {
      asio::post(executor, [shared, error, value = std::move(value)]() mutable {
        (*shared)(error, std::move(value));
      });
    };
    const bool offered = worker.Offer([&worker, work, finish] {
      asio::co_spawn(worker.io(), RunKeepingAlive<T>(work), finish);
    });
    if (offered) return;
    finish(std::make_exception_ptr(Refusal(
               Reason::kRingFull, RunState::kNotRun,
               "The task queue of the thread " + worker.name() + " is full.")),
           T{});
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(std::exception_ptr, T)>(
      initiate, asio::use_awaitable);
}

// Suspends the coroutine for `milliseconds`.
boost::asio::awaitable<void> Sleep(int64_t milliseconds);

// Wall-clock time since 1970-01-01 UTC, in milliseconds and microseconds.
int64_t NowMs();
int64_t NowUs();

// Starts `work` on `io` without waiting for it. An exception that it throws is
// logged under the logger name `part`.
void Spawn(boost::asio::io_context& io, const std::string& part,
           boost::asio::awaitable<void> work);

}  // namespace pimento
