// Where calls go: prompts, load, failures, cold starts, zones and reuse.
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
          .born_ms = 1};
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

TEST_CASE("nothing goes to what leaves, is gone, or lies in a drained zone") {
  auto table = TableOf({Entry("one"), Entry("two", "b")});
  UpstreamEntry leaving = Entry("one");
  leaving.leaving = true;
  CHECK(table.Put(leaving, 0));
  CHECK(table.Choose(Input(), 0).upstream.id == "two");
  table.set_drained_zones({"b"});
  CHECK(table.Choose(Input(), 0).verdict == UpstreamTable::Verdict::kNone);
  table.set_drained_zones({});
  table.Misdirected("two");
  CHECK(table.Choose(Input(), 0).verdict == UpstreamTable::Verdict::kNone);
  CHECK(table.Remove("two"));
  CHECK_FALSE(table.Remove("two"));
}

TEST_CASE("an upstream that may turn cold gets no more than it bears, ever") {
  // 52 a second, half as much again and 5: 83, over 6 gateways 13 each.
  auto table = TableOf({Entry("one")});
  table.set_services(StateWith(52));
  table.set_gateways(6);
  int sent = 0;
  for (int64_t now = 0; now < 1'000; ++now) {
    if (table.Choose(Input(), now).verdict != UpstreamTable::Verdict::kChosen)
      continue;
    table.Started("one", Input(), now);
    table.Finished("one", {.duration_ms = 1, .events = 1}, now);
    ++sent;
  }
  CHECK(sent == 13);
  CHECK(table.Choose(Input(), 999).verdict == UpstreamTable::Verdict::kFull);
  CHECK(table.Choose(Input(), 1'001).verdict ==
        UpstreamTable::Verdict::kChosen);
}

TEST_CASE("79 gateways together send no more than a cold upstream bears") {
  // 24 a second, half as much again and 5: 41, fewer than there are gateways.
  constexpr int64_t kGateways = 79;
  std::map<std::string, int> sent;
  int least_upstreams = 1'000;
  for (int64_t gateway = 0; gateway < kGateways; ++gateway) {
    std::vector<UpstreamEntry> entries;
    for (int i = 0; i < 20; ++i)
      entries.push_back(Entry("u" + std::to_string(i)));
    auto table = TableOf(entries);
    table.set_services(StateWith(24));
    table.set_gateways(kGateways);
    table.set_position(gateway);
    std::set<std::string> used;
    for (int64_t now = 0; now < 1'000; ++now) {
      const auto choice = table.Choose(Input(), now);
      if (choice.verdict != UpstreamTable::Verdict::kChosen) continue;
      const std::string id = choice.upstream.id;
      table.Started(id, Input(), now);
      table.Finished(id, {.duration_ms = 1, .events = 1}, now);
      ++sent[id];
      used.insert(id);
    }
    least_upstreams = std::min(least_upstreams, static_cast<int>(used.size()));
  }
  for (const auto& [id, count] : sent) {
    CAPTURE(id);
    CHECK(count <= 41);
  }
  CHECK(sent.size() == 20);
  CHECK(least_upstreams >= 3);
}

TEST_CASE("the only upstream of a service serves every gateway") {
  auto table = TableOf({Entry("one")});
  table.set_services(StateWith(24));
  table.set_gateways(79);
  for (int64_t gateway = 0; gateway < 79; ++gateway) {
    table.set_position(gateway);
    CHECK(table.Choose(Input(), 0).verdict == UpstreamTable::Verdict::kChosen);
  }
}

TEST_CASE("a turn goes where its prompt is kept, until the load costs more") {
  auto table = TableOf({Entry("one"), Entry("two")});
  const std::vector<PromptPart> prompt = {{1, 512}, {2, 3'000}, {3, 20}};
  table.Started("two", Input(&prompt), 0);
  table.Finished("two", {.duration_ms = 600, .events = 20}, 600);
  table.Started("one", Input(), 0);
  table.Finished("one", {.duration_ms = 600, .events = 20}, 600);
  CHECK(table.Choose(Input(&prompt), 700).upstream.id == "two");
  for (int i = 0; i < 4; ++i) table.Started("two", Input(), 700);
  CHECK(table.Choose(Input(&prompt), 700).upstream.id == "one");
}

TEST_CASE("calls of other gateways count as load") {
  auto table = TableOf({Entry("one"), Entry("two")});
  table.set_others_load({{HashOf("one"), 4}});
  CHECK(table.Choose(Input(), 0).upstream.id == "two");
  table.set_others_load({{HashOf("one"), 4}, {HashOf("two"), 4}});
  CHECK(table.Choose(Input(), 0).verdict == UpstreamTable::Verdict::kFull);
}

TEST_CASE("what fails is avoided for a while and then tried with real work") {
  auto table = TableOf({Entry("one"), Entry("two")});
  for (int i = 0; i < 3; ++i) {
    table.Started("one", Input(), 0);
    table.Finished("one", {.outcome = CallOutcome::kFailed}, 0);
  }
  CHECK(table.Choose(Input(), 1).upstream.id == "two");
  auto input = Input();
  input.tried = {"two"};
  // Where nothing else is left, the avoided one is tried at once.
  CHECK(table.Choose(input, 1).upstream.id == "one");
}

TEST_CASE("a slow upstream gets less") {
  auto table = TableOf({Entry("one"), Entry("two")});
  for (int i = 0; i < 10; ++i) {
    table.Started("one", Input(), 0);
    table.Finished("one", {.duration_ms = 3'000, .events = 20}, 0);
    table.Started("two", Input(), 0);
    table.Finished("two", {.duration_ms = 600, .events = 20}, 0);
  }
  CHECK(table.Choose(Input(), 1).upstream.id == "two");
}

TEST_CASE("one that starts again under its old id knows nothing of before") {
  auto table = TableOf({Entry("one"), Entry("two")});
  const std::vector<PromptPart> prompt = {{1, 4'000}, {2, 10}};
  table.Started("two", Input(&prompt), 0);
  table.Finished("two", {.outcome = CallOutcome::kAbandoned}, 0);
  CHECK(table.Choose(Input(&prompt), 0).upstream.id == "two");
  UpstreamEntry again = Entry("two");
  again.born_ms = 2;
  CHECK(table.Put(again, 0));
  CHECK(table.Choose(Input(&prompt), 0).upstream.id == "one");
  CHECK_FALSE(table.Put(again, 0));
}
