// What tests of the archive share: links to its members, its answers to calls,
// and a conversation of turns.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/lib/platform_fleet.h"
#include "src/archive_codec.h"
#include "src/member_list.h"

namespace pimento::testbed {

// Team of the requests of PlatformFleet::TurnRequest().
inline constexpr const char* kTeam = "quilters";

// The member list in the store.
MemberList StoredMembers(PlatformFleet& fleet);

// Links to the archives, for gateways and for other archives.
using Links = std::map<std::string, std::unique_ptr<FaultProxy>>;
// Puts a proxy before each member of the list in the store.
Links PutLinks(PlatformFleet& fleet);

// What an archive answers to `body`; empty when it does not.
std::optional<ArchiveReply> Ask(PlatformFleet& fleet, const std::string& host,
                                const decltype(ArchiveCall::body)& body);

// A conversation of `program` that keeps the ids of its turns that were
// answered whole.
class Conversation {
 public:
  Conversation(PlatformFleet& fleet, std::string program)
      : fleet_(fleet), program_(std::move(program)) {}
  // Sends the next turn until it is answered, for a few seconds.
  bool GoOn();
  // Sends a turn that continues `previous` until it is answered, for a few
  // seconds. Returns its id, or nothing.
  std::string Continue(const std::string& previous);
  const std::vector<std::string>& turns() const { return turns_; }

 private:
  PlatformFleet& fleet_;
  std::string program_;
  std::vector<std::string> turns_;
  int sent_ = 0;
};

}  // namespace pimento::testbed
