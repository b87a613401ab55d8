// What a member that joins fetches from members that hold mostly the same.
#include "src/record_copy.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "src/archive_codec.h"

namespace {

using namespace pimento;

constexpr int64_t kNowMs = 10'000;
constexpr size_t kPageBytes = 4'000;
constexpr size_t kDigestEntries = 64;

ArchiveTime Now() { return {.uptime_ms = kNowMs, .unix_ms = kNowMs}; }

TurnRecord TurnOf(int number) {
  return {.turn = "t" + std::to_string(number),
          .team = "quilters",
          .input = "in",
          .retain_ms = 60'000};
}

// Reads the sources in turns, a page of a digest each, as archive_copy.cc does
// side by side. Counts the records that cross a link.
struct Copy {
  explicit Copy(bool trust_held = true) : plan(held, trust_held) {}
  TurnArchive held;
  RecordCopy plan;
  size_t fetched = 0;

  void Fetch(const TurnArchive& source, std::vector<uint64_t> positions) {
    while (!positions.empty()) {
      const auto page =
          source.ReadRecords(positions, kPageBytes, Now(), RecordScope::kAll);
      for (const ArchiveRecord& record : page.records) {
        held.Apply(record, Now());
        plan.Received(
            std::visit([](const auto& r) { return HashOf(r); }, record));
      }
      fetched += page.records.size();
      positions.erase(positions.begin(),
                      positions.begin() + static_cast<ptrdiff_t>(page.next));
    }
  }
  void ReadAll(const std::vector<const TurnArchive*>& sources) {
    std::vector<uint64_t> next(sources.size());
    for (size_t ended = 0; ended < sources.size();) {
      ended = 0;
      for (size_t i = 0; i < sources.size(); ++i) {
        const auto digest = sources[i]->ReadDigest(next[i], kDigestEntries, 0,
                                                   Now(), RecordScope::kAll);
        Fetch(*sources[i], plan.Claim(digest.entries));
        next[i] = digest.next;
        if (!digest.more) ++ended;
      }
    }
  }
};

}  // namespace

// Every source was read whole: three times the records (review/7, LOST).
TEST_CASE("a copy from members that hold the same fetches each record once") {
  constexpr int kTurns = 3'000;
  std::vector<TurnArchive> sources(3);
  std::mt19937 random(7);
  for (int i = 0; i < kTurns; ++i) {
    // Two of three hold each turn, as a quorum does; their order differs.
    const size_t without = random() % sources.size();
    for (size_t s = 0; s < sources.size(); ++s) {
      if (s != without) sources[s].Apply(TurnOf(i), kNowMs);
    }
  }
  Copy copy;
  copy.ReadAll({&sources[0], &sources[1], &sources[2]});
  CHECK(copy.held.turns() == kTurns);
  CHECK(copy.fetched == kTurns);
  CHECK(copy.plan.Complete());
  // Once more brings nothing: an earlier copy counts.
  copy.plan.ReadAgain();
  copy.ReadAll({&sources[0], &sources[1]});
  CHECK(copy.fetched == kTurns);
}

TEST_CASE("what a source has claimed and does not bring is read again") {
  TurnArchive first;
  TurnArchive second;
  for (int i = 0; i < 10; ++i) {
    first.Apply(TurnOf(i), kNowMs);
    second.Apply(TurnOf(i), kNowMs);
  }
  Copy copy;
  const auto digest =
      first.ReadDigest(0, kDigestEntries, 0, Now(), RecordScope::kAll);
  CHECK(copy.plan.Claim(digest.entries).size() == 10);
  // The first source is gone before it has handed out any.
  copy.ReadAll({&second});
  CHECK(copy.fetched == 0);
  CHECK_FALSE(copy.plan.Complete());
  copy.plan.ReadAgain();
  copy.ReadAll({&second});
  CHECK(copy.fetched == 10);
  CHECK(copy.plan.Complete());
}

TEST_CASE("a reservation that is settled before it is fetched is complete") {
  TokenReservation reservation{.program = "p", .turn = "t1", .tokens = 9};
  TurnArchive source;
  source.Apply(reservation, kNowMs);
  Copy copy;
  const auto open =
      source.ReadDigest(0, kDigestEntries, 0, Now(), RecordScope::kAll);
  const auto positions = copy.plan.Claim(open.entries);
  reservation.settled = true;
  source.Apply(reservation, kNowMs);
  copy.Fetch(source, positions);
  CHECK(copy.fetched == 0);
  CHECK_FALSE(copy.plan.Complete());
  copy.ReadAll({&source});
  CHECK(copy.fetched == 1);
  CHECK(copy.plan.Complete());
}

TEST_CASE("records that may not be in the journal are fetched all the same") {
  TurnArchive source;
  for (int i = 0; i < 10; ++i) source.Apply(TurnOf(i), kNowMs);
  Copy copy(false);
  copy.held.Apply(TurnOf(3), kNowMs);
  copy.ReadAll({&source, &source});
  CHECK(copy.fetched == 10);
}

// Repair leaves these out, a copy must not.
TEST_CASE("a copy takes records that are young or about to expire") {
  TurnArchive source;
  source.Apply(TurnOf(1), kNowMs);
  TurnRecord ending = TurnOf(2);
  ending.remaining_ms = 1;
  source.Apply(ending, kNowMs);
  CHECK(source.ReadDigest(0, 10, kNowMs - 1'500, Now()).entries.empty());
  Copy copy;
  copy.ReadAll({&source});
  CHECK(copy.held.turns() == 2);
}

// An earlier version answers without the scope, and is not copied from.
TEST_CASE("the scope of a call and of its answer crosses the wire") {
  for (const RecordScope scope : {RecordScope::kSettled, RecordScope::kAll}) {
    ArchiveCall call;
    call.body = DigestCall{.from = 7, .scope = scope};
    CHECK(std::get<DigestCall>(DecodeCall(EncodeCall(call)).body).scope ==
          scope);
    call.body = FetchCall{.run = 3, .positions = {1, 2}, .scope = scope};
    const auto fetch = std::get<FetchCall>(DecodeCall(EncodeCall(call)).body);
    CHECK(fetch.scope == scope);
    CHECK(fetch.positions == std::vector<uint64_t>{1, 2});
    const ArchiveReply reply{.scope = scope};
    CHECK(DecodeReply(EncodeReply(reply)).scope == scope);
  }
  CHECK(DecodeReply(EncodeReply({})).scope == RecordScope::kSettled);
}
