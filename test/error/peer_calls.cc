#include "test/error/peer_calls.h"

#include <chrono>
#include <cstdio>
#include <utility>

#include "platform/store_client.h"
#include "src/archive_codec.h"
#include "src/archive_rpc.h"
#include "src/http_client.h"
#include "test/error/raw_peer.h"

namespace pimento {
namespace {

namespace asio = boost::asio;

constexpr size_t kRequestBytes = 4'096;
constexpr std::chrono::seconds kLimit{5};

asio::awaitable<void> RunCall(ConnectionPool& pool, std::string address,
                              const PeerCall& call, std::string& outcome) {
  try {
    co_await call(pool, std::move(address));
    outcome = "answered";
  } catch (const std::exception& e) {
    outcome = e.what();
  }
}

}  // namespace

asio::awaitable<void> CallArchive(ConnectionPool& pool, std::string address) {
  ArchiveRpc rpc(pool);
  ArchiveCall call;
  co_await rpc.Call(address, std::move(call), std::chrono::milliseconds(1'000));
}

asio::awaitable<void> ListStore(ConnectionPool& pool, std::string address) {
  platform::StoreClient store(pool, address);
  co_await store.List("things");
}

asio::awaitable<void> FetchPage(ConnectionPool& /*pool*/, std::string address) {
  HttpCall call;
  call.address = std::move(address);
  co_await Fetch(std::move(call));
}

std::string ArchiveAnswer() {
  return EncodeReply({.verdict = ArchiveVerdict::kDone, .member = 7});
}

std::string StoreAnswer() {
  return R"({"items":[],"more":false,"store_revision":3})";
}

std::vector<PeerClient> PeerClients() {
  return {{"archive", CallArchive, ArchiveAnswer()},
          {"store", ListStore, StoreAnswer()},
          {"own interface", FetchPage, "ok"}};
}

std::string Framed(const std::string& fields, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string InChunks(const std::string& trailers, const std::string& body,
                     const std::string& coding) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx", body.size());
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + size +
         "\r\n" + body + "\r\n0\r\n" + trailers + "\r\n";
}

bool IsBroken(const std::string& outcome) {
  return !outcome.empty() && outcome != "answered";
}

std::string OutcomeOf(const std::string& answer, const PeerCall& call) {
  RawPeer peer([&](RawPeer::Connection& connection) {
    connection.Read(kRequestBytes);
    connection.Write(answer);
    connection.ReadToEnd();
  });
  asio::io_context io(1);
  ConnectionPool pool(io.get_executor());
  std::string outcome;
  asio::co_spawn(io, RunCall(pool, peer.address(), call, outcome),
                 asio::detached);
  io.run_for(kLimit);
  return outcome;
}

}  // namespace pimento
