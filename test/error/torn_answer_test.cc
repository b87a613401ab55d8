// Answers of upstreams that end at any byte, in order or with a reset: which of
// them the client takes for whole.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "src/connection_pool.h"
#include "src/errors.h"
#include "src/event_splitter.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

enum class End : uint8_t { kOrderly, kReset };

// Sends `bytes` on the first connection and ends it.
class TornUpstream {
 public:
  TornUpstream(std::string bytes, End end)
      : thread_([this, bytes, end] { Serve(bytes, end); }) {}
  ~TornUpstream() { thread_.join(); }

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  void Serve(const std::string& bytes, End end) {
    tcp::socket socket(io_);
    boost::system::error_code error;
    acceptor_.accept(socket, error);
    char request[512];
    if (!error) socket.read_some(asio::buffer(request), error);
    if (!error) asio::write(socket, asio::buffer(bytes), error);
    if (end == End::kReset)
      socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }

  asio::io_context io_;
  tcp::acceptor acceptor_{
      io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::thread thread_;
};

struct Outcome {
  bool whole = false;
  bool reusable = false;
  std::string body = {};
};

asio::awaitable<void> Exchange(tcp::endpoint endpoint, Outcome& outcome) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  PooledConnection connection(co_await asio::this_coro::executor);
  try {
    co_await connection.Connect(endpoint, std::chrono::milliseconds(1'000));
    auto request = std::make_shared<PooledConnection::Request>();
    request->prepare_payload();
    co_await connection.Send(request, deadline);
    const auto* header = co_await connection.ReadHeader(deadline);
    const bool stream = (*header)["Content-Type"] == "text/event-stream";
    EventSplitter splitter;
    for (;;) {
      const std::string piece = co_await connection.ReadSome(deadline);
      if (piece.empty()) break;
      if (!stream) outcome.body += piece;
      for (const StreamEvent& event : splitter.Feed(piece))
        if (stream) outcome.body += event.raw;
    }
    outcome.whole = !stream || !splitter.partial();
    outcome.reusable = connection.reusable();
  } catch (const TransportError&) {
    // The answer is broken: `whole` stays false.
  }
  connection.Close();
}

Outcome OutcomeOf(const std::string& bytes, End end) {
  TornUpstream upstream(bytes, end);
  asio::io_context io;
  Outcome outcome;
  asio::co_spawn(io, Exchange(upstream.endpoint(), outcome), asio::detached);
  io.run();
  return outcome;
}

const std::string kEvents = "id: 1\ndata: ab\n\nid: 2\ndata: cd\n\n";
const std::string kStreamFields = "Content-Type: text/event-stream\r\n";

}  // namespace

TEST_CASE("an answer with a length or chunks is whole at its last byte only") {
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + kStreamFields +
          "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n"
          "0\r\n\r\n"};
  for (const std::string& answer : answers) {
    for (size_t size = 0; size <= answer.size(); ++size) {
      CAPTURE(answer.substr(0, size));
      const bool all = size == answer.size();
      const auto outcome = OutcomeOf(answer.substr(0, size), End::kOrderly);
      CHECK(outcome.whole == all);
      CHECK(outcome.reusable == all);
    }
  }
}

TEST_CASE("an answer without length or chunks ends with an orderly close") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";
  const std::string answer = head + "abcd";
  for (size_t size = 0; size <= answer.size(); ++size) {
    CAPTURE(answer.substr(0, size));
    const auto outcome = OutcomeOf(answer.substr(0, size), End::kOrderly);
    CHECK(outcome.whole == (size >= head.size()));
    if (outcome.whole)
      CHECK(outcome.body == answer.substr(head.size(), size - head.size()));
    CHECK_FALSE(outcome.reusable);
    CHECK_FALSE(OutcomeOf(answer.substr(0, size), End::kReset).whole);
  }
}

TEST_CASE("a stream without length or chunks is whole at a whole event only") {
  const std::string head = "HTTP/1.1 200 OK\r\n" + kStreamFields + "\r\n";
  const std::string answer = head + kEvents;
  for (size_t size = head.size(); size <= answer.size(); ++size) {
    CAPTURE(answer.substr(0, size));
    const std::string sent = answer.substr(head.size(), size - head.size());
    const bool at_event = sent.empty() || sent.ends_with("\n\n");
    const auto outcome = OutcomeOf(answer.substr(0, size), End::kOrderly);
    CHECK(outcome.whole == at_event);
    // No part of an event that is not whole is passed on.
    const size_t last_event = sent.rfind("\n\n");
    CHECK(outcome.body == (last_event == std::string::npos
                               ? ""
                               : sent.substr(0, last_event + 2)));
    CHECK_FALSE(outcome.reusable);
    CHECK_FALSE(OutcomeOf(answer.substr(0, size), End::kReset).whole);
  }
}

}  // namespace pimento
