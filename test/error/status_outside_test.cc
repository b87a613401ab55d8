// Answers of archives, of the store and of services of the product's own
// interface whose status is outside the protocol.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <functional>
#include <string>
#include <thread>

#include "platform/store_client.h"
#include "src/archive_codec.h"
#include "src/archive_rpc.h"
#include "src/connection_pool.h"
#include "src/errors.h"
#include "src/http_client.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// What a peer that answers the one request it gets with `status` and `body`
// makes of `call`: "answered", or the error.
std::string OutcomeOf(
    const std::string& status, const std::string& body,
    const std::function<asio::awaitable<void>(ConnectionPool&, std::string)>&
        call) {
  asio::io_context peer_io;
  tcp::acceptor acceptor(
      peer_io, tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
  std::thread peer([&] {
    tcp::socket socket(peer_io);
    acceptor.accept(socket);
    char bytes[4096];
    boost::system::error_code error;
    socket.read_some(asio::buffer(bytes), error);
    asio::write(socket,
                asio::buffer("HTTP/1.1 " + status + "\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body),
                error);
    // Until the other side closes.
    while (!error) socket.read_some(asio::buffer(bytes), error);
  });
  std::string outcome;
  {
    asio::io_context io(1);
    ConnectionPool pool(io.get_executor());
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          try {
            co_await call(pool, address);
            outcome = "answered";
          } catch (const std::exception& e) {
            outcome = e.what();
          }
        },
        asio::detached);
    io.run_for(std::chrono::seconds(5));
  }
  peer.join();
  return outcome;
}

asio::awaitable<void> CallArchive(ConnectionPool& pool, std::string address) {
  ArchiveRpc rpc(pool);
  ArchiveCall call;
  co_await rpc.Call(address, std::move(call), std::chrono::milliseconds(1'000));
}

asio::awaitable<void> ListStore(ConnectionPool& pool, std::string address) {
  platform::StoreClient store(pool, address);
  co_await store.List("things");
}

asio::awaitable<void> FetchPage(ConnectionPool&, std::string address) {
  HttpCall call;
  call.method = "GET";
  call.address = address;
  call.target = "/";
  co_await Fetch(std::move(call));
}

const std::string kStatuses[] = {"000 Zero", "00 Short", "099 Low",
                                 "600 High", "999 Top",  "+20 Signed",
                                 "20 Short", "200OK"};

}  // namespace

TEST_CASE("archives, store and services cannot answer outside the protocol") {
  const std::string reply =
      EncodeReply({.verdict = ArchiveVerdict::kDone, .member = 7});
  const std::string list = R"({"items":[],"more":false,"store_revision":3})";
  CHECK(OutcomeOf("200 OK", reply, CallArchive) == "answered");
  CHECK(OutcomeOf("200 OK", list, ListStore) == "answered");
  CHECK(OutcomeOf("200 OK", "ok", FetchPage) == "answered");
  for (const std::string& status : kStatuses) {
    CAPTURE(status);
    CHECK(OutcomeOf(status, reply, CallArchive) != "answered");
    CHECK(OutcomeOf(status, list, ListStore) != "answered");
    CHECK(OutcomeOf(status, "ok", FetchPage) != "answered");
  }
}

}  // namespace pimento
