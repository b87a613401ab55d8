#include "src/archive_journal.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "src/errors.h"
#include "src/event_log.h"

namespace pimento {
namespace {

constexpr uint64_t kMaxSegmentBytes = 16ULL * 1024 * 1024;
// Files with higher numbers are not the journal's own.
constexpr uint64_t kMaxSegmentNumber = 1'000'000'000'000;
constexpr uint32_t kMaxEntryBytes = 64 * 1024 * 1024;
// Entries that a replay visits between two calls of `between`.
constexpr size_t kEntriesBetween = 256;

// On-disk format, in host byte order.
struct EntryHeader {
  uint32_t length = 0;
  uint32_t reserved = 0;
  // XXH3 of the entry's bytes.
  uint64_t checksum = 0;
};

[[noreturn]] void Fail(const std::string& what, const std::string& path) {
  throw StateError(what + " " + path + " failed: " + std::strerror(errno));
}

void WriteAll(int fd, const std::string& bytes, const std::string& path) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t wrote = write(fd, bytes.data() + done, bytes.size() - done);
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote <= 0) Fail("Writing", path);
    done += static_cast<size_t>(wrote);
  }
}

void SyncDirectory(const std::string& dir) {
  const int fd = open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) Fail("Opening", dir);
  const int result = fsync(fd);
  close(fd);
  if (result != 0) Fail("Syncing", dir);
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Appends the entry with its header to `out`.
void AppendFrame(const std::string& entry, std::string& out) {
  EntryHeader header;
  header.length = static_cast<uint32_t>(entry.size());
  header.checksum = XXH3_64bits(entry.data(), entry.size());
  out.append(reinterpret_cast<const char*>(&header), sizeof header);
  out.append(entry);
}

}  // namespace

ArchiveJournal::ArchiveJournal(std::string dir) : dir_(std::move(dir)) {
  std::error_code error;
  std::filesystem::create_directories(dir_, error);
  if (error) {
    throw StateError("Creating " + dir_ + " failed: " + error.message());
  }
}

ArchiveJournal::~ArchiveJournal() {
  if (fd_ >= 0) close(fd_);
}

uint64_t ArchiveJournal::MemberId() {
  const std::string path = dir_ + "/member";
  std::istringstream held(ReadFile(path));
  uint64_t id = 0;
  uint64_t check = 0;
  // A torn file can be replaced: this member cannot have joined the archive
  // before its id was synced.
  if (held >> id >> check && check == XXH3_64bits(&id, sizeof id)) return id;
  std::random_device random;
  id = (static_cast<uint64_t>(random()) << 32 | random()) >> 1;
  const std::string text = std::to_string(id) + " " +
                           std::to_string(XXH3_64bits(&id, sizeof id)) + "\n";
  const int fd =
      open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) Fail("Creating", path);
  WriteAll(fd, text, path);
  const int result = fsync(fd);
  close(fd);
  if (result != 0) Fail("Syncing", path);
  SyncDirectory(dir_);
  return id;
}

std::string ArchiveJournal::SegmentPath(uint64_t number) const {
  char name[32];
  std::snprintf(name, sizeof name, "%08llu.log",
                static_cast<unsigned long long>(number));
  return dir_ + "/" + name;
}

void ArchiveJournal::ReplaySegment(
    Segment& segment, const std::function<void(const std::string&)>& visit,
    const std::function<void()>& between) {
  between();
  const std::string bytes = ReadFile(SegmentPath(segment.number));
  size_t at = 0;
  size_t visited = 0;
  while (bytes.size() - at >= sizeof(EntryHeader)) {
    EntryHeader header;
    memcpy(&header, bytes.data() + at, sizeof header);
    const size_t start = at + sizeof header;
    if (header.length == 0 || header.length > kMaxEntryBytes ||
        bytes.size() - start < header.length ||
        XXH3_64bits(bytes.data() + start, header.length) != header.checksum) {
      break;
    }
    visit(bytes.substr(start, header.length));
    if (++visited % kEntriesBetween == 0) between();
    at = start + header.length;
  }
  if (at < bytes.size()) {
    EventLine(Event::kJournal)
        .Text("outcome", "torn_tail")
        .Number("segment", static_cast<int64_t>(segment.number))
        .Number("bytes_left_out", static_cast<int64_t>(bytes.size() - at));
  }
  segment.bytes = bytes.size();
}

void ArchiveJournal::Replay(
    const std::function<void(const std::string&)>& visit,
    const std::function<void()>& between) {
  segments_.clear();
  bytes_ = 0;
  for (const auto& file : std::filesystem::directory_iterator(dir_)) {
    if (file.path().extension() != ".log") continue;
    const uint64_t number =
        std::strtoull(file.path().stem().c_str(), nullptr, 10);
    const bool own = file.is_regular_file() && number <= kMaxSegmentNumber &&
                     file.path().filename() ==
                         std::filesystem::path(SegmentPath(number)).filename();
    if (!own) {
      EventLine(Event::kJournal)
          .Text("outcome", "foreign_file")
          .Text("file", file.path().string());
      continue;
    }
    segments_.push_back(
        {.number = number, .bytes = 0, .last_write_ms = UnixMs()});
  }
  std::sort(
      segments_.begin(), segments_.end(),
      [](const Segment& a, const Segment& b) { return a.number < b.number; });
  for (Segment& segment : segments_) {
    ReplaySegment(segment, visit, between);
    bytes_ += segment.bytes;
  }
}

void ArchiveJournal::OpenNextSegment() {
  if (fd_ >= 0) close(fd_);
  const uint64_t number = segments_.empty() ? 1 : segments_.back().number + 1;
  const std::string path = SegmentPath(number);
  fd_ = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644);
  if (fd_ < 0) Fail("Creating", path);
  segments_.push_back(
      {.number = number, .bytes = 0, .last_write_ms = UnixMs()});
  SyncDirectory(dir_);
}

void ArchiveJournal::Append(const std::vector<std::string>& entries) {
  if (fd_ < 0 || segments_.back().bytes >= kMaxSegmentBytes) OpenNextSegment();
  std::string bytes;
  for (const std::string& entry : entries) AppendFrame(entry, bytes);
  const std::string path = SegmentPath(segments_.back().number);
  try {
    WriteAll(fd_, bytes, path);
    if (fdatasync(fd_) != 0) Fail("Syncing", path);
  } catch (const StateError&) {
    // Replay stops at a torn entry, so later entries go to a new segment.
    close(fd_);
    fd_ = -1;
    throw;
  }
  segments_.back().bytes += bytes.size();
  segments_.back().last_write_ms = UnixMs();
  bytes_ += bytes.size();
}

void ArchiveJournal::RemoveExpired(int64_t now_ms, int64_t retention_ms) {
  bool dropped = false;
  while (segments_.size() > 1 &&
         segments_.front().last_write_ms + retention_ms < now_ms) {
    const std::string path = SegmentPath(segments_.front().number);
    if (unlink(path.c_str()) != 0 && errno != ENOENT) Fail("Removing", path);
    bytes_ -= segments_.front().bytes;
    segments_.erase(segments_.begin());
    dropped = true;
  }
  if (dropped) SyncDirectory(dir_);
}

}  // namespace pimento
