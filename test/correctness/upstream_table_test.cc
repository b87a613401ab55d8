// Upstream selection: prompt caching, load, failures, cold starts, zones and
// restarts.
#include "src/upstream_table.h"

#include <doctest/doctest.h>

namespace {

using namespace pimento;

UpstreamEntry Entry(const std::string& id, const std::string& zone = "a") {
  return {.id = id,
          .service = "talk",
          .address = "10.0.0.1:80",
          .zone = zone,
          .slots = 4,
          .started_at_ms = 1};
}

DesiredState StateWith(double cold_per_second) {
  DesiredState::Parts parts;
  parts.services.push_back({.name = "talk",
                            .cold_per_second = cold_per_second,
                            .tokens_per_event = 12});
  return DesiredState(std::move(parts));
}

PlacementInput Input(const std::vector<PromptPart>* prompt = nullptr) {
  return {.service = "talk",
          .prompt = prompt,
          .output_tokens = 240,
          .tokens_per_event = 12};
}

UpstreamTable TableOf(const std::vector<UpstreamEntry>& entries) {
  UpstreamTable table({.zone = "a"});
  for (const auto& entry : entries) table.Put(entry, 0);
  return table;
}

}  // namespace

TEST_CASE("leaving, misdirected and drained upstreams get no calls") {
  auto table = TableOf({Entry("one"), Entry("two", "b")});
  UpstreamEntry leaving = Entry("one");
  leaving.leaving = true;
  CHECK(table.Put(leaving, 0));
  CHECK(table.Choose(Input(), 0).upstream.id == "two");
  table.set_drained_zones({"b"});
  CHECK(table.Choose(Input(), 0).verdict == UpstreamTable::Verdict::kNone);
  table.set_drained_zones({});
  table.OnMisdirected("two");
  CHECK(table.Choose(Input(), 0).verdict == UpstreamTable::Verdict::kNone);
  CHECK(table.Remove("two"));
  CHECK_FALSE(table.Remove("two"));
}

TEST_CASE("an upstream that may turn cold never gets more than its cold rate") {
  // 52 * 1.5 + 5 = 83 calls a second, 13 for each of 6 gateways.
  auto table = TableOf({Entry("one")});
  table.set_services(StateWith(52));
  table.set_gateway_count(6);
  int sent = 0;
  for (int64_t now = 0; now < 1'000; ++now) {
    if (table.Choose(Input(), now).verdict != UpstreamTable::Verdict::kChosen)
      continue;
    table.OnCallStarted("one", Input(), now);
    table.OnCallFinished("one", {.duration_ms = 1, .events = 1}, now);
    ++sent;
  }
  CHECK(sent == 13);
  CHECK(table.Choose(Input(), 999).verdict == UpstreamTable::Verdict::kFull);
  CHECK(table.Choose(Input(), 1'001).verdict ==
        UpstreamTable::Verdict::kChosen);
}

TEST_CASE("79 gateways together do not exceed the rate of a cold upstream") {
  // 24 * 1.5 + 5 = 41 calls a second, less than one for each gateway.
  constexpr int64_t kGateways = 79;
  std::map<std::string, int> sent;
  int min_upstreams = 1'000;
  for (int64_t gateway = 0; gateway < kGateways; ++gateway) {
    std::vector<UpstreamEntry> entries;
    for (int i = 0; i < 20; ++i)
      entries.push_back(Entry("u" + std::to_string(i)));
    auto table = TableOf(entries);
    table.set_services(StateWith(24));
    table.set_gateway_count(kGateways);
    table.set_gateway_index(gateway);
    std::set<std::string> used;
    for (int64_t now = 0; now < 1'000; ++now) {
      const auto choice = table.Choose(Input(), now);
      if (choice.verdict != UpstreamTable::Verdict::kChosen) continue;
      const std::string id = choice.upstream.id;
      table.OnCallStarted(id, Input(), now);
      table.OnCallFinished(id, {.duration_ms = 1, .events = 1}, now);
      ++sent[id];
      used.insert(id);
    }
    min_upstreams = std::min(min_upstreams, static_cast<int>(used.size()));
  }
  for (const auto& [id, count] : sent) {
    CAPTURE(id);
    CHECK(count <= 41);
  }
  CHECK(sent.size() == 20);
  CHECK(min_upstreams >= 3);
}

TEST_CASE("the only upstream of a service serves every gateway") {
  auto table = TableOf({Entry("one")});
  table.set_services(StateWith(24));
  table.set_gateway_count(79);
  for (int64_t gateway = 0; gateway < 79; ++gateway) {
    table.set_gateway_index(gateway);
    CHECK(table.Choose(Input(), 0).verdict == UpstreamTable::Verdict::kChosen);
  }
}

TEST_CASE("a turn goes where its prompt is cached, until load costs more") {
  auto table = TableOf({Entry("one"), Entry("two")});
  const std::vector<PromptPart> prompt = {{1, 512}, {2, 3'000}, {3, 20}};
  table.OnCallStarted("two", Input(&prompt), 0);
  table.OnCallFinished("two", {.duration_ms = 600, .events = 20}, 600);
  table.OnCallStarted("one", Input(), 0);
  table.OnCallFinished("one", {.duration_ms = 600, .events = 20}, 600);
  CHECK(table.Choose(Input(&prompt), 700).upstream.id == "two");
  for (int i = 0; i < 4; ++i) table.OnCallStarted("two", Input(), 700);
  CHECK(table.Choose(Input(&prompt), 700).upstream.id == "one");
}

TEST_CASE("calls of other gateways count as load") {
  auto table = TableOf({Entry("one"), Entry("two")});
  table.set_peer_load({{HashName("one"), {.in_flight = 4}}});
  CHECK(table.Choose(Input(), 0).upstream.id == "two");
  table.set_peer_load({{HashName("one"), {.in_flight = 4}},
                       {HashName("two"), {.in_flight = 4}}});
  CHECK(table.Choose(Input(), 0).verdict == UpstreamTable::Verdict::kFull);
}

TEST_CASE("a failing upstream is avoided unless no other one is left") {
  auto table = TableOf({Entry("one"), Entry("two")});
  for (int i = 0; i < 3; ++i) {
    table.OnCallStarted("one", Input(), 0);
    table.OnCallFinished("one", {.outcome = CallOutcome::kFailed}, 0);
  }
  CHECK(table.Choose(Input(), 1).upstream.id == "two");
  auto input = Input();
  input.tried = {"two"};
  // When no other upstream is left, it is used during its backoff.
  CHECK(table.Choose(input, 1).upstream.id == "one");
}

TEST_CASE("the faster of two upstreams is preferred") {
  auto table = TableOf({Entry("one"), Entry("two")});
  for (int i = 0; i < 10; ++i) {
    table.OnCallStarted("one", Input(), 0);
    table.OnCallFinished("one", {.duration_ms = 3'000, .events = 20}, 0);
    table.OnCallStarted("two", Input(), 0);
    table.OnCallFinished("two", {.duration_ms = 600, .events = 20}, 0);
  }
  CHECK(table.Choose(Input(), 1).upstream.id == "two");
}

TEST_CASE(
    "an upstream that restarts under the same id has an empty prompt cache") {
  auto table = TableOf({Entry("one"), Entry("two")});
  const std::vector<PromptPart> prompt = {{1, 4'000}, {2, 10}};
  table.OnCallStarted("two", Input(&prompt), 0);
  table.OnCallFinished("two", {.outcome = CallOutcome::kAbandoned}, 0);
  CHECK(table.Choose(Input(&prompt), 0).upstream.id == "two");
  UpstreamEntry restarted = Entry("two");
  restarted.started_at_ms = 2;
  CHECK(table.Put(restarted, 0));
  CHECK(table.Choose(Input(&prompt), 0).upstream.id == "one");
  CHECK_FALSE(table.Put(restarted, 0));
}

TEST_CASE("an upstream whose response says it is leaving gets no more calls") {
  auto table = TableOf({Entry("one"), Entry("two")});
  CHECK(table.MayReceive(Entry("one")));
  CHECK(table.OnLeavingStated(Entry("one")));
  CHECK_FALSE(table.OnLeavingStated(Entry("one")));
  CHECK_FALSE(table.MayReceive(Entry("one")));
  CHECK(table.usable("talk") == 1);
  CHECK(table.Choose(Input(), 0).upstream.id == "two");
  // Its entry is written again, or is away for a while: the same process.
  table.Put(Entry("one"), 0);
  CHECK_FALSE(table.MayReceive(Entry("one")));
  table.Remove("one");
  table.SweepLeaving(1);
  table.SweepLeaving(1 + 599'000);
  table.Put(Entry("one"), 0);
  CHECK_FALSE(table.MayReceive(Entry("one")));
  // All upstreams of the service leave at once.
  table.OnLeavingStated(Entry("two"));
  CHECK(table.Choose(Input(), 0).verdict == UpstreamTable::Verdict::kNone);
  // A new process under the same id.
  UpstreamEntry restarted = Entry("one");
  restarted.started_at_ms = 2;
  table.Put(restarted, 0);
  CHECK(table.MayReceive(restarted));
  CHECK_FALSE(table.MayReceive(Entry("one")));
  CHECK(table.Choose(Input(), 0).upstream.id == "one");
}

TEST_CASE("a process that is long gone is forgotten, one that serves is not") {
  auto table = TableOf({Entry("one"), Entry("two")});
  table.OnLeavingStated(Entry("one"));
  table.OnLeavingStated(Entry("two"));
  table.Remove("two");
  table.SweepLeaving(1);
  table.SweepLeaving(1 + 600'000);
  table.Put(Entry("two"), 0);
  CHECK(table.MayReceive(Entry("two")));
  CHECK_FALSE(table.MayReceive(Entry("one")));
}

TEST_CASE("peers learn which upstreams said that they are leaving") {
  auto told = TableOf({Entry("one"), Entry("two")});
  auto peer = TableOf({Entry("one"), Entry("two")});
  CHECK(told.LeavingToReport().empty());
  told.OnLeavingStated(Entry("one"));
  const auto reported = told.LeavingToReport();
  REQUIRE(reported.size() == 1);
  CHECK(peer.OnPeerReportsLeaving(reported.front()) == "one");
  CHECK(peer.OnPeerReportsLeaving(reported.front()).empty());
  CHECK(peer.OnPeerReportsLeaving(reported.front() + 1).empty());
  CHECK_FALSE(peer.MayReceive(Entry("one")));
  // Only what an upstream said to the gateway itself is passed on, and only
  // until its entry says it too.
  CHECK(peer.LeavingToReport().empty());
  UpstreamEntry leaving = Entry("one");
  leaving.leaving = true;
  told.Put(leaving, 0);
  CHECK(told.LeavingToReport().empty());
}
