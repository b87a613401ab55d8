// The longest time for which a gateway that takes in a large configuration, and
// passes it on to readers of its mirror, serves nobody else: as a ratio of the
// longest step to the same work at once.
//
//   build/bin/large-state 2000 4600
#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

#include "platform/object_codec.h"
#include "platform/store_mirror.h"
#include "src/desired_state.h"
#include "src/team_quota.h"

namespace {

namespace json = boost::json;
using namespace pimento;
using std::chrono::steady_clock;

constexpr size_t kStepBytes = 16 * 1024;
constexpr size_t kStepEntries = 64;
constexpr int kRounds = 15;

json::value Spec(int routes, int teams) {
  json::array route_list;
  for (int i = 0; i < routes; ++i)
    route_list.push_back(
        json::object{{"name", "route-" + std::to_string(i)},
                     {"host", "host" + std::to_string(i % 40) + ".example"},
                     {"path_prefix", "/prefix-" + std::to_string(i) + "/"},
                     {"kind", "streaming"},
                     {"service", "service-" + std::to_string(i % 8)},
                     {"timeout_ms", 20'000},
                     {"slo_ms", 900},
                     {"priority", 1},
                     {"attempts", 2}});
  json::array team_list;
  for (int i = 0; i < teams; ++i)
    team_list.push_back(json::object{
        {"name", "team" + std::to_string(i)},
        {"rate_per_s", 5},
        {"burst", 20},
        {"priority", 1},
        {"api_keys", json::array{"key-number-" + std::to_string(i)}}});
  return json::object{{"version", 2},
                      {"routes", std::move(route_list)},
                      {"services", json::array{}},
                      {"tenants", std::move(team_list)}};
}

// Longest call of Run(), microseconds.
class Longest {
 public:
  template <class Work>
  auto Run(Work work) {
    const auto began = steady_clock::now();
    const auto result = work();
    const std::chrono::duration<double, std::micro> took =
        steady_clock::now() - began;
    most_us_ = std::max(most_us_, took.count());
    return result;
  }
  double us() const { return most_us_; }

 private:
  double most_us_ = 0;
};

// As it was: each part of the work at once.
double AtOnce(const std::string& text) {
  Longest longest;
  platform::StoreObject object{.name = "main", .revision = 1};
  longest.Run([&] {
    const json::value parsed = json::parse(text);
    object.spec = parsed;  // a copy, as for the view and for the history
    const json::value history = object.spec;
    const DesiredState state(platform::DecodeDesiredState(object.spec));
    return state.version();
  });
  longest.Run([&] {
    const json::object response{
        {"object", json::object{{"spec", object.spec}}}};
    return json::serialize(response).size();
  });
  return longest.us();
}

// Freeing a configuration that was replaced, in one step: its document and
// what was decoded from it.
double FreeingUs(const std::string& text) {
  auto spec = std::make_unique<json::value>(json::parse(text));
  auto state =
      std::make_unique<DesiredState>(platform::DecodeDesiredState(*spec));
  Longest longest;
  longest.Run([&] {
    spec.reset();
    return 0;
  });
  longest.Run([&] {
    state.reset();
    return 0;
  });
  return longest.us();
}

double InSteps(const std::string& text) {
  Longest longest;
  json::stream_parser parser;
  for (size_t at = 0; at < text.size(); at += kStepBytes)
    longest.Run([&] {
      return parser.write(std::string_view(text).substr(at, kStepBytes));
    });
  platform::StoreObject object{.name = "main", .revision = 1};
  longest.Run([&] {
    parser.finish();
    object.spec = parser.release();
    return 0;
  });
  platform::MirrorTextEncoder encoder(object);
  while (longest.Run([&] { return encoder.Step(kStepBytes); })) continue;
  longest.Run([&] {
    return platform::EncodeMirrorList(
               {.objects = {platform::MirrorCopy(object)}})
        .size();
  });
  platform::DesiredStateDecoder decoder(object.spec);
  while (longest.Run([&] { return decoder.Step(kStepEntries); })) continue;
  DesiredState::Builder builder(std::move(decoder).Take());
  while (longest.Run([&] { return builder.Step(kStepEntries); })) continue;
  const DesiredStatePtr state = std::move(builder).Take();
  return longest.us();
}

double TeamsUs(const std::string& text) {
  const DesiredState state(platform::DecodeDesiredState(json::parse(text)));
  TeamQuota quota;
  Longest longest;
  for (int64_t now_ms = 0; now_ms < 2; ++now_ms)
    longest.Run([&] {
      quota.set_teams(state, now_ms);
      return 0;
    });
  return longest.us();
}

}  // namespace

int main(int argc, char** argv) {
  const int routes = argc > 1 ? std::atoi(argv[1]) : 2'000;
  const int teams = argc > 2 ? std::atoi(argv[2]) : 4'600;
  const std::string text = json::serialize(Spec(routes, teams));
  // The least of some rounds: what else the machine does only adds.
  double at_once_us = 1e12;
  double step_us = 1e12;
  double teams_us = 1e12;
  double freeing_us = 1e12;
  for (int i = 0; i < kRounds; ++i) {
    at_once_us = std::min(at_once_us, AtOnce(text));
    step_us = std::min(step_us, InSteps(text));
    teams_us = std::min(teams_us, TeamsUs(text));
    freeing_us = std::min(freeing_us, FreeingUs(text));
  }
  std::printf(
      "%d routes, %d teams, %zu bytes\n"
      "longest stall at once %.0f us, in steps %.0f us, ratio %.3f\n"
      "in one step still: replacing the teams' rates %.0f us, freeing the "
      "configuration before %.0f us\n",
      routes, teams, text.size(), at_once_us, step_us, step_us / at_once_us,
      teams_us, freeing_us);
  return 0;
}
