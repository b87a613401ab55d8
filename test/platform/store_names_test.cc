// Objects of the store whose names other writers chose: any bytes, at the end
// of any page of a list.
#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "platform/store_client.h"
#include "test/platform/crowd_checks.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using platform::StoreClient;
using platform::StoreWrite;

// Every way in which a name can be mistaken for a part of a target: broken and
// whole escapes, separators, blanks, and text of other scripts.
const std::vector<std::string>& OddNames() {
  static const std::vector<std::string> kNames = {
      "a00%",         "a01%zz", "a02&b=",  "a03+",   "a04%C3%A9",
      "a05#x",        "a06?y",  "a07 z",   "a08/w",  "a09;v",
      "a10=",         "a11%1",  "a12%25",  "a13\"q", "a14\\r",
      "a15\xC3\xA9s", "a16\ts", "a17\n\r", "zz"};
  return kNames;
}

// An object that cannot be read whole, and the name under which the store has
// it.
struct OddObject {
  std::string name;
  std::string text;
};

std::string ObjectText(const std::string& name, const std::string& members) {
  return R"({"metadata":{"name":")" + name + "\"," + members + "}";
}

// Objects without a name that a call could address, and some whose other parts
// cannot be read.
std::vector<OddObject> OddObjects() {
  constexpr size_t kLongBytes = 3'000;
  const std::string revision = R"("revision":7})";
  const std::string bytes = "b1\xff\xfe\x80";
  const std::string too_long = "b2" + std::string(kLongBytes, 'x');
  const std::string spec = R"(,"spec":{"by":"other"})";
  return {{bytes, ObjectText(bytes, revision + spec)},
          {too_long, ObjectText(too_long, revision + spec)},
          {"b3", ObjectText("b3", R"("revision":-1})" + spec)},
          {"b4", ObjectText("b4", R"("finalizers":["\udcff"],)" + revision)},
          {"b5", ObjectText("b5", revision + ",\"spec\":\"\xff\xfe\"")},
          {"b6", ObjectText("b6", revision + ",\"spec\":" +
                                      std::string(kLongBytes, '[') +
                                      std::string(kLongBytes, ']'))}};
}

// Objects without any name: the store can't go on after such a page.
std::vector<OddObject> NamelessObjects() {
  return {{"c1", "null"},
          {"c2", "[1]"},
          {"c3", R"({"metadata":null,"spec":{}})"},
          {"c4", R"({"metadata":{"name":"\udcff","revision":7}})"},
          {"c5", R"({"spec":{}})"}};
}

// A store and nothing else.
PlatformFleet StoreAlone(const std::string& dir) {
  return PlatformFleet("build/bin", "build/platform/" + dir,
                       {.gateways = 0,
                        .archives = 0,
                        .streaming_upstreams = 0,
                        .plain_upstreams = 0});
}

// Runs calls to the store until they end.
void WithClient(
    const PlatformFleet& fleet,
    const std::function<asio::awaitable<void>(StoreClient&)>& calls) {
  asio::io_context io;
  ConnectionPool pool(io.get_executor());
  StoreClient client(pool, fleet.StoreAddress());
  std::exception_ptr failure;
  asio::co_spawn(io, calls(client),
                 [&failure](std::exception_ptr error) { failure = error; });
  io.run();
  if (failure) std::rethrow_exception(failure);
}

std::vector<std::string> NamesIn(const platform::StoreList& list) {
  std::vector<std::string> names;
  for (const auto& object : list.objects) names.push_back(object.name);
  return names;
}

// Kinds that gateways and archives list.
constexpr const char* kListedKinds[] = {
    "config",   "servers",          "evacuations",      "retirements",
    "rollouts", "pimento-archives", "pimento-gateways", "pimento-members"};
constexpr int64_t kStartLimitMs = 15'000;
// Of a gateway or an archive.
constexpr int64_t kHostMemoryMb = 64;
constexpr const char* kHosts[] = {"archive-0", "archive-1", "archive-2",
                                  "gateway-0", "gateway-1"};

// Checks that gateways serve plain requests, and turns that continue from
// `previous`; returns the newest turn that was served.
std::string ServeAll(PlatformFleet& fleet, const std::string& phase,
                     std::string previous) {
  for (int gateway = 0; gateway < fleet.options().gateways; ++gateway) {
    const std::string id = phase + "-" + std::to_string(gateway);
    CAPTURE(id);
    CHECK(AskAsCaller([&](int attempt) {
            const std::string name = id + "-p" + std::to_string(attempt);
            return fleet.Call(gateway, fleet.PlainRequest(name, true)).status;
          }) == 200);
    std::string turn;
    const int status = AskAsCaller([&](int attempt) {
      turn = id + "-t" + std::to_string(attempt);
      const auto request = fleet.TurnRequest(turn, "program", previous, "more");
      return fleet.Call(gateway, request).status;
    });
    CHECK(status == 200);
    if (status == 200) previous = turn;
  }
  return previous;
}

void CheckHosts(PlatformFleet& fleet) {
  for (const std::string host : kHosts) {
    CAPTURE(host);
    CHECK(fleet.processes().Running(host));
    CHECK(PeakMemoryKb(fleet.processes(), host) < kHostMemoryMb * 1'024);
  }
}

// A gateway that is started again, then all hosts after a loss of power.
void RestartAndServe(PlatformFleet& fleet) {
  std::string turn = ServeAll(fleet, "before", "");
  CHECK(fleet.processes().Terminate("gateway-0", kStartLimitMs) == 0);
  fleet.StartHost("gateway-0", false);
  CHECK_NOTHROW(fleet.WaitUntilReady(kStartLimitMs));
  turn = ServeAll(fleet, "restarted", turn);
  for (const std::string host : kHosts) fleet.processes().Kill(host);
  for (const std::string host : kHosts) fleet.StartHost(host, false);
  CHECK_NOTHROW(fleet.WaitUntilReady(kStartLimitMs));
  ServeAll(fleet, "power", turn);
  CheckHosts(fleet);
}

void SetPageItems(PlatformFleet& fleet, int items) {
  fleet.SetFaults("store", "{\"page_items\":" + std::to_string(items) + "}");
}

}  // namespace

// A page that ended at a name with an escape, a separator or a blank made the
// list of its kind fail for as long as the entry stood.
TEST_CASE("a list goes on after any name") {
  PlatformFleet fleet = StoreAlone("store_names_list");
  for (const std::string& name : OddNames())
    fleet.PutObject("evacuations", name, R"({"by":"other"})");
  for (const int items : {1, 2, 3, 500}) {
    CAPTURE(items);
    SetPageItems(fleet, items);
    WithClient(fleet, [](StoreClient& client) -> asio::awaitable<void> {
      const auto list = co_await client.List("evacuations");
      CHECK(NamesIn(list) == OddNames());
    });
  }
}

// Such a name in a path addressed another object, or none.
TEST_CASE("an object with any name is read, written and removed") {
  PlatformFleet fleet = StoreAlone("store_names_calls");
  for (const std::string& name : OddNames()) {
    CAPTURE(name);
    WithClient(fleet, [&name](StoreClient& client) -> asio::awaitable<void> {
      const std::string kind = "retirements";
      const json::value spec = json::object{{"over_s", 3}};
      const json::value status = json::object{{"state", "running"}};
      CHECK(co_await client.Create(kind, name, spec) == StoreWrite::kWritten);
      CHECK(co_await client.ReplaceStatus(kind, name, status) ==
            StoreWrite::kWritten);
      auto held = co_await client.Read(kind, name);
      REQUIRE(held);
      CHECK(held->name == name);
      CHECK(held->spec == spec);
      CHECK(held->status == status);
      const json::value next = json::object{{"over_s", 4}};
      CHECK(co_await client.Replace(kind, name, next, held->revision) ==
            StoreWrite::kWritten);
      CHECK(co_await client.Remove(kind, name) == StoreWrite::kWritten);
      CHECK_FALSE(co_await client.Read(kind, name));
    });
  }
}

// Such an object made the list of its kind fail, or come back to the same page.
TEST_CASE("a list goes on after objects that cannot be read") {
  PlatformFleet fleet = StoreAlone("store_names_unreadable");
  const std::string kind = "servers";
  for (const std::string name : {"a", "b", "c", "d"})
    fleet.PutObject(kind, name, R"({"slots":3})");
  const std::vector<std::string> readable = {"a",  "b",  "b3", "b4",
                                             "b5", "b6", "c",  "d"};
  for (const OddObject& object : OddObjects())
    fleet.PutRawObject(kind, object.name, object.text);
  for (const int items : {1, 2, 3, 500}) {
    CAPTURE(items);
    SetPageItems(fleet, items);
    WithClient(fleet, [&](StoreClient& client) -> asio::awaitable<void> {
      const auto list = co_await client.List(kind);
      CHECK(NamesIn(list) == readable);
      CHECK(list.unreadable == 2);
    });
  }
  for (const OddObject& object : NamelessObjects())
    fleet.PutRawObject(kind, object.name, object.text);
  // Each page has an object with a name.
  for (const int items : {6, 7, 500}) {
    CAPTURE(items);
    SetPageItems(fleet, items);
    WithClient(fleet, [&](StoreClient& client) -> asio::awaitable<void> {
      const auto list = co_await client.List(kind);
      std::set<std::string> names;
      for (const auto& object : list.objects) names.insert(object.name);
      CHECK(names == std::set<std::string>(readable.begin(), readable.end()));
    });
  }
}

// Hosts that started while such an entry stood never became ready: a plain
// restart of one, all of them after a loss of power.
TEST_CASE("hosts start whatever names stand at the ends of pages") {
  PlatformFleet fleet("build/bin", "build/platform/store_names_start", {});
  for (const char* kind : kListedKinds) {
    for (const std::string& name : OddNames())
      fleet.PutObject(kind, name, R"({"by":"other"})");
  }
  SetPageItems(fleet, 1);
  RestartAndServe(fleet);
}

// The same for objects that cannot be read; hosts that were up lost their view
// of the kind too.
TEST_CASE("hosts start beside objects that cannot be read") {
  PlatformFleet fleet("build/bin", "build/platform/store_names_unread", {});
  for (const char* kind : kListedKinds) {
    for (const OddObject& object : OddObjects())
      fleet.PutRawObject(kind, object.name, object.text);
    for (const OddObject& object : NamelessObjects())
      fleet.PutRawObject(kind, object.name, object.text);
  }
  SetPageItems(fleet, static_cast<int>(NamelessObjects().size()) + 1);
  RestartAndServe(fleet);
}

// Such entries counted as gateways: an outage of the store, which most hosts
// must have seen, was never proved, and requests were refused in it.
TEST_CASE("entries that register no gateway don't count as hosts") {
  PlatformFleet fleet("build/bin", "build/platform/store_names_outage",
                      {.revoke_ms = 3'000});
  for (const std::string& name : OddNames())
    fleet.PutObject("pimento-gateways", name, R"({"by":"other"})");
  fleet.SetFaults("store", R"({"down":true})");
  const std::chrono::milliseconds outage(2 * fleet.options().revoke_ms);
  int served = 0;
  int asked = 0;
  // Turns all along: the archives' answers report when they reached the store.
  for (const auto end = std::chrono::steady_clock::now() + outage;
       std::chrono::steady_clock::now() < end;
       std::this_thread::sleep_for(std::chrono::milliseconds(50))) {
    const std::string id = "o" + std::to_string(++asked);
    const auto turn = fleet.TurnRequest(id, id, "", "x");
    if (fleet.Call(asked % 2, turn).status == 200) ++served;
  }
  CHECK(served > asked * 9 / 10);
}

}  // namespace pimento::testbed
