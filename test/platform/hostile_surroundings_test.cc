// Surroundings that answer nonsense, send without end or name absurd values: no
// process ends by itself, none grows without bound, and each serves on.
#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "bench/lib/platform_fleet.h"
#include "bench/lib/scripted_upstream.h"
#include "schema/fleet.capnp.h"
#include "src/archive_codec.h"
#include "src/connection_pool.h"
#include "src/gateway_peers.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using Random = std::mt19937_64;
using asio::ip::tcp;
using std::chrono::milliseconds;

// Memory that a gateway and an archive may use on the smallest site.
constexpr int64_t kGatewayMb = 260;
constexpr int64_t kArchiveMb = 280;
constexpr size_t kFloodBytes = 600ULL * 1024 * 1024;

void Pause(int64_t time_ms) {
  std::this_thread::sleep_for(milliseconds(time_ms));
}

// A figure of /proc/PID/status, "VmHWM" or "VmRSS", in megabytes.
int64_t MemoryMb(PlatformFleet& fleet, const std::string& host,
                 const std::string& figure) {
  std::ifstream in("/proc/" + std::to_string(fleet.processes().Pid(host)) +
                   "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(figure + ":"))
      return std::strtoll(line.c_str() + figure.size() + 1, nullptr, 10) / 1024;
  }
  return -1;
}

int64_t PeakMb(PlatformFleet& fleet, const std::string& host) {
  return MemoryMb(fleet, host, "VmHWM");
}

bool ServesWithin(PlatformFleet& fleet, int gateway, int64_t limit_ms) {
  static std::atomic<int> next{0};
  for (int64_t waited = 0; waited < limit_ms; waited += 50) {
    const std::string id = "alive" + std::to_string(++next);
    if (fleet.Call(gateway, fleet.PlainRequest(id, true)).status == 200)
      return true;
    Pause(50);
  }
  return false;
}

tcp::endpoint EndpointOf(const std::string& address) {
  return ParseEndpoint(address);
}

// Sends `start` and then `piece` again and again, until the peer closes the
// connection or kFloodBytes were sent.
void Flood(const std::string& address, const std::string& start,
           const std::string& piece) {
  asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(EndpointOf(address), error);
  asio::write(socket, asio::buffer(start), error);
  for (size_t sent = 0; !error && sent < kFloodBytes; sent += piece.size())
    asio::write(socket, asio::buffer(piece), error);
}

std::string ChunkedRequest(const std::string& target) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: x.example\r\n"
         "X-Pimentopulley-Request-Id: flood\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string kPiece(256 * 1024, 'a');

// Passes the calls of hosts on to the stand-in store, and lets a test replace
// an answer's body, or all of its bytes.
class LyingStore {
 public:
  struct Answer {
    unsigned status = 200;
    std::string body = {};
    // Sent instead of the answer when it is not empty.
    std::string raw = {};
  };
  using Lie = std::function<void(const std::string& target, Answer& answer)>;

  explicit LyingStore(std::string store)
      : store_(std::move(store)),
        acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        acceptor_thread_([this] { Accept(); }) {}
  ~LyingStore() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      for (tcp::socket& socket : sockets_) {
        boost::system::error_code ignored;  // closed already
        socket.shutdown(tcp::socket::shutdown_both, ignored);
      }
    }
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    acceptor_thread_.join();
    for (std::thread& thread : threads_) thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  // Applies to calls whose answers come from now on; null: the truth.
  void set_lie(Lie lie) {
    const std::lock_guard lock(mutex_);
    lie_ = std::move(lie);
  }

 private:
  void Accept() {
    for (;;) {
      tcp::socket accepted(io_);
      boost::system::error_code error;
      acceptor_.accept(accepted, error);
      const std::lock_guard lock(mutex_);
      if (error || stopping_) return;
      tcp::socket& socket = sockets_.emplace_back(std::move(accepted));
      threads_.emplace_back([this, &socket] { Serve(socket); });
    }
  }

  void Serve(tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    for (;;) {
      http::request<http::string_body> request;
      http::read(socket, buffer, request, error);
      if (error) break;
      Answer answer;
      if (!Ask(request, answer)) break;
      Lie lie;
      {
        const std::lock_guard lock(mutex_);
        lie = lie_;
      }
      if (lie) lie(std::string(request.target()), answer);
      if (!answer.raw.empty()) {
        asio::write(socket, asio::buffer(answer.raw), error);
        break;
      }
      http::response<http::string_body> response;
      response.result(answer.status);
      response.set(http::field::content_type, "application/json");
      response.body() = answer.body;
      response.prepare_payload();
      http::write(socket, response, error);
      if (error) break;
    }
    socket.shutdown(tcp::socket::shutdown_both, error);
  }

  bool Ask(http::request<http::string_body>& request, Answer& answer) {
    asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(EndpointOf(store_), error);
    if (!error) http::write(socket, request, error);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error) http::read(socket, buffer, response, error);
    answer.status = response.result_int();
    answer.body = response.body();
    return !error;
  }

  std::string store_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::mutex mutex_;
  Lie lie_;
  std::list<tcp::socket> sockets_;
  std::list<std::thread> threads_;
  bool stopping_ = false;
  std::thread acceptor_thread_;
};

// Restarts all hosts with the store at `address`.
void MoveToStore(PlatformFleet& fleet, const std::string& address) {
  fleet.set_store_of_hosts(address);
  std::vector<std::string> hosts;
  for (int i = 0; i < fleet.options().archives; ++i)
    hosts.push_back("archive-" + std::to_string(i));
  for (int i = 0; i < fleet.options().gateways; ++i)
    hosts.push_back("gateway-" + std::to_string(i));
  for (const std::string& host : hosts) fleet.processes().Kill(host);
  for (const std::string& host : hosts) fleet.StartHost(host, false);
  constexpr int64_t kReadyMs = 15'000;
  fleet.WaitUntilReady(kReadyMs);
}

std::string BytesOf(capnp::MessageBuilder& message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

void SendDatagrams(const std::string& address, const std::string& bytes,
                   int count) {
  asio::io_context io;
  asio::ip::udp::socket socket(io, asio::ip::udp::v4());
  const auto to = EndpointOf(address);
  for (int i = 0; i < count; ++i) {
    boost::system::error_code ignored;  // datagrams may be lost
    socket.send_to(asio::buffer(bytes),
                   asio::ip::udp::endpoint(to.address(), to.port()), 0,
                   ignored);
  }
}

// Sends one call to an archive and returns the answer's bytes.
std::string CallArchive(PlatformFleet& fleet, const std::string& host,
                        const ArchiveCall& call, int64_t limit_ms) {
  const std::string body = EncodeCall(call);
  return PlatformFleet::SendRawTo(
      fleet.Listening(host).front(),
      "POST /archive HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Content-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body,
      limit_ms);
}

ArchiveCall KeepCall(const std::string& turn, const std::string& previous) {
  ArchiveCall call;
  call.list_version = 1'000'000;
  call.body = TurnRecord{.turn = turn,
                         .previous = previous,
                         .team = "quilters",
                         .input = "in",
                         .output = "out",
                         .retain_ms = 60'000};
  return call;
}

}  // namespace

// A chunk's extension has no length; it was kept until its line ended.
TEST_CASE("a chunk extension without end from a caller fills no memory") {
  PlatformFleet fleet("build/bin", "build/platform/endless_extension", {});
  REQUIRE(ServesWithin(fleet, 0, 3'000));
  Flood(fleet.Listening("gateway-0").at(2), ChunkedRequest("/open/x") + "1;",
        kPiece);
  Flood(fleet.Listening("archive-0").front(), ChunkedRequest("/archive") + "1;",
        kPiece);
  // The fields after the last chunk.
  Flood(fleet.Listening("gateway-1").at(2),
        ChunkedRequest("/open/x") + "0\r\nx: ", kPiece);
  CHECK(PeakMb(fleet, "gateway-0") < kGatewayMb);
  CHECK(PeakMb(fleet, "gateway-1") < kGatewayMb);
  CHECK(PeakMb(fleet, "archive-0") < kArchiveMb);
  CHECK(ServesWithin(fleet, 0, 3'000));
}

// The same from an upstream.
TEST_CASE("a chunk extension without end from an upstream fills no memory") {
  PlatformFleet fleet("build/bin", "build/platform/endless_answer",
                      {.plain_upstreams = 0});
  ScriptedUpstream upstream([](const auto& request, auto& answer) {
    answer.Write("HTTP/1.1 200 OK\r\n" +
                 ScriptedUpstream::AnswerFields(request) +
                 "Transfer-Encoding: chunked\r\n\r\n1;");
    for (size_t sent = 0; answer.open() && sent < kFloodBytes;
         sent += kPiece.size())
      answer.Write(kPiece);
    answer.Close();
  });
  fleet.RegisterUpstream(301, "desk", upstream.address());
  Pause(500);
  auto call = fleet.PlainRequest("endless", true);
  call.headers["X-Pimentopulley-Deadline-Ms"] = "3000";
  CHECK(fleet.Call(0, call).status != 200);
  CHECK(upstream.CountRequests("endless") > 0);
  CHECK(PeakMb(fleet, "gateway-0") < kGatewayMb);
}

// A field of a trailer that is longer than the parser holds: it threw in the
// middle of a read, and the process ended.
TEST_CASE("a trailer with a huge field ends no process") {
  PlatformFleet fleet("build/bin", "build/platform/huge_trailer",
                      {.plain_upstreams = 0});
  const std::string trailer =
      "2\r\nab\r\n0\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n";
  ScriptedUpstream upstream([&](const auto& request, auto& answer) {
    answer.Write("HTTP/1.1 200 OK\r\n" +
                 ScriptedUpstream::AnswerFields(request) +
                 "Transfer-Encoding: chunked\r\n\r\n" + trailer);
  });
  fleet.RegisterUpstream(301, "desk", upstream.address());
  Pause(500);
  for (int i = 0; i < 10; ++i)
    fleet.Call(0, fleet.PlainRequest("u" + std::to_string(i), true));
  CHECK(!upstream.requests().empty());
  const std::vector<std::pair<std::string, std::string>> requests = {
      {fleet.Listening("gateway-1").at(2), "/open/x"},
      {fleet.Listening("archive-0").front(), "/archive"}};
  for (const auto& [address, target] : requests) {
    try {
      for (int i = 0; i < 10; ++i)
        PlatformFleet::SendRawTo(address, ChunkedRequest(target) + trailer, 50);
    } catch (const boost::system::system_error& e) {
      FAIL_CHECK(address << ": " << e.what());
    }
  }
  for (const std::string host : {"gateway-0", "gateway-1", "archive-0"}) {
    CAPTURE(host);
    CHECK(fleet.processes().HowEnded(host) == "");
  }
}

// A turn that names itself, or two that name each other: the search for its
// predecessors did not end.
TEST_CASE("a history that leads back to itself ends") {
  PlatformFleet fleet("build/bin", "build/platform/circular_history", {});
  const std::string host = "archive-0";
  CallArchive(fleet, host, KeepCall("a", "b"), 1'000);
  CallArchive(fleet, host, KeepCall("b", "a"), 1'000);
  CallArchive(fleet, host, KeepCall("c", "c"), 1'000);
  for (const std::string turn : {"a", "c"}) {
    ArchiveCall call;
    call.list_version = 1'000'000;
    call.body = HistoryCall{turn, "quilters"};
    std::thread caller([&] { CallArchive(fleet, host, call, 1'500); });
    bool bounded = true;
    for (int i = 0; i < 30 && bounded; ++i) {
      Pause(50);
      bounded = PeakMb(fleet, host) < kArchiveMb;
    }
    CAPTURE(turn);
    CHECK(bounded);
    // Not left to fill the machine.
    if (!bounded) fleet.processes().Kill(host);
    caller.join();
    if (!bounded) return;
  }
  CHECK(CallArchive(fleet, host, KeepCall("d", ""), 1'000).find("200 OK") !=
        std::string::npos);
}

// A store whose list says each time that more follows, after the same name.
TEST_CASE("a list without end from the store fills no memory") {
  PlatformFleet fleet("build/bin", "build/platform/endless_list", {});
  LyingStore store(fleet.StoreAddress());
  MoveToStore(fleet, store.address());
  REQUIRE(ServesWithin(fleet, 0, 3'000));
  std::string item =
      R"({"metadata":{"name":"x","revision":1},"spec":{"text":")" +
      std::string(1'000, 'x') + R"("}})";
  std::string items = item;
  for (int i = 0; i < 200; ++i) items += "," + item;
  store.set_lie([&](const std::string& target, LyingStore::Answer& answer) {
    const bool list = target.starts_with("/-/objects/") &&
                      target.find("watch=") == std::string::npos;
    if (list)
      answer.body =
          R"({"store_revision":5,"more":true,"items":[)" + items + "]}";
    if (!list) answer.status = 410;  // makes hosts list again
  });
  std::string full;
  for (int i = 0; i < 100 && full.empty(); ++i) {
    Pause(50);
    for (const std::string host : {"gateway-0", "archive-0"})
      if (PeakMb(fleet, host) >= kGatewayMb) full = host;
  }
  CHECK(full == "");
  store.set_lie(nullptr);
  if (full.empty()) CHECK(ServesWithin(fleet, 0, 10'000));
}

// A list of elements without size takes no bytes in a message and many in
// memory.
TEST_CASE("a gossip message with an absurd count fills no memory") {
  PlatformFleet fleet("build/bin", "build/platform/absurd_count", {});
  REQUIRE(ServesWithin(fleet, 0, 3'000));
  constexpr uint32_t kAbsurdCount = 8'000'000;
  constexpr std::array<unsigned, 4> kLists = {3, 4, 7, 8};
  for (const unsigned list : kLists) {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::GatewayNews>();
    root.setHost("gateway-1");
    root.setBoot(~0ULL);
    root.setSequence(list);
    auto any = message.getRoot<capnp::AnyPointer>().getAs<capnp::AnyStruct>();
    any.getPointerSection()[list].initAsAnyList(capnp::ElementSize::VOID,
                                                kAbsurdCount);
    SendDatagrams(fleet.Listening("gateway-0").front(), BytesOf(message), 2);
    Pause(400);
  }
  CHECK(fleet.processes().Running("gateway-0"));
  CHECK(PeakMb(fleet, "gateway-0") < kGatewayMb);
  CHECK(ServesWithin(fleet, 0, 5'000));
}

// Each name in a gossip message was kept for good as that of a gateway.
TEST_CASE("gossip messages of many unknown hosts fill no memory") {
  PlatformFleet fleet("build/bin", "build/platform/unknown_hosts", {});
  REQUIRE(ServesWithin(fleet, 0, 3'000));
  constexpr int kHosts = 40'000;
  for (int i = 0; i < kHosts; ++i) {
    GatewayGossip gossip{.host = std::to_string(i) + std::string(15'000, 'h'),
                         .boot = 1,
                         .sequence = 1};
    SendDatagrams(fleet.Listening("gateway-0").front(), EncodeGossip(gossip),
                  1);
    if (i % 100 == 0) Pause(1);
  }
  CHECK(fleet.processes().Running("gateway-0"));
  CHECK(PeakMb(fleet, "gateway-0") < kGatewayMb);
  CHECK(ServesWithin(fleet, 0, 5'000));
}

// Prompts of ever new parts, as a caller may name them.
TEST_CASE("prompts of ever new parts fill no memory") {
  PlatformFleet fleet("build/bin", "build/platform/new_prompts", {});
  REQUIRE(ServesWithin(fleet, 0, 3'000));
  constexpr int kRequests = 8'000;
  constexpr int kParts = 600;
  std::vector<std::thread> callers;
  std::atomic<int> left{kRequests};
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&, i] {
      Random random(static_cast<uint64_t>(i));
      asio::io_context io;
      while (left > 0) {
        tcp::socket socket(io);
        boost::system::error_code error;
        socket.connect(EndpointOf(fleet.Listening("gateway-0").at(2)), error);
        boost::beast::flat_buffer buffer;
        while (!error && --left > 0) {
          auto call = fleet.PlainRequest("p" + std::to_string(left), true);
          std::string parts;
          for (int part = 0; part < kParts; ++part) {
            char text[16];
            std::snprintf(text, sizeof text, "%s%x:1", part == 0 ? "" : ",",
                          static_cast<unsigned>(random()));
            parts += text;
          }
          http::request<http::string_body> request(http::verb::get, "/open/x",
                                                   11);
          request.set(http::field::host, "x.example");
          for (const auto& [name, value] : call.headers)
            request.set(name, value);
          request.set("X-Pimentopulley-Prompt-Prefix", parts);
          http::write(socket, request, error);
          http::response<http::string_body> response;
          if (!error) http::read(socket, buffer, response, error);
        }
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  CHECK(fleet.processes().HowEnded("gateway-0") == "");
  CHECK(PeakMb(fleet, "gateway-0") < kGatewayMb);
}

// What others leave in the folder of the journal.
TEST_CASE("an archive serves with foreign files beside its journal") {
  PlatformFleet fleet("build/bin", "build/platform/foreign_files", {});
  const std::string host = "archive-1";
  const std::string dir = "build/platform/foreign_files/" + host + ".data/";
  for (const char* name :
       {"abc.log", "18446744073709551615.log", "99999999999999999999.log",
        "-1.log", "1.log", ".log", "00000001.log.swp"})
    std::ofstream(dir + name) << "garbage";
  std::filesystem::create_directories(dir + "00000007.log");
  std::filesystem::create_directories(dir + "x.log");
  for (int round = 0; round < 3; ++round) {
    CAPTURE(round);
    fleet.processes().Kill(host);
    fleet.StartHost(host, false);
    std::string answer;
    for (int i = 0; i < 100 && answer.empty(); ++i) {
      Pause(50);
      try {
        answer = CallArchive(fleet, host, KeepCall("t", ""), 1'000);
      } catch (const boost::system::system_error&) {
        // It does not listen yet.
      }
    }
    CHECK(fleet.processes().HowEnded(host) == "");
    const size_t body = answer.find("\r\n\r\n");
    REQUIRE(body != std::string::npos);
    CHECK(DecodeReply(answer.substr(body + 4)).verdict ==
          ArchiveVerdict::kDone);
  }
}

}  // namespace pimento::testbed
