// Messages between hosts that name more than they hold.
#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <doctest/doctest.h>

#include <string>

#include "schema/fleet.capnp.h"
#include "src/archive_codec.h"
#include "src/errors.h"
#include "src/gateway_peers.h"

namespace {

using namespace pimento;

// A message whose list at position `list` has a million elements without size.
template <class Root>
std::string MessageWithAbsurdList(unsigned list) {
  constexpr uint32_t kAbsurdCount = 1'000'000;
  capnp::MallocMessageBuilder message;
  message.initRoot<Root>();
  auto root =
      message.getRoot<capnp::AnyPointer>().template getAs<capnp::AnyStruct>();
  root.getPointerSection()[list].initAsAnyList(capnp::ElementSize::VOID,
                                               kAbsurdCount);
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace

// 200 bytes took a million records of memory.
TEST_CASE("an archive's reply with more elements than bytes is an error") {
  for (const unsigned list : {0U, 1U}) {
    CAPTURE(list);
    CHECK_THROWS_AS(
        DecodeReply(MessageWithAbsurdList<wire::ArchiveReply>(list)),
        StateError);
  }
}

TEST_CASE("a gossip message with more entries than allowed is an error") {
  for (const unsigned list : {3U, 4U, 7U, 8U}) {
    CAPTURE(list);
    CHECK_THROWS_AS(
        DecodeGossip(MessageWithAbsurdList<wire::GatewayNews>(list)),
        StateError);
  }
}
