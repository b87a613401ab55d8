// Definition of RpcLoop::Context, for the files that use the RPC library.
#pragma once

#include <kj/async-io.h>

#include "src/rpc_loop.h"

namespace pimento {

struct RpcLoop::Context {
  // Set while the loop's thread runs.
  kj::AsyncIoContext* io = nullptr;
};

}  // namespace pimento
