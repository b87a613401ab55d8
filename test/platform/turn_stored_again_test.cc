// A finished turn that the archive cannot store at once: through real gateways
// and archives.
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"

namespace pimento::testbed {
namespace {

using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

void Pause(int64_t time_ms) {
  std::this_thread::sleep_for(milliseconds(time_ms));
}

bool WaitFor(const std::function<bool()>& condition) {
  for (int i = 0; i < 100 && !condition(); ++i) Pause(30);
  return condition();
}

std::string Events(int last) {
  std::string text;
  for (int i = 1; i <= last; ++i)
    text += ScriptedUpstream::EventText(i, "w" + std::to_string(i));
  return text;
}

// One gateway, three archives and an upstream that ends its stream when the
// test says so.
class Turn {
 public:
  explicit Turn(const std::string& name)
      : fleet("build/bin", "build/platform/" + name,
              {.gateways = 1, .streaming_upstreams = 0, .plain_upstreams = 0}),
        talk_([this](const Request& request, Answer& answer) {
          answer.Write(
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
              ScriptedUpstream::AnswerFields(request) + "\r\n" + Events(2));
          if (request.id == "t1") {
            begun_ = true;
            while (!may_end_ && answer.open()) answer.Pause(10);
          }
          answer.Write(ScriptedUpstream::EventText(3, "w3"));
          answer.Close();
        }) {
    fleet.RegisterUpstream(401, "talk", talk_.address());
    int probes = 0;
    REQUIRE(WaitFor([&] {
      const std::string id = "probe" + std::to_string(++probes);
      return fleet.Call(0, fleet.TurnRequest(id, "q", "", "x")).status == 200;
    }));
  }
  // Sends the turn t1 and returns once its stream has begun.
  void Begin(int64_t limit_ms) {
    caller_ = std::thread([this, limit_ms] {
      ClientRequest call = fleet.TurnRequest("t1", "p", "", "x");
      call.headers["X-Pimentopulley-Deadline-Ms"] = std::to_string(limit_ms);
      call.limit_ms = limit_ms + 2'000;
      got_ = fleet.Call(0, std::move(call));
    });
    const bool begun = WaitFor([this] { return begun_.load(); });
    CHECK(begun);
  }
  // Lets the upstream end its stream.
  void EndRun() { may_end_ = true; }
  CallerAnswer Wait() {
    caller_.join();
    return got_;
  }
  ~Turn() {
    may_end_ = true;
    if (caller_.joinable()) caller_.join();
  }
  size_t Runs() const { return talk_.CountRequests("t1"); }

  PlatformFleet fleet;

 private:
  std::atomic<bool> begun_ = false;
  std::atomic<bool> may_end_ = false;
  ScriptedUpstream talk_;
  std::thread caller_;
  CallerAnswer got_;
};

}  // namespace

// One failed attempt to store the turn broke its stream off.
TEST_CASE("a finished turn is stored when a quorum is back in time") {
  Turn turn("turn_stored_again");
  turn.Begin(5'000);
  for (const char* archive : {"archive-0", "archive-1"})
    turn.fleet.processes().Freeze(archive);
  turn.EndRun();
  Pause(1'000);
  for (const char* archive : {"archive-0", "archive-1"})
    turn.fleet.processes().Thaw(archive);
  const CallerAnswer got = turn.Wait();
  CHECK(got.status == 200);
  CHECK(got.complete);
  CHECK(got.body == Events(3));
  CHECK(turn.Runs() == 1);
  CHECK(turn.fleet.Metrics("gateway-0").find("turns_stored_again") !=
        std::string::npos);
  // It is known from then on.
  const auto next =
      turn.fleet.Call(0, turn.fleet.TurnRequest("t2", "p", "t1", "y"));
  CHECK(next.status == 200);
}

TEST_CASE("a turn that no quorum stores in time is not ended as complete") {
  Turn turn("turn_not_stored");
  turn.Begin(1'200);
  for (const char* archive : {"archive-0", "archive-1"})
    turn.fleet.processes().Freeze(archive);
  turn.EndRun();
  const auto ended = steady_clock::now();
  const CallerAnswer got = turn.Wait();
  CHECK_FALSE(got.complete);
  CHECK(turn.Runs() == 1);
  // The caller's time and one attempt bound the wait.
  CHECK(steady_clock::now() - ended < milliseconds(1'200 + 450 + 300));
  for (const char* archive : {"archive-0", "archive-1"})
    turn.fleet.processes().Thaw(archive);
}

}  // namespace pimento::testbed
