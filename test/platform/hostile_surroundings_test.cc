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
#include "src/archive_journal.h"
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

// Headers of a caller near the limits of their types.
std::string AbsurdNumber(Random& random) {
  static const std::vector<std::string> kNumbers = {"0",
                                                    "-1",
                                                    "9223372036854775807",
                                                    "9223372036854775808",
                                                    "1e30",
                                                    "nan",
                                                    "18446744073709551615",
                                                    "-9223372036854775808",
                                                    "",
                                                    "\xff",
                                                    "1,1"};
  return kNumbers[random() % kNumbers.size()];
}

json::value AbsurdValue(Random& random) {
  switch (random() % 12) {
    case 0:
      return nullptr;
    case 1:
      return -1;
    case 2:
      return 1e308;
    case 3:
      return std::numeric_limits<uint64_t>::max();
    case 4:
      return std::numeric_limits<int64_t>::min();
    case 5:
      return "";
    case 6:
      return "\xff\xfe\x01";
    case 7:
      return json::string(20'000, 'x');
    case 8:
      return json::array(500, json::value(1.5));
    case 9:
      return json::object{};
    case 10:
      return 0;
    default:
      return true;
  }
}

// Replaces, repeats or removes some values of `value`.
void Distort(json::value& value, Random& random, unsigned one_in) {
  if (random() % one_in == 0) {
    value = AbsurdValue(random);
    return;
  }
  if (auto* object = value.if_object()) {
    for (auto& item : *object) Distort(item.value(), random, one_in);
    if (!object->empty() && random() % one_in == 0)
      object->erase(object->begin());
  } else if (auto* array = value.if_array()) {
    for (auto& item : *array) Distort(item, random, one_in);
    if (!array->empty() && random() % one_in == 0)
      array->resize(std::min<size_t>(200, array->size() * 20),
                    json::value(array->front()));
  }
}

std::string RandomText(Random& random, size_t most) {
  std::string text(random() % most, '\0');
  for (char& byte : text) byte = static_cast<char>(random());
  return text;
}

uint64_t AbsurdInteger(Random& random) {
  static constexpr std::array<uint64_t, 8> kIntegers = {
      0,          1,          ~0ULL,      1ULL << 63,
      1ULL << 62, 0xffffffff, 0x7fffffff, (1ULL << 63) - 1};
  return random() % 3 == 0 ? random() : kIntegers[random() % kIntegers.size()];
}

std::string AbsurdGossip(Random& random) {
  const auto number = [&] {
    return static_cast<int64_t>(AbsurdInteger(random));
  };
  GatewayGossip gossip{
      .host = random() % 3 == 0 ? RandomText(random, 300)
                                : "gateway-" + std::to_string(random() % 7),
      .boot = AbsurdInteger(random),
      .sequence = AbsurdInteger(random),
      .zone = random() % 2 == 0 ? "zone-1" : RandomText(random, 300),
      .callers_address = RandomText(random, 100),
      .ready = random() % 2 == 0,
      .strained = random() % 2 == 0,
      .state_version = random() % 2 == 0 ? 1 : number(),
      .state_age_ms = number(),
      .store_overdue_ms = number(),
      .teams_only = random() % 2 == 0};
  const size_t count = random() % 100;
  constexpr int kAskKinds = 4;
  constexpr int kStatuses = 3;
  static constexpr std::array<double, 6> kRates = {
      0,
      -1,
      1e308,
      std::numeric_limits<double>::quiet_NaN(),
      std::numeric_limits<double>::infinity(),
      5};
  for (size_t i = 0; i < count; ++i) {
    gossip.loads.push_back({.upstream = random() % 300, .in_flight = number()});
    gossip.teams.push_back({random(), {number(), number()}});
    gossip.programs.push_back(random());
    gossip.echoes.push_back(
        {random(), static_cast<uint16_t>(AbsurdInteger(random))});
    gossip.leaving_upstreams.push_back(random());
    gossip.rate_asks.push_back(
        {.kind = static_cast<RateAskKind>(random() % kAskKinds),
         .limit = random(),
         .id = AbsurdInteger(random),
         .program = static_cast<ProgramStatus>(random() % kStatuses),
         .per_second = kRates[random() % kRates.size()]});
    gossip.rate_replies.push_back(
        {.id = random() % 50, .wait_ms = number(), .tokens_milli = number()});
  }
  std::string bytes = EncodeGossip(gossip);
  if (random() % 3 == 0)
    for (int i = 0; i < 4; ++i)
      bytes[random() % bytes.size()] = static_cast<char>(random());
  return bytes;
}

std::string AbsurdArchiveCall(Random& random) {
  ArchiveCall call;
  call.list_version = random() % 2 == 0 ? 1'000'000 : AbsurdInteger(random);
  const auto turn = [&] { return "t" + std::to_string(random() % 20); };
  switch (random() % 6) {
    case 0:
      call.body =
          TurnRecord{.turn = turn(),
                     .previous = turn(),
                     .team = "quilters",
                     .input = RandomText(random, 3'000),
                     .output = RandomText(random, 3'000),
                     .upstream = RandomText(random, 100),
                     .retain_ms = static_cast<int64_t>(AbsurdInteger(random)),
                     .program = RandomText(random, 100),
                     .tokens = AbsurdInteger(random)};
      break;
    case 1:
      call.body = TokenReservation{.program = turn(),
                                   .turn = RandomText(random, 200),
                                   .tokens = AbsurdInteger(random),
                                   .settled = random() % 2 == 0};
      break;
    case 2:
      call.body = CollectCall{turn()};
      break;
    case 3:
      call.body = HistoryCall{turn(), "quilters"};
      break;
    case 4:
      call.body = CopyCall{AbsurdInteger(random)};
      break;
    default:
      call.body = PingCall{};
  }
  std::string bytes = EncodeCall(call);
  if (random() % 3 == 0)
    for (int i = 0; i < 4; ++i)
      bytes[random() % bytes.size()] = static_cast<char>(random());
  return bytes;
}

ClientRequest AbsurdRequest(Random& random) {
  static const std::vector<std::string> kTargets = {
      "/kept/x", "/resumed/x", "/open/x", "/status/x", "/charge/x", "/%ff?"};
  static const std::vector<std::string> kNames = {
      "X-Pimentopulley-Deadline-Ms",
      "X-Pimentopulley-Token-Budget",
      "X-Pimentopulley-Finish-Ms",
      "X-Pimentopulley-Token-Count",
      "X-Pimentopulley-Previous-Turn",
      "X-Pimentopulley-Program-Id",
      "X-Pimentopulley-Session-Id",
      "X-Pimentopulley-Affinity-Key",
      "X-Pimentopulley-Expect-Instance",
      "Last-Event-Id",
      "Connection",
      "Keep-Alive"};
  const std::string id = "h" + std::to_string(random());
  ClientRequest call{.method = random() % 3 == 0 ? "GET" : "POST",
                     .target = kTargets[random() % kTargets.size()],
                     .body = RandomText(random, 2'000),
                     .limit_ms = 400};
  call.headers = {{"X-Pimentopulley-Request-Id", id},
                  {"X-Pimentopulley-Program-Id", id},
                  {"X-Pimentopulley-Deadline-Ms", "300"},
                  {"X-Pimentopulley-Token-Budget", "1000"},
                  {"X-Pimentopulley-Token-Count", "100,60"},
                  {"Authorization", "Token key-of-quilters"}};
  for (int i = 0; i < 3; ++i)
    call.headers[kNames[random() % kNames.size()]] = AbsurdNumber(random);
  if (random() % 4 == 0) {
    call.headers["X-Pimentopulley-Token-Count"] =
        "9223372036854775807,9223372036854775807";
    call.headers["X-Pimentopulley-Prompt-Prefix"] =
        "ffffffffffffffff:9223372036854775807,1:9223372036854775807";
  }
  return call;
}

// What an upstream writes that follows no rule.
void AnswerNonsense(const ScriptedUpstream::Request& request,
                    ScriptedUpstream::Answer& answer, Random& random) {
  const std::string fields = ScriptedUpstream::AnswerFields(request);
  const std::string start = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string stream = start +
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n";
  switch (random() % 14) {
    case 0:
      for (int i = 0; i < 20; ++i)
        answer.Write("HTTP/1.1 100 Continue\r\n\r\n");
      break;
    case 1:
      answer.Write(start + "X: " + std::string(100'000, 'x') + "\r\n\r\n");
      break;
    case 2:
      answer.Write(stream + "\r\nffffffffffffffff\r\nid: 1\ndata: x\n\n");
      break;
    case 3:
      answer.Write(stream + "\r\nfffffffffffffffff0\r\nabc");
      break;
    case 4:
      answer.Write(stream +
                   "Keep-Alive: timeout=99999999999999999999999\r\n"
                   "Connection: X-Pimentopulley-Request-Id, close, ,;,\r\n"
                   "\r\n5\r\nid: 1\r\n0\r\n\r\n");
      break;
    case 5:
      answer.Write(
          "HTTP/1.1 429 x\r\n" + fields +
          "Retry-After: -9223372036854775808\r\n"
          "Keep-Alive: timeout=9223372036854775807\r\n"
          "X-Pimentopulley-Server-Limit: 1e308\r\nContent-Length: 0\r\n\r\n");
      break;
    case 6:
      answer.Write(stream + "\r\n20\r\nid: \xff\xfe\r\x01\ndata: " +
                   RandomText(random, 40));
      break;
    case 7:
      answer.Write("HTTP/1.1 204 x\r\n" + fields + "Content-Length: 5\r\n\r\n");
      answer.Write("12345");
      break;
    case 8:
      answer.Write("HTTP/1.1 304 x\r\n" + fields +
                   "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n");
      break;
    case 9:
      answer.Write("HTTP/1.1 000 x\r\n" + fields +
                   "Content-Length: 2\r\n\r\nab");
      break;
    case 10:
      answer.Write("HTTP/1.1 101 x\r\n" + fields + "Upgrade: x\r\n\r\n");
      answer.Write(RandomText(random, 5'000));
      break;
    case 11:
      answer.Write("HTTP/1.1 999 x\r\n" + fields +
                   "X-Pimentopulley-Server-Leaving: 1\r\n"
                   "Content-Length: 18446744073709551615\r\n\r\nab");
      break;
    case 12:
      answer.Write(RandomText(random, 20'000));
      break;
    default:
      answer.Write(stream + "\r\n8\r\ndata: x\n\r\n0\r\n" +
                   "X: " + std::string(70'000, 'x') + "\r\n\r\n");
  }
  if (random() % 2 == 0) answer.Reset();
  if (random() % 2 == 0) answer.Close();
}

// What a store answers that follows no rule.
void AnswerNonsense(LyingStore::Answer& answer, Random& random) {
  static const std::vector<std::string> kRaw = {
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 6\r\n\r\n"
      "<html>",
      "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"items\":[",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
      "HTTP/1.1 204 x\r\n\r\n",
      "\r\n\r\n\r\n"};
  switch (random() % 8) {
    case 0:
      answer.raw = kRaw[random() % kRaw.size()];
      return;
    case 1:
      answer.body = RandomText(random, 4'000);
      return;
    case 2:
      answer.body = std::string(200'000, '[');
      return;
    case 3:
      answer.status = static_cast<unsigned>(200 + random() % 350);
      // Without a body, as these have none.
      if (answer.status == 204 || answer.status == 304) answer.body.clear();
      return;
    default: {
      boost::system::error_code error;
      json::value value = json::parse(answer.body, error);
      if (error) return;
      constexpr unsigned kOneIn = 25;
      Distort(value, random, kOneIn);
      answer.body = json::serialize(value);
    }
  }
}

// One seed of random trouble around a small site: 6 gateways and 3 archives in
// 3 zones.
class HostileSite {
 public:
  HostileSite(uint64_t seed, int64_t trouble_ms)
      : seed_(seed),
        random_(seed),
        trouble_ms_(trouble_ms),
        fleet_("build/bin", "build/platform/hostile/" + std::to_string(seed),
               {.gateways = kGateways, .archives = kArchives}),
        store_(fleet_.StoreAddress()),
        upstream_([this](const auto& request, auto& answer) {
          Random own(Draw());
          AnswerNonsense(request, answer, own);
        }) {
    for (int i = 0; i < kGateways; ++i)
      hosts_.push_back("gateway-" + std::to_string(i));
    for (int i = 0; i < kArchives; ++i)
      hosts_.push_back("archive-" + std::to_string(i));
  }

  void Run() {
    MoveToStore(fleet_, store_.address());
    for (const std::string& host : hosts_) started_[host] = Clock::now();
    fleet_.RegisterUpstream(301, "desk", upstream_.address());
    fleet_.RegisterUpstream(302, "talk", upstream_.address());
    std::atomic<bool> over{false};
    std::vector<std::thread> callers;
    constexpr int kCallers = 3;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] {
        Random own(seed_ * 100 + static_cast<uint64_t>(i));
        while (!over)
          fleet_.Call(static_cast<int>(own() % kGateways), AbsurdRequest(own));
      });
    }
    const auto end = Clock::now() + milliseconds(trouble_ms_);
    while (Clock::now() < end && ended_.empty()) {
      (this->*kTroubles[Draw() % kTroubles.size()])();
      Pause(static_cast<int64_t>(Draw() % 60));
      CheckHosts();
    }
    store_.set_lie(nullptr);
    over = true;
    for (std::thread& caller : callers) caller.join();
    Pause(300);
    CheckHosts();
    CAPTURE(seed_);
    CAPTURE(story_);
    CHECK(ended_ == "");
    for (const std::string& host : hosts_) {
      CAPTURE(host);
      CHECK(fleet_.Metrics(host) != "");
    }
  }

 private:
  using Clock = std::chrono::steady_clock;
  using Trouble = void (HostileSite::*)();
  static constexpr int kGateways = 6;
  static constexpr int kArchives = 3;

  uint64_t Draw() {
    const std::lock_guard lock(mutex_);
    return random_();
  }
  std::string AnyHost() { return hosts_[Draw() % hosts_.size()]; }
  void Tell(const std::string& what) {
    story_ += what + "; ";
    std::ofstream(
        "build/platform/hostile/" + std::to_string(seed_) + "/story.txt",
        std::ios::app)
        << what << "\n";
  }

  void CheckHosts() {
    for (const std::string& host : hosts_) {
      const std::string how = fleet_.processes().HowEnded(host);
      if (!how.empty() && ended_.empty()) ended_ = host + " ended: " + how;
      if (!how.empty()) continue;
      const int64_t limit =
          host.starts_with("gateway") ? kGatewayMb : kArchiveMb;
      const int64_t used = MemoryMb(fleet_, host, "VmHWM");
      if (used >= limit && ended_.empty())
        ended_ = host + " used " + std::to_string(used) + " MB";
    }
    if (!ended_.empty() && !told_) Tell(ended_);
    told_ = !ended_.empty();
  }

  void Restart() {
    const std::string host = AnyHost();
    Tell("restart " + host);
    fleet_.processes().Kill(host);
    fleet_.StartHost(host, false);
    started_[host] = Clock::now();
  }
  void RestartAll() {
    if (Draw() % 4 != 0) return;
    Tell("restart all");
    auto order = hosts_;
    Random own(Draw());
    std::shuffle(order.begin(), order.end(), own);
    for (const std::string& host : order) fleet_.processes().Kill(host);
    for (const std::string& host : order) {
      fleet_.StartHost(host, false);
      started_[host] = Clock::now();
      Pause(static_cast<int64_t>(Draw() % 30));
    }
  }
  // A signal before a host handles signals is a trouble of its own.
  void HangUp() {
    Tell("hup");
    for (const std::string& host : hosts_)
      if (Clock::now() - started_[host] > std::chrono::seconds(2))
        fleet_.processes().Signal(host, SIGHUP);
  }
  void Lie() {
    const uint64_t seed = Draw();
    const uint64_t one_in = 1 + Draw() % 6;
    Tell("lie 1 in " + std::to_string(one_in));
    auto own = std::make_shared<Random>(seed);
    auto lock = std::make_shared<std::mutex>();
    store_.set_lie(
        [own, lock, one_in](const std::string&, LyingStore::Answer& answer) {
          const std::lock_guard guard(*lock);
          if ((*own)() % one_in == 0) AnswerNonsense(answer, *own);
        });
  }
  void TellTruth() { store_.set_lie(nullptr); }
  void Gossip() {
    Random own(Draw());
    for (int i = 0; i < 100; ++i) {
      const std::string host = "gateway-" + std::to_string(own() % kGateways);
      SendDatagrams(fleet_.Listening(host).front(), AbsurdGossip(own), 1);
    }
  }
  void CallArchives() {
    Random own(Draw());
    const std::string host = "archive-" + std::to_string(own() % kArchives);
    std::string bytes;
    for (int i = 0; i < 30; ++i) {
      const std::string body = AbsurdArchiveCall(own);
      bytes += "POST /archive HTTP/1.1\r\nHost: x\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    SendRawIfListening(fleet_.Listening(host).front(), bytes);
  }
  void SendRawIfListening(const std::string& address,
                          const std::string& bytes) {
    try {
      PlatformFleet::SendRawTo(address, bytes, 30);
    } catch (const boost::system::system_error&) {
      // The host is just starting.
    }
  }
  void PutNonsense() {
    Random own(Draw());
    static const std::vector<std::pair<std::string, std::string>> kObjects = {
        {"servers", "301"},
        {"servers", "200"},
        {"servers", "0x"},
        {"evacuations", "zone-1"},
        {"retirements", "archive-9"},
        {"pimento-gateways", "gateway-9"},
        {"pimento-archives", "zz"}};
    const auto& [kind, name] = kObjects[own() % kObjects.size()];
    json::value spec = {{"service", "desk"},
                        {"addr", upstream_.address()},
                        {"zone", "zone-1"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_left_ms", 0},
                        {"sequence", 1},
                        {"born", 1},
                        {"id", "77"},
                        {"address", upstream_.address()},
                        {"news_address", upstream_.address()}};
    constexpr unsigned kOneIn = 6;
    Distort(spec, own, kOneIn);
    Tell("put " + kind + "/" + name);
    Put(kind, name, spec);
  }
  void PutConfig() {
    Random own(Draw());
    // The store also takes text that is not UTF-8: what it holds after the
    // first distortion can't be parsed.
    if (!config_)
      config_ = json::parse(fleet_.Object("config", "main")).at("spec");
    json::value spec = *config_;
    constexpr unsigned kOneIn = 30;
    Distort(spec, own, kOneIn);
    if (auto* fields = spec.if_object()) (*fields)["version"] = ++version_;
    Tell("config");
    Put("config", "main", spec);
  }
  void Put(const std::string& kind, const std::string& name,
           const json::value& spec) {
    try {
      fleet_.PutObject(kind, name, json::serialize(spec));
    } catch (const std::runtime_error&) {
      // The stand-in store takes no text that is no JSON.
    }
  }

  static constexpr std::array<Trouble, 9> kTroubles = {
      &HostileSite::Restart,      &HostileSite::RestartAll,
      &HostileSite::HangUp,       &HostileSite::Lie,
      &HostileSite::TellTruth,    &HostileSite::Gossip,
      &HostileSite::CallArchives, &HostileSite::PutNonsense,
      &HostileSite::PutConfig};

  uint64_t seed_;
  std::mutex mutex_;
  Random random_;
  int64_t trouble_ms_;
  PlatformFleet fleet_;
  LyingStore store_;
  ScriptedUpstream upstream_;
  std::vector<std::string> hosts_;
  std::map<std::string, Clock::time_point> started_;
  std::optional<json::value> config_;
  int64_t version_ = 1;
  std::string story_;
  std::string ended_;
  bool told_ = false;
};

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
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
  constexpr std::array<unsigned, 5> kLists = {3, 4, 7, 8, 10};
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

// Prompts of ever new parts, as a caller may name them: all parts that an
// upstream had seen within a minute were looked through at each request.
TEST_CASE("prompts of ever new parts make a gateway neither big nor slow") {
  PlatformFleet fleet("build/bin", "build/platform/new_prompts", {});
  REQUIRE(ServesWithin(fleet, 0, 3'000));
  constexpr int kRequests = 8'000;
  constexpr int kParts = 600;
  std::vector<std::thread> callers;
  std::atomic<int> left{kRequests};
  constexpr std::chrono::seconds kLimit{30};
  const auto end = std::chrono::steady_clock::now() + kLimit;
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
          if (std::chrono::steady_clock::now() > end) return;
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
  CHECK(left <= 0);
  CHECK(fleet.processes().HowEnded("gateway-0") == "");
  CHECK(PeakMb(fleet, "gateway-0") < kGatewayMb);
}

// PIMENTO_STARTS=50 plays as many rounds.
TEST_CASE("hosts that start in any order and at once become ready") {
  PlatformFleet fleet("build/bin", "build/platform/any_order",
                      {.gateways = 6, .archives = 3});
  std::vector<std::string> hosts;
  for (int i = 0; i < 6; ++i) hosts.push_back("gateway-" + std::to_string(i));
  for (int i = 0; i < 3; ++i) hosts.push_back("archive-" + std::to_string(i));
  Random random(20261206);
  const uint64_t rounds = FromEnvironment("PIMENTO_STARTS", 2);
  for (uint64_t round = 0; round < rounds; ++round) {
    CAPTURE(round);
    for (const std::string& host : hosts) fleet.processes().Kill(host);
    std::shuffle(hosts.begin(), hosts.end(), random);
    for (const std::string& host : hosts) {
      fleet.StartHost(host, false);
      Pause(static_cast<int64_t>(random() % 34));
    }
    constexpr int64_t kReadyMs = 15'000;
    CHECK_NOTHROW(fleet.WaitUntilReady(kReadyMs));
    for (const std::string& host : hosts) {
      CAPTURE(host);
      CHECK(fleet.processes().HowEnded(host) == "");
    }
  }
}

// The records of six segments of the size at which the next one begins.
TEST_CASE("the replay of a journal of 96 MB fits an archive's memory") {
  PlatformFleet fleet("build/bin", "build/platform/long_replay", {});
  const std::string host = "archive-1";
  fleet.processes().Kill(host);
  {
    ArchiveJournal journal("build/platform/long_replay/" + host + ".data");
    journal.Replay([](const std::string&) {});
    constexpr int kBatches = 96;
    constexpr int kTurns = 256;
    constexpr size_t kTurnBytes = 4'000;
    for (int batch = 0; batch < kBatches; ++batch) {
      std::vector<std::string> entries;
      for (int i = 0; i < kTurns; ++i)
        entries.push_back(EncodeEntry(
            TurnRecord{.turn = std::to_string(batch) + "-" + std::to_string(i),
                       .team = "quilters",
                       .output = std::string(kTurnBytes, 'o'),
                       .retain_ms = 60'000}));
      journal.Append(entries);
    }
  }
  const auto start = std::chrono::steady_clock::now();
  fleet.StartHost(host, false);
  bool listens = false;
  for (int i = 0; i < 200 && !listens; ++i) {
    Pause(20);
    listens = fleet.Metrics(host) != "";
  }
  const auto took = std::chrono::steady_clock::now() - start;
  MESSAGE("ready after " << took / milliseconds(1) << " ms, peak "
                         << PeakMb(fleet, host) << " MB");
  CHECK(listens);
  CHECK(PeakMb(fleet, host) < kArchiveMb);
}

TEST_CASE("an archive starts with a damaged journal and member file") {
  PlatformFleet fleet("build/bin", "build/platform/damaged_disk", {});
  const std::string host = "archive-1";
  const std::string dir = "build/platform/damaged_disk/" + host + ".data/";
  Random random(20261206);
  constexpr int kRounds = 12;
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    for (int i = 0; i < 20; ++i)
      CallArchive(fleet, host,
                  KeepCall(std::to_string(round) + "-" + std::to_string(i), ""),
                  200);
    fleet.processes().Kill(host);
    for (const auto& file : std::filesystem::directory_iterator(dir)) {
      const auto size = std::filesystem::file_size(file.path());
      if (size > 0 && random() % 2 == 0)
        std::filesystem::resize_file(file.path(), random() % size);
      if (random() % 2 == 0)
        std::ofstream(file.path(), std::ios::app) << RandomText(random, 500);
    }
    fleet.StartHost(host, false);
    bool listens = false;
    for (int i = 0; i < 100 && !listens; ++i) {
      Pause(20);
      listens = fleet.Metrics(host) != "";
    }
    CHECK(listens);
    CHECK(fleet.processes().HowEnded(host) == "");
    if (!listens) return;
  }
}

// Bodies of the longest allowed length that do not end, on PIMENTO_BODIES
// connections.
TEST_CASE("many bodies that do not end fit a gateway's memory") {
  PlatformFleet fleet("build/bin", "build/platform/many_bodies", {});
  const uint64_t connections = FromEnvironment("PIMENTO_BODIES", 900);
  asio::io_context io;
  std::list<tcp::socket> sockets;
  const std::string request =
      "POST /open/x HTTP/1.1\r\nHost: x.example\r\nContent-Length: 65536"
      "\r\n\r\n" +
      std::string(65'000, 'b');
  for (uint64_t i = 0; i < connections; ++i) {
    boost::system::error_code error;
    tcp::socket& socket = sockets.emplace_back(io);
    socket.connect(EndpointOf(fleet.Listening("gateway-0").at(2)), error);
    asio::write(socket, asio::buffer(request), error);
  }
  Pause(300);
  MESSAGE("peak " << PeakMb(fleet, "gateway-0") << " MB");
  CHECK(PeakMb(fleet, "gateway-0") < kGatewayMb);
  sockets.clear();
  CHECK(ServesWithin(fleet, 0, 3'000));
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

// PIMENTO_HOSTILE_SEEDS=50 and PIMENTO_HOSTILE_FIRST=1000 run seeds 1000 to
// 1049; logs stay in build/platform/hostile.
TEST_CASE("no process ends by itself in random hostile surroundings") {
  const uint64_t first = FromEnvironment("PIMENTO_HOSTILE_FIRST", 1);
  const uint64_t seeds = FromEnvironment("PIMENTO_HOSTILE_SEEDS", 1);
  const auto trouble_ms =
      static_cast<int64_t>(FromEnvironment("PIMENTO_HOSTILE_MS", 8'000));
  for (uint64_t seed = first; seed < first + seeds; ++seed)
    HostileSite(seed, trouble_ms).Run();
}

}  // namespace pimento::testbed
