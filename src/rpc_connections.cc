#include "src/rpc_connections.h"

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <climits>
#include <sstream>
#include <utility>

#include "src/boot_clock.h"
#include "src/log.h"

namespace pimento {
namespace {

using capnp::rpc::twoparty::VatId;

const Log kLog("rpc");

// A message is read in pieces of this size, so that it shows whether its sender
// moves.
constexpr size_t kPieceBytes = 64 * 1024;
// While there is no room for a message, it is looked for so often.
constexpr int64_t kRoomIntervalMs = 20;
// A new connection waits no longer for one to give way.
constexpr int64_t kMaxWaitForPlaceMs = 1'000;
// Calls that are not answered yet may hold this share of the budget on one
// connection.
constexpr uint64_t kConnectionShare = 2;
constexpr uint64_t kWordBytes = sizeof(capnp::word);
constexpr size_t kNumberBytes = 4;

}  // namespace

// The stream of one connection, on the account.
class RpcConnections::CountedStream final : public kj::AsyncIoStream {
 public:
  CountedStream(RpcConnections& owner, kj::Own<kj::AsyncIoStream> inner,
                ConnectionPlaces::Id place)
      : owner_(owner),
        inner_(kj::mv(inner)),
        place_(place),
        holder_(owner.account_.Add(SteadyMs())) {}
  ~CountedStream() noexcept(false) { owner_.account_.Remove(holder_); }

  ByteAccount::HolderId holder() const { return holder_; }

  kj::Promise<size_t> tryRead(void* buffer, size_t min_bytes,
                              size_t max_bytes) override {
    // The message before was handed on.
    if (part_ == Part::kHeader) {
      message_bytes_ = 0;
      Update();
    }
    auto read = ReadRest(buffer, min_bytes, max_bytes, 0);
    if (part_ == Part::kBody)
      read = owner_.timer_.timeoutAfter(
          owner_.options_.message_ms * kj::MILLISECONDS, kj::mv(read));
    return read.then([this, buffer, min_bytes](size_t got) {
      return got < min_bytes ? kj::Promise<size_t>(got)
                             : PassOn(static_cast<kj::byte*>(buffer), got);
    });
  }

  kj::Promise<void> write(const void* buffer, size_t size) override {
    return inner_->write(buffer, size);
  }
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    return inner_->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return inner_->whenWriteDisconnected();
  }
  void shutdownWrite() override { inner_->shutdownWrite(); }
  void abortRead() override { inner_->abortRead(); }
  void getsockopt(int level, int option, void* value,
                  kj::uint* length) override {
    inner_->getsockopt(level, option, value, length);
  }
  void setsockopt(int level, int option, const void* value,
                  kj::uint length) override {
    inner_->setsockopt(level, option, value, length);
  }
  kj::Maybe<int> getFd() const override { return inner_->getFd(); }

  void AddCall(uint64_t bytes) {
    ++calls_;
    call_bytes_ += bytes;
    Update();
    NoteUse(HolderStage::kInProgress, PlaceUse::kBusy);
  }
  void RemoveCall(uint64_t bytes) {
    --calls_;
    call_bytes_ -= bytes;
    Update();
    if (calls_ == 0) NoteUse(HolderStage::kReading, PlaceUse::kIdle);
  }

 private:
  // What the library reads next. It takes memory for a whole body as soon as it
  // knows the length.
  enum class Part : uint8_t { kHeader, kTable, kBody };

  // Called with a whole part of a message, before the library sees it.
  kj::Promise<size_t> PassOn(const kj::byte* bytes, size_t size) {
    if (part_ == Part::kBody) {
      part_ = Part::kHeader;
      return size;
    }
    // The number of segments less one and their lengths in words; all are
    // numbers of 32 bits, least byte first.
    size_t at = 0;
    if (part_ == Part::kHeader) {
      tables_left_ = Number(bytes) + 1ULL;
      body_words_ = 0;
      at = kNumberBytes;
    }
    for (; tables_left_ > 0 && at + kNumberBytes <= size; at += kNumberBytes) {
      body_words_ += Number(bytes + at);
      --tables_left_;
    }
    part_ = tables_left_ > 0 ? Part::kTable : Part::kBody;
    if (part_ == Part::kTable) return size;
    const uint64_t body_bytes = body_words_ * kWordBytes;
    if (body_bytes == 0) part_ = Part::kHeader;
    if (body_bytes > owner_.options_.budget)
      return KJ_EXCEPTION(OVERLOADED, "a message is too long", body_bytes);
    if (TakeRoom(body_bytes)) return size;
    return owner_
        .WaitForRoom(
            holder_, [this, body_bytes] { return TakeRoom(body_bytes); },
            SteadyMs() + owner_.options_.message_ms)
        .then([size] { return size; });
  }

  // Counts a body, if there is room for it.
  bool TakeRoom(uint64_t body_bytes) {
    if (!owner_.account_.MayGrow(holder_, body_bytes)) return false;
    message_bytes_ = body_bytes;
    Update();
    return true;
  }

  static uint32_t Number(const kj::byte* bytes) {
    uint32_t number = 0;
    for (size_t i = kNumberBytes; i > 0; --i)
      number = (number << CHAR_BIT) | bytes[i - 1];
    return number;
  }

  kj::Promise<size_t> ReadRest(void* buffer, size_t min_bytes, size_t max_bytes,
                               size_t got) {
    const size_t least = min_bytes > got ? 1 : 0;
    if (least == 0 && got > 0) return got;
    auto* at = static_cast<kj::byte*>(buffer) + got;
    return inner_
        ->tryRead(at, least,
                  std::min(std::max(kPieceBytes, least), max_bytes - got))
        .then([this, buffer, min_bytes, max_bytes,
               got](size_t more) -> kj::Promise<size_t> {
          if (more == 0) return got;
          if (owner_.account_.NoteMoved(holder_, more, SteadyMs()))
            owner_.places_.NoteMoved(place_, SteadyMs());
          if (got + more >= min_bytes) return got + more;
          return ReadRest(buffer, min_bytes, max_bytes, got + more);
        });
  }

  void NoteUse(HolderStage stage, PlaceUse use) {
    owner_.account_.SetStage(holder_, stage, SteadyMs());
    owner_.places_.SetUse(place_, use, SteadyMs());
  }

  void Update() {
    owner_.account_.SetBytes(holder_, message_bytes_ + call_bytes_);
  }

  RpcConnections& owner_;
  kj::Own<kj::AsyncIoStream> inner_;
  ConnectionPlaces::Id place_;
  ByteAccount::HolderId holder_;
  Part part_ = Part::kHeader;
  // Lengths of segments that are still to be read, and the sum of those that
  // were.
  uint64_t tables_left_ = 0;
  uint64_t body_words_ = 0;
  // Of the message that is being read, and of calls that are not answered.
  uint64_t message_bytes_ = 0;
  uint64_t call_bytes_ = 0;
  int calls_ = 0;
};

class RpcConnections::Connection final
    : public RpcConnectionUse,
      public std::enable_shared_from_this<Connection> {
 public:
  Connection(RpcConnections& owner, kj::Own<kj::AsyncIoStream> stream,
             ConnectionPlaces::Id place)
      : stream_(kj::heap<CountedStream>(owner, kj::mv(stream), place)),
        place_(place) {}

  ~Connection() noexcept override = default;

  // Serves the connection until it ends. Separate from the constructor, since
  // the interface refers to the connection.
  void Start(RpcConnections& owner) {
    capnp::ReaderOptions reading;
    reading.traversalLimitInWords = std::min(
        reading.traversalLimitInWords, owner.options_.budget / kWordBytes);
    network_ = kj::heap<capnp::TwoPartyVatNetwork>(
        *stream_, capnp::rpc::twoparty::Side::SERVER, reading);
    rpc_ = kj::heap<capnp::RpcSystem<VatId>>(
        capnp::makeRpcServer(*network_, owner.make_(shared_from_this())));
    rpc_->setFlowLimit(owner.options_.budget / kConnectionShare / kWordBytes);
    ended_ = network_->onDisconnect()
                 .then([&owner, id = place_] { owner.CloseSoon(id); })
                 .eagerlyEvaluate([&owner, id = place_](kj::Exception&&) {
                   owner.CloseSoon(id);
                 });
  }

  // Ends the connection. Calls in progress on it may still refer to this
  // object.
  void Stop() {
    ended_ = nullptr;
    rpc_ = nullptr;
    network_ = nullptr;
    stream_ = nullptr;
  }

  ByteAccount::HolderId holder() const { return stream_->holder(); }

  void BeginCall(uint64_t bytes) override {
    if (stream_.get() != nullptr) stream_->AddCall(bytes);
  }
  void EndCall(uint64_t bytes) override {
    if (stream_.get() != nullptr) stream_->RemoveCall(bytes);
  }

 private:
  kj::Own<CountedStream> stream_;
  ConnectionPlaces::Id place_;
  kj::Own<capnp::TwoPartyVatNetwork> network_;
  kj::Own<capnp::RpcSystem<VatId>> rpc_;
  kj::Promise<void> ended_ = nullptr;
};

RpcConnections::RpcConnections(kj::Timer& timer, Options options,
                               MakeInterface make)
    : timer_(timer),
      options_(options),
      make_(std::move(make)),
      places_({.limit = options.max_connections}),
      account_({.budget = options.budget}),
      closing_(*this) {}

RpcConnections::~RpcConnections() noexcept {
  for (auto& [id, connection] : connections_) connection->Stop();
}

kj::Promise<void> RpcConnections::Listen(kj::ConnectionReceiver& receiver) {
  return receiver.accept()
      .then([this](kj::Own<kj::AsyncIoStream> stream) {
        return Accept(kj::mv(stream), SteadyMs() + kMaxWaitForPlaceMs);
      })
      .then([this, &receiver] { return Listen(receiver); });
}

kj::Promise<void> RpcConnections::Accept(kj::Own<kj::AsyncIoStream> stream,
                                         int64_t until_ms) {
  if (places_.full()) {
    const int64_t now_ms = SteadyMs();
    const auto spare = places_.ToGiveWay(now_ms);
    const auto next_ms = places_.NextToGiveWayMs();
    if (!spare && (!next_ms || now_ms >= until_ms)) {
      ++refused_;
      return kj::READY_NOW;
    }
    if (!spare) {
      const int64_t pause_ms = std::max<int64_t>(1, *next_ms - now_ms);
      return timer_.afterDelay(pause_ms * kj::MILLISECONDS)
          .then([this, until_ms, stream = kj::mv(stream)]() mutable {
            return Accept(kj::mv(stream), until_ms);
          });
    }
    ++gave_way_;
    CloseSoon(*spare);
  }
  const ConnectionPlaces::Id id = places_.Add(SteadyMs());
  const auto connection =
      std::make_shared<Connection>(*this, kj::mv(stream), id);
  connections_.emplace(id, connection);
  connection->Start(*this);
  return kj::READY_NOW;
}

void RpcConnections::CloseSoon(ConnectionPlaces::Id id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  places_.Remove(id);
  // What runs now may be a callback of the connection.
  closing_.add(kj::evalLater(
      [connection = std::move(it->second)] { connection->Stop(); }));
  connections_.erase(it);
}

void RpcConnections::taskFailed(kj::Exception&& exception) {
  kLog.Error() << "Closing an RPC connection failed: "
               << exception.getDescription().cStr();
}

kj::Promise<void> RpcConnections::WaitForRoom(ByteAccount::HolderId holder,
                                              std::function<bool()> take,
                                              int64_t until_ms) {
  return timer_.afterDelay(kRoomIntervalMs * kj::MILLISECONDS)
      .then([this, holder, take = std::move(take),
             until_ms]() mutable -> kj::Promise<void> {
        if (take()) return kj::READY_NOW;
        CloseForRoom(holder);
        if (SteadyMs() >= until_ms)
          return KJ_EXCEPTION(OVERLOADED, "there is no room for the message");
        return WaitForRoom(holder, std::move(take), until_ms);
      });
}

void RpcConnections::CloseForRoom(ByteAccount::HolderId asking) {
  const auto chosen = account_.ToClose(asking, SteadyMs());
  if (!chosen || *chosen == asking) return;
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&chosen](const auto& connection) {
                                 return connection.second->holder() == *chosen;
                               });
  if (it == connections_.end()) return;
  ++short_of_memory_;
  CloseSoon(it->first);
}

std::string RpcConnections::MetricsText() const {
  std::ostringstream out;
  out << "pimento_rpc_connections " << places_.open() << "\n"
      << "pimento_rpc_connections_limit " << places_.limit() << "\n"
      << "pimento_rpc_held_bytes " << account_.held() << "\n"
      << "pimento_rpc_held_bytes_budget " << account_.budget() << "\n"
      << "pimento_rpc_connections_closed_total{reason=\"gave_way\"} "
      << gave_way_ << "\n"
      << "pimento_rpc_connections_closed_total{reason=\"connection_limit\"} "
      << refused_ << "\n"
      << "pimento_rpc_connections_closed_total{reason=\"memory_short\"} "
      << short_of_memory_ << "\n";
  return out.str();
}

}  // namespace pimento
