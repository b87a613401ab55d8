// Who may make a process hold more, and who is closed, under crowds of clients.
#include "src/byte_account.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <vector>

#include "src/connection_limits.h"

namespace pimento {
namespace {

using Id = ByteAccount::HolderId;

constexpr uint64_t kBudget = 12'000'000;
constexpr uint64_t kRead = 8 * 1024;

// A crowd of readers that each send up to `body` bytes, as long as they may,
// and then stop; in turns.
std::vector<Id> FillWithCrowd(ByteAccount& account, int readers, uint64_t body,
                              int64_t& now_ms) {
  std::vector<Id> ids;
  for (int i = 0; i < readers; ++i) ids.push_back(account.Add(now_ms));
  for (uint64_t sent = 0; sent < body; sent += kRead) {
    ++now_ms;
    for (const Id id : ids) {
      if (!account.MayGrow(id, kRead)) continue;
      account.SetBytes(id, account.BytesOf(id) + kRead);
      account.NoteMoved(id, kRead, now_ms);
    }
  }
  return ids;
}

}  // namespace

TEST_CASE("held bytes: a crowd stays in its share and ordinary callers pass") {
  ByteAccount account({.budget = kBudget});
  int64_t now_ms = 1'000;
  FillWithCrowd(account, 60, 1'000'000, now_ms);
  CHECK(account.held() <= kBudget);
  // Even 60 that hold little use only part of the reserve.
  const Id ordinary = account.Add(now_ms);
  CHECK(account.MayGrow(ordinary, kRead));
}

TEST_CASE("held bytes: the one that holds most and moved least goes first") {
  ByteAccount account({.budget = kBudget});
  int64_t now_ms = 1'000;
  const Id moving = account.Add(now_ms);
  const Id small = account.Add(now_ms);
  const Id large = account.Add(now_ms);
  const Id with_upstream = account.Add(now_ms);
  account.SetBytes(moving, 5'000'000);
  account.SetBytes(small, 100'000);
  account.SetBytes(large, 1'000'000);
  account.SetBytes(with_upstream, 5'000'000);
  account.SetStage(with_upstream, HolderStage::kInProgress, now_ms);
  const Id asking = account.Add(now_ms);
  CHECK(!account.ToClose(asking, now_ms));
  now_ms += 240;
  account.NoteMoved(moving, kRead, now_ms);
  account.NoteMoved(asking, kRead, now_ms);
  now_ms += 20;
  CHECK(account.ToClose(asking, now_ms) == large);
  account.Remove(large);
  CHECK(account.ToClose(asking, now_ms) == small);
  account.Remove(small);
  // Only a moving one is left: it goes once the asking one has waited long.
  CHECK(!account.ToClose(asking, now_ms));
  now_ms += 300;
  account.NoteMoved(moving, kRead, now_ms);
  CHECK(account.ToClose(asking, now_ms) == moving);
  account.Remove(moving);
  // Never one that is with an upstream; the asking one last.
  CHECK(account.ToClose(asking, now_ms) == asking);
}

TEST_CASE("held bytes: one that sends byte by byte has stalled") {
  ByteAccount account({.budget = kBudget});
  int64_t now_ms = 1'000;
  const Id slow = account.Add(now_ms);
  account.SetBytes(slow, 1'000'000);
  for (int i = 0; i < 400; ++i) CHECK(!account.NoteMoved(slow, 1, ++now_ms));
  const Id asking = account.Add(now_ms);
  CHECK(account.ToClose(asking, now_ms) == slow);
  CHECK(account.NoteMoved(slow, 1'024, now_ms));
}

TEST_CASE("held bytes: many that hold little give way to one that does") {
  ByteAccount account({.budget = kBudget});
  int64_t now_ms = 1'000;
  // Each may use the budget to its end.
  std::vector<Id> crowd;
  for (uint64_t held = 0; held + 16'000 <= kBudget; held += 16'000) {
    crowd.push_back(account.Add(now_ms));
    CHECK(account.MayGrow(crowd.back(), 16'000));
    account.SetBytes(crowd.back(), 16'000);
  }
  now_ms += 300;
  const Id ordinary = account.Add(now_ms);
  CHECK(!account.MayGrow(ordinary, kRead));
  const auto chosen = account.ToClose(ordinary, now_ms);
  REQUIRE(chosen);
  CHECK(*chosen != ordinary);
  account.Remove(*chosen);
  CHECK(account.MayGrow(ordinary, kRead));
  // They are not closed for one that holds much itself.
  account.SetBytes(ordinary, 100'000);
  CHECK(account.ToClose(ordinary, now_ms) != crowd.back());
}

TEST_CASE(
    "held bytes: a stream is broken off only when its reader has stalled") {
  ByteAccount account({.budget = kBudget});
  int64_t now_ms = 1'000;
  const Id asking = account.Add(now_ms);
  const Id stream = account.Add(now_ms);
  account.SetBytes(stream, 8'000'000);
  now_ms += 1'000;
  account.SetStage(stream, HolderStage::kStreaming, now_ms);
  CHECK(account.ToClose(asking, now_ms) == asking);
  now_ms += 300;
  CHECK(account.ToClose(asking, now_ms) == stream);
}

TEST_CASE("held bytes: one alone is never short, two are") {
  ByteAccount account({.budget = kBudget});
  const Id first = account.Add(0);
  account.SetBytes(first, 20'000'000);
  CHECK(account.MayGrow(first, kRead));
  const Id second = account.Add(0);
  account.SetBytes(second, 20'000);
  CHECK(account.MayGrow(first, kRead));
  CHECK_FALSE(account.MayGrow(second, kRead));
}

TEST_CASE("held bytes: what is in progress goes on one after the other") {
  ByteAccount account({.budget = kBudget});
  const Id first = account.Add(0);
  const Id second = account.Add(0);
  for (const Id id : {first, second}) {
    account.SetBytes(id, 6'000'000);
    account.SetStage(id, HolderStage::kInProgress, 0);
  }
  CHECK_FALSE(account.MayGrow(first, kRead));
  CHECK_FALSE(account.MayGrow(second, kRead));
  CHECK(!account.ToClose(first, 10'000));
  account.LetPass(first);
  CHECK(account.MayGrow(first, kRead));
  CHECK_FALSE(account.MayGrow(second, kRead));
  account.Remove(first);
  CHECK_FALSE(account.IsPassing());
  CHECK(account.MayGrow(second, kRead));
}

TEST_CASE("held bytes: the sum is right after random steps") {
  std::mt19937_64 random(43);
  ByteAccount account({.budget = kBudget});
  std::map<Id, uint64_t> model;
  for (int step = 0; step < 20'000; ++step) {
    const bool add = model.empty() || random() % 3 == 0;
    if (add) {
      model[account.Add(step)] = 0;
      continue;
    }
    auto it = model.begin();
    std::advance(
        it, static_cast<long>(random() % std::min<size_t>(model.size(), 50)));
    if (random() % 4 == 0) {
      account.Remove(it->first);
      model.erase(it);
    } else {
      it->second = random() % 1'000'000;
      account.SetBytes(it->first, it->second);
    }
    uint64_t sum = 0;
    if (step % 500 == 0) {
      for (const auto& [id, bytes] : model) sum += bytes;
      CHECK(account.held() == sum);
      CHECK(account.holders() == model.size());
    }
  }
}

TEST_CASE("held bytes: limits of connections leave descriptors for others") {
  // Settings name nothing, and settings of usual hosts: as it was.
  CHECK(LimitsOfConnections(0, 0).callers == 1'500);
  CHECK(LimitsOfConnections(160, 4'100).callers == 1'500);
  CHECK(LimitsOfConnections(88, 4'100).callers == 1'408);
  CHECK(LimitsOfConnections(88, 4'100).internal == 975);
  const ConnectionLimits few = LimitsOfConnections(48, 320);
  CHECK(few.callers == 60);
  CHECK(few.internal == 30);
  CHECK(few.directory + few.readiness + few.metrics < few.internal);
  CHECK(LimitsOfConnections(1, 10).callers > 0);
}

}  // namespace pimento
