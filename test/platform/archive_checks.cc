#include "test/platform/archive_checks.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <thread>

#include "src/archive_rpc.h"
#include "src/errors.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr const char* kListKind = "pimento-members";
constexpr const char* kListName = "main";

}  // namespace

MemberList StoredMembers(PlatformFleet& fleet) {
  const json::value object = json::parse(fleet.Object(kListKind, kListName));
  return DecodeMemberList(std::string(object.at("spec").as_string()));
}

Links PutLinks(PlatformFleet& fleet) {
  constexpr const char* kLinkPort = ":19000";
  MemberList list = StoredMembers(fleet);
  Links links;
  for (ArchiveMember& member : list.members) {
    const std::string address = fleet.Listening(member.host).front();
    const std::string link = address.substr(0, address.find(':')) + kLinkPort;
    links[member.host] = std::make_unique<FaultProxy>(link, address);
    member.address = link;
  }
  ++list.version;
  fleet.PutObject(kListKind, kListName,
                  json::serialize(json::value(EncodeMemberList(list))));
  return links;
}

std::optional<ArchiveReply> Ask(PlatformFleet& fleet, const std::string& host,
                                const decltype(ArchiveCall::body)& body) {
  asio::io_context io;
  ConnectionPool pool(io.get_executor());
  ArchiveRpc rpc(pool);
  ArchiveCall call;
  call.list_version = uint64_t{1} << 40U;
  call.body = body;
  const std::string address = fleet.Listening(host).front();
  std::optional<ArchiveReply> reply;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        try {
          reply = co_await rpc.Call(address, call, milliseconds(500));
        } catch (const TransportError&) {
          // Asked again by the caller.
        }
      },
      asio::detached);
  io.run();
  return reply;
}

std::string Conversation::Continue(const std::string& previous) {
  constexpr int kMaxTries = 40;
  for (int i = 0; i < kMaxTries; ++i) {
    const std::string id = program_ + "-t" + std::to_string(++sent_);
    const auto answer =
        fleet_.Call(0, fleet_.TurnRequest(id, program_, previous, "x"));
    if (answer.status == 200 && answer.complete) return id;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return "";
}

bool Conversation::GoOn() {
  const std::string id = Continue(turns_.empty() ? "" : turns_.back());
  if (!id.empty()) turns_.push_back(id);
  return !id.empty();
}

}  // namespace pimento::testbed
