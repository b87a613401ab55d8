// Requests of callers in random pieces, whole or damaged, with fixed seeds: a
// whole one reaches the handler unchanged, nothing else ends the server, each
// answer is one, and the account of held bytes is empty afterwards.
#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "src/caller_connection.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Random = std::mt19937_64;

constexpr uint64_t kSeeds = 300;
constexpr size_t kMaxBodyBytes = 20'000;
constexpr uint64_t kBudget = 4'000'000;
// Free on a machine that runs tests: only this test uses it.
constexpr const char* kAddress = "127.77.43.1:18377";

std::string RandomBytes(Random& random, size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random() % 256);
  return bytes;
}

std::string Chunked(Random& random, const std::string& body) {
  std::string text;
  for (size_t at = 0; at < body.size();) {
    const size_t size = std::min<size_t>(
        body.size() - at, 1 + random() % (random() % 5 == 0 ? 5'000 : 40));
    char length[32];
    std::snprintf(length, sizeof length, "%zx", size);
    text += length;
    if (random() % 8 == 0) text += ";name=\"value\"";
    text += "\r\n" + body.substr(at, size) + "\r\n";
    at += size;
  }
  text += "0\r\n";
  if (random() % 4 == 0) text += "X-Trailer: yes\r\n";
  return text + "\r\n";
}

std::string RequestBytes(Random& random, const std::string& body) {
  const std::string head = "POST /x HTTP/1.1\r\nHost: a.example\r\n";
  if (random() % 2 == 0)
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  return head + "Transfer-Encoding: chunked\r\n\r\n" + Chunked(random, body);
}

void Damage(Random& random, std::string& bytes) {
  const int times = 1 + static_cast<int>(random() % 4);
  for (int i = 0; i < times && !bytes.empty(); ++i) {
    // Mostly in the head or in the first chunks.
    const size_t reach = random() % 3 == 0 ? bytes.size() : 120;
    const size_t at = random() % std::min(bytes.size(), reach);
    switch (random() % 4) {
      case 0:
        bytes[at] = static_cast<char>(random() % 256);
        break;
      case 1:
        bytes.erase(at, 1 + random() % 30);
        break;
      case 2:
        bytes.insert(at, RandomBytes(random, 1 + random() % 30));
        break;
      default:
        bytes.resize(at);
    }
  }
}

struct Seen {
  std::vector<std::string> bodies;
  std::string answers;
};

// Sends `bytes` in random pieces, then ends its side, and collects what comes.
asio::awaitable<void> Client(asio::io_context& io, Random& random,
                             std::string bytes, Seen& seen) {
  tcp::socket socket(io);
  boost::system::error_code error;
  co_await socket.async_connect(
      tcp::endpoint(asio::ip::make_address("127.77.43.1"), 18377),
      asio::redirect_error(asio::use_awaitable, error));
  for (size_t at = 0; at < bytes.size() && !error;) {
    const size_t size = std::min<size_t>(
        bytes.size() - at, 1 + random() % (random() % 2 == 0 ? 20 : 8'000));
    co_await asio::async_write(
        socket, asio::buffer(bytes.data() + at, size),
        asio::redirect_error(asio::use_awaitable, error));
    at += size;
    // Lets the server read this piece by itself.
    co_await asio::post(io, asio::use_awaitable);
  }
  boost::system::error_code ignored;  // closed by the server already
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  error = {};
  char piece[4'096];
  while (!error) {
    const size_t size = co_await socket.async_read_some(
        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    seen.answers.append(piece, size);
  }
}

}  // namespace

TEST_CASE("requests in random pieces, whole and damaged") {
  asio::io_context io;
  ByteBroker broker(io, {.budget = kBudget});
  Seen* seen = nullptr;
  CallerServer server(io,
                      {.limits =
                           [] {
                             return CallerLimits{.header_bytes = 4'096,
                                                 .body_bytes = kMaxBodyBytes,
                                                 .header_timeout_ms = 2'000,
                                                 .idle_timeout_ms = 2'000};
                           },
                       .handler = [&seen](const CallerRequest& request,
                                          ResponseWriter& response,
                                          StopToken&) -> asio::awaitable<void> {
                         seen->bodies.push_back(request.body);
                         ResponseWriter::Header header;
                         header.result(200);
                         co_await response.Send(std::move(header), "ok");
                       },
                       .broker = &broker});
  server.Listen(kAddress);
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    const std::string body = RandomBytes(random, random() % kMaxBodyBytes);
    std::string bytes = RequestBytes(random, body);
    const bool damaged = random() % 3 != 0;
    if (damaged) Damage(random, bytes);
    Seen now;
    seen = &now;
    bool done = false;
    asio::co_spawn(io, Client(io, random, bytes, now),
                   [&done](const std::exception_ptr&) { done = true; });
    while (!done || server.connections() > 0) io.run_one();
    if (!damaged) {
      REQUIRE(now.bodies.size() == 1);
      CHECK(now.bodies.front() == body);
      CHECK(now.answers.starts_with("HTTP/1.1 200 "));
    }
    CHECK((now.answers.empty() || now.answers.starts_with("HTTP/1.1 ")));
    CHECK(broker.account().held() == 0);
    CHECK(broker.account().holders() == 0);
  }
}

}  // namespace pimento
