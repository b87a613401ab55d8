// Tests of membership, placement, answer streams, documents and reasons.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "src/answer_stream.h"
#include "src/document.h"
#include "src/errors.h"
#include "src/membership.h"
#include "src/placement.h"
#include "src/reason.h"

namespace pimento {
namespace {

HostInfo Info(const std::string& host, uint64_t boot = 1) {
  HostInfo info;
  info.host = host;
  info.zone = "z1";
  info.rpc_address = host + ":1";
  info.boot = boot;
  return info;
}

// Hosts of which each knows only the first. Messages between them are not lost.
std::vector<Membership> Fleet(size_t count) {
  std::vector<Membership> fleet;
  for (size_t i = 0; i < count; ++i) {
    fleet.emplace_back(Info("h" + std::to_string(i)), MembershipOptions{}, i);
    if (i > 0) fleet.back().Seed("h0", "h0:1", 0);
  }
  return fleet;
}

// Every host that is not in `down` probes one other host.
void Round(std::vector<Membership>& fleet, const std::set<std::string>& down,
           int64_t now_ms) {
  for (Membership& host : fleet) {
    if (down.contains(host.self().host)) continue;
    host.Tick(now_ms);
    const std::optional<HostInfo> target = host.NextProbe();
    if (!target) continue;
    if (down.contains(target->host)) {
      host.ProbeFailed(target->host, now_ms);
      continue;
    }
    Membership& other = fleet[std::stoul(target->host.substr(1))];
    other.ApplyGossip(host.NextGossip(), now_ms);
    host.ApplyGossip(other.NextGossip(), now_ms);
  }
}

size_t CountState(const Membership& host, HostState state) {
  size_t count = 0;
  for (const HostGossip& entry : host.All())
    count += entry.state == state ? 1 : 0;
  return count;
}

std::vector<Candidate> Candidates(int per_zone) {
  std::vector<Candidate> all;
  for (const char* zone : {"a", "b", "c"}) {
    for (int i = 0; i < per_zone; ++i) {
      all.push_back({.member = {.host = zone + std::to_string(i), .boot = 1},
                     .zone = zone});
    }
  }
  return all;
}

const std::string kDocument = R"([environment]
name = trial
shards = 4
[team quilters]
rate = 20/s
burst = 5
services = chat
[service chat]
kind = engine
[zone z1]
[upstream e1]
service = chat
address = 127.0.0.1:9000
zone = z1
)";

}  // namespace

TEST_CASE("gossip about every host reaches every other host") {
  std::vector<Membership> fleet = Fleet(24);
  for (int i = 0; i < 40; ++i) Round(fleet, {}, i * 200);
  for (const Membership& host : fleet) {
    CHECK(CountState(host, HostState::kAlive) == 24);
  }
}

TEST_CASE("every host declares an unresponsive host dead") {
  std::vector<Membership> fleet = Fleet(8);
  for (int i = 0; i < 20; ++i) Round(fleet, {}, i * 200);
  for (int i = 20; i < 60; ++i) Round(fleet, {"h3"}, i * 200);
  for (const Membership& host : fleet) {
    if (host.self().host == "h3") continue;
    CHECK(CountState(host, HostState::kDead) == 1);
  }
}

TEST_CASE("a host that is alive refutes a suspicion") {
  std::vector<Membership> fleet = Fleet(3);
  for (int i = 0; i < 10; ++i) Round(fleet, {}, i * 200);
  fleet[0].ProbeFailed("h2", 2'000);
  CHECK(CountState(fleet[0], HostState::kSuspect) == 1);
  for (int i = 10; i < 16; ++i) Round(fleet, {}, i * 200);
  CHECK(CountState(fleet[0], HostState::kAlive) == 3);
}

TEST_CASE("a later run of a host replaces an earlier one, dead or not") {
  Membership host(Info("h0"), MembershipOptions{}, 1);
  host.ApplyGossip({{.info = Info("h1", 5), .state = HostState::kDead}}, 0);
  host.ApplyGossip({{.info = Info("h1", 4), .state = HostState::kAlive}}, 0);
  CHECK(CountState(host, HostState::kDead) == 1);
  host.ApplyGossip({{.info = Info("h1", 6), .state = HostState::kAlive}}, 0);
  CHECK(CountState(host, HostState::kAlive) == 2);
}

TEST_CASE("members of a shard are in different zones") {
  for (uint32_t shard = 0; shard < 200; ++shard) {
    std::set<char> zones;
    for (const Member& member : ProposeMembers(shard, Candidates(4))) {
      zones.insert(member.host.front());
    }
    REQUIRE(zones.size() == 3);
  }
}

TEST_CASE("a lost host moves only its own shards") {
  std::vector<Candidate> before = Candidates(4);
  std::vector<Candidate> after = before;
  after.erase(after.begin() + 5);
  const std::string lost = before[5].member.host;
  for (uint32_t shard = 0; shard < 200; ++shard) {
    const auto was = ProposeMembers(shard, before);
    if (std::any_of(was.begin(), was.end(),
                    [&](const Member& m) { return m.host == lost; })) {
      continue;
    }
    REQUIRE(ProposeMembers(shard, after) == was);
  }
}

TEST_CASE("a caller gets each byte once, in order") {
  AnswerStream stream(0, 0);
  CHECK(stream.AddPiece(1, 0, "ab").text == "ab");
  CHECK(stream.AddPiece(1, 1, "bc").text == "c");
  CHECK(stream.AddPiece(1, 0, "ab").text.empty());
  CHECK(stream.AddPiece(1, 9, "late").text.empty());
  CHECK(stream.Finish(1, "abcdef").text == "def");
}

TEST_CASE(
    "a new attempt restarts the answer and output of older attempts is "
    "ignored") {
  AnswerStream stream(0, 0);
  stream.AddPiece(1, 0, "old");
  const AnswerStream::Output output = stream.AddPiece(2, 0, "new");
  CHECK(output.restart);
  CHECK(output.text == "new");
  CHECK(stream.AddPiece(1, 3, "old again").text.empty());
  CHECK(stream.Finish(2, "new text").text == " text");
}

TEST_CASE("a valid document is parsed completely") {
  const Document document = Document::Parse(kDocument, "d.ini");
  CHECK(document.teams.at("quilters").rate.per_second == 20);
  CHECK(document.upstreams.at("e1").zone == "z1");
  CHECK(document.Usable(document.upstreams.at("e1")));
}

TEST_CASE("a zone is drained and returned to service by changing one setting") {
  const std::string out = WithSetting(kDocument, "zone z1", "drained", "true");
  const Document drained = Document::Parse(out, "d.ini");
  CHECK(drained.drained_zones.contains("z1"));
  CHECK_FALSE(drained.Usable(drained.upstreams.at("e1")));
  const std::string back = WithSetting(out, "zone z1", "drained", "false");
  CHECK(Document::Parse(back, "d.ini").drained_zones.empty());
}

TEST_CASE("a key is found by its digest only") {
  std::string text = kDocument;
  text.replace(text.find("services = chat"), 0,
               "keys = " + KeyDigest("secret") + "\n");
  const Document document = Document::Parse(text, "d.ini");
  CHECK(document.TeamOfDigest(KeyDigest("secret"))->name == "quilters");
  CHECK(document.TeamOfDigest(KeyDigest("Secret")) == nullptr);
  CHECK(document.TeamOfDigest("secret") == nullptr);
}

TEST_CASE("every reason has a unique name and an HTTP error status") {
  std::set<std::string_view> names;
  for (size_t i = 1; i < static_cast<size_t>(Reason::kCount); ++i) {
    const auto reason = static_cast<Reason>(i);
    names.insert(Name(reason));
    CHECK(HttpStatus(reason) >= 400);
    CHECK(ReasonFromName(Name(reason)) == reason);
  }
  CHECK(names.size() == static_cast<size_t>(Reason::kCount) - 1);
}

}  // namespace pimento
