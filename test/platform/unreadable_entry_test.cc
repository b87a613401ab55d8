// Objects of the store that another writer put and that cannot be read.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"
#include "platform/store_client.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;

// The deepest spec that the stand-in of the store takes; its answers are deeper
// than one parse allows.
constexpr int kLevelsBelowLimit = 29;

// The entry of an upstream with a field of another type.
std::string Nested(int levels) {
  return "{\"service\":\"desk\",\"slots\":" + std::string(levels, '[') +
         std::string(levels, ']') + "}";
}

std::string ObjectText(const std::string& name, const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":7},"spec":)" +
         spec + "}";
}

// A store that gives each call the same answer.
ScriptedUpstream StoreWith(const std::string& body) {
  return ScriptedUpstream([body](const Request&, Answer& answer) {
    answer.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
  });
}

// Runs calls to the store at `address` until they end.
void WithClient(
    const std::string& address,
    const std::function<asio::awaitable<void>(platform::StoreClient&)>& calls) {
  asio::io_context io;
  ConnectionPool pool(io.get_executor());
  platform::StoreClient client(pool, address);
  std::exception_ptr failure;
  asio::co_spawn(io, calls(client),
                 [&failure](std::exception_ptr error) { failure = error; });
  io.run();
  if (failure) std::rethrow_exception(failure);
}

bool Eventually(const std::function<bool()>& condition) {
  for (int i = 0; i < 100; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(30));
  }
  return false;
}

// Status of an idempotent request.
int StatusOf(PlatformFleet& fleet, int gateway, const std::string& id) {
  return fleet.Call(gateway, fleet.PlainRequest(id, true)).status;
}

// Whether the gateway passes a request to `upstream` within a few seconds.
bool Reaches(PlatformFleet& fleet, int gateway,
             const ScriptedUpstream& upstream, const std::string& id) {
  int sent = 0;
  return Eventually([&] {
    const std::string name = id + std::to_string(++sent);
    StatusOf(fleet, gateway, name);
    return upstream.CountRequests(name) > 0;
  });
}

}  // namespace

// One such object hid all others, in lists, watches and reads.
TEST_CASE("an object of the store that cannot be read does not hide others") {
  for (const std::string& spec :
       {std::string(R"("\udcff\udcfe\udc80")"), std::string("\"\xff\xfe\x80\""),
        Nested(40), Nested(100'000)}) {
    CAPTURE(spec.substr(0, 60));
    const std::string good = ObjectText("good", R"({"slots":3})");
    const std::string bad = ObjectText("bad", spec);
    const std::string list = "{\"items\":[" + bad + "," + good +
                             "],\"more\":false,\"store_revision\":9}";
    const std::string watch = "{\"events\":[{\"object\":" + bad +
                              ",\"deleted\":false},{\"object\":" + good +
                              ",\"deleted\":true}],\"store_revision\":9}";
    ScriptedUpstream lists = StoreWith(list);
    ScriptedUpstream watches = StoreWith(watch);
    ScriptedUpstream reads = StoreWith(bad);
    WithClient(lists.address(), [](auto& client) -> asio::awaitable<void> {
      const auto got = co_await client.List("servers");
      REQUIRE(got.objects.size() == 2);
      CHECK(got.revision == 9);
      CHECK(got.objects[0].name == "bad");
      CHECK(got.objects[0].revision == 7);
      CHECK(got.objects[0].spec.is_null());
      CHECK(got.objects[1].spec.at("slots") == 3);
    });
    WithClient(watches.address(), [](auto& client) -> asio::awaitable<void> {
      const auto got = co_await client.Watch("servers", 1, milliseconds(10));
      REQUIRE(got.events.size() == 2);
      CHECK(got.revision == 9);
      CHECK(got.events[0].object.name == "bad");
      CHECK(got.events[0].object.spec.is_null());
      CHECK_FALSE(got.events[0].deleted);
      CHECK(got.events[1].object.spec.at("slots") == 3);
      CHECK(got.events[1].deleted);
    });
    WithClient(reads.address(), [](auto& client) -> asio::awaitable<void> {
      const auto got = co_await client.Read("servers", "bad");
      REQUIRE(got);
      CHECK(got->revision == 7);
      CHECK(got->spec.is_null());
    });
  }
}

// One such object, of any writer, made lists and watches of its kind fail.
TEST_CASE("an object of the store without a readable name hides no others") {
  const std::string good = ObjectText("good", R"({"slots":3})");
  for (const std::string bad :
       {"\"\\udcff\"", "\"\xff\"", "1", "null", "[]", "{}",
        "{\"metadata\":null}", "{\"metadata\":\"\\udcff\"}",
        "{\"metadata\":[\"\xff\"]}", "{\"metadata\":{}}",
        "{\"metadata\":{\"name\":7,\"revision\":7}}",
        "{\"metadata\":{\"name\":\"\",\"revision\":7}}",
        "{\"metadata\":{\"name\":\"\xff\xfe\",\"revision\":7}}",
        "{\"metadata\":{\"name\":\"\\udcff\",\"revision\":7}}"}) {
    CAPTURE(bad);
    ScriptedUpstream lists =
        StoreWith("{\"items\":[" + bad + "," + good + "," + bad +
                  "],\"more\":false,"
                  "\"store_revision\":9}");
    ScriptedUpstream watches =
        StoreWith("{\"events\":[{\"object\":" + bad +
                  ",\"deleted\":false},{\"object\":" + good +
                  ",\"deleted\":false}," + bad + "],\"store_revision\":9}");
    ScriptedUpstream reads = StoreWith(bad);
    WithClient(lists.address(), [](auto& client) -> asio::awaitable<void> {
      const auto got = co_await client.List("servers");
      REQUIRE(got.objects.size() == 1);
      CHECK(got.objects[0].spec.at("slots") == 3);
      CHECK(got.unreadable == 2);
    });
    WithClient(watches.address(), [](auto& client) -> asio::awaitable<void> {
      const auto got = co_await client.Watch("servers", 1, milliseconds(10));
      REQUIRE(got.events.size() == 1);
      CHECK(got.events[0].object.spec.at("slots") == 3);
      CHECK(got.unreadable == 2);
    });
    CHECK_THROWS_AS(WithClient(reads.address(),
                               [](auto& client) -> asio::awaitable<void> {
                                 co_await client.Read("servers", "bad");
                               }),
                    platform::StoreError);
  }
}

// Others' bytes in the finalizers of an object hid its name.
TEST_CASE("the readable members of an object's metadata hold") {
  for (const std::string finalizers : {"[\"\xff\"]", "[\"\\udcff\"]"}) {
    CAPTURE(finalizers);
    ScriptedUpstream lists =
        StoreWith(R"({"items":[{"metadata":{"finalizers":)" + finalizers +
                  R"(,"name":"a","revision":7},"spec":{"slots":3}}],)"
                  R"("more":false,"store_revision":9})");
    WithClient(lists.address(), [](auto& client) -> asio::awaitable<void> {
      const auto got = co_await client.List("servers");
      REQUIRE(got.objects.size() == 1);
      CHECK(got.objects[0].name == "a");
      CHECK(got.objects[0].revision == 7);
      CHECK(got.objects[0].spec.at("slots") == 3);
    });
  }
}

// A revision that is no whole number ended the call with an error of another
// type.
TEST_CASE("an object whose revision cannot be read counts as null") {
  for (const std::string revision : {"-1", "1.5", "1e300", "null", "\"7\""}) {
    CAPTURE(revision);
    ScriptedUpstream lists = StoreWith(
        R"({"items":[{"metadata":{"name":"a","revision":)" + revision +
        R"(},"spec":{"slots":3}},)" + ObjectText("b", "{}") +
        R"(],"more":false,"store_revision":9})");
    WithClient(lists.address(), [](auto& client) -> asio::awaitable<void> {
      const auto got = co_await client.List("servers");
      REQUIRE(got.objects.size() == 2);
      CHECK(got.objects[0].name == "a");
      CHECK(got.objects[0].spec.is_null());
      CHECK(got.objects[1].name == "b");
    });
  }
}

TEST_CASE("an answer of the store that is no whole JSON is refused") {
  for (const std::string body :
       {"", "{", "{\"items\":[}", "{\"items\":[1],\"store_revision\":nine}",
        "{\"items\":{\"a\":\"\\udcff\"},\"store_revision\":9}",
        "{\"items\":[\"\\udcff\"],\"store_revision\":1.5}"}) {
    CAPTURE(body);
    ScriptedUpstream store = StoreWith(body);
    CHECK_THROWS_AS(WithClient(store.address(),
                               [](auto& client) -> asio::awaitable<void> {
                                 co_await client.List("servers");
                               }),
                    platform::StoreError);
  }
  for (const std::string body :
       {"{\"events\":\"\\udcff\",\"store_revision\":9}",
        "{\"events\":[{\"object\":{}}],\"store_revision\":\"\\udcff\"}",
        "{\"events\":[{\"object\":{}}],\"store_revision\":-9}",
        "{\"events\":[{\"object\":{}}"}) {
    CAPTURE(body);
    ScriptedUpstream store = StoreWith(body);
    CHECK_THROWS_AS(WithClient(store.address(),
                               [](auto& client) -> asio::awaitable<void> {
                                 co_await client.Watch("servers", 1,
                                                       milliseconds(10));
                               }),
                    platform::StoreError);
  }
}

// One such entry stopped every gateway's view of the upstreams.
TEST_CASE("an entry that cannot be read does not stop the view of upstreams") {
  PlatformFleet fleet(
      "build/bin", "build/platform/unreadable_entry",
      {.gateways = 2, .streaming_upstreams = 0, .plain_upstreams = 0});
  const auto script = [](const Request& request, Answer& answer) {
    answer.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" +
                 ScriptedUpstream::AnswerFields(request) + "\r\n");
  };
  ScriptedUpstream one(script);
  ScriptedUpstream two(script);
  fleet.RegisterUpstream(301, "desk", one.address());
  for (int gateway : {0, 1}) REQUIRE(Reaches(fleet, gateway, one, "a"));
  fleet.PutObject("servers", "other-writer", Nested(kLevelsBelowLimit));
  // An upstream whose own entry cannot be read any more is not used.
  fleet.PutObject("servers", "301", Nested(kLevelsBelowLimit));
  for (int gateway : {0, 1}) {
    CHECK(Eventually([&] {
      return StatusOf(fleet, gateway, "b" + std::to_string(gateway)) == 503;
    }));
  }
  const size_t before = one.requests().size();
  fleet.RegisterUpstream(302, "desk", two.address());
  for (int gateway : {0, 1}) CHECK(Reaches(fleet, gateway, two, "c"));
  CHECK(one.requests().size() == before);
  // A gateway that starts now lists it.
  fleet.processes().Kill("gateway-0");
  fleet.StartHost("gateway-0", false);
  fleet.WaitUntilReady(10'000);
  CHECK(Reaches(fleet, 0, two, "e"));
}

}  // namespace pimento::testbed
