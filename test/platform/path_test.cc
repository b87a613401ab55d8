// End-to-end tests of the request path: gateways and archives run as real
// processes against stand-ins for the store and the upstreams, and the tests
// check what callers receive and what upstreams run.
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <set>
#include <thread>

#include "bench/lib/platform_fleet.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;

PlatformFleet MakeFleet(const std::string& name,
                        PlatformFleet::Options options = {}) {
  return PlatformFleet("build/bin", "build/platform/" + name, options);
}

void Pause(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// All requests that the `count` upstreams of a kind ran.
json::array RunsOf(PlatformFleet& fleet, const std::string& kind, int count) {
  json::array all;
  for (int i = 0; i < count; ++i) {
    const auto runs = json::parse(fleet.Runs(kind + "-" + std::to_string(i)));
    for (const auto& run : runs.as_array()) all.push_back(run);
  }
  return all;
}

std::string BodyOfRun(const json::array& runs, const std::string& id) {
  for (const auto& run : runs) {
    if (run.at("id").as_string() == id)
      return std::string(run.at("body").as_string());
  }
  return "(did not run)";
}

size_t CountRuns(const json::array& runs, const std::string& id) {
  size_t count = 0;
  for (const auto& run : runs) count += run.at("id").as_string() == id ? 1 : 0;
  return count;
}

// The data of a stream's events, each followed by a line feed.
std::string DataOf(const std::string& stream) {
  std::string data;
  std::istringstream in(stream);
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("data: ")) data += line.substr(6) + "\n";
  return data;
}

// Retries with a new request id until the status is not 503, as callers do.
CallerAnswer CallUntilServed(PlatformFleet& fleet, int gateway,
                             ClientRequest call, int64_t limit_ms) {
  const std::string id = call.headers["X-Pimentopulley-Request-Id"];
  CallerAnswer answer;
  for (int64_t waited = 0; waited <= limit_ms; waited += 150) {
    call.headers["X-Pimentopulley-Request-Id"] =
        waited == 0 ? id : id + "-" + std::to_string(waited);
    answer = fleet.Call(gateway, call);
    if (answer.status != 503) return answer;
    Pause(150);
  }
  return answer;
}

}  // namespace

TEST_CASE("the upstream receives the whole turn history through any gateway") {
  auto fleet = MakeFleet("chain");
  const auto first = fleet.Call(0, fleet.TurnRequest("t1", "p", "", "hello "));
  REQUIRE(first.status == 200);
  CHECK(first.complete);
  CHECK(first.headers.at("x-pimentopulley-server-stamp").starts_with("stamp-"));
  const auto second = fleet.Call(1, fleet.TurnRequest("t2", "p", "t1", "and "));
  REQUIRE(second.status == 200);
  const auto third = fleet.Call(0, fleet.TurnRequest("t3", "p", "t2", "bye"));
  REQUIRE(third.status == 200);
  const auto runs = RunsOf(fleet, "talk", 2);
  CHECK(BodyOfRun(runs, "t1") == "hello ");
  CHECK(BodyOfRun(runs, "t2") == "hello " + DataOf(first.body) + "and ");
  CHECK(BodyOfRun(runs, "t3") ==
        "hello " + DataOf(first.body) + "and " + DataOf(second.body) + "bye");
  for (const auto& run : runs) {
    CHECK(run.at("team").as_string() == "quilters");
    CHECK(run.at("key").as_string().empty());
  }
  // Continuing a turn that does not exist, or one of another team, gives 404.
  CHECK(fleet.Call(0, fleet.TurnRequest("t4", "p", "none", "x")).status == 404);
  auto foreign = fleet.TurnRequest("t5", "q", "t1", "x");
  foreign.headers["Authorization"] = "Token key-of-others";
  CHECK(fleet.Call(0, foreign).status == 404);
  CHECK(CountRuns(RunsOf(fleet, "talk", 2), "t5") == 0);
}

TEST_CASE("a program's token budget holds across gateways") {
  auto fleet = MakeFleet("budget");
  // A turn generates 4 events of 12 tokens and reserves 60 tokens, so three
  // concurrent turns fit into the budget of 200.
  std::vector<std::thread> callers;
  std::array<int, 8> status{};
  for (size_t i = 0; i < status.size(); ++i) {
    callers.emplace_back([&, i] {
      auto call = fleet.TurnRequest("b" + std::to_string(i), "p", "", "x", 200);
      status[i] = fleet.Call(static_cast<int>(i % 2), call).status;
    });
  }
  for (auto& caller : callers) caller.join();
  const auto served = std::count(status.begin(), status.end(), 200);
  const auto spent = std::count(status.begin(), status.end(), 402);
  CHECK(served + spent == 8);
  CHECK(served <= 4);
  int more = 0;
  for (int i = 0; i < 8; ++i) {
    auto call = fleet.TurnRequest("c" + std::to_string(i), "p", "", "x", 200);
    more += fleet.Call(i % 2, call).status == 200 ? 1 : 0;
  }
  // The budget may be exceeded by the reservation of one turn: 260 tokens are
  // enough for five turns of 48.
  CHECK(served + more <= 5);
  CHECK(served + more >= 3);
  const auto runs = RunsOf(fleet, "talk", 2);
  CHECK(runs.size() == static_cast<size_t>(served + more));
}

TEST_CASE("turns and budgets survive a crash of all archives at once") {
  auto fleet = MakeFleet("all_killed");
  REQUIRE(fleet.Call(0, fleet.TurnRequest("t1", "p", "", "a", 60)).status ==
          200);
  for (int i = 0; i < 3; ++i)
    fleet.processes().Kill("archive-" + std::to_string(i));
  CHECK(fleet.Call(0, fleet.TurnRequest("t2", "p", "t1", "b")).status == 503);
  for (int i = 0; i < 3; ++i)
    fleet.StartHost("archive-" + std::to_string(i), false);
  const auto next =
      CallUntilServed(fleet, 1, fleet.TurnRequest("t3", "q", "t1", "b"), 8'000);
  CHECK(next.status == 200);
  CHECK(fleet.Call(1, fleet.TurnRequest("t4", "p", "", "b", 60)).status == 402);
}

TEST_CASE("an archive that lost its disk denies no turn and is resynced") {
  auto fleet = MakeFleet("wiped");
  for (int i = 0; i < 20; ++i)
    REQUIRE(
        fleet
            .Call(i % 2, fleet.TurnRequest("t" + std::to_string(i),
                                           "p" + std::to_string(i), "", "a"))
            .status == 200);
  fleet.processes().Kill("archive-1");
  fleet.WipeDisk("archive-1");
  fleet.StartHost("archive-1", false);
  for (int i = 0; i < 20; ++i) {
    const auto answer =
        fleet.Call(i % 2, fleet.TurnRequest("u" + std::to_string(i), "q",
                                            "t" + std::to_string(i), "b"));
    CAPTURE(i);
    CHECK(answer.status != 404);
  }
  // Once archive-1 has resynced, another archive may lose its disk as well.
  bool back = false;
  for (int i = 0; i < 60 && !back; ++i, Pause(100)) {
    back = fleet.Log("archive-1").find("\"event\":\"copied\"") !=
           std::string::npos;
  }
  REQUIRE(back);
  Pause(800);
  fleet.processes().Kill("archive-0");
  fleet.WipeDisk("archive-0");
  for (int i = 0; i < 20; ++i) {
    const auto answer =
        CallUntilServed(fleet, i % 2,
                        fleet.TurnRequest("v" + std::to_string(i), "r",
                                          "t" + std::to_string(i), "b"),
                        4'000);
    CAPTURE(i);
    CHECK(answer.status == 200);
  }
}

TEST_CASE(
    "a retirement completes only when two other archives hold all turns") {
  auto fleet = MakeFleet("retire");
  for (int i = 0; i < 10; ++i)
    REQUIRE(fleet
                .Call(i % 2,
                      fleet.TurnRequest("t" + std::to_string(i), "p", "", "a"))
                .status == 200);
  fleet.PutObject("retirements", "archive-2", R"({"over_s":10})");
  bool completed = false;
  for (int i = 0; i < 100 && !completed; ++i, Pause(100)) {
    completed = fleet.Object("retirements", "archive-2").find("completed") !=
                std::string::npos;
  }
  REQUIRE(completed);
  fleet.processes().Kill("archive-2");
  fleet.WipeDisk("archive-2");
  for (int i = 0; i < 10; ++i) {
    const auto answer =
        CallUntilServed(fleet, i % 2,
                        fleet.TurnRequest("u" + std::to_string(i), "q",
                                          "t" + std::to_string(i), "b"),
                        4'000);
    CAPTURE(i);
    CHECK(answer.status == 200);
  }
}

TEST_CASE("after a retirement, one of two archives may lose its disk") {
  auto fleet = MakeFleet("retire_wipe");
  REQUIRE(fleet.Call(0, fleet.TurnRequest("t1", "p", "", "a")).status == 200);
  fleet.PutObject("retirements", "archive-2", R"({"over_s":10})");
  bool completed = false;
  for (int i = 0; i < 100 && !completed; ++i, Pause(100)) {
    completed = fleet.Object("retirements", "archive-2").find("completed") !=
                std::string::npos;
  }
  REQUIRE(completed);
  fleet.processes().Kill("archive-2");
  fleet.processes().Kill("archive-1");
  fleet.WipeDisk("archive-1");
  fleet.StartHost("archive-1", false);
  const auto next =
      CallUntilServed(fleet, 0, fleet.TurnRequest("t2", "p", "t1", "b"), 8'000);
  CHECK(next.status == 200);
  CHECK(fleet.Call(1, fleet.TurnRequest("t3", "p", "never", "b")).status ==
        404);
}

TEST_CASE("non-idempotent requests run at most once, and 503 means not run") {
  auto fleet = MakeFleet("once");
  fleet.SetFaults("desk-0", R"({"lose_answers":2})");
  fleet.SetFaults("desk-1", R"({"lose_answers":2})");
  std::set<int> seen;
  for (int i = 0; i < 8; ++i) {
    const std::string id = "c" + std::to_string(i);
    const auto answer = fleet.Call(0, fleet.PlainRequest(id, false));
    seen.insert(answer.status);
    const size_t runs = CountRuns(RunsOf(fleet, "desk", 2), id);
    CAPTURE(answer.status);
    CHECK(runs <= 1);
    if (answer.status == 503 || answer.status == 429) CHECK(runs == 0);
    if (answer.status == 200) CHECK(answer.body == "done " + id);
  }
  CHECK(seen.count(502) == 1);
  CHECK(seen.count(200) == 1);
  // Refused by both upstreams, then by one of them: the retry on the other one
  // succeeds.
  fleet.SetFaults("desk-0", R"({"shed":1,"lose_answers":0})");
  fleet.SetFaults("desk-1", R"({"shed":1,"lose_answers":0})");
  const auto both = fleet.Call(0, fleet.PlainRequest("d1", false));
  CHECK(both.status == 503);
  CHECK(both.headers.count("retry-after") == 1);
  CHECK(CountRuns(RunsOf(fleet, "desk", 2), "d1") == 0);
  fleet.SetFaults("desk-0", R"({"shed":1})");
  for (int i = 0; i < 4; ++i)
    CHECK(fleet.Call(0, fleet.PlainRequest("e" + std::to_string(i), false))
              .status == 200);
}

namespace {

// Most of the runs that began in any `window_ms`.
size_t MostRunsIn(const json::array& runs, int64_t window_ms) {
  std::vector<int64_t> times;
  for (const auto& run : runs)
    times.push_back(run.at("at_ms").to_number<int64_t>());
  std::sort(times.begin(), times.end());
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] > window_ms) ++first;
    most = std::max(most, last + 1 - first);
  }
  return most;
}

}  // namespace

TEST_CASE("an upstream that names a limit gets no more, and all are served") {
  auto fleet = MakeFleet("limit");
  constexpr int kLimit = 3;
  fleet.SetFaults("desk-0", R"({"limit_per_s":3})");
  // Every gateway hears of the limit.
  for (int i = 0; i < 12; ++i)
    CHECK(fleet.Call(i % 2, fleet.PlainRequest("h" + std::to_string(i), true))
              .status == 200);
  const size_t before = RunsOf(fleet, "desk", 1).size();
  for (int i = 0; i < 240; ++i) {
    CHECK(fleet.Call(i % 2, fleet.PlainRequest("l" + std::to_string(i), true))
              .status == 200);
    Pause(25);
  }
  json::array runs = RunsOf(fleet, "desk", 1);
  runs.erase(runs.begin(), runs.begin() + static_cast<std::ptrdiff_t>(before));
  constexpr int64_t kWindowMs = 4'000;
  MESSAGE("most in 4 s: " << MostRunsIn(runs, kWindowMs) << ", " << runs.size()
                          << " in all");
  // The platform allows half as much again and five requests.
  CHECK(MostRunsIn(runs, kWindowMs) <= (kLimit + 0.5) * 4 * 1.5 + 5);
  // Not refused far below it either.
  CHECK(runs.size() >= kLimit * 6 / 2);
}

TEST_CASE("an idempotent request is retried after a lost response") {
  auto fleet = MakeFleet("again");
  fleet.SetFaults("desk-0", R"({"lose_answers":1})");
  for (int i = 0; i < 4; ++i)
    CHECK(fleet.Call(0, fleet.PlainRequest("s" + std::to_string(i), true))
              .status == 200);
}

TEST_CASE("a broken stream is resumed elsewhere or stays incomplete") {
  auto fleet = MakeFleet("streams");
  fleet.SetFaults("talk-0", R"({"cut_after":1,"tokens":6})");
  fleet.SetFaults("talk-1", R"({"cut_after":1,"tokens":6})");
  auto resumed = fleet.TurnRequest("r1", "p", "", "x");
  resumed.target = "/resumed/turn";
  const auto cut_twice = fleet.Call(0, resumed);
  CHECK(cut_twice.status == 200);
  CHECK_FALSE(cut_twice.complete);
  fleet.SetFaults("talk-0", R"({"cut_after":1})");
  fleet.SetFaults("talk-1", R"({"cut_after":0})");
  int whole = 0;
  for (int i = 0; i < 4; ++i) {
    resumed.headers["X-Pimentopulley-Request-Id"] = "s" + std::to_string(i);
    const auto answer = fleet.Call(0, resumed);
    whole += answer.complete ? 1 : 0;
    for (int event = 1; event <= 6 && answer.complete; ++event) {
      const std::string line = "id: " + std::to_string(event) + "\n";
      const size_t at = answer.body.find(line);
      CAPTURE(answer.body);
      CHECK(at != std::string::npos);
      CHECK(answer.body.find(line, at + 1) == std::string::npos);
    }
  }
  CHECK(whole == 4);
  fleet.SetFaults("talk-0", R"({"cut_after":1})");
  fleet.SetFaults("talk-1", R"({"cut_after":1})");
  const auto kept = fleet.Call(0, fleet.TurnRequest("k1", "p", "", "x"));
  CHECK_FALSE(kept.complete);
  CHECK(CountRuns(RunsOf(fleet, "talk", 2), "k1") == 1);
  CHECK(fleet.Call(0, fleet.TurnRequest("k2", "p", "k1", "x")).status == 404);
}

TEST_CASE("malformed, oversized and smuggled requests reach no upstream") {
  auto fleet = MakeFleet("bad_input");
  const std::string head =
      "POST /open/x HTTP/1.1\r\nHost: x.example\r\n"
      "X-Pimentopulley-Request-Id: bad\r\n";
  const std::string smuggled =
      "POST /charge/x HTTP/1.1\r\nHost: x.example\r\n"
      "X-Pimentopulley-Request-Id: smuggled\r\nContent-Length: 0\r\n\r\n";
  struct Case {
    const char* what;
    std::string bytes;
    std::string status;
  };
  const std::vector<Case> cases = {
      {"two lengths",
       head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde" + smuggled,
       "400"},
      {"length and chunks",
       head +
           "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
           smuggled,
       "400"},
      {"chunks and length",
       head +
           "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" +
           smuggled,
       "400"},
      {"unknown coding", head + "Transfer-Encoding: gzip\r\n\r\n" + smuggled,
       "400"},
      {"bare line feeds",
       "POST /open/x HTTP/1.1\nHost: x.example\n\n" + smuggled, "400"},
      {"negative length", head + "Content-Length: -4\r\n\r\n" + smuggled,
       "400"},
      {"no host", "POST /open/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "400"},
      {"two hosts",
       "POST /open/x HTTP/1.1\r\nHost: a\r\nHost: x.example\r\nContent-Length: "
       "0\r\n\r\n",
       "400"},
      {"space before colon", head + "Content-Length : 4\r\n\r\nabcd", "400"},
      {"bad chunk size",
       head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggled, "400"},
      {"no protocol", "hello\r\n\r\n", "400"},
      {"header too large",
       head + "X-Long: " + std::string(9'000, 'a') + "\r\n\r\n", "431"},
      {"body too large",
       head + "Content-Length: 70000\r\n\r\n" + std::string(70'000, 'a'),
       "413"},
      {"unknown route",
       "POST /none/x HTTP/1.1\r\nHost: x.example\r\nContent-Length: 0\r\n\r\n",
       "404"},
      {"unknown key",
       "POST /charge/x HTTP/1.1\r\nHost: x.example\r\nAuthorization: Token "
       "no\r\nContent-Length: 0\r\n\r\n",
       "401"},
      {"no key",
       "POST /charge/x HTTP/1.1\r\nHost: x.example\r\nContent-Length: "
       "0\r\n\r\n",
       "401"},
      {"negative deadline",
       head + "X-Pimentopulley-Deadline-Ms: -3\r\nContent-Length: 0\r\n\r\n",
       "400"},
      {"negative budget",
       head + "X-Pimentopulley-Token-Budget: -3\r\nContent-Length: 0\r\n\r\n",
       "400"},
  };
  for (const Case& c : cases) {
    const std::string answer = fleet.SendRaw(0, c.bytes, 1'500);
    CAPTURE(c.what);
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 " + c.status));
  }
  CHECK(RunsOf(fleet, "desk", 2).empty());
  // An incomplete header and an incomplete body.
  CHECK(fleet.SendRaw(0, "POST /open/x HTT", 2'500).find(" 200 ") ==
        std::string::npos);
  CHECK(fleet.SendRaw(0, head + "Content-Length: 9\r\n\r\nabc", 1'500)
            .find(" 200 ") == std::string::npos);
  CHECK(RunsOf(fleet, "desk", 2).empty());
  // Two pipelined requests get two responses, in order.
  const std::string one =
      "GET /open/x HTTP/1.1\r\nHost: x.example\r\n"
      "X-Pimentopulley-Request-Id: p1\r\n\r\n";
  std::string two = one;
  two.replace(two.find("p1"), 2, "p2");
  const std::string both = fleet.SendRaw(0, one + two, 1'500);
  CHECK(both.find("done p1") < both.find("done p2"));
  CHECK(both.find("done p2") != std::string::npos);
}

TEST_CASE("a withdrawn key is rejected by every gateway and stays withdrawn") {
  auto fleet = MakeFleet("keys", {.revoke_ms = 3'000});
  CHECK(fleet.Call(0, fleet.PlainRequest("k1", true)).status == 200);
  fleet.PutState(2, {"another-key"});
  bool stopped = false;
  for (int i = 0; i < 30 && !stopped; ++i, Pause(50)) {
    stopped =
        fleet.Call(0, fleet.PlainRequest("k" + std::to_string(10 + i), true))
                .status == 401 &&
        fleet.Call(1, fleet.PlainRequest("m" + std::to_string(10 + i), true))
                .status == 401;
  }
  CHECK(stopped);
  // An older version of the state does not replace the current one.
  fleet.PutState(1, {fleet.key()});
  Pause(500);
  CHECK(fleet.Call(0, fleet.PlainRequest("k3", true)).status == 401);
}

TEST_CASE("a graceful shutdown completes open streams and clears readiness") {
  auto fleet = MakeFleet("stop");
  fleet.SetFaults("talk-0", R"({"tokens":20,"event_ms":60})");
  fleet.SetFaults("talk-1", R"({"tokens":20,"event_ms":60})");
  CallerAnswer answer;
  std::thread caller(
      [&] { answer = fleet.Call(0, fleet.TurnRequest("s1", "p", "", "x")); });
  Pause(300);
  fleet.processes().Signal("gateway-0", SIGTERM);
  Pause(200);
  CHECK_FALSE(fleet.Ready(0));
  caller.join();
  CHECK(answer.status == 200);
  CHECK(answer.complete);
  CHECK(fleet.Call(1, fleet.TurnRequest("s2", "p", "s1", "y")).status == 200);
}

TEST_CASE("archives start despite lost and late store responses") {
  auto fleet = MakeFleet("lost_answers", {.gateways = 1});
  fleet.SetFaults("store",
                  R"({"lose_answers":3,"lose_before":1,"late_ms":700})");
  fleet.processes().Kill("archive-0");
  fleet.WipeDisk("archive-0");
  fleet.StartHost("archive-0", false);
  bool back = false;
  for (int i = 0; i < 100 && !back; ++i, Pause(100))
    back = fleet.Log("archive-0").find("\"event\":\"copied\"") !=
           std::string::npos;
  CHECK(back);
  CHECK(CallUntilServed(fleet, 0, fleet.TurnRequest("t1", "p", "", "x"), 3'000)
            .status == 200);
}

TEST_CASE("calls are served during a store outage, key withdrawals follow it") {
  auto fleet = MakeFleet("outage", {.revoke_ms = 3'000});
  fleet.SetFaults("store", R"({"down":true})");
  int served = 0;
  int asked = 0;
  // Includes turns, because each archive response reports when the archive last
  // heard from the store.
  for (const auto end =
           std::chrono::steady_clock::now() + std::chrono::milliseconds(6'000);
       std::chrono::steady_clock::now() < end; Pause(50)) {
    const std::string id = "o" + std::to_string(++asked);
    served +=
        fleet.Call(asked % 2, fleet.TurnRequest(id, id, "", "x")).status == 200
            ? 1
            : 0;
  }
  CHECK(served > asked * 9 / 10);
  fleet.SetFaults("store", R"({"down":false})");
  fleet.PutState(2, {"another-key"});
  Pause(3'000);
  for (int gateway = 0; gateway < 2; ++gateway) {
    const auto id = "w" + std::to_string(gateway);
    CHECK(fleet.Call(gateway, fleet.PlainRequest(id, true)).status == 401);
  }
}

TEST_CASE("a gateway that alone cannot reach the store stops accepting keys") {
  auto fleet = MakeFleet("alone", {.revoke_ms = 3'000, .proxied = true});
  fleet.LinkOf("gateway-0").SetFault(LinkFault::kSilent);
  fleet.PutState(2, {"another-key"});
  Pause(3'100);
  for (int i = 0; i < 20; ++i, Pause(50)) {
    const auto id = "a" + std::to_string(i);
    const int status = fleet.Call(0, fleet.PlainRequest(id, true)).status;
    CAPTURE(status);
    CHECK(status != 200);
  }
}

// Guards against idle archives, which the store serves, being counted among the
// hosts that have lost it: the gateways that it turns away then took the outage
// for a general one and went on accepting revoked keys.
TEST_CASE("gateways that the store turns away stop though archives are idle") {
  constexpr int64_t kRevokeMs = 5'000;
  auto fleet = MakeFleet(
      "turned_away", {.gateways = 3, .revoke_ms = kRevokeMs, .proxied = true});
  // Streams that end seconds later, when archives report in their answers.
  for (const char* upstream : {"talk-0", "talk-1"})
    fleet.SetFaults(upstream, R"({"tokens":16,"event_ms":140})");
  std::vector<std::jthread> streams;
  const auto start_stream = [&](int gateway, const std::string& id) {
    streams.emplace_back([&fleet, gateway, id] {
      auto turn = fleet.TurnRequest(id, id, "", "x");
      turn.headers["Authorization"] = "Token key-of-others";
      fleet.Call(gateway, turn);
    });
  };
  Pause(4'500);
  fleet.processes().Kill("gateway-2");
  fleet.LinkOf("gateway-0").SetFault(LinkFault::kSilent);
  fleet.LinkOf("gateway-1").SetFault(LinkFault::kSilent);
  fleet.PutState(2, {"another-key"});
  const auto revoked = std::chrono::steady_clock::now();
  const auto past_ms = [&] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - revoked)
        .count();
  };
  int late = 0;
  for (int i = 0; past_ms() < 2 * kRevokeMs; ++i, Pause(50)) {
    const std::string id = std::to_string(i);
    if (i % 4 < 2) start_stream(i % 2, "s" + id);
    const bool is_late = past_ms() > kRevokeMs;
    const int status =
        fleet.Call(i % 2, fleet.PlainRequest("k" + id, true)).status;
    late += is_late && status == 200 ? 1 : 0;
  }
  CHECK(late == 0);
}

// Guards against a gateway that alone had missed a revocation using its old
// configuration again once the store is down for all.
TEST_CASE("an outage does not revive a configuration that was too old before") {
  // Gateways are over three quarters of the hosts, each in a zone of its own.
  auto fleet = MakeFleet(
      "revived",
      {.gateways = 10, .revoke_ms = 3'000, .zones = 10, .proxied = true});
  fleet.LinkOf("gateway-0").SetFault(LinkFault::kSilent);
  fleet.PutState(2, {"another-key"});
  Pause(4'000);
  REQUIRE(fleet.Call(0, fleet.PlainRequest("before", true)).status == 503);
  fleet.SetFaults("store", R"({"down":true})");
  int late = 0;
  for (int i = 0; i < 100; ++i, Pause(40)) {
    const auto id = "r" + std::to_string(i);
    late += fleet.Call(0, fleet.PlainRequest(id, true)).status == 200 ? 1 : 0;
  }
  CHECK(late == 0);
  // The gateway that knows of the revocation serves on.
  auto call = fleet.PlainRequest("served", true);
  call.headers["Authorization"] = "Token another-key";
  CHECK(fleet.Call(1, call).status == 200);
}

TEST_CASE("gateways and archives serve their metrics") {
  auto fleet = MakeFleet("metrics");
  REQUIRE(fleet.Call(0, fleet.TurnRequest("t1", "p", "", "x")).status == 200);
  CHECK(fleet.Call(0, fleet.TurnRequest("t2", "p", "none", "x")).status == 404);
  const std::string gateway = fleet.Metrics("gateway-0");
  CHECK(gateway.find("pimento_refused_total{reason=\"not_found\"} 1") !=
        std::string::npos);
  CHECK(gateway.find("pimento_call_milliseconds_count 1") != std::string::npos);
  for (const char* view : {"age_ms", "revision", "held"})
    CHECK(gateway.find("pimento_view_" + std::string(view) +
                       "{kind=\"servers\"} ") != std::string::npos);
  int turns = 0;
  for (int i = 0; i < 3; ++i) {
    const auto text = fleet.Metrics("archive-" + std::to_string(i));
    turns +=
        text.find("pimento_archive_turns 1\n") != std::string::npos ? 1 : 0;
  }
  CHECK(turns >= 2);
}

TEST_CASE("a state change after a store outage takes effect") {
  auto fleet = MakeFleet("compaction");
  fleet.SetFaults("store", R"({"down":true})");
  Pause(300);
  fleet.SetFaults("store", R"({"down":false})");
  fleet.PutState(5, {fleet.key(), "second"});
  auto call = fleet.PlainRequest("x1", true);
  call.headers["Authorization"] = "Token second";
  bool served = false;
  for (int i = 0; i < 40 && !served; ++i, Pause(50)) {
    call.headers["X-Pimentopulley-Request-Id"] = "x" + std::to_string(i);
    served = fleet.Call(0, call).status == 200;
  }
  CHECK(served);
}

}  // namespace pimento::testbed
