// Which gateways watch the store, and whom the others ask.
#include "src/watch_duty.h"

#include <doctest/doctest.h>

#include <set>

namespace pimento {

TEST_CASE("the watchers of a zone are the same for all, and few") {
  const std::vector<std::string> sound = {"a4", "a1", "a3", "a2", "a5"};
  std::set<std::string> watchers;
  for (const std::string& host : sound) {
    const WatchDuty duty(host, {.watchers = 2});
    const std::string ask = duty.Ask(sound, 0);
    if (ask.empty()) watchers.insert(host);
    if (!ask.empty()) CHECK((ask == "a1" || ask == "a2"));
  }
  CHECK(watchers == std::set<std::string>{"a1", "a2"});
}

TEST_CASE("a watcher that failed is left out, and then the store is asked") {
  WatchDuty duty("a3", {.watchers = 2, .avoid_ms = 1'000});
  const std::vector<std::string> sound = {"a1", "a2", "a3"};
  const std::string first = duty.Ask(sound, 0);
  duty.Failed(first, 0);
  const std::string second = duty.Ask(sound, 10);
  CHECK(second != first);
  CHECK(!second.empty());
  duty.Failed(second, 10);
  CHECK(duty.Ask(sound, 20).empty());
  CHECK(duty.Ask(sound, 1'005) == first);
}

TEST_CASE("a watcher that the store turns away asks another, for a while") {
  WatchDuty duty("a1", {.watchers = 2, .avoid_ms = 1'000});
  const std::vector<std::string> sound = {"a1", "a2", "a3"};
  CHECK(duty.Ask(sound, 0).empty());
  duty.StoreFailed(0);
  const std::string ask = duty.Ask(sound, 10);
  CHECK((ask == "a2" || ask == "a3"));
  CHECK(duty.Ask({"a1"}, 10).empty());
  CHECK(duty.Ask(sound, 1'010).empty());
}

// Tens of gateways lose the store at one moment; each of them used to try it
// again and again, some 1,000 calls a second at 79 gateways.
TEST_CASE("while the store is away only its watchers go on trying it") {
  std::vector<std::string> sound;
  for (int i = 10; i < 36; ++i) sound.push_back("a" + std::to_string(i));
  constexpr int64_t kAvoidMs = 3'000;
  constexpr int64_t kRetryMs = 400;
  int tries = 0;
  for (const std::string& host : sound) {
    WatchDuty duty(host, {.watchers = 2, .avoid_ms = kAvoidMs});
    for (int64_t now_ms = 0; now_ms < kAvoidMs; now_ms += kRetryMs) {
      // Until no further way is left, each is tried at once.
      for (int way = 0; way < 4; ++way) {
        const std::string ask = duty.Ask(sound, now_ms);
        duty.Failed(ask, now_ms);
        tries += ask.empty() ? 1 : 0;
        if (ask.empty()) break;
      }
    }
  }
  const int rounds = static_cast<int>(kAvoidMs / kRetryMs) + 1;
  const int others = static_cast<int>(sound.size()) - 2;
  CHECK(tries <= 2 * rounds + others);
  // And each has tried it: one that alone hears the store must find out.
  CHECK(tries >= static_cast<int>(sound.size()));
}

TEST_CASE("a gateway that hears nobody, or is not ready itself, has a way") {
  const WatchDuty duty("a3", {.watchers = 2});
  CHECK(duty.Ask({}, 0).empty());
  CHECK(duty.Ask({"a3"}, 0).empty());
  // Not ready: it follows those that are.
  CHECK(duty.Ask({"a4"}, 0) == "a4");
}

}  // namespace pimento
