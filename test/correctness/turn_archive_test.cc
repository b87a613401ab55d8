// Turns, histories and reservations on one archive member.
#include "src/turn_archive.h"

#include <doctest/doctest.h>

#include "src/archive_codec.h"
#include "src/errors.h"

namespace {

using namespace pimento;

TurnRecord Turn(const std::string& id, const std::string& previous) {
  return {.turn = id,
          .previous = previous,
          .team = "quilters",
          .input = "in-" + id,
          .output = "out-" + id + "\n",
          .upstream = "i-1",
          .retain_ms = 60'000};
}

std::vector<std::string> IdsOf(const TurnArchive::History& history) {
  std::vector<std::string> ids;
  for (const auto& turn : history.turns) ids.push_back(turn.turn);
  return ids;
}

}  // namespace

TEST_CASE("a chain is read newest first, whatever order its turns came in") {
  TurnArchive archive;
  archive.Apply(Turn("c", "b"), 0);
  archive.Apply(Turn("a", ""), 0);
  CHECK(archive.HistoryOf("c", "quilters").missing == "b");
  archive.Apply(Turn("b", "a"), 0);
  const auto history = archive.HistoryOf("c", "quilters");
  CHECK(history.missing.empty());
  CHECK(IdsOf(history) == std::vector<std::string>{"c", "b", "a"});
}

TEST_CASE("a turn of another team counts as missing") {
  TurnArchive archive;
  archive.Apply(Turn("a", ""), 0);
  const auto history = archive.HistoryOf("a", "others");
  CHECK(history.turns.empty());
  CHECK(history.missing == "a");
}

TEST_CASE("a stored turn never changes") {
  TurnArchive archive;
  archive.Apply(Turn("a", ""), 0);
  TurnRecord other = Turn("a", "");
  other.output = "forged";
  archive.Apply(other, 0);
  CHECK(archive.HistoryOf("a", "quilters").turns[0].output == "out-a\n");
}

TEST_CASE("a late open reservation does not replace a settled one") {
  TurnArchive archive;
  TokenReservation open{.program = "p", .turn = "a", .tokens = 100};
  TokenReservation settled{
      .program = "p", .turn = "a", .tokens = 24, .settled = true};
  archive.Apply(settled, 0);
  archive.Apply(open, 0);
  const auto held = archive.ReservationsOf("p");
  REQUIRE(held.size() == 1);
  CHECK(held[0].settled);
  CHECK(held[0].tokens == 24);
}

TEST_CASE("a stored turn settles its own reservation") {
  TurnArchive archive;
  archive.Apply(TokenReservation{.program = "p", .turn = "a", .tokens = 100},
                0);
  TurnRecord turn = Turn("a", "");
  turn.program = "p";
  turn.tokens = 36;
  archive.Apply(turn, 0);
  const auto held = archive.ReservationsOf("p");
  REQUIRE(held.size() == 1);
  CHECK(held[0].tokens == 36);
  CHECK(held[0].settled);
}

TEST_CASE("a chain is retained as long as its newest turn") {
  TurnArchive archive;
  archive.Apply(Turn("a", ""), 0);
  archive.Apply(Turn("b", "a"), 59'000);
  archive.RemoveExpired(100'000);
  CHECK(archive.HistoryOf("b", "quilters").missing.empty());
  archive.RemoveExpired(200'000);
  CHECK(archive.HistoryOf("b", "quilters").missing == "b");
  CHECK(archive.turns() == 0);
  CHECK(archive.bytes() == 0);
}

TEST_CASE("a copy read page by page holds every record") {
  TurnArchive archive;
  for (int i = 0; i < 50; ++i) {
    archive.Apply(Turn("t" + std::to_string(i), ""), 0);
    archive.Apply(TokenReservation{.program = "p" + std::to_string(i % 7),
                                   .turn = "t" + std::to_string(i),
                                   .tokens = 5},
                  0);
  }
  TurnArchive copy;
  uint64_t from = 0;
  for (;;) {
    const auto page = archive.ReadPage(from, 2'000, {});
    for (const auto& record : page.records) copy.Apply(record, 0);
    from = page.next;
    if (!page.more) break;
  }
  CHECK(copy.turns() == 50);
  CHECK(copy.programs() == 7);
  size_t reservations = 0;
  for (int i = 0; i < 7; ++i)
    reservations += copy.ReservationsOf("p" + std::to_string(i)).size();
  CHECK(reservations == 50);
}

TEST_CASE("calls and replies round-trip through the codec, with any bytes") {
  TurnRecord turn = Turn("a", "b");
  turn.input = std::string("\0\xff\x80\n", 4);
  ArchiveCall call;
  call.list_version = 7;
  call.body = turn;
  const ArchiveCall back = DecodeCall(EncodeCall(call));
  CHECK(back.list_version == 7);
  CHECK(std::get<TurnRecord>(back.body).input == turn.input);
  ArchiveReply reply{.verdict = ArchiveVerdict::kStaleList, .member = 12};
  reply.turns.push_back(turn);
  reply.missing = "x";
  const ArchiveReply reply_back = DecodeReply(EncodeReply(reply));
  CHECK(reply_back.verdict == ArchiveVerdict::kStaleList);
  CHECK(reply_back.turns[0].input == turn.input);
  CHECK(reply_back.missing == "x");
  CHECK_THROWS_AS(DecodeCall("not a message"), StateError);
  CHECK_THROWS_AS(DecodeCall(""), StateError);
}

TEST_CASE(
    "an archive keeps room for other teams and for turns that have begun") {
  constexpr size_t kRoom = 1'000'000;
  TurnArchive archive(kRoom);
  const auto apply = [&](const std::string& id, const std::string& team) {
    TurnRecord turn = Turn(id, "");
    turn.team = team;
    turn.input = std::string(10'000, 'i');
    if (archive.MayKeep(turn)) archive.Apply(turn, 0);
  };
  int kept = 0;
  while (archive.MayBegin("crowd"))
    apply("crowd-" + std::to_string(kept++), "crowd");
  CHECK(archive.bytes() >= kRoom / 2);
  CHECK(archive.bytes() < kRoom / 2 + 20'000);
  CHECK(archive.MayBegin("quilters"));
  while (archive.MayBegin("quilters"))
    apply("quilters-" + std::to_string(kept++), "quilters");
  // Neither may go on to begin turns, but a team that has little may, and turns
  // that have begun are kept, up to the limit.
  CHECK(!archive.MayBegin("crowd"));
  CHECK(archive.MayBegin("others"));
  CHECK(archive.MayKeep(Turn("begun", "")));
  for (int i = 0; i < 1'000; ++i) apply("late-" + std::to_string(i), "others");
  CHECK(archive.bytes() <= kRoom);
  CHECK(!archive.MayBegin("others"));
  // A turn that is kept may be stored again.
  CHECK(archive.MayKeep(Turn("crowd-0", "")));
  archive.RemoveExpired(1'000'000);
  CHECK(archive.bytes() == 0);
  CHECK(archive.MayBegin("crowd"));
}

TEST_CASE("reservations count for the room of an archive") {
  TurnArchive archive(1'000'000);
  int made = 0;
  for (; archive.MayBegin("crowd") && made < 100'000; ++made) {
    const std::string id = std::string(200, 'x') + std::to_string(made);
    archive.Apply(
        TokenReservation{
            .program = "p" + id, .turn = id, .tokens = 1, .team = "crowd"},
        0);
  }
  CHECK(made < 1'000);
  CHECK(archive.MayBegin("quilters"));
  CHECK(archive.HasReservation({.program = "p" + std::string(200, 'x') + "0",
                                .turn = std::string(200, 'x') + "0"}));
  archive.RemoveExpired(1'000'000);
  CHECK(archive.bytes() == 0);
}

TEST_CASE("the length of a history is known before it is read") {
  TurnArchive archive(1'000'000);
  archive.Apply(Turn("a", ""), 0);
  archive.Apply(Turn("b", "a"), 0);
  CHECK(archive.HistoryBytes("b", "quilters") >
        archive.HistoryBytes("a", "quilters"));
  CHECK(archive.HistoryBytes("b", "others") == 0);
  CHECK(archive.HistoryBytes("unknown", "quilters") == 0);
  CHECK(archive.max_history_bytes() == 125'000);
  // A circle ends.
  archive.Apply(Turn("c", "d"), 0);
  archive.Apply(Turn("d", "c"), 0);
  CHECK(archive.HistoryBytes("c", "quilters") > 0);
}

// A member kept a turn's predecessors only as far back as it had them when the
// turn came: what it got later did not make up for that.
TEST_CASE("a turn that comes late keeps its chain as long as its successors") {
  TurnArchive archive;
  archive.Apply(Turn("a", ""), 0);
  archive.Apply(Turn("c", "b"), 60'000);
  CHECK(archive.gaps() == 1);
  TurnRecord late = Turn("b", "a");
  late.remaining_ms = 20'000;
  archive.Apply(late, 61'000);
  CHECK_FALSE(archive.HasGaps());
  archive.RemoveExpired(149'000);
  CHECK(archive.HistoryOf("c", "quilters").missing.empty());
  archive.RemoveExpired(150'001);
  CHECK(archive.turns() == 0);
}

// Copies began their whole retention anew, and members handed expired records
// to each other for ever.
TEST_CASE("a copy expires with its source and is not handed back") {
  TurnArchive source;
  source.Apply(Turn("a", ""), 0);
  source.Apply(
      TokenReservation{
          .program = "p", .turn = "a", .tokens = 5, .settled = true},
      0);
  constexpr int64_t kTurnEnds = 90'000;
  constexpr int64_t kProgramEnds = 180'000;
  TurnArchive copy;
  const auto page = source.ReadPage(0, 100'000, {80'000, 80'000});
  for (const auto& record : page.records) copy.Apply(record, 80'000);
  copy.RemoveExpired(kTurnEnds - 1);
  CHECK(copy.turns() == 1);
  const ArchiveTime near_end{kTurnEnds - 1'000, kTurnEnds - 1'000};
  CHECK(copy.ReadDigest(0, 10, near_end.uptime_ms, near_end).entries.size() ==
        1);
  copy.RemoveExpired(kTurnEnds);
  CHECK(copy.turns() == 0);
  CHECK(copy.programs() == 1);
  copy.RemoveExpired(kProgramEnds);
  CHECK(copy.programs() == 0);
}

// After a long absence a member holds what the others have let expire.
TEST_CASE("a member hands out nothing that has expired while it was away") {
  TurnArchive archive;
  archive.Apply(Turn("a", ""), ArchiveTime{1'000, 1'000});
  const ArchiveTime soon{3'000, 3'000};
  CHECK(archive.ReadDigest(0, 10, soon.uptime_ms, soon).entries.size() == 1);
  // Stopped for 100 s: it still holds the turn, but does not hand it out.
  const ArchiveTime later{3'000, 103'000};
  archive.RemoveExpired(later.uptime_ms);
  CHECK(archive.turns() == 1);
  CHECK(archive.ReadDigest(0, 10, later.uptime_ms, later).entries.empty());
  CHECK(archive.ReadRecords({0}, 1'000, later).records.empty());
  // A conversation that goes on keeps it for the others too.
  archive.Apply(Turn("b", "a"), later);
  const ArchiveTime after{6'000, 106'000};
  CHECK(archive.ReadDigest(0, 10, after.uptime_ms, after).entries.size() == 2);
}

TEST_CASE("digests name each record once, in its last state, page by page") {
  TurnArchive archive;
  const TokenReservation open{.program = "p", .turn = "t1", .tokens = 60};
  TokenReservation settled = open;
  settled.settled = true;
  settled.tokens = 7;
  archive.Apply(open, 0);
  for (int i = 0; i < 5; ++i)
    archive.Apply(Turn("t" + std::to_string(i), ""), 0);
  archive.Apply(settled, 0);
  TurnArchive other;
  size_t named = 0;
  uint64_t from = 0;
  const ArchiveTime now{2'000, 2'000};
  for (bool more = true; more;) {
    const auto digest = archive.ReadDigest(from, 2, 1'000, now);
    std::vector<uint64_t> lacking;
    for (const auto& entry : digest.entries) {
      ++named;
      if (other.Lacks(entry.hash)) lacking.push_back(entry.position);
    }
    for (const auto& record : archive.ReadRecords(lacking, 1, now).records)
      other.Apply(record, now);
    for (const auto& record : archive.ReadRecords(lacking, 9'999, now).records)
      other.Apply(record, now);
    from = digest.next;
    more = digest.more;
  }
  CHECK(named == 6);
  CHECK(other.turns() == 5);
  REQUIRE(other.ReservationsOf("p").size() == 1);
  CHECK(other.ReservationsOf("p")[0].tokens == 7);
  // What is settled here stands for its open state.
  CHECK_FALSE(other.Lacks(HashOf(open)));
  CHECK(archive.ReadDigest(0, 10, 0, now).entries.empty());
}

TEST_CASE("an entry of the journal knows when it was written") {
  const ArchiveTime written{12, 1'700'000'000'000};
  TurnRecord turn = Turn("a", "");
  turn.remaining_ms = 5;
  const JournalRecord back = DecodeEntry(EncodeEntry(turn, written));
  CHECK(back.written.uptime_ms == 12);
  CHECK(back.written.unix_ms == 1'700'000'000'000);
  CHECK(std::get<TurnRecord>(back.entry).remaining_ms == 5);
}

TEST_CASE("digests and fetches round-trip through the codec") {
  ArchiveCall call;
  call.body = FetchCall{.run = 9, .positions = {3, 4, 70}};
  const ArchiveCall back = DecodeCall(EncodeCall(call));
  CHECK(std::get<FetchCall>(back.body).run == 9);
  CHECK(std::get<FetchCall>(back.body).positions ==
        std::vector<uint64_t>{3, 4, 70});
  ArchiveReply reply{.verdict = ArchiveVerdict::kDone};
  reply.run = 9;
  reply.digest = {{.hash = 1, .position = 3}, {.hash = 2, .position = 70}};
  const ArchiveReply reply_back = DecodeReply(EncodeReply(reply));
  CHECK(reply_back.run == 9);
  REQUIRE(reply_back.digest.size() == 2);
  CHECK(reply_back.digest[1].hash == 2);
  CHECK(reply_back.digest[1].position == 70);
}
