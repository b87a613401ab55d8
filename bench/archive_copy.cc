// What a copy of the archive costs a core: the steps of a record on its way
// from a member to one that joins, without link and disk.
//
//   build/bin/archive-copy 80000
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "src/archive_codec.h"
#include "src/turn_archive.h"

namespace {

using namespace pimento;
using Clock = std::chrono::steady_clock;

constexpr size_t kPageBytes = 64 * 1024;
constexpr size_t kDigestEntries = 4'096;
constexpr int kTurnsOfProgram = 10;
constexpr size_t kTextBytes = 150;
constexpr ArchiveTime kNow{.uptime_ms = 1'000, .unix_ms = 1'000};

// Turns with the reservations that they settle.
TurnArchive Filled(int turns) {
  TurnArchive archive;
  for (int i = 0; i < turns; ++i) {
    const std::string program =
        "program-" + std::to_string(i / kTurnsOfProgram);
    const bool first = i % kTurnsOfProgram == 0;
    archive.Apply(
        TurnRecord{
            .turn = "0123456789ab" + std::to_string(i),
            .previous = first ? "" : "0123456789ab" + std::to_string(i - 1),
            .team = "quilters",
            .input = std::string(kTextBytes, 'i'),
            .output = std::string(kTextBytes, 'o'),
            .upstream = "i-0123456789",
            .retain_ms = 60'000,
            .program = program,
            .tokens = 100},
        kNow);
  }
  return archive;
}

struct Step {
  const char* name;
  Clock::duration took{};
  template <class Work>
  auto Run(Work work) {
    const auto began = Clock::now();
    auto result = work();
    took += Clock::now() - began;
    return result;
  }
};

}  // namespace

int main(int argc, char** argv) {
  const int turns = argc > 1 ? std::atoi(argv[1]) / 2 : 40'000;
  const TurnArchive source = Filled(turns);
  TurnArchive copy;
  Step digest{"read digest"};
  Step read{"read records"};
  Step encode{"encode page"};
  Step decode{"decode page"};
  Step apply{"apply"};
  Step journal{"encode entries"};
  size_t records = 0;
  size_t bytes = 0;
  std::vector<uint64_t> positions;
  for (uint64_t from = 0;;) {
    const auto page = digest.Run([&] {
      return source.ReadDigest(from, kDigestEntries, 0, kNow,
                               RecordScope::kAll);
    });
    for (const auto& entry : page.entries) positions.push_back(entry.position);
    from = page.next;
    if (!page.more) break;
  }
  while (!positions.empty()) {
    auto page = read.Run([&] {
      return source.ReadRecords(positions, kPageBytes, kNow, RecordScope::kAll);
    });
    positions.erase(positions.begin(),
                    positions.begin() + static_cast<ptrdiff_t>(page.next));
    ArchiveReply reply;
    for (auto& record : page.records) {
      if (auto* turn = std::get_if<TurnRecord>(&record))
        reply.turns.push_back(std::move(*turn));
      else
        reply.reservations.push_back(std::get<TokenReservation>(record));
    }
    const std::string encoded = encode.Run([&] { return EncodeReply(reply); });
    bytes += encoded.size();
    const ArchiveReply got = decode.Run([&] { return DecodeReply(encoded); });
    apply.Run([&] {
      for (const auto& record : got.reservations) copy.Apply(record, kNow);
      for (const auto& record : got.turns) copy.Apply(record, kNow);
      return 0;
    });
    records += got.reservations.size() + got.turns.size();
    journal.Run([&] {
      size_t entries = 0;
      for (const auto& record : got.reservations)
        entries += EncodeEntry(record, kNow).size();
      for (const auto& record : got.turns)
        entries += EncodeEntry(record, kNow).size();
      return entries;
    });
  }
  std::printf("%zu records, %zu bytes of pages\n", records, bytes);
  for (const Step& step : {digest, read, encode, decode, apply, journal}) {
    const double us =
        std::chrono::duration<double, std::micro>(step.took).count();
    std::printf("%-16s %6.2f us a record\n", step.name,
                us / static_cast<double>(records));
  }
  return copy.turns() == source.turns() ? 0 : 1;
}
