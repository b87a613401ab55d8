#include "src/archive_rpc.h"

#include <utility>

#include "src/errors.h"
#include "src/loop_clock.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr milliseconds kIdleTimeout{8'000};
constexpr size_t kMaxReplyBytes = 16 * 1024 * 1024;

}  // namespace

asio::awaitable<ArchiveReply> ArchiveRpc::Call(std::string address,
                                               ArchiveCall call,
                                               milliseconds timeout) {
  const auto executor = co_await asio::this_coro::executor;
  const PeerTime deadline = LoopClock::Of(executor).Now() + timeout;
  auto request = std::make_shared<PooledConnection::Request>(http::verb::post,
                                                             "/archive", 11);
  request->set(http::field::host, address);
  request->body() = EncodeCall(call);
  request->prepare_payload();
  auto connection = co_await pool_.Acquire(address, timeout);
  const SilenceTimer silence(executor, deadline,
                             [&connection] { connection->Close(); });
  int status = 0;
  std::string body;
  try {
    co_await connection->Send(request, kNoDeadline);
    const auto* header = co_await connection->ReadHeader(kNoDeadline);
    status = static_cast<int>(header->result_int());
    body = co_await connection->ReadRemainingBody(kNoDeadline, kMaxReplyBytes);
  } catch (const TransportError& e) {
    if (!silence.fired()) throw;
    throw TransportError("The archive at " + address + " is silent.", true,
                         true);
  }
  pool_.Release(std::move(connection), kIdleTimeout);
  if (status != 200)
    throw TransportError("The archive at " + address + " replied with status " +
                         std::to_string(status) + ".");
  try {
    co_return DecodeReply(body);
  } catch (const StateError& e) {
    throw TransportError(e.what());
  }
}

}  // namespace pimento
