// Calls to archive hosts: HTTP POST requests over pooled connections.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

#include "src/archive_codec.h"
#include "src/connection_pool.h"

namespace pimento {

class ArchiveRpc {
 public:
  explicit ArchiveRpc(ConnectionPool& pool) : pool_(pool) {}

  // Sends `call` to the archive host at `address` ("IP:port"). Throws
  // TransportError when there is no valid reply within `timeout`.
  boost::asio::awaitable<ArchiveReply> Call(std::string address,
                                            ArchiveCall call,
                                            std::chrono::milliseconds timeout);

 private:
  ConnectionPool& pool_;
};

}  // namespace pimento
