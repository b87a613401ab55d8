// Requests that crash each upstream that begins to run them, sent again and
// again at any gateway, and the innocent requests beside them: real gateways,
// and upstreams that really end and come back. No such request may end more
// than three upstreams, and none of the others may pay for it.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"
#include "bench/lib/upstream_keeper.h"
#include "src/boot_clock.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;
using Run = UpstreamKeeper::Run;
using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;

constexpr const char* kDeadly = "crash-the-upstream";
// The rule: what has crashed so many upstreams reaches no other one.
constexpr int kMaxCrashes = 3;
// The longest that an innocent request may be refused as a suspect.
constexpr int64_t kMomentsMs = 2'000;
// Within which an innocent request is served, with all its retries.
constexpr int64_t kServedInTheEndMs = 8'000;
// Within which a refusal comes that has not waited for anything.
constexpr int64_t kAtOnceMs = 400;
constexpr int64_t kBackMs = 800;
constexpr int kUpstreams = 5;
// 12 events, 25 ms apart, and plain answers after 60 ms.
constexpr const char* kTalk = R"({"tokens":12,"event_ms":25,"crash_ms":40,)";
constexpr const char* kDesk = R"({"event_ms":60,"crash_ms":40,)";

void Pause(int64_t time_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time_ms));
}

// Where a deadly request crashes its upstream; the value of crash_stage.
enum class Crash : uint8_t {
  kBeforeHeader = 1,
  kBeforeFirstEvent,
  kAfterEvents,
};

// Gateways before upstreams that come back after a crash.
struct Site {
  struct Options {
    int gateways = 3;
    // Of each of the services "talk" and "desk".
    int upstreams = kUpstreams;
    // More switches of "desk", each followed by a comma.
    std::string desk_switches = {};
  };
  Site(const std::string& name, Crash crash) : Site(name, crash, Options()) {}
  Site(const std::string& name, Crash crash, const Options& options)
      : fleet("build/bin", "build/platform/" + name,
              {.gateways = options.gateways,
               .streaming_upstreams = 0,
               .plain_upstreams = 0}),
        keeper(fleet, {.dir = "build/platform/" + name, .back_ms = kBackMs}) {
    const std::string stage = "\"crash_events\":3,\"crash_stage\":" +
                              std::to_string(static_cast<int>(crash)) + "}";
    for (int i = 0; i < options.upstreams; ++i) {
      keeper.Start("talk-" + std::to_string(i), kTalk + stage);
      keeper.Start("desk-" + std::to_string(i),
                   kDesk + options.desk_switches + stage);
    }
    // Until every gateway has heard of all of them.
    Pause(400);
  }
  int gateways() const { return fleet.options().gateways; }

  // Requests with the deadly marker that upstreams began to run.
  int DeadlyRuns() const {
    const auto runs = keeper.Runs();
    return static_cast<int>(std::count_if(
        runs.begin(), runs.end(), [](const Run& run) { return run.deadly; }));
  }

  PlatformFleet fleet;
  UpstreamKeeper keeper;
};

ClientRequest StreamOf(const std::string& key, const std::string& body) {
  ClientRequest call{.target = "/resumed/turn", .body = body};
  call.headers = {{"X-Pimentopulley-Token-Count", "100,150"},
                  {"X-Pimentopulley-Deadline-Ms", "2500"},
                  {"Authorization", "Token " + key}};
  return call;
}

ClientRequest PlainOf(const std::string& key, const std::string& body) {
  ClientRequest call{.target = "/status/x", .body = body};
  call.headers = {{"X-Pimentopulley-Deadline-Ms", "2500"},
                  {"Authorization", "Token " + key}};
  return call;
}

ClientRequest DeadlyStream() { return StreamOf("key-of-others", kDeadly); }
ClientRequest DeadlyPlain() { return PlainOf("key-of-others", kDeadly); }

bool IsServed(const CallerAnswer& answer) {
  return answer.status == 200 && answer.complete;
}

bool IsRefusedAsSuspect(const CallerAnswer& answer) {
  return answer.status == 503 &&
         answer.body.find("crashes_upstreams") != std::string::npos;
}

// What became of the requests of InnocentLoad.
struct InnocentResult {
  int sent = 0;
  int unserved = 0;
  int refused_as_suspect = 0;
  // The longest time from a request's first refusal as a suspect until it was
  // served.
  int64_t longest_suspicion_ms = 0;
};

// Callers that each send one innocent request after the other, at any gateway,
// each again and again under a new id until it is served.
class InnocentLoad {
 public:
  // The request number `index` of caller `caller`.
  using Make = std::function<ClientRequest(int caller, int index)>;
  InnocentLoad(Site& site, int callers, Make make)
      : site_(site), make_(std::move(make)) {
    for (int caller = 0; caller < callers; ++caller)
      threads_.emplace_back([this, caller] {
        for (int index = 0; !stop_; ++index) SendUntilServed(caller, index);
      });
  }
  ~InnocentLoad() { Stop(); }
  InnocentLoad(const InnocentLoad&) = delete;
  InnocentLoad& operator=(const InnocentLoad&) = delete;

  // Ends once all that was begun is served or was given up.
  InnocentResult Stop() {
    stop_ = true;
    for (std::thread& thread : threads_)
      if (thread.joinable()) thread.join();
    const std::lock_guard lock(mutex_);
    return result_;
  }

 private:
  void SendUntilServed(int caller, int index) {
    constexpr int64_t kRetryPauseMs = 60;
    const int64_t started_ms = SteadyMs();
    int64_t suspect_since_ms = 0;
    int refused = 0;
    bool served = false;
    for (int attempt = caller; !served; ++attempt) {
      const auto answer =
          site_.fleet.Call(attempt % site_.gateways(), make_(caller, index));
      served = IsServed(answer);
      if (served || SteadyMs() - started_ms > kServedInTheEndMs) break;
      if (IsRefusedAsSuspect(answer)) {
        ++refused;
        if (suspect_since_ms == 0) suspect_since_ms = SteadyMs();
      }
      Pause(kRetryPauseMs);
    }
    const std::lock_guard lock(mutex_);
    ++result_.sent;
    result_.unserved += served ? 0 : 1;
    result_.refused_as_suspect += refused;
    if (suspect_since_ms > 0)
      result_.longest_suspicion_ms =
          std::max(result_.longest_suspicion_ms, SteadyMs() - suspect_since_ms);
  }

  Site& site_;
  Make make_;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  InnocentResult result_;
  std::vector<std::thread> threads_;
};

void CheckInnocents(const InnocentResult& result) {
  MESSAGE("innocent requests: " << result.sent << ", refused as suspects "
                                << result.refused_as_suspect
                                << " times, for at most "
                                << result.longest_suspicion_ms << " ms");
  CHECK(result.sent > 0);
  CHECK(result.unserved == 0);
  CHECK(result.longest_suspicion_ms <= kMomentsMs);
}

// Streams and plain requests of both teams, no two with the same body.
ClientRequest Ordinary(int caller, int index) {
  const std::string body =
      "tell me " + std::to_string(caller) + "/" + std::to_string(index);
  const std::string key = caller % 3 == 0 ? "key-of-others" : "key-of-quilters";
  return caller % 2 == 0 ? StreamOf(key, body) : PlainOf(key, body);
}

// Sends `call` at one gateway after the other, at once and after pauses, as a
// caller does that gets no answer. Returns the last answer.
CallerAnswer SendAgainAndAgain(Site& site, const ClientRequest& call) {
  CallerAnswer last;
  int gateway = 0;
  for (const int64_t pause_ms :
       {0, 0, 100, 0, 400, 0, 900, 0, 50, 300, 0, 700, 0, 0}) {
    Pause(pause_ms);
    last = site.fleet.Call(gateway++ % site.gateways(), call);
  }
  return last;
}

// Sends `call` at gateway 0 until it is refused as a suspect.
bool BecomesSuspect(Site& site, const ClientRequest& call) {
  for (int i = 0; i < 10; ++i) {
    if (IsRefusedAsSuspect(site.fleet.Call(0, call))) return true;
  }
  return false;
}

void CheckDeadly(Site& site) {
  MESSAGE("upstreams ended: " << site.keeper.ends() << ", deadly requests run: "
                              << site.DeadlyRuns());
  CHECK(site.keeper.ends() <= kMaxCrashes);
  CHECK(site.DeadlyRuns() <= kMaxCrashes);
  CHECK(site.DeadlyRuns() > 0);
}

}  // namespace

// Guards against a stream that crashes its upstreams before its first event
// being sent on by gateways and sent again by its caller to one after the
// other.
TEST_CASE("a deadly stream ends no more than three upstreams") {
  for (const Crash crash : {Crash::kBeforeFirstEvent, Crash::kBeforeHeader}) {
    CAPTURE(static_cast<int>(crash));
    Site site("deadly_stream", crash);
    InnocentLoad load(site, 6, Ordinary);
    Pause(300);
    CHECK(IsRefusedAsSuspect(SendAgainAndAgain(site, DeadlyStream())));
    CheckInnocents(load.Stop());
    CheckDeadly(site);
  }
}

// Guards against the same of a plain request, which is retried because it may
// run twice.
TEST_CASE("a deadly plain request ends no more than three upstreams") {
  Site site("deadly_plain", Crash::kBeforeHeader);
  InnocentLoad load(site, 6, Ordinary);
  Pause(300);
  CHECK(IsRefusedAsSuspect(SendAgainAndAgain(site, DeadlyPlain())));
  CheckInnocents(load.Stop());
  CheckDeadly(site);
}

// Guards against a stream that crashes its upstreams in the middle of its
// events, where each upstream that resumes it ends as well.
TEST_CASE("a deadly stream that crashes after some events ends three at most") {
  Site site("deadly_events", Crash::kAfterEvents);
  InnocentLoad load(site, 6, Ordinary);
  Pause(300);
  CHECK(IsRefusedAsSuspect(SendAgainAndAgain(site, DeadlyStream())));
  CheckInnocents(load.Stop());
  CheckDeadly(site);
}

// Guards against deadly bodies that grow from one request to the next, as the
// prompts of a conversation do, counting as different requests.
TEST_CASE("deadly requests that begin alike end no more than three upstreams") {
  constexpr size_t kAlikeBytes = 1'024;
  Site site("deadly_alike", Crash::kBeforeFirstEvent);
  CallerAnswer last;
  for (int i = 0; i < 8; ++i) {
    const std::string body = std::string(kAlikeBytes, 'a') +
                             std::string(static_cast<size_t>(i), 'b') + kDeadly;
    last =
        site.fleet.Call(i % site.gateways(), StreamOf("key-of-others", body));
    Pause(200);
  }
  CHECK(IsRefusedAsSuspect(last));
  CheckDeadly(site);
}

// Guards against requests with an empty or a common body being taken for one
// request that crashes upstreams, when these crash by themselves.
TEST_CASE("common requests are served while upstreams crash by themselves") {
  Site site("deadly_common", Crash::kBeforeHeader);
  InnocentLoad load(site, 9, [](int caller, int) {
    if (caller % 3 == 0) return StreamOf("key-of-quilters", "hello");
    if (caller % 3 == 1) return PlainOf("key-of-quilters", "hello");
    return ClientRequest{.method = "GET", .target = "/open/x"};
  });
  Pause(300);
  for (int i = 0; i < 6; ++i) {
    const int number = i % (kUpstreams - 1);
    site.keeper.Crash("talk-" + std::to_string(number));
    site.keeper.Crash("desk-" + std::to_string(number));
    // Two at the same time, now and then.
    if (i % 3 == 2) {
      site.keeper.Crash("talk-" + std::to_string(number + 1));
      site.keeper.Crash("desk-" + std::to_string(number + 1));
    }
    Pause(550);
  }
  CHECK(site.keeper.crashed_by_test() >= 10);
  CheckInnocents(load.Stop());
}

// Guards against common requests being refused for minutes after a power cut
// that ended all upstreams at once, when none can run to its end and clear
// them.
TEST_CASE("common requests are served after all upstreams crashed at once") {
  Site site("deadly_all", Crash::kBeforeHeader);
  InnocentLoad load(site, 9, [](int caller, int) {
    return caller % 2 == 0 ? StreamOf("key-of-quilters", "hello")
                           : PlainOf("key-of-quilters", "hello");
  });
  Pause(300);
  for (int i = 0; i < kUpstreams; ++i) {
    site.keeper.Crash("talk-" + std::to_string(i));
    site.keeper.Crash("desk-" + std::to_string(i));
  }
  Pause(kBackMs + 700);
  CheckInnocents(load.Stop());
}

// Guards against a crash being missed because a connection of the same upstream
// was reset just before, when it was still there.
TEST_CASE("a deadly request is found among connections that are reset") {
  Site site("deadly_resets", Crash::kBeforeHeader,
            {.desk_switches = R"("lose_answers":1000000,)"});
  std::atomic<bool> stop = false;
  std::vector<std::jthread> callers;
  for (int gateway = 0; gateway < site.gateways(); ++gateway) {
    callers.emplace_back([&, gateway] {
      for (int i = 0; !stop; ++i, Pause(20))
        site.fleet.Call(
            gateway, PlainOf("key-of-quilters", std::to_string(gateway) + "/" +
                                                    std::to_string(i)));
    });
  }
  Pause(600);
  CHECK(IsRefusedAsSuspect(SendAgainAndAgain(site, DeadlyPlain())));
  stop = true;
  callers.clear();
  CheckDeadly(site);
}

// Guards against the crashes of an upstream that came back counting as one
// while the store is down, so that its entry still names the process before.
TEST_CASE("a deadly request is refused though the store is down") {
  struct Way {
    Crash crash;
    int upstreams;
  };
  for (const Way way :
       {Way{Crash::kBeforeHeader, 5}, Way{Crash::kAfterEvents, 2}}) {
    CAPTURE(way.upstreams);
    Site site("deadly_store", way.crash, {.upstreams = way.upstreams});
    site.fleet.SetFaults("store", R"({"down":true})");
    Pause(200);
    CHECK(IsRefusedAsSuspect(SendAgainAndAgain(site, DeadlyStream())));
    CheckDeadly(site);
    site.fleet.SetFaults("store", R"({"down":false})");
  }
}

// Guards against a gateway that missed the news, because it was stopped or down
// while it went round, sending a deadly request on.
TEST_CASE("a gateway that was stopped or down learns of a deadly request") {
  for (const bool stopped : {true, false}) {
    CAPTURE(stopped);
    Site site(stopped ? "deadly_stopped" : "deadly_down",
              Crash::kBeforeFirstEvent);
    if (stopped) site.fleet.processes().Freeze("gateway-2");
    Pause(200);
    REQUIRE(BecomesSuspect(site, DeadlyStream()));
    if (!stopped) site.fleet.processes().Kill("gateway-2");
    Pause(2'000);
    if (stopped) site.fleet.processes().Thaw("gateway-2");
    if (!stopped) site.fleet.StartHost("gateway-2", false);
    site.fleet.WaitUntilReady(10'000);
    for (int i = 0; i < 4; ++i) site.fleet.Call(2, DeadlyStream());
    // In touch with the others again.
    Pause(1'000);
    const int runs = site.DeadlyRuns();
    for (int i = 0; i < 9; ++i)
      CHECK(IsRefusedAsSuspect(
          site.fleet.Call(i % site.gateways(), DeadlyStream())));
    CHECK(site.DeadlyRuns() == runs);
    CheckDeadly(site);
  }
}

// Guards against a refused deadly request waiting for its deadline, or using up
// its program's budget and its team's rate.
TEST_CASE("a deadly request is refused at once and costs its caller nothing") {
  Site site("deadly_refused", Crash::kBeforeFirstEvent, {.gateways = 2});
  const auto turn = [&](const std::string& id, const std::string& body) {
    // Room for one turn.
    ClientRequest call = site.fleet.TurnRequest(id, "program", "", body, 150);
    call.headers["X-Pimentopulley-Token-Count"] = "100,150";
    return call;
  };
  ClientRequest deadly = turn("d", kDeadly);
  deadly.headers["X-Pimentopulley-Program-Id"] = "program-before";
  deadly.headers["X-Pimentopulley-Token-Budget"] = "100000";
  int sends = 0;
  bool refused = false;
  for (; sends < 10 && !refused; ++sends) {
    deadly.headers["X-Pimentopulley-Request-Id"] = "d" + std::to_string(sends);
    refused = IsRefusedAsSuspect(site.fleet.Call(0, deadly));
  }
  REQUIRE(refused);
  // A rate of one request a second.
  json::value state =
      json::parse(site.fleet.Object("config", "main")).at("spec");
  state.as_object()["version"] = 2;
  json::object& team = state.at("tenants").as_array().front().as_object();
  REQUIRE(team.at("name").as_string() == "quilters");
  team["rate_per_s"] = 1;
  team["burst"] = 4;
  site.fleet.PutObject("config", "main", json::serialize(state));
  Pause(500);
  const size_t runs = site.keeper.Runs().size();
  for (int i = 0; i < 30; ++i) {
    const int64_t sent_ms = SteadyMs();
    const auto answer = site.fleet.Call(i % site.gateways(),
                                        turn("r" + std::to_string(i), kDeadly));
    CHECK(SteadyMs() - sent_ms < kAtOnceMs);
    CHECK(IsRefusedAsSuspect(answer));
    REQUIRE(answer.headers.contains("retry-after"));
    CHECK(std::stod(answer.headers.at("retry-after")) > 0);
  }
  CHECK(site.keeper.Runs().size() == runs);
  CHECK(site.fleet.Metrics("gateway-0").find("crashes_upstreams") !=
        std::string::npos);
  CHECK(IsServed(site.fleet.Call(0, turn("t", "hello"))));
  CheckDeadly(site);
}

// Guards against connections that are reset, of an upstream that lives on,
// counting as crashes.
TEST_CASE("a request whose connections are reset is not taken for deadly") {
  constexpr size_t kResets = 5;
  for (const bool after_header : {false, true}) {
    CAPTURE(after_header);
    auto fleet =
        PlatformFleet("build/bin", "build/platform/deadly_reset",
                      {.streaming_upstreams = 0, .plain_upstreams = 0});
    std::atomic<size_t> resets = 0;
    const auto script = [&](const Request& request, Answer& answer) {
      const std::string head =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          "Connection: close\r\n" +
          ScriptedUpstream::AnswerFields(request) + "\r\n";
      const bool reset = resets < kResets;
      if (after_header || !reset) answer.Write(head);
      if (reset) {
        ++resets;
        answer.Pause(20);
        return answer.Reset();
      }
      answer.Write(ScriptedUpstream::EventText(1, "whole"));
      answer.Close();
    };
    ScriptedUpstream one(script);
    ScriptedUpstream two(script);
    fleet.RegisterUpstream(401, "talk", one.address());
    fleet.RegisterUpstream(402, "talk", two.address());
    Pause(500);
    CallerAnswer answer;
    for (int i = 0; i < 10 && !IsServed(answer); ++i) {
      answer = fleet.Call(i % 2, StreamOf("key-of-quilters", "hello"));
      CHECK_FALSE(IsRefusedAsSuspect(answer));
    }
    CHECK(IsServed(answer));
    CHECK(resets == kResets);
    CHECK(one.requests().size() + two.requests().size() == kResets + 1);
  }
}

// Guards against the same where a link between gateways and an upstream breaks
// all its connections.
TEST_CASE("a request on a link that breaks is not taken for deadly") {
  auto fleet = PlatformFleet("build/bin", "build/platform/deadly_link",
                             {.proxied = true});
  for (const char* name : {"desk-0", "desk-1"})
    fleet.SetFaults(name, R"({"event_ms":150})");
  for (int i = 0; i < 5; ++i) {
    std::jthread breaks([&] {
      for (int cut = 0; cut < 3; ++cut) {
        Pause(100);
        fleet.LinkOf("desk-0").ResetAll();
        fleet.LinkOf("desk-1").ResetAll();
      }
    });
    const auto answer = fleet.Call(i % 2, PlainOf("key-of-quilters", "hello"));
    CHECK(answer.status != 200);
    CHECK_FALSE(IsRefusedAsSuspect(answer));
  }
  CHECK(IsServed(fleet.Call(0, PlainOf("key-of-quilters", "hello"))));
  CHECK(IsServed(fleet.Call(1, PlainOf("key-of-quilters", "hello"))));
}

}  // namespace pimento::testbed
