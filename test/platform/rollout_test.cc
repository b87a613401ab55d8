// Services that are moved to another version, through real gateways and a
// store: a good version, a bad one, orders that cannot be carried out, and the
// end of the gateway that decides.
#include <doctest/doctest.h>
#include <signal.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;
using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

void Pause(int64_t time_ms) {
  std::this_thread::sleep_for(milliseconds(time_ms));
}

int64_t SinceMs(steady_clock::time_point start) {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start)
      .count();
}

// Two upstreams of each version of the service "desk". Those of v2 start to
// answer with failures when `bad` is set.
class TwoVersions {
 public:
  explicit TwoVersions(PlatformFleet& fleet) : fleet_(fleet) {
    for (int i = 0; i < 4; ++i) {
      const bool newer = i >= 2;
      upstreams_.push_back(std::make_unique<ScriptedUpstream>(
          [this, newer](const Request& request, Answer& answer) {
            const bool failed = newer && bad;
            answer.Write(std::string("HTTP/1.1 ") +
                         (failed ? "500 Failed" : "200 OK") + "\r\n" +
                         ScriptedUpstream::AnswerFields(request) +
                         "Content-Length: 2\r\n\r\nok");
          }));
    }
    Register(0);
    Register(1);
  }

  void RegisterNewer() {
    Register(2);
    Register(3);
  }
  size_t RequestsOfOlder() const {
    return upstreams_[0]->requests().size() + upstreams_[1]->requests().size();
  }
  size_t RequestsOfNewer() const {
    return upstreams_[2]->requests().size() + upstreams_[3]->requests().size();
  }

  std::atomic<bool> bad = false;

 private:
  void Register(int i) {
    fleet_.RegisterUpstream(300 + i, "desk",
                            upstreams_[static_cast<size_t>(i)]->address(), 50,
                            1, i >= 2 ? "v2" : "v1");
  }

  PlatformFleet& fleet_;
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams_;
};

// Callers that send requests one after the other, until they are stopped.
class Callers {
 public:
  Callers(PlatformFleet& fleet, std::vector<int> gateways) {
    for (const int gateway : gateways) {
      threads_.emplace_back([this, &fleet, gateway] {
        while (!stopping_) {
          if (left_out == gateway) return;
          const auto answer = fleet.Call(
              gateway, {.method = "GET",
                        .target = "/open/x",
                        .headers = {{"X-Pimentopulley-Deadline-Ms", "1500"}}});
          ++sent;
          if (answer.status != 200 && left_out != gateway) ++failed;
          Pause(15);
        }
      });
    }
  }
  ~Callers() {
    stopping_ = true;
    for (auto& thread : threads_) thread.join();
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  std::atomic<int64_t> sent = 0;
  std::atomic<int64_t> failed = 0;
  // This gateway gets no more requests.
  std::atomic<int> left_out = -1;

 private:
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
};

PlatformFleet FleetWithoutUpstreams(const std::string& name, int gateways) {
  return PlatformFleet(
      "build/bin", "build/platform/" + name,
      {.gateways = gateways, .streaming_upstreams = 0, .plain_upstreams = 0});
}

void Order(PlatformFleet& fleet, const std::string& target, double over_s) {
  fleet.PutObject(
      "rollouts", "desk",
      json::serialize(json::object{
          {"service", "desk"}, {"target", target}, {"over_s", over_s}}));
}

json::object Status(PlatformFleet& fleet, const std::string& name = "desk") {
  const json::value object = json::parse(fleet.Object("rollouts", name));
  const json::value& status = object.at("status");
  return status.is_object() ? status.as_object() : json::object{};
}

std::string Text(const json::object& status, const char* key) {
  const json::value* value = status.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : "";
}

// Waits for a state of the order. Returns the time that it took; -1 if it did
// not come within `limit_ms`.
int64_t WaitForState(PlatformFleet& fleet, const std::string& state,
                     int64_t limit_ms) {
  const auto start = steady_clock::now();
  while (SinceMs(start) < limit_ms) {
    if (Text(Status(fleet), "state") == state) return SinceMs(start);
    Pause(20);
  }
  return -1;
}

bool WaitForStep(PlatformFleet& fleet, const std::string& step,
                 int64_t limit_ms) {
  const auto start = steady_clock::now();
  while (SinceMs(start) < limit_ms) {
    if (Text(Status(fleet), "step") == step) return true;
    Pause(20);
  }
  return false;
}

}  // namespace

TEST_CASE("a good version gets the whole service") {
  auto fleet = FleetWithoutUpstreams("rollout_good", 2);
  TwoVersions versions(fleet);
  Pause(300);
  Callers callers(fleet, {0, 1, 0, 1});
  Pause(300);
  constexpr double kOverS = 9;
  Order(fleet, "v2", kOverS);
  Pause(100);
  versions.RegisterNewer();
  REQUIRE(WaitForState(fleet, "completed", 15'000) > 0);
  const auto status = Status(fleet);
  CHECK(Text(status, "target") == "v2");
  CHECK(status.at("elapsed_ms").to_number<int64_t>() <
        static_cast<int64_t>(kOverS * 1'000));
  const size_t older = versions.RequestsOfOlder();
  const size_t newer = versions.RequestsOfNewer();
  Pause(1'000);
  CHECK(versions.RequestsOfOlder() == older);
  CHECK(versions.RequestsOfNewer() > newer);
  CHECK(callers.failed == 0);
  CHECK(fleet.Log("gateway-0").find("\"rollout\"") != std::string::npos);
  CHECK(fleet.Metrics("gateway-0").find("pimento_rollout_share") !=
        std::string::npos);
}

TEST_CASE("a bad version is taken back") {
  auto fleet = FleetWithoutUpstreams("rollout_bad", 2);
  TwoVersions versions(fleet);
  versions.bad = true;
  Pause(300);
  Callers callers(fleet, {0, 1, 0, 1});
  Pause(300);
  Order(fleet, "v2", 20);
  versions.RegisterNewer();
  REQUIRE(WaitForState(fleet, "rolled_back", 20'000) > 0);
  const auto status = Status(fleet);
  CHECK(Text(status, "reason").find("failures") == 0);
  Pause(300);
  const size_t newer = versions.RequestsOfNewer();
  Pause(1'000);
  CHECK(versions.RequestsOfNewer() == newer);
  CHECK(static_cast<double>(newer) <=
        0.1 * static_cast<double>(callers.sent) + 50);
  const std::string log = fleet.Log("gateway-0") + fleet.Log("gateway-1");
  CHECK(log.find("\"rollout_decided\"") != std::string::npos);
}

TEST_CASE("another gateway goes on where the one that decided was killed") {
  auto fleet = FleetWithoutUpstreams("rollout_killed", 3);
  TwoVersions versions(fleet);
  Pause(300);
  Callers callers(fleet, {0, 1, 2});
  Pause(300);
  Order(fleet, "v2", 14);
  versions.RegisterNewer();
  REQUIRE(WaitForStep(fleet, "canary", 8'000));
  const std::string decider = Text(Status(fleet), "by");
  REQUIRE(decider.starts_with("gateway-"));
  callers.left_out = decider.back() - '0';
  Pause(200);
  fleet.processes().Signal(decider, SIGKILL);
  SUBCASE("a good version is completed") {
    CHECK(WaitForState(fleet, "completed", 16'000) > 0);
    const auto status = Status(fleet);
    CHECK(Text(status, "by") != decider);
    CHECK(status.at("elapsed_ms").to_number<int64_t>() < 14'000);
  }
  SUBCASE("a bad version is taken back") {
    versions.bad = true;
    CHECK(WaitForState(fleet, "rolled_back", 10'000) > 0);
    CHECK(Text(Status(fleet), "by") != decider);
  }
}

TEST_CASE("orders that cannot be carried out leave traffic as before") {
  auto fleet = FleetWithoutUpstreams("rollout_impossible", 1);
  TwoVersions versions(fleet);
  Pause(300);
  Callers callers(fleet, {0, 0});
  SUBCASE("no time") {
    Order(fleet, "v2", 0);
    CHECK(WaitForState(fleet, "rolled_back", 3'000) > 0);
    CHECK(Text(Status(fleet), "reason").find("time") != std::string::npos);
  }
  SUBCASE("no upstream of the target") {
    Order(fleet, "v9", 3);
    CHECK(WaitForState(fleet, "rolled_back", 5'000) > 0);
    CHECK(Text(Status(fleet), "reason") == "no upstream runs the target");
  }
  SUBCASE("an unknown service") {
    fleet.PutObject("rollouts", "nowhere",
                    R"({"service":"nowhere","target":"v2","over_s":2})");
    Pause(3'000);
    CHECK(Text(Status(fleet, "nowhere"), "state") == "rolled_back");
  }
  SUBCASE("removed halfway") {
    Order(fleet, "v2", 20);
    versions.RegisterNewer();
    REQUIRE(WaitForStep(fleet, "canary", 8'000));
    fleet.DeleteObject("rollouts", "desk");
    Pause(500);
    const size_t newer = versions.RequestsOfNewer();
    Pause(1'000);
    CHECK(versions.RequestsOfNewer() == newer);
    CHECK(fleet.Log("gateway-0").find("removed while it was running") !=
          std::string::npos);
  }
  const size_t older = versions.RequestsOfOlder();
  Pause(500);
  CHECK(versions.RequestsOfOlder() > older);
  CHECK(callers.failed == 0);
}

}  // namespace pimento::testbed
