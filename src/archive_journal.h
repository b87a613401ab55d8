// The archive's records on disk: an append-only journal in segments.
//
//   DIR/member        the member's id, written once
//   DIR/00000007.log  entries: length, checksum, bytes
//
// An entry counts once Append() has returned: its bytes and the segment's name
// are synced. After a loss of power what was not synced may be missing or torn;
// Replay() stops at the first entry whose checksum is wrong, and new entries go
// to a new segment.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pimento {

class ArchiveJournal {
 public:
  explicit ArchiveJournal(std::string dir);
  ~ArchiveJournal();
  ArchiveJournal(const ArchiveJournal&) = delete;
  ArchiveJournal& operator=(const ArchiveJournal&) = delete;

  // The member's id; draws and keeps one where there is none. Throws
  // StateError when the disk cannot be used.
  uint64_t MemberId();
  // Calls `visit` with the bytes of each entry, oldest first.
  void Replay(const std::function<void(const std::string&)>& visit);
  // Writes entries and syncs them. Throws StateError.
  void Append(const std::vector<std::string>& entries);
  // Removes segments whose last entry is older than `retention_ms`.
  void RemoveExpired(int64_t now_ms, int64_t retention_ms);
  uint64_t bytes() const { return bytes_; }

 private:
  struct Segment {
    uint64_t number = 0;
    uint64_t bytes = 0;
    int64_t last_write_ms = 0;
  };
  std::string SegmentPath(uint64_t number) const;
  void OpenNextSegment();
  void ReplaySegment(Segment& segment,
                     const std::function<void(const std::string&)>& visit);

  std::string dir_;
  int fd_ = -1;
  std::vector<Segment> segments_;
  uint64_t bytes_ = 0;
};

}  // namespace pimento
