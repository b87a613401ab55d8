// Which gateways watch the store, and which of them the others follow.
#include "src/watch_assignment.h"

#include <doctest/doctest.h>

#include <set>

namespace pimento {

TEST_CASE("all gateways of a zone agree on its few watchers") {
  const std::vector<std::string> ready_hosts = {"a4", "a1", "a3", "a2", "a5"};
  std::set<std::string> watchers;
  for (const std::string& host : ready_hosts) {
    const WatchAssignment assignment(host, {.watchers = 2});
    const std::string source = assignment.ChooseSource(ready_hosts, 0);
    if (source.empty()) watchers.insert(host);
    if (!source.empty()) CHECK((source == "a1" || source == "a2"));
  }
  CHECK(watchers == std::set<std::string>{"a1", "a2"});
}

TEST_CASE("failed watchers are avoided, and then the store is used") {
  WatchAssignment assignment("a3", {.watchers = 2, .backoff_ms = 1'000});
  const std::vector<std::string> ready_hosts = {"a1", "a2", "a3"};
  const std::string first = assignment.ChooseSource(ready_hosts, 0);
  assignment.NoteFailure(first, 0);
  const std::string second = assignment.ChooseSource(ready_hosts, 10);
  CHECK(second != first);
  CHECK(!second.empty());
  assignment.NoteFailure(second, 10);
  CHECK(assignment.ChooseSource(ready_hosts, 20).empty());
  CHECK(assignment.ChooseSource(ready_hosts, 1'005) == first);
}

TEST_CASE("a watcher that loses the store follows another one for a while") {
  WatchAssignment assignment("a1", {.watchers = 2, .backoff_ms = 1'000});
  const std::vector<std::string> ready_hosts = {"a1", "a2", "a3"};
  CHECK(assignment.ChooseSource(ready_hosts, 0).empty());
  assignment.NoteStoreFailure(0);
  const std::string source = assignment.ChooseSource(ready_hosts, 10);
  CHECK((source == "a2" || source == "a3"));
  CHECK(assignment.ChooseSource({"a1"}, 10).empty());
  CHECK(assignment.ChooseSource(ready_hosts, 1'010).empty());
}

// When tens of gateways lose the store at once and each keeps retrying it, the
// store gets some 1,000 calls a second at 79 gateways.
TEST_CASE("only the watchers keep retrying an unreachable store") {
  std::vector<std::string> ready_hosts;
  for (int i = 10; i < 36; ++i) ready_hosts.push_back("a" + std::to_string(i));
  constexpr int64_t kBackoffMs = 3'000;
  constexpr int64_t kRetryMs = 400;
  int store_calls = 0;
  for (const std::string& host : ready_hosts) {
    WatchAssignment assignment(host, {.watchers = 2, .backoff_ms = kBackoffMs});
    for (int64_t now_ms = 0; now_ms < kBackoffMs; now_ms += kRetryMs) {
      // All sources are tried without a pause until the store itself.
      for (int attempt = 0; attempt < 4; ++attempt) {
        const std::string source = assignment.ChooseSource(ready_hosts, now_ms);
        assignment.NoteFailure(source, now_ms);
        store_calls += source.empty() ? 1 : 0;
        if (source.empty()) break;
      }
    }
  }
  const int rounds = static_cast<int>(kBackoffMs / kRetryMs) + 1;
  const int others = static_cast<int>(ready_hosts.size()) - 2;
  CHECK(store_calls <= 2 * rounds + others);
  // Every gateway tries it at least once, since one of them may be the only one
  // that reaches the store.
  CHECK(store_calls >= static_cast<int>(ready_hosts.size()));
}

TEST_CASE("a gateway without peers or not ready itself has a source") {
  const WatchAssignment assignment("a3", {.watchers = 2});
  CHECK(assignment.ChooseSource({}, 0).empty());
  CHECK(assignment.ChooseSource({"a3"}, 0).empty());
  // It is not ready itself and follows a gateway that is.
  CHECK(assignment.ChooseSource({"a4"}, 0) == "a4");
}

}  // namespace pimento
