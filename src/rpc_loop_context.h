// The RPC library's side of RpcLoop, for the files that speak to it.
#pragma once

#include <kj/async-io.h>

#include "src/rpc_loop.h"

namespace pimento {

struct RpcLoop::Context {
  kj::AsyncIoContext* io = nullptr;
};

}  // namespace pimento
