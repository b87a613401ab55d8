// Answers that come while the request is still being written: which of them the
// client takes for whole when the peer resets the connection, falls silent or
// ends in order.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "src/connection_pool.h"
#include "src/errors.h"
#include "test/error/raw_peer.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using Connection = RawPeer::Connection;

// Within the buffers of the kernel, beyond those of one end, beyond both.
constexpr size_t kUploadBytes[] = {20'000, 300'000, 1'048'576, 4'194'304};
constexpr size_t kLongUploadBytes = 4'194'304;
constexpr milliseconds kDeadline{8'000};
// What the peer reads before it answers.
constexpr size_t kReadBytes = 1'024;

const std::string kUnframedHead = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";

struct Options {
  size_t bytes = kLongUploadBytes;
  milliseconds deadline = kDeadline;
  // Closes the connection after this time; 0 for never.
  milliseconds close_after{0};
};

struct Outcome {
  bool whole = false;
  bool reusable = false;
  // The exchange ran into its deadline.
  bool silent = false;
  milliseconds took{};
  std::string body = {};
};

asio::awaitable<void> Upload(asio::ip::tcp::endpoint peer, Options options,
                             Outcome& outcome) {
  const auto executor = co_await asio::this_coro::executor;
  PooledConnection connection(executor);
  asio::steady_timer closing(executor, options.close_after);
  try {
    co_await connection.Connect(peer, milliseconds(1'000));
    if (options.close_after.count() > 0) {
      closing.async_wait([&connection](boost::system::error_code cancelled) {
        if (!cancelled) connection.Close();
      });
    }
    const auto deadline = steady_clock::now() + options.deadline;
    auto request =
        std::make_shared<PooledConnection::Request>(http::verb::post, "/", 11);
    request->body() = std::string(options.bytes, 'u');
    request->prepare_payload();
    co_await connection.Send(request, deadline);
    co_await connection.ReadHeader(deadline);
    for (;;) {
      const std::string piece = co_await connection.ReadSome(deadline);
      if (piece.empty()) break;
      outcome.body += piece;
    }
    outcome.whole = true;
  } catch (const TransportError& e) {
    outcome.silent = e.silent();
  }
  closing.cancel();
  outcome.reusable = connection.reusable();
  // A write that is still running ends, and must not make it reusable.
  connection.Close();
  co_await asio::post(executor, asio::use_awaitable);
  outcome.reusable = outcome.reusable || connection.reusable();
}

Outcome OutcomeOf(const RawPeer::Script& script, Options options) {
  RawPeer peer(script);
  asio::io_context io;
  Outcome outcome;
  const auto began = steady_clock::now();
  asio::co_spawn(io, Upload(peer.endpoint(), options, outcome), asio::detached);
  io.run();
  outcome.took =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - began);
  return outcome;
}

void AnswerPart(Connection& connection) {
  connection.Read(kReadBytes);
  connection.Write(kUnframedHead + "part");
}

struct Ending {
  const char* name;
  RawPeer::Script script;
};

const Ending kResets[] = {
    {"at once",
     [](Connection& connection) {
       AnswerPart(connection);
       connection.Reset();
     }},
    {"30 ms later",
     [](Connection& connection) {
       AnswerPart(connection);
       connection.Pause(30);
       connection.Reset();
     }},
    {"in two parts",
     [](Connection& connection) {
       AnswerPart(connection);
       connection.Pause(30);
       connection.Write("and more");
       connection.Reset();
     }},
    {"after events",
     [](Connection& connection) {
       connection.Read(kReadBytes);
       connection.Write(
           "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
           "id: 1\ndata: a\n\n");
       connection.Pause(30);
       connection.Reset();
     }},
    {"by a close with bytes unread",
     [](Connection& connection) {
       AnswerPart(connection);
       connection.Pause(30);
       connection.Close();
     }},
    {"with 10 kB of the upload read",
     [](Connection& connection) {
       connection.ReadAll(kUploadBytes[0] / 2);
       connection.Write(kUnframedHead + "part");
       connection.Reset();
     }},
};

}  // namespace

// The write took the socket's error, and the reader saw an orderly end.
TEST_CASE("an unframed answer that is reset during an upload is broken") {
  constexpr int kRepeats = 3;
  for (const Ending& ending : kResets) {
    CAPTURE(std::string(ending.name));
    for (const size_t bytes : kUploadBytes) {
      CAPTURE(bytes);
      for (int i = 0; i < kRepeats; ++i) {
        const auto outcome = OutcomeOf(ending.script, {.bytes = bytes});
        CHECK_FALSE(outcome.whole);
        CHECK_FALSE(outcome.reusable);
      }
    }
  }
}

TEST_CASE("an answer that ends in order before its upload is reset is broken") {
  for (const int64_t pause_ms : {0, 60}) {
    CAPTURE(pause_ms);
    const auto outcome = OutcomeOf(
        [pause_ms](Connection& connection) {
          AnswerPart(connection);
          connection.EndWriting();
          connection.Pause(pause_ms);
          connection.Reset();
        },
        {});
    CHECK_FALSE(outcome.whole);
    CHECK_FALSE(outcome.reusable);
    CHECK_FALSE(outcome.silent);
  }
}

// The window of the peer stays shut for longer than data may be unacknowledged.
TEST_CASE("an unframed answer is broken by a peer that takes no more bytes") {
  const auto outcome = OutcomeOf(
      [](Connection& connection) {
        AnswerPart(connection);
        connection.Pause(2'000);
        connection.Reset();
      },
      {});
  CHECK_FALSE(outcome.whole);
  CHECK_FALSE(outcome.reusable);
  // The connection gave up, well before the deadline.
  CHECK(outcome.took < kDeadline);
}

TEST_CASE("an unframed answer is broken by what ends its upload") {
  const auto script = [](Connection& connection) {
    AnswerPart(connection);
    connection.EndWriting();
    connection.Pause(600);
    connection.Reset();
  };
  const auto late = OutcomeOf(script, {.deadline = milliseconds(250)});
  CHECK_FALSE(late.whole);
  CHECK_FALSE(late.reusable);
  CHECK(late.silent);
  const auto closed = OutcomeOf(script, {.close_after = milliseconds(250)});
  CHECK_FALSE(closed.whole);
  CHECK_FALSE(closed.reusable);
}

TEST_CASE("an answer with a length is whole before its upload has ended") {
  for (const size_t bytes : kUploadBytes) {
    CAPTURE(bytes);
    for (const bool reset : {false, true}) {
      CAPTURE(reset);
      const auto outcome = OutcomeOf(
          [reset](Connection& connection) {
            const std::string head =
                "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
            connection.Read(kReadBytes);
            // In one piece: a reset takes back what the kernel still holds.
            if (reset) {
              connection.Write(head + "fourfour");
              return connection.Reset();
            }
            connection.Write(head + "four");
            connection.Pause(30);
            connection.Write("four");
            connection.ReadToEnd();
          },
          {.bytes = bytes});
      CHECK(outcome.whole);
      CHECK(outcome.body == "fourfour");
      // A connection whose request was not written whole carries no other.
      if (bytes == kLongUploadBytes) CHECK_FALSE(outcome.reusable);
    }
  }
}

TEST_CASE("an answer with a length that is cut during an upload is broken") {
  for (const size_t bytes : kUploadBytes) {
    CAPTURE(bytes);
    const auto outcome = OutcomeOf(
        [](Connection& connection) {
          connection.Read(kReadBytes);
          connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nfour");
          connection.Reset();
        },
        {.bytes = bytes});
    CHECK_FALSE(outcome.whole);
  }
}

TEST_CASE("an orderly end is whole while the peer reads the upload on") {
  for (const size_t bytes : kUploadBytes) {
    CAPTURE(bytes);
    const auto outcome = OutcomeOf(
        [](Connection& connection) {
          AnswerPart(connection);
          connection.Pause(30);
          connection.Write("and more");
          connection.EndWriting();
          connection.Pause(100);
          connection.ReadToEnd();
        },
        {.bytes = bytes});
    CHECK(outcome.whole);
    CHECK(outcome.body == "partand more");
    CHECK_FALSE(outcome.reusable);
  }
}

TEST_CASE("an unframed answer after its upload is whole") {
  for (const size_t bytes : kUploadBytes) {
    CAPTURE(bytes);
    const auto outcome = OutcomeOf(
        [bytes](Connection& connection) {
          connection.ReadAll(bytes);
          connection.Write(kUnframedHead + "whole");
          connection.EndWriting();
          connection.ReadToEnd();
        },
        {.bytes = bytes});
    CHECK(outcome.whole);
    CHECK(outcome.body == "whole");
    CHECK_FALSE(outcome.reusable);
  }
}

}  // namespace pimento
