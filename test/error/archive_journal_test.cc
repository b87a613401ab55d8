// The archive's journal after restarts, torn writes and corruption.
#include "src/archive_journal.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>

namespace {

using namespace pimento;

class TempDir {
 public:
  TempDir() {
    char name[] = "/tmp/pimento-journal-XXXXXX";
    path_ = mkdtemp(name);
  }
  ~TempDir() { std::filesystem::remove_all(path_); }
  std::string path() const { return path_ + "/data"; }

 private:
  std::string path_;
};

std::vector<std::string> ReplayAll(const std::string& dir) {
  ArchiveJournal journal(dir);
  std::vector<std::string> entries;
  journal.Replay(
      [&entries](const std::string& entry) { entries.push_back(entry); });
  return entries;
}

std::string OnlySegment(const std::string& dir) {
  return dir + "/00000001.log";
}

}  // namespace

TEST_CASE("appended entries are replayed in order across restarts") {
  TempDir dir;
  {
    ArchiveJournal journal(dir.path());
    journal.Append({"one", "two"});
  }
  {
    ArchiveJournal journal(dir.path());
    journal.Replay([](const std::string&) {});
    journal.Append({"three"});
  }
  CHECK(ReplayAll(dir.path()) ==
        std::vector<std::string>{"one", "two", "three"});
}

TEST_CASE("the member id outlives the process and is lost with the disk") {
  TempDir dir;
  const uint64_t id = ArchiveJournal(dir.path()).MemberId();
  CHECK(id != 0);
  CHECK(ArchiveJournal(dir.path()).MemberId() == id);
  std::filesystem::remove_all(dir.path());
  CHECK(ArchiveJournal(dir.path()).MemberId() != id);
}

TEST_CASE("a truncated id file is replaced by a new id") {
  TempDir dir;
  const uint64_t id = ArchiveJournal(dir.path()).MemberId();
  std::filesystem::resize_file(dir.path() + "/member", 7);
  CHECK(ArchiveJournal(dir.path()).MemberId() != id);
}

TEST_CASE("truncation at any byte loses neither earlier nor later entries") {
  TempDir dir;
  {
    ArchiveJournal journal(dir.path());
    journal.Append({"first entry"});
    journal.Append({"second entry"});
  }
  const auto whole = std::filesystem::file_size(OnlySegment(dir.path()));
  for (auto size = whole; size-- > 0;) {
    std::filesystem::resize_file(OnlySegment(dir.path()), size);
    const auto entries = ReplayAll(dir.path());
    CAPTURE(size);
    REQUIRE(entries.size() <= 1);
    if (!entries.empty()) CHECK(entries[0] == "first entry");
    // A header of 16 bytes and a text of 11.
    CHECK(entries.empty() == (size < 27));
  }
  ArchiveJournal journal(dir.path());
  journal.Replay([](const std::string&) {});
  journal.Append({"after the loss of power"});
  CHECK(ReplayAll(dir.path()).back() == "after the loss of power");
}

TEST_CASE("a corrupted byte never yields a corrupt entry") {
  std::mt19937 random(7);
  for (int round = 0; round < 60; ++round) {
    TempDir dir;
    {
      ArchiveJournal journal(dir.path());
      journal.Append({"aaaaaaaa", "bbbbbbbb", "cccccccc"});
    }
    std::fstream file(OnlySegment(dir.path()),
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(random() % 72));
    file.put(static_cast<char>(random() % 256));
    file.close();
    for (const auto& entry : ReplayAll(dir.path())) {
      const bool known =
          entry == "aaaaaaaa" || entry == "bbbbbbbb" || entry == "cccccccc";
      CHECK(known);
    }
  }
}

TEST_CASE("segments are removed once their last entry has expired") {
  TempDir dir;
  ArchiveJournal journal(dir.path());
  journal.Append({std::string(17 * 1024 * 1024, 'x')});
  journal.Append({"young"});
  CHECK(journal.bytes() > 17 * 1024 * 1024);
  journal.RemoveExpired(4'000'000'000'000, 1'000);
  CHECK(journal.bytes() < 1'024);
  CHECK(ReplayAll(dir.path()) == std::vector<std::string>{"young"});
}
