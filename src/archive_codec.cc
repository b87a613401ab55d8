#include "src/archive_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

#include "schema/fleet.capnp.h"
#include "src/errors.h"

namespace pimento {
namespace {

// The first segment of the message that is being built: most messages fit. One
// of Cap'n Proto's own would be allocated and cleared for each.
kj::ArrayPtr<capnp::word> FirstSegment() {
  constexpr size_t kWords = 1'024;
  // All zero between two messages, as MallocMessageBuilder requires and leaves
  // it.
  thread_local capnp::word words[kWords] = {};
  return kj::arrayPtr(words, kWords);
}

std::string Serialize(capnp::MessageBuilder& message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Copies a message to word-aligned memory, which Cap'n Proto requires.
class Reader {
 public:
  explicit Reader(const std::string& bytes)
      : words_(kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word))),
        message_(CopyToWords(bytes, words_), Options()) {}
  // Size of the message.
  size_t words() const { return words_.size(); }
  template <class T>
  typename T::Reader Root() {
    return message_.getRoot<T>();
  }

 private:
  static kj::ArrayPtr<const capnp::word> CopyToWords(
      const std::string& bytes, kj::Array<capnp::word>& words) {
    memcpy(words.begin(), bytes.data(), words.size() * sizeof(capnp::word));
    return words.asPtr();
  }
  static capnp::ReaderOptions Options() {
    capnp::ReaderOptions options;
    // Bounds the work that a malformed message can cause. A page of records is
    // smaller.
    options.traversalLimitInWords = 8 * 1024 * 1024;
    return options;
  }

  kj::Array<capnp::word> words_;
  capnp::FlatArrayMessageReader message_;
};

std::string Text(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}
std::string Bytes(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}
capnp::Data::Reader DataOf(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

void Fill(wire::Reservation::Builder out, const TokenReservation& reservation) {
  out.setProgram(reservation.program);
  out.setTurn(reservation.turn);
  out.setTokens(reservation.tokens);
  out.setSettled(reservation.settled);
  out.setTeam(reservation.team);
  out.setRemainingMs(static_cast<uint64_t>(reservation.remaining_ms));
}

// A time that another process wrote, milliseconds.
int64_t TimeMs(uint64_t ms) {
  constexpr uint64_t kMaxMs = 1'000'000'000'000'000;
  return static_cast<int64_t>(std::min(ms, kMaxMs));
}

TokenReservation Read(wire::Reservation::Reader in) {
  return {.program = Text(in.getProgram()),
          .turn = Text(in.getTurn()),
          .tokens = in.getTokens(),
          .settled = in.getSettled(),
          .team = Text(in.getTeam()),
          .remaining_ms = TimeMs(in.getRemainingMs())};
}

void Fill(wire::TurnRecord::Builder out, const TurnRecord& record) {
  out.setTurn(record.turn);
  out.setPrevious(record.previous);
  out.setTeam(record.team);
  out.setInput(DataOf(record.input));
  out.setOutput(DataOf(record.output));
  out.setUpstream(record.upstream);
  out.setRetainMs(static_cast<uint64_t>(record.retain_ms));
  out.setProgram(record.program);
  out.setTokens(record.tokens);
  out.setRemainingMs(static_cast<uint64_t>(record.remaining_ms));
}

TurnRecord Read(wire::TurnRecord::Reader in) {
  return {.turn = Text(in.getTurn()),
          .previous = Text(in.getPrevious()),
          .team = Text(in.getTeam()),
          .input = Bytes(in.getInput()),
          .output = Bytes(in.getOutput()),
          .upstream = Text(in.getUpstream()),
          .retain_ms = static_cast<int64_t>(in.getRetainMs()),
          .program = Text(in.getProgram()),
          .tokens = in.getTokens(),
          .remaining_ms = TimeMs(in.getRemainingMs())};
}

template <class List, class Values>
void FillList(List out, const Values& values) {
  for (unsigned i = 0; i < out.size(); ++i) out.set(i, values[i]);
}

// Sets the union member of the message that corresponds to the call.
struct CallEncoder {
  wire::ArchiveCall::Builder out;
  void operator()(const PingCall&) { out.setPing(); }
  void operator()(const TokenReservation& call) {
    Fill(call.settled ? out.initSettle() : out.initReserve(), call);
  }
  void operator()(const CollectCall& call) { out.setCollect(call.program); }
  void operator()(const TurnRecord& call) { Fill(out.initKeep(), call); }
  void operator()(const HistoryCall& call) {
    auto history = out.initHistory();
    history.setTurn(call.turn);
    history.setTeam(call.team);
  }
  void operator()(const FenceCall& call) { out.setFence(call.version); }
  void operator()(const CopyCall& call) { out.setCopy(call.from); }
  void operator()(const DigestCall& call) {
    out.setDigest(call.from);
    out.setWhole(call.scope == RecordScope::kAll);
  }
  void operator()(const FetchCall& call) {
    out.setWhole(call.scope == RecordScope::kAll);
    auto fetch = out.initFetch();
    fetch.setRun(call.run);
    FillList(fetch.initPositions(call.positions.size()), call.positions);
  }
};

// The list, unless it has more elements than fit into the message. Elements
// without size take no bytes there.
template <class List>
List Checked(List list, const Reader& reader) {
  if (list.size() > reader.words())
    throw StateError("An archive message of " + std::to_string(reader.words()) +
                     " words has a list of " + std::to_string(list.size()) +
                     " elements.");
  return list;
}

RecordScope ScopeOf(bool whole) {
  return whole ? RecordScope::kAll : RecordScope::kSettled;
}

FetchCall Read(wire::FetchCall::Reader in, bool whole, const Reader& reader) {
  FetchCall call{.run = in.getRun(), .positions = {}, .scope = ScopeOf(whole)};
  for (const uint64_t position : Checked(in.getPositions(), reader))
    call.positions.push_back(position);
  return call;
}

// Entries whose hash or position is missing are left out.
std::vector<TurnArchive::DigestEntry> ReadDigest(wire::ArchiveReply::Reader in,
                                                 const Reader& reader) {
  std::vector<TurnArchive::DigestEntry> digest;
  const auto hashes = Checked(in.getHashes(), reader);
  const auto positions = Checked(in.getPositions(), reader);
  for (unsigned i = 0; i < hashes.size() && i < positions.size(); ++i)
    digest.push_back({.hash = hashes[i], .position = positions[i]});
  return digest;
}

ArchiveCall ReadCall(wire::ArchiveCall::Reader in, const Reader& reader) {
  ArchiveCall call;
  call.list_version = in.getListVersion();
  switch (in.which()) {
    case wire::ArchiveCall::RESERVE:
      call.body = Read(in.getReserve());
      break;
    case wire::ArchiveCall::COLLECT:
      call.body = CollectCall{Text(in.getCollect())};
      break;
    case wire::ArchiveCall::SETTLE:
      call.body = Read(in.getSettle());
      break;
    case wire::ArchiveCall::KEEP:
      call.body = Read(in.getKeep());
      break;
    case wire::ArchiveCall::HISTORY:
      call.body = HistoryCall{Text(in.getHistory().getTurn()),
                              Text(in.getHistory().getTeam())};
      break;
    case wire::ArchiveCall::FENCE:
      call.body = FenceCall{in.getFence()};
      break;
    case wire::ArchiveCall::COPY:
      call.body = CopyCall{in.getCopy()};
      break;
    case wire::ArchiveCall::DIGEST:
      call.body = DigestCall{in.getDigest(), ScopeOf(in.getWhole())};
      break;
    case wire::ArchiveCall::FETCH:
      call.body = Read(in.getFetch(), in.getWhole(), reader);
      break;
    case wire::ArchiveCall::PING:
      break;
  }
  return call;
}

// Runs `work` on a reader of `bytes` and turns Cap'n Proto errors into
// StateError.
template <class Work>
auto DecodeMessage(const std::string& bytes, Work work) {
  try {
    Reader reader(bytes);
    return work(reader);
  } catch (const kj::Exception& e) {
    throw StateError(std::string("An archive message could not be decoded: ") +
                     e.getDescription().cStr());
  }
}

// `written` is set in the journal.
std::string EncodeMessage(const ArchiveCall& call, ArchiveTime written) {
  capnp::MallocMessageBuilder message(FirstSegment());
  auto out = message.initRoot<wire::ArchiveCall>();
  out.setListVersion(call.list_version);
  out.setUptimeMs(static_cast<uint64_t>(written.uptime_ms));
  out.setUnixMs(static_cast<uint64_t>(written.unix_ms));
  std::visit(CallEncoder{out}, call.body);
  return Serialize(message);
}

}  // namespace

std::string EncodeCall(const ArchiveCall& call) {
  return EncodeMessage(call, ArchiveTime{});
}

std::string EncodeReply(const ArchiveReply& reply) {
  capnp::MallocMessageBuilder message(FirstSegment());
  auto out = message.initRoot<wire::ArchiveReply>();
  out.setVerdict(static_cast<wire::ArchiveReply::Verdict>(reply.verdict));
  out.setMemberId(reply.member);
  out.setListVersion(reply.list_version);
  out.setIntact(reply.intact);
  auto reservations = out.initReservations(reply.reservations.size());
  for (unsigned i = 0; i < reservations.size(); ++i)
    Fill(reservations[i], reply.reservations[i]);
  auto turns = out.initTurns(reply.turns.size());
  for (unsigned i = 0; i < turns.size(); ++i) Fill(turns[i], reply.turns[i]);
  out.setMissing(reply.missing);
  out.setNext(reply.next);
  out.setMore(reply.more);
  out.setMembers(reply.members);
  out.setStoreOverdueMs(reply.store_overdue_ms);
  out.setRun(reply.run);
  out.setWhole(reply.scope == RecordScope::kAll);
  auto hashes = out.initHashes(reply.digest.size());
  auto positions = out.initPositions(reply.digest.size());
  for (unsigned i = 0; i < hashes.size(); ++i) {
    hashes.set(i, reply.digest[i].hash);
    positions.set(i, reply.digest[i].position);
  }
  return Serialize(message);
}

ArchiveCall DecodeCall(const std::string& bytes) {
  return DecodeMessage(bytes, [](Reader& reader) {
    return ReadCall(reader.Root<wire::ArchiveCall>(), reader);
  });
}

ArchiveReply DecodeReply(const std::string& bytes) {
  return DecodeMessage(bytes, [](Reader& reader) {
    const auto in = reader.Root<wire::ArchiveReply>();
    ArchiveReply reply;
    reply.verdict = static_cast<ArchiveVerdict>(in.getVerdict());
    reply.member = in.getMemberId();
    reply.list_version = in.getListVersion();
    reply.intact = in.getIntact();
    for (const auto reservation : Checked(in.getReservations(), reader))
      reply.reservations.push_back(Read(reservation));
    for (const auto turn : Checked(in.getTurns(), reader))
      reply.turns.push_back(Read(turn));
    reply.missing = Text(in.getMissing());
    reply.next = in.getNext();
    reply.more = in.getMore();
    reply.members = Text(in.getMembers());
    reply.store_overdue_ms = in.getStoreOverdueMs();
    reply.run = in.getRun();
    reply.scope = ScopeOf(in.getWhole());
    reply.digest = ReadDigest(in, reader);
    return reply;
  });
}

std::string EncodeEntry(const JournalEntry& entry, ArchiveTime written) {
  ArchiveCall call;
  std::visit([&call](const auto& body) { call.body = body; }, entry);
  return EncodeMessage(call, written);
}

JournalRecord DecodeEntry(const std::string& bytes) {
  return DecodeMessage(bytes, [](Reader& reader) {
    const auto in = reader.Root<wire::ArchiveCall>();
    const ArchiveCall call = ReadCall(in, reader);
    JournalRecord record;
    record.written = {.uptime_ms = TimeMs(in.getUptimeMs()),
                      .unix_ms = TimeMs(in.getUnixMs())};
    if (const auto* body = std::get_if<TokenReservation>(&call.body))
      record.entry = *body;
    else if (const auto* body = std::get_if<TurnRecord>(&call.body))
      record.entry = *body;
    else if (const auto* body = std::get_if<FenceCall>(&call.body))
      record.entry = *body;
    else
      throw StateError("The journal entry has an unexpected type.");
    return record;
  });
}

}  // namespace pimento
