#include "src/duty.h"

#include <chrono>
#include <cstdlib>

#include "src/errors.h"
#include "src/log.h"

namespace pimento {
namespace {

constexpr int kMostFailures = 20;

const Log kLog("supervisor");

}  // namespace

Duty::Duty(std::string name, size_t ring_capacity)
    : name_(std::move(name)),
      io_(1),
      work_(boost::asio::make_work_guard(io_)),
      ring_(ring_capacity) {}

Duty::~Duty() {
  Stop();
  Task* task = nullptr;
  while (ring_.pop(task)) delete task;
}

bool Duty::Offer(Task task) {
  auto owned = std::make_unique<Task>(std::move(task));
  // bounded_push never allocates: a full ring is an answer, not a reason to
  // grow.
  if (!ring_.bounded_push(owned.get())) return false;
  owned.release();
  if (!draining_.exchange(true)) boost::asio::post(io_, [this] { Drain(); });
  return true;
}

void Duty::Drain() {
  draining_ = false;
  Task* next = nullptr;
  while (ring_.pop(next)) {
    const std::unique_ptr<Task> task(next);
    (*task)();
  }
}

void Duty::Start() {
  thread_ = std::thread([this] { Run(); });
}

void Duty::Run() {
  while (!stopping_) {
    try {
      io_.run();
      return;
    } catch (const std::exception& e) {
      if (on_failure_) on_failure_(e.what());
      // What is left in the ring gets its turn after the failed task.
      boost::asio::post(io_, [this] { Drain(); });
    }
  }
}

void Duty::Stop() {
  stopping_ = true;
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

Duty& Supervisor::Add(const std::string& name, size_t ring_capacity) {
  duties_.push_back(std::make_unique<Duty>(name, ring_capacity));
  Duty& duty = *duties_.back();
  duty.set_on_failure([this, name](const std::string& what) {
    kLog.Error() << "The duty " << name << " failed and goes on: " << what;
    if (++failures_ > kMostFailures) {
      kLog.Error() << "The process " << name_
                   << " has failed too often and ends.";
      std::abort();
    }
  });
  return duty;
}

void Supervisor::Start() {
  running_ = true;
  for (auto& duty : duties_) duty->Start();
}

void Supervisor::Stop() {
  if (!running_) return;
  running_ = false;
  for (auto it = duties_.rbegin(); it != duties_.rend(); ++it) (*it)->Stop();
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
  boost::asio::co_spawn(io, std::move(work), [part](std::exception_ptr error) {
    if (error)
      Log(part).Error() << "A task ended with an error: "
                        << ExceptionMessage(error);
  });
}

}  // namespace pimento
