// A configuration of 2,000 routes and 4,600 teams is taken in, and passed on to
// other hosts, in bounded steps.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <string>

#include "platform/object_codec.h"
#include "platform/store_mirror.h"
#include "src/desired_state.h"

namespace pimento {
namespace {

namespace json = boost::json;

constexpr int kRoutes = 2'000;
constexpr int kTeams = 4'600;
constexpr size_t kEntries = 64;

json::value LargeSpec() {
  json::array routes;
  for (int i = 0; i < kRoutes; ++i)
    routes.push_back(json::object{
        {"name", "r" + std::to_string(i)},
        {"host", "h" + std::to_string(i % 7) + ".example"},
        {"path_prefix",
         "/" + std::string(1 + i % 5, 'p') + std::to_string(i / 7) + "/"},
        {"service", "s" + std::to_string(i % 3)}});
  json::array teams;
  for (int i = 0; i < kTeams; ++i)
    teams.push_back(
        json::object{{"name", "t" + std::to_string(i)},
                     {"rate_per_s", 5},
                     {"burst", 20},
                     {"api_keys", json::array{"key" + std::to_string(i)}}});
  return json::object{{"version", 12},
                      {"routes", std::move(routes)},
                      {"services", json::array{json::object{{"name", "s1"}}}},
                      {"tenants", std::move(teams)}};
}

}  // namespace

TEST_CASE("a large configuration is decoded and indexed in bounded steps") {
  const json::value spec = LargeSpec();
  platform::DesiredStateDecoder decoder(spec);
  CHECK(decoder.version() == 12);
  constexpr int kSteps = (kRoutes + kTeams + 1 + kEntries - 1) / kEntries;
  int steps = 1;
  while (decoder.Step(kEntries)) ++steps;
  CHECK(steps == kSteps);
  DesiredState::Builder builder(std::move(decoder).Take());
  steps = 1;
  while (builder.Step(kEntries)) ++steps;
  CHECK(steps == kSteps);
  const DesiredStatePtr state = std::move(builder).Take();

  const DesiredState at_once(platform::DecodeDesiredState(spec));
  REQUIRE(state->routes().size() == kRoutes);
  REQUIRE(state->teams().size() == kTeams);
  CHECK(state->FindService("s1") != nullptr);
  for (const Route& route : at_once.routes()) {
    const std::string path = route.path_prefix + "x";
    const Route* found = state->FindRoute(route.host, path);
    REQUIRE(found != nullptr);
    CHECK(found->name == at_once.FindRoute(route.host, path)->name);
    CHECK(found->path_prefix == route.path_prefix);
  }
  for (int i = 0; i < kTeams; i += 97) {
    const TeamSpec* team = state->TeamOfKey("key" + std::to_string(i));
    REQUIRE(team != nullptr);
    CHECK(team->name == "t" + std::to_string(i));
  }
}

TEST_CASE("the first of two routes with one prefix stays the one in force") {
  DesiredState::Parts parts;
  parts.version = 1;
  for (const char* name : {"first", "second"})
    parts.routes.push_back({.name = name,
                            .host = "a",
                            .path_prefix = "/x/",
                            .services = {{.service = "s"}}});
  parts.routes.push_back({.name = "longer",
                          .host = "a",
                          .path_prefix = "/x/y/",
                          .services = {{.service = "s"}}});
  const DesiredState state(parts);
  CHECK(state.FindRoute("a", "/x/1")->name == "first");
  CHECK(state.FindRoute("a", "/x/y/1")->name == "longer");
}

TEST_CASE("a mirror encodes a large object once, in steps, for all readers") {
  const platform::StoreObject object{
      .name = "main", .revision = 9, .spec = LargeSpec(), .status = "ok"};
  constexpr size_t kBytes = 16 * 1024;
  size_t steps = 1;
  platform::MirrorTextEncoder encoder(object);
  while (encoder.Step(kBytes)) {
    ++steps;
    CHECK_FALSE(object.text);
  }
  REQUIRE(object.text);
  CHECK(steps >= object.text->size() / (kBytes + 4 * 1024));

  const auto copy = platform::MirrorCopy(object);
  CHECK(copy.text == object.text);
  CHECK(copy.spec.is_null());
  const auto list = json::parse(
      platform::EncodeMirrorList({.objects = {copy, copy}, .revision = 9}));
  REQUIRE(list.at("items").as_array().size() == 2);
  CHECK(list.at("store_revision") == 9);
  CHECK(list.at("more") == false);
  const auto changes = json::parse(platform::EncodeMirrorChanges(
      {.events = {{copy, false}, {{.name = "gone", .revision = 11}, true}},
       .revision = 11,
       .mirror = {.age_ms = 5}}));
  CHECK(changes.at("store_revision") == 11);
  CHECK(changes.at("age_ms") == 5);
  const auto& events = changes.at("events").as_array();
  REQUIRE(events.size() == 2);
  CHECK(events[0].at("object").at("spec") == object.spec);
  CHECK(events[0].at("object").at("status") == "ok");
  CHECK(events[0].at("object").at("metadata").at("revision") == 9);
  CHECK(events[1].at("object").at("metadata").at("name") == "gone");
  CHECK(events[1].at("deleted") == true);
  // An empty answer is valid too.
  CHECK(json::parse(platform::EncodeMirrorChanges({.revision = 3}))
            .at("events")
            .as_array()
            .empty());
}

}  // namespace pimento
