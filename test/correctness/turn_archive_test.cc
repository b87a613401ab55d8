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
    const auto page = archive.ReadPage(from, 2'000);
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
