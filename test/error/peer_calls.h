// Calls of all clients that read responses, to a peer whose answer a test
// writes.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <string>

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

// What comes of `call` when the peer answers with `answer`: "answered", or the
// error. The peer keeps the connection open.
std::string OutcomeOf(const std::string& answer, const PeerCall& call);

}  // namespace pimento
