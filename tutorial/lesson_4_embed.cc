// Lesson 4: embed the coordination parts. Three members hold a shard; the owner
// dies; another takes over and finds every record that counted. No sockets, no
// clocks: what travels is up to the program that embeds.
#include <iostream>
#include <map>

#include "src/shard_protocol.h"

using namespace pimento;

int main() {
  const Member a{.host = "a", .boot = 1};
  const Member b{.host = "b", .boot = 1};
  const Member c{.host = "c", .boot = 1};
  const MemberList list{.since = {.major = 1, .minor = 0},
                        .members = {a, b, c}};
  std::map<Member, Replica> members;
  for (const Member& member : list.members)
    members.emplace(member, Replica(member));

  // The owner, a, writes one record. It counts once two of three hold it; here
  // c never gets it.
  const Record record{
      .key = "order/17", .epoch = list.since, .version = 1, .value = "charged"};
  AppendRound round(list);
  for (const AppendRequest& request :
       MakeAppends(7, list.since, a, list, {record}, /*replace_all=*/false,
                   /*number=*/1)) {
    if (request.target == c) continue;
    round.OnReply(request.target, members.at(request.target).Append(request),
                  list.since);
  }
  std::cout << "counted: " << round.Committed()
            << ", held by all: " << round.HeldByAll() << "\n";

  // a dies. c, which lacks the record, claims the shard at the next major
  // epoch, as the platform's conditional update granted it.
  Claim claim({.shard = 7,
               .self = c,
               .epoch = {.major = 2, .minor = 0},
               .known = list,
               .wanted = {},
               .granted_by_platform = true});
  for (const SealRequest& request : claim.TakeRequests()) {
    if (request.target == a) continue;
    claim.OnReply(request.target, members.at(request.target).Seal(request));
  }
  const bool found = claim.Sealed() && claim.records().contains("order/17");
  std::cout << "sealed: " << claim.Sealed() << ", found the record: " << found
            << "\n";
  return round.Committed() && found ? 0 : 1;
}
