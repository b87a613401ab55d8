// Measures how the CPU, memory and network cost of each part of the system
// grows with its size, and extrapolates it to the target size. Calls the logic
// in one process, without network or disk, and prints Markdown tables for
// docs/CAPACITY.md.
//
//   build/bin/capacity-slopes
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "src/document.h"
#include "src/host_view.h"
#include "src/membership.h"
#include "src/peer_codec.h"
#include "src/program_ledger.h"
#include "src/rate_bucket.h"
#include "src/replica.h"
#include "src/upstream_gate.h"

namespace {

using namespace pimento;
using Clock = std::chrono::steady_clock;

// The users' target: size of the whole system, and limits for the system's own
// cost on one host.
constexpr double kHosts = 820;
constexpr double kEngines = 5'300;
constexpr double kRequestsPerS = 86'000;
constexpr double kPrograms = 1'700'000;
constexpr double kTeams = 4'600;
constexpr double kShards = 4'096;
constexpr double kChangesPerDay = 3'800;
constexpr double kSecondsPerDay = 86'400;
constexpr double kMaxCoreShare = 0.013;
constexpr double kMaxMemoryMb = 128;
constexpr double kMaxNetworkKbPerS = 13;

// Cost `value` measured at one size.
struct Point {
  double size;
  double value;
};

struct Line {
  double base = 0;
  double slope = 0;
  double At(double size) const { return base + slope * size; }
};

// The line through two measured points: the two around `size`, or the last two
// when `size` lies beyond them. A fit through all points would hide a curve.
Line LineAt(const std::vector<Point>& points, double size) {
  size_t upper = 1;
  while (upper + 1 < points.size() && points[upper].size < size) ++upper;
  const Point& a = points[upper - 1];
  const Point& b = points[upper];
  const double slope = (b.value - a.value) / (b.size - a.size);
  return {.base = a.value - slope * a.size, .slope = slope};
}

// Mean time of one call of `work` in microseconds, over `times` calls.
double MicrosEach(int times, const std::function<void()>& work) {
  const auto start = Clock::now();
  for (int i = 0; i < times; ++i) work();
  const std::chrono::duration<double, std::micro> took = Clock::now() - start;
  return took.count() / times;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Prints a table row: the measured points, the slope near the target size and
// the cost at the target size.
void Row(const std::string& what, const std::vector<Point>& points,
         const std::string& unit, double target_size,
         const std::string& target_name) {
  const Line line = LineAt(points, target_size);
  std::string sizes;
  char text[64];
  for (const Point& p : points) {
    std::snprintf(text, sizeof text, "%s%.0f: %.3g", sizes.empty() ? "" : ", ",
                  p.size, p.value);
    sizes += text;
  }
  std::printf("| %s | %s | %s | %.3g | %.3g at %s |\n", what.c_str(),
              unit.c_str(), sizes.c_str(), line.slope,
              std::max(0.0, line.At(target_size)), target_name.c_str());
}

// A host with `shards_each` owned shards.
HostInfo MakeInfo(int index, int shards_each) {
  HostInfo info;
  info.host = "host-" + std::to_string(index);
  info.zone = "zone-" + std::to_string(index % 6);
  info.rpc_address = "10.0.0.1:7000";
  info.http_address = "10.0.0.1:8000";
  info.boot = 1;
  info.counter = 1;
  for (int i = 0; i < shards_each; ++i) {
    info.owned.push_back(
        {.shard = static_cast<uint32_t>(index * shards_each + i),
         .epoch = {.major = 3, .minor = 1}});
  }
  return info;
}

// Size of a gossip message with these entries.
double WireBytes(const std::vector<HostGossip>& news) {
  capnp::MallocMessageBuilder message;
  auto list =
      message.initRoot<capnp::AnyPointer>().initAs<capnp::List<wire::HostNews>>(
          static_cast<unsigned>(news.size()));
  for (unsigned i = 0; i < news.size(); ++i) ToWire(news[i], list[i]);
  return static_cast<double>(capnp::computeSerializedSizeInWords(message) *
                             sizeof(capnp::word));
}

constexpr double kProbesPerS = 5;

// Failure detection and gossip of one host, by number of hosts.
void MembershipRows() {
  std::vector<Point> cpu;
  std::vector<Point> bytes;
  std::vector<Point> memory;
  for (const int hosts : {8, 32, 128, 512}) {
    const double before = HeapBytes();
    Membership self(MakeInfo(0, 5), MembershipOptions{}, 1);
    Membership other(MakeInfo(1, 5), MembershipOptions{}, 2);
    std::vector<HostGossip> all;
    for (int i = 1; i < hosts; ++i)
      all.push_back({.info = MakeInfo(i, 5), .state = {}});
    self.ApplyGossip(all, 0);
    memory.push_back(
        {static_cast<double>(hosts), (HeapBytes() - before) / 1024});
    // Drain the gossip queue to reach the steady state.
    while (self.NextGossip().size() > 1) {
    }
    int64_t now_ms = 0;
    // One probe period: tick, choice of the next probe and gossip both ways.
    const double us = MicrosEach(400, [&] {
      now_ms += 200;
      self.Tick(now_ms);
      self.NextProbe();
      other.ApplyGossip(self.NextGossip(), now_ms);
      self.ApplyGossip(other.NextGossip(), now_ms);
    });
    cpu.push_back({static_cast<double>(hosts), us * kProbesPerS / 1e6 * 100});
    // Once a period a host probes and is probed, with a gossip message in each
    // request and answer: four messages. At about 50 membership changes an hour
    // nearly all of them carry no changes.
    bytes.push_back({static_cast<double>(hosts),
                     WireBytes(self.NextGossip()) * 4 * kProbesPerS / 1024});
  }
  Row("membership, CPU", cpu, "% of a core", kHosts, "820 hosts");
  Row("membership, network, steady state", bytes, "KB/s", kHosts, "820 hosts");
  Row("membership, memory", memory, "KB", kHosts, "820 hosts");
}

// Search for shards without an owner, by number of shards.
void OwnerRows() {
  std::vector<Point> cpu;
  for (const int shards : {64, 256, 1024, 4096}) {
    const int hosts = std::max(3, shards / 5);
    std::vector<HostGossip> all;
    for (int i = 0; i < hosts; ++i)
      all.push_back({.info = MakeInfo(i, 5), .state = {}});
    const HostView view(all, "host-0");
    // A host looks up the owner of every shard in each tick, every 150 ms.
    const double us = MicrosEach(3, [&] {
      for (uint32_t shard = 0; shard < static_cast<uint32_t>(shards); ++shard) {
        view.OwnerOf(shard);
      }
    });
    cpu.push_back({static_cast<double>(shards), us / 0.15 / 1e6 * 100});
  }
  Row("shards, looking for one without an owner, CPU", cpu, "% of a core",
      kShards, "4,096 shards");
}

// Storage of records on a shard member, by number of records.
void RecordRows() {
  std::vector<Point> cpu;
  std::vector<Point> memory;
  for (const int records : {1'000, 10'000, 100'000}) {
    const double before = HeapBytes();
    const Member self{.host = "host-0", .boot = 1};
    Replica replica(self);
    AppendRequest request{.shard = 1,
                          .epoch = {.major = 1, .minor = 0},
                          .holder = self,
                          .target = self,
                          .list = {},
                          .records = {}};
    int key = 0;
    const double us = MicrosEach(records, [&] {
      request.records = {{.key = CallKey("0001-00000000000000aa",
                                         static_cast<uint32_t>(++key)),
                          .epoch = request.epoch,
                          .version = 1,
                          .value = std::string(300, 'x')}};
      ++request.number;
      // Includes encoding and decoding of the message.
      capnp::MallocMessageBuilder message;
      ToWire(request, message.initRoot<wire::AppendRequest>());
      replica.Append(
          FromWire(message.getRoot<wire::AppendRequest>().asReader()));
    });
    cpu.push_back({static_cast<double>(records), us});
    memory.push_back(
        {static_cast<double>(records), (HeapBytes() - before) / 1024 / 1024});
  }
  Row("records of 300 B, CPU for one append at a witness", cpu, "us", 100'000,
      "100,000 records");
  Row("records of 300 B, memory", memory, "MB", 100'000, "100,000 records");
}

// Memory and periodic sweep of the program ledger, by number of programs.
void ProgramRows() {
  std::vector<Point> memory;
  std::vector<Point> sweep;
  for (const int programs : {1'000, 10'000, 50'000}) {
    const double before = HeapBytes();
    ProgramLedger ledger;
    for (int i = 0; i < programs; ++i) {
      const std::string id = ProgramId(1, std::to_string(i));
      ProgramRecord record;
      record.team = "team";
      record.deadline_ms = INT64_MAX;
      record.budget_calls = 200;
      ledger.Apply(MakeRecord(id, record));
      CallRecord call;
      call.state = CallState::kDone;
      call.input = std::string(100, 'i');
      call.output = std::string(200, 'o');
      call.service = "chat";
      call.upstream = "e1";
      call.max_tokens = 50;
      for (uint32_t sequence = 1; sequence <= 4; ++sequence) {
        ledger.Apply(MakeRecord(id, sequence, call));
      }
    }
    memory.push_back(
        {static_cast<double>(programs), (HeapBytes() - before) / 1024 / 1024});
    const double us = MicrosEach(5, [&] {
      ledger.Overdue(1);
      ledger.PendingReleases();
      ledger.Removable(0);
    });
    sweep.push_back({static_cast<double>(programs), us * 4 / 1e6 * 100});
  }
  Row("programs of 4 calls, memory in the ledger", memory, "MB",
      kPrograms / kHosts, "2,073 programs a host");
  Row("programs, sweep four times a second, CPU", sweep, "% of a core",
      kPrograms / kHosts, "2,073 programs a host");
}

// A configuration document with `teams` teams.
std::string MakeDocument(int teams) {
  std::string text =
      "[environment]\nname = production\nshards = 64\n[service chat]\nkind = "
      "engine\n";
  for (int i = 0; i < teams; ++i) {
    text += "[team t" + std::to_string(i) +
            "]\nrate = 20/s\nburst = 40\nkeys = " +
            KeyDigest("key-" + std::to_string(i)) + "\nservices = chat\n";
  }
  return text;
}

// Configuration document and key look-ups, by number of teams.
void TeamRows() {
  std::vector<Point> parse;
  std::vector<Point> look_up;
  std::vector<Point> bytes;
  for (const int teams : {8, 500, 2'000, 4'600}) {
    const std::string text = MakeDocument(teams);
    Document document;
    const double us =
        MicrosEach(3, [&] { document = Document::Parse(text, "d"); });
    parse.push_back({static_cast<double>(teams), us / 1000});
    const std::string digest = KeyDigest("key-7");
    const double each = MicrosEach(200, [&] { document.TeamOfDigest(digest); });
    look_up.push_back({static_cast<double>(teams),
                       each * kRequestsPerS / kHosts / 1e6 * 100});
    bytes.push_back({static_cast<double>(teams),
                     static_cast<double>(text.size()) * kChangesPerDay /
                         kSecondsPerDay / 1024});
  }
  Row("document, one parse", parse, "ms", kTeams, "4,600 teams");
  Row("keys, look-up at 105 requests/s, CPU", look_up, "% of a core", kTeams,
      "4,600 teams");
  Row("document, whole text at 3,800 changes a day, network", bytes, "KB/s",
      kTeams, "4,600 teams");
}

// Rate buckets by number of teams, and upstream gates by number of waiting
// calls.
void AdmissionRows() {
  std::vector<Point> bucket_cpu;
  for (const int teams : {8, 500, 4'600}) {
    std::vector<RateBucket> buckets(
        static_cast<size_t>(teams),
        RateBucket({.per_second = 20, .burst = 40}, 0));
    size_t next = 0;
    int64_t now_us = 1'000'000;
    const double us = MicrosEach(20'000, [&] {
      RateBucket& bucket = buckets[next++ % buckets.size()];
      now_us += 50;
      if (bucket.TryAcquire(now_us, 1).unrecorded > 0)
        bucket.OnMarkRecorded(bucket.MarkFor(now_us, 1));
    });
    bucket_cpu.push_back({static_cast<double>(teams), us});
  }
  Row("rate, CPU for one grant", bucket_cpu, "us", kTeams, "4,600 teams");
  std::vector<Point> gate_cpu;
  for (const int waiting : {8, 64, 256}) {
    UpstreamGate gate({}, 0);
    uint64_t ticket = 0;
    const auto enqueue_call = [&] {
      WaitingCall call;
      call.ticket = ++ticket;
      call.host = "h";
      call.team = "t" + std::to_string(ticket % 8);
      call.program = "p";
      call.wait_deadline_ms = INT64_MAX;
      gate.Enqueue(call, 1'000);
    };
    for (int i = 0; i < waiting; ++i) enqueue_call();
    const double us = MicrosEach(5'000, [&] {
      for (const WaitingCall& call : gate.GrantWaiting(10'000)) {
        gate.OnCallEnded({.ticket = call.ticket,
                          .succeeded = true,
                          .tokens = 10,
                          .pace_ms = 5},
                         10'000);
        enqueue_call();
      }
    });
    gate_cpu.push_back({static_cast<double>(waiting), us});
  }
  Row("slots, CPU for one grant", gate_cpu, "us", 64, "64 waiting");
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options(
      "capacity-slopes",
      "Measures how costs grow with size, for docs/CAPACITY.md.");
  options.add_options()("help", "show this text");
  if (options.parse(argc, argv).count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  std::printf(
      "Limits a node: %.1f%% of a core, %.0f MB, %.0f KB/s. Target: %.0f "
      "hosts, %.0f "
      "engines.\n\n",
      kMaxCoreShare * 100, kMaxMemoryMb, kMaxNetworkKbPerS, kHosts, kEngines);
  std::printf(
      "| role | unit | measured at size: value | slope | at the target |\n");
  std::printf("| --- | --- | --- | --- | --- |\n");
  MembershipRows();
  OwnerRows();
  RecordRows();
  ProgramRows();
  TeamRows();
  AdmissionRows();
  return 0;
}
