// Calls of all clients that read responses, to a peer whose answer a test
// writes.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <string>
#include <vector>

#include "src/connection_pool.h"

namespace pimento {

using PeerCall =
    std::function<boost::asio::awaitable<void>(ConnectionPool&, std::string)>;

// Calls of an archive, of the store, and of the product's own HTTP client, to
// the peer at an address. They throw unless they are answered.
boost::asio::awaitable<void> CallArchive(ConnectionPool& pool,
                                         std::string address);
boost::asio::awaitable<void> ListStore(ConnectionPool& pool,
                                       std::string address);
boost::asio::awaitable<void> FetchPage(ConnectionPool& pool,
                                       std::string address);

// Bodies that the archive and the store may answer with.
std::string ArchiveAnswer();
std::string StoreAnswer();

// A client, its call, and a body that it takes for an answer.
struct PeerClient {
  const char* name;
  PeerCall call;
  std::string body;
};
std::vector<PeerClient> PeerClients();

// An answer with `fields` and a length, and one in chunks with `trailers`.
std::string Framed(const std::string& fields, const std::string& body);
std::string InChunks(const std::string& trailers, const std::string& body,
                     const std::string& coding = "chunked");

// What comes of `call` when the peer answers with `answer`: "answered", or the
// error. The peer keeps the connection open.
std::string OutcomeOf(const std::string& answer, const PeerCall& call);
// True when `outcome` is an error.
bool IsBroken(const std::string& outcome);

}  // namespace pimento
