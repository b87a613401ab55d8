#include "src/worker_thread.h"

#include <chrono>
#include <cstdlib>

#include "src/background_loop.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/log.h"
#include "src/process_end.h"

namespace pimento {
namespace {

// Failed tasks, over all threads, after which the process aborts.
constexpr int kMaxFailures = 20;

const Log kLog("supervisor");

}  // namespace

WorkerThread::WorkerThread(std::string name, size_t ring_capacity)
    : name_(std::move(name)),
      io_(1),
      work_(boost::asio::make_work_guard(io_)),
      ring_(ring_capacity) {}

WorkerThread::~WorkerThread() {
  Stop();
  Task* task = nullptr;
  while (ring_.pop(task)) delete task;
}

bool WorkerThread::Offer(Task task) {
  auto owned = std::make_unique<Task>(std::move(task));
  // bounded_push never allocates, so the ring cannot grow.
  if (!ring_.bounded_push(owned.get())) return false;
  owned.release();
  if (!draining_.exchange(true)) boost::asio::post(io_, [this] { Drain(); });
  return true;
}

void WorkerThread::Drain() {
  draining_ = false;
  Task* next = nullptr;
  while (ring_.pop(next)) {
    const std::unique_ptr<Task> task(next);
    (*task)();
  }
}

void WorkerThread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void WorkerThread::Run() {
  while (!stopping_) {
    try {
      io_.run();
      return;
    } catch (const std::exception& e) {
      if (on_failure_) on_failure_(e.what());
      // The failed task ended Drain() early: run the tasks left in the ring.
      boost::asio::post(io_, [this] { Drain(); });
    }
  }
}

void WorkerThread::Stop() {
  stopping_ = true;
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

WorkerThread& Supervisor::Add(const std::string& name, size_t ring_capacity) {
  workers_.push_back(std::make_unique<WorkerThread>(name, ring_capacity));
  WorkerThread& worker = *workers_.back();
  worker.set_on_failure([this, name](const std::string& what) {
    kLog.Error() << "A task of the thread " << name
                 << " failed; the thread continues: " << what;
    EventLine(Event::kHandlerFailed).Text("thread", name).Text("error", what);
    if (++failures_ > kMaxFailures) {
      kLog.Error() << "The process " << name_
                   << " has had too many failed tasks and aborts.";
      LogProcessEnd(EndReason::kAbort, "too many failed tasks of the thread " +
                                           name + ", the last: " + what);
      std::abort();
    }
  });
  return worker;
}

void Supervisor::Start() {
  running_ = true;
  for (auto& worker : workers_) worker->Start();
}

void Supervisor::Stop() {
  if (!running_) return;
  running_ = false;
  for (auto it = workers_.rbegin(); it != workers_.rend(); ++it) (*it)->Stop();
}

boost::asio::awaitable<void> Sleep(int64_t milliseconds) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(milliseconds));
  co_await timer.async_wait(boost::asio::use_awaitable);
}

int64_t NowUs() {
  using std::chrono::system_clock;
  return std::chrono::duration_cast<std::chrono::microseconds>(
             system_clock::now().time_since_epoch())
      .count();
}

int64_t NowMs() { return NowUs() / 1000; }

void Spawn(boost::asio::io_context& io, const std::string& part,
           boost::asio::awaitable<void> work) {
  const auto log = [part](const std::exception_ptr& error) {
    if (error) LogEscaped(part, error);
  };
  boost::asio::co_spawn(io, std::move(work), log);
}

}  // namespace pimento
