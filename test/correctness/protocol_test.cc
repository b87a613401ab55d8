// Liveness of the shard protocol: claims, handovers and appends complete when
// the messages to live members arrive. test/fuzz checks its safety.
#include <doctest/doctest.h>

#include "src/shard_protocol.h"

namespace pimento {
namespace {

Member Host(const std::string& name) { return {.host = name, .boot = 1}; }

// Three members; A is the owner at epoch 1.0 and B the standby.
struct Trio {
  std::map<std::string, Replica> replicas;
  MemberList list{.since = {.major = 1, .minor = 0},
                  .members = {Host("A"), Host("B"), Host("C")}};

  Trio() {
    for (const Member& member : list.members) {
      replicas.emplace(member.host, Replica(member));
    }
    for (const AppendRequest& request :
         MakeAppends(0, list.since, Host("A"), list, {}, true, 0)) {
      replicas.at(request.target.host).Append(request);
    }
  }

  // Delivers every request of `claim` except those to the host `down`.
  void Deliver(Claim& claim, const std::string& down = "") {
    for (std::vector<SealRequest> requests = claim.TakeRequests();
         !requests.empty(); requests = claim.TakeRequests()) {
      for (const SealRequest& request : requests) {
        if (request.target.host == down) continue;
        claim.OnReply(request.target,
                      replicas.at(request.target.host).Seal(request));
      }
    }
  }

  Claim MakeClaim(const std::string& host, Epoch epoch,
                  bool by_platform) const {
    return Claim({.shard = 0,
                  .self = Host(host),
                  .epoch = epoch,
                  .known = list,
                  .wanted = {},
                  .granted_by_platform = by_platform});
  }
};

}  // namespace

TEST_CASE("a hand-over by consent to any member succeeds") {
  for (const char* to : {"B", "C"}) {
    Trio trio;
    trio.replicas.at("A").ConsentTo(Host(to));
    Claim claim = trio.MakeClaim(to, {.major = 1, .minor = 1}, false);
    trio.Deliver(claim);
    CHECK(claim.Sealed());
    CHECK_FALSE(claim.Lost());
  }
}

TEST_CASE("without the platform only the standby succeeds a lost owner") {
  Trio trio;
  Claim third = trio.MakeClaim("C", {.major = 1, .minor = 1}, false);
  trio.Deliver(third, "A");
  CHECK_FALSE(third.Sealed());
  Trio other;
  Claim standby = other.MakeClaim("B", {.major = 1, .minor = 1}, false);
  other.Deliver(standby, "A");
  CHECK(standby.Sealed());
}

TEST_CASE("a new owner is first in its list and another member the standby") {
  Trio trio;
  Claim claim = trio.MakeClaim("B", {.major = 2, .minor = 0}, true);
  trio.Deliver(claim, "A");
  REQUIRE(claim.Sealed());
  CHECK(claim.NewList().members ==
        std::vector<Member>{Host("B"), Host("A"), Host("C")});
}

TEST_CASE("a claim finds a record that only one sealed member holds") {
  Trio trio;
  const Record record{.key = "k",
                      .epoch = {.major = 1, .minor = 0},
                      .version = 1,
                      .value = "v"};
  for (const AppendRequest& request : MakeAppends(
           0, trio.list.since, Host("A"), trio.list, {record}, false, 1)) {
    if (request.target.host != "C")
      trio.replicas.at(request.target.host).Append(request);
  }
  Claim claim = trio.MakeClaim("C", {.major = 2, .minor = 0}, true);
  trio.Deliver(claim, "A");
  REQUIRE(claim.Sealed());
  CHECK(claim.records().contains("k"));
}

TEST_CASE("an owner that was superseded is fenced") {
  Trio trio;
  Claim claim = trio.MakeClaim("B", {.major = 2, .minor = 0}, true);
  trio.Deliver(claim, "A");
  AppendRound round(trio.list);
  for (const AppendRequest& request :
       MakeAppends(0, trio.list.since, Host("A"), trio.list, {}, false, 1)) {
    round.OnReply(request.target,
                  trio.replicas.at(request.target.host).Append(request),
                  trio.list.since);
  }
  CHECK(round.Fenced());
  CHECK_FALSE(round.Committed());
}

TEST_CASE("a full copy that arrives late deletes no newer record") {
  Trio trio;
  const Record record{.key = "k",
                      .epoch = {.major = 1, .minor = 0},
                      .version = 1,
                      .value = "v"};
  const auto late =
      MakeAppends(0, trio.list.since, Host("A"), trio.list, {}, true, 0);
  const auto append =
      MakeAppends(0, trio.list.since, Host("A"), trio.list, {record}, false, 1);
  Replica& replica = trio.replicas.at("B");
  CHECK(replica.Append(append[1]).accepted);
  CHECK(replica.Append(late[1]).accepted);
  CHECK(replica.records().contains("k"));
}

}  // namespace pimento
