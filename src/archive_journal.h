// The archive's journal: an append-only log on disk, split into segments.
//
//   DIR/member        the member's id and its checksum, written once
//   DIR/00000007.log  a segment: entries, each with a header (length, checksum)
//
// An entry is durable once Append() has returned: its bytes and the segment's
// directory entry are synced. After a power loss, entries that were not synced
// may be missing or torn. Replay() therefore stops reading a segment at the
// first entry with a bad length or checksum, and Append() never writes to a
// segment of an earlier run.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pimento {

class ArchiveJournal {
 public:
  // Creates `dir` where it does not exist. Throws StateError.
  explicit ArchiveJournal(std::string dir);
  ~ArchiveJournal();
  ArchiveJournal(const ArchiveJournal&) = delete;
  ArchiveJournal& operator=(const ArchiveJournal&) = delete;

  // Returns the member id stored in the directory; generates and stores a
  // random one when there is none. Throws StateError on an I/O error.
  uint64_t MemberId();
  // Calls `visit` with the bytes of each entry, oldest first. Must run before
  // the first Append() when the directory holds segments. `between` is called
  // now and then, before each segment and after some entries; what it throws
  // ends the replay.
  void Replay(
      const std::function<void(const std::string&)>& visit,
      const std::function<void()>& between = [] {});
  // Writes entries and syncs them. Throws StateError on an I/O error; any of
  // the entries may then be missing from the journal.
  void Append(const std::vector<std::string>& entries);
  // Removes segments last written more than `retention_ms` before `now_ms`
  // (Unix time, milliseconds), except the newest one. Throws StateError.
  void RemoveExpired(int64_t now_ms, int64_t retention_ms);
  // Total size of the segments.
  uint64_t bytes() const { return bytes_; }

 private:
  struct Segment {
    uint64_t number = 0;
    uint64_t bytes = 0;
    // Unix time. For a segment of an earlier run, the time of the replay.
    int64_t last_write_ms = 0;
  };
  std::string SegmentPath(uint64_t number) const;
  void OpenNextSegment();
  void ReplaySegment(Segment& segment,
                     const std::function<void(const std::string&)>& visit,
                     const std::function<void()>& between);

  std::string dir_;
  // The last of `segments_`, open for appending; -1 when the next Append() must
  // create a segment.
  int fd_ = -1;
  // Sorted by number.
  std::vector<Segment> segments_;
  uint64_t bytes_ = 0;
};

}  // namespace pimento
