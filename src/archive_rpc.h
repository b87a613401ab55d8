// Calls to hosts of the archive, over connections that are kept.
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

  // Throws TransportError when there is no reply within `limit`.
  boost::asio::awaitable<ArchiveReply> Call(std::string address,
                                            ArchiveCall call,
                                            std::chrono::milliseconds limit);

 private:
  ConnectionPool& pool_;
};

}  // namespace pimento
