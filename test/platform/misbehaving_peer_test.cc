// What went wrong in similar systems: late copies of answers, slow and stalled
// streams, hosts that are only silent, requests accepted during a planned stop,
// and malformed messages.
#include <doctest/doctest.h>
#include <signal.h>

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"
#include "src/connection_pool.h"
#include "src/gateway_peers.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Request = ScriptedUpstream::Request;
using Answer = ScriptedUpstream::Answer;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

PlatformFleet FleetWithoutUpstreams(const std::string& name) {
  return PlatformFleet(
      "build/bin", "build/platform/" + name,
      {.gateways = 1, .streaming_upstreams = 0, .plain_upstreams = 0});
}

void Pause(int64_t time_ms) {
  std::this_thread::sleep_for(milliseconds(time_ms));
}

// A whole answer to the request with `id`, whose body is that id.
std::string PlainAnswer(const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" +
         ScriptedUpstream::AnswerFields(Request{.id = id}) +
         "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

std::string StreamHead(const Request& request) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n" +
         ScriptedUpstream::AnswerFields(request) + "\r\n";
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}

// Sends idempotent requests until one is answered with 200.
bool Serves(PlatformFleet& fleet, int gateway = 0) {
  for (int i = 0; i < 100; ++i) {
    const ClientRequest call{
        .method = "GET",
        .target = "/open/x",
        .headers = {{"X-Pimentopulley-Deadline-Ms", "900"}}};
    if (fleet.Call(gateway, call).status == 200) return true;
    Pause(30);
  }
  return false;
}

// A caller's connection that carries one request after the other.
class KeptConnection {
 public:
  // Throws boost::system::system_error when nothing listens at `address`.
  explicit KeptConnection(const std::string& address) {
    socket_.connect(ParseEndpoint(address));
  }
  // Returns true when the whole answer arrived.
  bool Exchange(const ClientRequest& call) {
    http::request<http::string_body> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    request.set(http::field::host, "x.example");
    for (const auto& [name, value] : call.headers) request.set(name, value);
    request.prepare_payload();
    boost::system::error_code error;
    http::write(socket_, request, error);
    http::response<http::string_body> response;
    if (!error) http::read(socket_, buffer_, response, error);
    open_ = !error && response.keep_alive();
    return !error;
  }
  bool open() const { return open_; }
  // Returns once the gateway has closed the connection.
  void WaitForClose() {
    char byte;
    boost::system::error_code ended;
    socket_.read_some(asio::buffer(&byte, 1), ended);
  }

 private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_{io_};
  boost::beast::flat_buffer buffer_;
  bool open_ = true;
};

// How an upstream repeats the answer to an earlier request.
enum class Copy : uint8_t { kAtOnce, kWhileIdle, kInUse, kInUseWithoutId };

void CheckNobodyGetsACopy(Copy copy) {
  auto fleet = FleetWithoutUpstreams("late_copy");
  std::map<int, std::string> last_id;
  std::mutex mutex;
  ScriptedUpstream desk([&](const Request& request, Answer& answer) {
    std::string earlier;
    {
      const std::lock_guard lock(mutex);
      earlier = last_id[request.connection];
      last_id[request.connection] = request.id;
    }
    if (copy == Copy::kInUse && !earlier.empty())
      answer.Write(PlainAnswer(earlier));
    if (copy == Copy::kInUseWithoutId && !earlier.empty()) {
      answer.Write(
          "HTTP/1.1 503 Full\r\nX-Pimentopulley-Not-Run: 1\r\n"
          "Content-Length: 0\r\n\r\n");
      answer.Pause(20);
    }
    answer.Write(PlainAnswer(request.id));
    if (copy == Copy::kAtOnce) answer.Write(PlainAnswer(request.id));
    if (copy == Copy::kWhileIdle) {
      answer.Pause(30);
      answer.Write(PlainAnswer(request.id));
    }
  });
  fleet.RegisterUpstream(301, "desk", desk.address());
  REQUIRE(Serves(fleet));
  for (int i = 0; i < 8; ++i) {
    const bool idempotent = i % 2 == 0;
    const std::string id = "own" + std::to_string(i);
    const auto got = fleet.Call(0, fleet.PlainRequest(id, idempotent));
    CAPTURE(id);
    CAPTURE(got.status);
    if (copy != Copy::kInUseWithoutId) CHECK(got.status == 200);
    if (got.status == 200) CHECK(got.body == id);
    // It ran, so nobody may be told that it did not.
    CHECK(got.status != 503);
    CHECK(got.status != 429);
    CHECK(desk.CountRequests(id) == 1);
    Pause(80);
  }
}

}  // namespace

TEST_CASE("a second copy of an answer, late, reaches no other caller") {
  CheckNobodyGetsACopy(Copy::kAtOnce);
  CheckNobodyGetsACopy(Copy::kWhileIdle);
  CheckNobodyGetsACopy(Copy::kInUse);
  CheckNobodyGetsACopy(Copy::kInUseWithoutId);
}

TEST_CASE("a slow but sound stream is not cut") {
  auto fleet = FleetWithoutUpstreams("slow_stream");
  ScriptedUpstream talk([](const Request& request, Answer& answer) {
    answer.Write(StreamHead(request));
    for (int i = 1; i <= 4; ++i) {
      if (!request.id.starts_with("probe")) answer.Pause(650);
      answer.Write(Chunk(ScriptedUpstream::EventText(i, "w")));
    }
    answer.Write("0\r\n\r\n");
  });
  fleet.RegisterUpstream(401, "talk", talk.address());
  CallerAnswer got;
  for (int i = 0; i < 100 && got.status != 200; ++i) {
    got = fleet.Call(
        0, fleet.TurnRequest("probe" + std::to_string(i), "q", "", "x"));
  }
  got = fleet.Call(0, fleet.TurnRequest("slow", "p", "", "x"));
  CHECK(got.status == 200);
  CHECK(got.complete);
  CHECK(got.body.find("id: 4") != std::string::npos);
  CHECK(talk.CountRequests("slow") == 1);
}

TEST_CASE("an answer of which a byte comes now and then ends at its deadline") {
  // In the head, in a body, and in an event of a stream.
  for (const int part : {0, 1, 2}) {
    CAPTURE(part);
    auto fleet = FleetWithoutUpstreams("dripping");
    std::atomic<bool> closed = false;
    std::atomic<bool> drips = false;
    ScriptedUpstream desk([&](const Request& request, Answer& answer) {
      if (!drips) return answer.Write(PlainAnswer(request.id));
      const std::string begin =
          part == 0   ? "HTTP/1.1 200 OK\r\nX-Long: "
          : part == 1 ? "HTTP/1.1 200 OK\r\n" +
                            ScriptedUpstream::AnswerFields(request) +
                            "Content-Length: 1000\r\n\r\n"
                      : StreamHead(request);
      answer.Write(begin);
      for (int i = 0; i < 100 && answer.open(); ++i) {
        answer.Pause(100);
        answer.Write(part == 2 ? Chunk("x") : "x");
      }
      closed = !answer.open();
    });
    fleet.RegisterUpstream(301, "desk", desk.address());
    REQUIRE(Serves(fleet));
    drips = true;
    const auto started = steady_clock::now();
    // Its deadline is 1.5 s.
    const auto got = fleet.Call(0, fleet.PlainRequest("drip", false));
    const auto took = steady_clock::now() - started;
    CHECK((got.status != 200 || !got.complete));
    CHECK(took > milliseconds(1'300));
    CHECK(took < milliseconds(2'000));
    for (int i = 0; i < 20 && !closed; ++i) Pause(50);
    CHECK(closed);
  }
}

TEST_CASE("an upstream that is only silent keeps the request it runs") {
  PlatformFleet fleet("build/bin", "build/platform/silent_upstream", {});
  for (const std::string name : {"talk-0", "talk-1"})
    fleet.SetFaults(name, R"({"tokens":6,"event_ms":120})");
  for (int round = 0; round < 2; ++round) {
    const std::string id = "s" + std::to_string(round);
    CallerAnswer got;
    std::jthread caller(
        [&] { got = fleet.Call(0, fleet.TurnRequest(id, "p", "", "x")); });
    Pause(250);
    if (round == 0) {
      // Both, as the test does not know which one runs it.
      for (const std::string name : {"talk-0", "talk-1"})
        fleet.processes().Freeze(name);
      Pause(1'100);
      for (const std::string name : {"talk-0", "talk-1"})
        fleet.processes().Thaw(name);
    } else {
      // Their entries lapse while they serve on.
      for (const std::string entry : {"100", "101"})
        fleet.DeleteObject("servers", entry);
    }
    caller.join();
    CHECK(got.status == 200);
    CHECK(got.complete);
    size_t runs = 0;
    for (const std::string name : {"talk-0", "talk-1"}) {
      const auto all = boost::json::parse(fleet.Runs(name));
      for (const auto& run : all.as_array())
        runs += run.at("id").as_string() == id ? 1 : 0;
    }
    CHECK(runs == 1);
  }
}

TEST_CASE("requests accepted during a planned stop under load are answered") {
  PlatformFleet fleet("build/bin", "build/platform/stop_under_load", {});
  for (const std::string name : {"desk-0", "desk-1"})
    fleet.SetFaults(name, R"({"event_ms":40})");
  std::atomic<bool> stop = false;
  std::mutex mutex;
  std::map<std::string, bool> answered;
  std::vector<std::jthread> callers;
  const std::string address = fleet.Listening("gateway-0").at(2);
  for (int caller = 0; caller < 12; ++caller) {
    callers.emplace_back([&, caller] {
      // Each connection is used until the gateway closes it.
      for (int n = 0; !stop; ++n) {
        const std::string prefix =
            "c" + std::to_string(caller) + "-" + std::to_string(n) + "-";
        try {
          KeptConnection connection(address);
          for (int k = 0; !stop && connection.open(); ++k) {
            const std::string id = prefix + std::to_string(k);
            const bool whole =
                connection.Exchange(fleet.PlainRequest(id, false));
            const std::lock_guard lock(mutex);
            answered[id] = whole;
          }
        } catch (const std::exception&) {
          Pause(20);  // the gateway does not listen any more
        }
      }
    });
  }
  Pause(500);
  fleet.processes().Signal("gateway-0", SIGTERM);
  for (int i = 0; i < 200 && fleet.processes().Running("gateway-0"); ++i)
    Pause(50);
  CHECK_FALSE(fleet.processes().Running("gateway-0"));
  stop = true;
  callers.clear();
  size_t ran = 0;
  size_t cut = 0;
  for (const std::string name : {"desk-0", "desk-1"}) {
    const auto all = boost::json::parse(fleet.Runs(name));
    for (const auto& run : all.as_array()) {
      const auto it = answered.find(std::string(run.at("id").as_string()));
      if (it == answered.end()) continue;
      ++ran;
      cut += it->second ? 0 : 1;
    }
  }
  MESSAGE("requests that ran: " << ran);
  CHECK(ran > 100);
  CHECK(cut == 0);
}

TEST_CASE("idle connections do not hold up a planned stop") {
  PlatformFleet fleet("build/bin", "build/platform/stop_while_idle", {});
  REQUIRE(Serves(fleet));
  KeptConnection idle(fleet.Listening("gateway-0").at(2));
  REQUIRE(idle.Exchange(fleet.PlainRequest("first", true)));
  fleet.processes().Signal("gateway-0", SIGTERM);
  Pause(600);
  // Callers that have not heard of the stop yet are still served.
  CHECK(idle.Exchange(fleet.PlainRequest("second", true)));
  KeptConnection unused(fleet.Listening("gateway-0").at(2));
  KeptConnection other(fleet.Listening("gateway-0").at(2));
  CHECK(other.Exchange(fleet.PlainRequest("third", true)));
  CHECK_FALSE(other.open());
  unused.WaitForClose();
  CHECK(fleet.processes().Running("gateway-0"));
}

TEST_CASE("a connection that was idle since before a stop is closed in it") {
  PlatformFleet fleet("build/bin", "build/platform/stop_closes_idle", {});
  REQUIRE(Serves(fleet));
  KeptConnection idle(fleet.Listening("gateway-0").at(2));
  REQUIRE(idle.Exchange(fleet.PlainRequest("first", true)));
  fleet.processes().Signal("gateway-0", SIGTERM);
  const auto signalled = steady_clock::now();
  idle.WaitForClose();
  const auto closed = steady_clock::now();
  while (fleet.processes().Running("gateway-0")) Pause(10);
  const auto ended = steady_clock::now();
  MESSAGE("closed after " << (closed - signalled) / milliseconds(1)
                          << " ms, ended after "
                          << (ended - signalled) / milliseconds(1) << " ms");
  // It is closed by the stop, not by the end of the process.
  CHECK(ended - closed > milliseconds(200));
}

TEST_CASE("malformed messages and objects stop no process and no loop") {
  PlatformFleet fleet("build/bin", "build/platform/malformed", {});
  REQUIRE(Serves(fleet));
  std::mt19937_64 random(20261205);
  const auto random_bytes = [&](size_t size) {
    std::string bytes(size, '\0');
    for (char& byte : bytes) byte = static_cast<char>(random());
    return bytes;
  };
  const std::vector<std::string> hosts = {"gateway-0", "gateway-1", "archive-0",
                                          "archive-1"};
  // Datagrams: random ones, and the beginnings of a valid one.
  const std::string valid =
      EncodeGossip({.host = "gateway-1", .boot = 1, .sequence = 1});
  asio::io_context io;
  asio::ip::udp::socket socket(io, asio::ip::udp::v4());
  for (const std::string host : {"gateway-0", "gateway-1"}) {
    const auto to = ParseEndpoint(fleet.Listening(host).front());
    const asio::ip::udp::endpoint endpoint(to.address(), to.port());
    for (size_t size = 0; size < 200; ++size) {
      boost::system::error_code ignored;  // datagrams may be lost
      socket.send_to(asio::buffer(random_bytes(size * 7)), endpoint, 0,
                     ignored);
      socket.send_to(asio::buffer(valid.substr(0, size)), endpoint, 0, ignored);
    }
  }
  const std::vector<std::string> malformed = {
      random_bytes(2'000),
      "GET / HTTP/9.9\r\n\r\n",
      "POST /archive HTTP/1.1\r\nHost: x\r\nContent-Length: 300\r\n\r\n" +
          random_bytes(300),
      "POST /archive HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n"
      "\r\n",
      "GET /-/objects/servers?watch=x&wait_ms=-9 HTTP/1.1\r\nHost: x\r\n\r\n",
      "GET /-/objects/servers?watch=99999999999999999999 HTTP/1.1\r\n"
      "Host: x\r\n\r\n",
      "GET /-/resolve?%%%=&&& HTTP/1.1\r\nHost: x\r\n\r\n"};
  for (const std::string& host : hosts) {
    for (const std::string& address : fleet.Listening(host)) {
      for (const std::string& bytes : malformed)
        PlatformFleet::SendRawTo(address, bytes, 60);
    }
  }
  // Objects of other writers, and registrations that name no address. Their
  // names sort before those of the gateways.
  fleet.PutObject("servers", "0bad", R"({"service":7,"addr":[],"slots":"x"})");
  fleet.PutObject("servers", "1bad", R"("text")");
  fleet.PutObject("evacuations", "0bad", R"([1,2])");
  fleet.PutObject("pimento-gateways", "0bad", R"({"news_address":"nowhere"})");
  fleet.PutObject("pimento-gateways", "1bad",
                  R"({"news_address":"300.1.1.1:99999"})");
  fleet.PutObject("pimento-gateways", "2bad", R"(7)");
  Pause(700);
  for (const std::string& host : hosts) {
    CAPTURE(host);
    CHECK(fleet.processes().Running(host));
  }
  CHECK(Serves(fleet, 0));
  CHECK(Serves(fleet, 1));
  CHECK(fleet.Call(0, fleet.TurnRequest("t1", "p", "", "x")).status == 200);
  // Gossip still goes both ways: each gateway names both in its directory.
  for (const std::string host : {"gateway-0", "gateway-1"}) {
    CAPTURE(host);
    const std::string found = PlatformFleet::SendRawTo(
        fleet.Listening(host).at(4),
        "GET /-/resolve?name=x&zone=z HTTP/1.1\r\nHost: x\r\n"
        "Connection: close\r\n\r\n",
        1'000);
    CAPTURE(found);
    for (const std::string listed : {"gateway-0", "gateway-1"})
      CHECK(found.find(fleet.Listening(listed).at(2)) != std::string::npos);
  }
  // The configuration is still followed.
  fleet.PutState(9, {"another-key"});
  auto call = fleet.PlainRequest("k", true);
  call.headers["Authorization"] = "Token another-key";
  int status = 0;
  for (int i = 0; i < 60 && status != 200; ++i) {
    call.headers["X-Pimentopulley-Request-Id"] = "k" + std::to_string(i);
    status = fleet.Call(0, call).status;
    Pause(50);
  }
  CHECK(status == 200);
}

}  // namespace pimento::testbed
