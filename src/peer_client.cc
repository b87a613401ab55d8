#include "src/peer_client.h"

#include <capnp/rpc-twoparty.h>

#include <boost/asio.hpp>
#include <map>
#include <utility>

#include "src/peer_codec.h"
#include "src/rpc_loop_context.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

namespace asio = boost::asio;

constexpr int64_t kProbeIntervalMs = 700;
constexpr int64_t kProbeTimeoutMs = 1'500;
constexpr int64_t kConnectTimeoutMs = 1'000;

// One connection to a peer.
struct Connection {
  std::string address;
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  // Rejected when the connection is dropped, which fails every call on it.
  kj::ForkedPromise<void> broken = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> broken_fulfiller;
  kj::ForkedPromise<void> ready = nullptr;
  kj::Promise<void> probe_loop = nullptr;
  // Calls in flight. An idle connection is not probed: its failure affects no
  // call, and probing idle connections would cost more with every peer.
  int outstanding = 0;
  kj::Promise<void> disconnect_watch = nullptr;
  // The peer's bootstrap capability, requested once: after a disconnect the
  // library cannot create another.
  kj::Maybe<wire::Peer::Client> peer;

  wire::Peer::Client Peer() {
    KJ_IF_MAYBE (known, peer) {
      return *known;
    }
    KJ_FAIL_REQUIRE("connection dropped");
  }
};

class SinkServer final : public wire::Sink::Server {
 public:
  explicit SinkServer(PieceSink sink) : sink_(std::move(sink)) {}
  kj::Promise<void> write(WriteContext context) override {
    const auto params = context.getParams();
    const auto text = params.getText();
    sink_(params.getAttempt(), params.getOffset(),
          std::string(text.cStr(), text.size()));
    return kj::READY_NOW;
  }

 private:
  PieceSink sink_;
};

}  // namespace

// Accessed on the RPC thread only, except for `loop` and `metrics`.
struct PeerClient::State : std::enable_shared_from_this<PeerClient::State> {
  State(RpcLoop& rpc_loop, Metrics& process_metrics)
      : loop(rpc_loop), metrics(process_metrics) {}

  kj::Timer& Timer() { return loop.context().io->provider->getTimer(); }

  Connection& Open(const std::string& address) {
    const auto it = connections.find(address);
    if (it != connections.end()) return *it->second;
    auto connection = std::make_shared<Connection>();
    connection->address = address;
    auto paf = kj::newPromiseAndFulfiller<void>();
    connection->broken = paf.promise.fork();
    connection->broken_fulfiller = kj::mv(paf.fulfiller);
    auto& network = loop.context().io->provider->getNetwork();
    const std::weak_ptr<Connection> weak = connection;
    auto connecting =
        network.parseAddress(address)
            .then([](kj::Own<kj::NetworkAddress> parsed) {
              auto promise = parsed->connect();
              return promise.attach(kj::mv(parsed));
            })
            .then([this, weak](kj::Own<kj::AsyncIoStream> stream) {
              const auto opened = weak.lock();
              if (!opened) return;
              opened->stream = kj::mv(stream);
              opened->client = kj::heap<capnp::TwoPartyClient>(*opened->stream);
              opened->peer = opened->client->bootstrap().castAs<wire::Peer>();
              opened->disconnect_watch =
                  opened->client->onDisconnect()
                      .then([this, weak] { Drop(weak); })
                      .eagerlyEvaluate(
                          [this, weak](kj::Exception&&) { Drop(weak); });
            });
    connection->ready = Timer()
                            .timeoutAfter(kConnectTimeoutMs * kj::MILLISECONDS,
                                          kj::mv(connecting))
                            .fork();
    connection->probe_loop =
        connection->ready.addBranch()
            .then([this, weak] { return ProbeLoop(weak); })
            .eagerlyEvaluate([this, weak](kj::Exception&&) { Drop(weak); });
    return *(connections[address] = connection);
  }

  kj::Promise<void> ProbeLoop(const std::weak_ptr<Connection>& weak) {
    return Timer()
        .afterDelay(kProbeIntervalMs * kj::MILLISECONDS)
        .then([this, weak] {
          const auto connection = weak.lock();
          if (!connection) return kj::Promise<void>(kj::READY_NOW);
          if (connection->outstanding == 0) return ProbeLoop(weak);
          if (partitioned.contains(connection->address))
            KJ_FAIL_REQUIRE("connection is partitioned");
          auto request = connection->Peer().probeRequest();
          return Timer()
              .timeoutAfter(kProbeTimeoutMs * kj::MILLISECONDS,
                            request.send().ignoreResult())
              .then([this, weak] { return ProbeLoop(weak); });
        });
  }

  void Drop(const std::weak_ptr<Connection>& weak) {
    const auto connection = weak.lock();
    if (!connection) return;
    const auto it = connections.find(connection->address);
    if (it == connections.end() || it->second != connection) return;
    connections.erase(it);
    connection->peer = nullptr;
    connection->broken_fulfiller->reject(
        KJ_EXCEPTION(DISCONNECTED, "connection dropped"));
    // Drop() may run inside a promise that the connection owns, so it is
    // destroyed in a later turn of the event loop.
    dropped.push_back(connection);
    loop.Deliver([state = shared_from_this()] { state->dropped.clear(); });
  }

  RpcLoop& loop;
  Metrics& metrics;
  std::map<std::string, std::shared_ptr<Connection>> connections;
  // Connections to destroy in the next turn of the event loop.
  std::vector<std::shared_ptr<Connection>> dropped;
  // Addresses that SimulatePartition() makes unreachable.
  std::set<std::string> partitioned;
  std::map<uint64_t, kj::Promise<void>> calls;
  uint64_t next_call = 1;
};

PeerClient::PeerClient(RpcLoop& loop, Metrics& metrics)
    : state_(std::make_shared<State>(loop, metrics)) {}

PeerClient::~PeerClient() = default;

void PeerClient::SimulatePartition(const std::set<std::string>& addresses) {
  state_->loop.Deliver(
      [state = state_, addresses] { state->partitioned = addresses; });
}

// Makes one call. `send` runs on the RPC thread: it takes the peer's stub,
// sends the request and returns a promise of T.
template <class T, class Send>
PeerClient::Async<T> PeerClient::Invoke(Address to, int64_t timeout_ms,
                                        Send send) {
  auto initiate = [state = state_, to, timeout_ms, send](auto handler) {
    using Handler = decltype(handler);
    auto shared = std::make_shared<Handler>(std::move(handler));
    auto executor = asio::get_associated_executor(*shared);
    auto finish = [shared, executor](std::exception_ptr error, T value) {
      asio::post(executor, [shared, error, value = std::move(value)]() mutable {
        (*shared)(error, std::move(value));
      });
    };
    auto fail = [state, finish, to](const std::string& reason, bool sent,
                                    bool silent) {
      state->metrics.Add(Counter::kRpcErrors);
      const std::string message =
          "The call to the peer at " + to + " failed: " + reason + ".";
      finish(std::make_exception_ptr(TransportError(message, sent, silent)),
             T{});
    };
    const bool offered = state->loop.Offer([state, to, timeout_ms, send, finish,
                                            fail] {
      state->metrics.Add(Counter::kRpcCalls);
      const uint64_t id = state->next_call++;
      auto done = [state, id, to] {
        const auto open = state->connections.find(to);
        if (open != state->connections.end() && open->second->outstanding > 0) {
          --open->second->outstanding;
        }
        state->loop.Deliver([state, id] { state->calls.erase(id); });
      };
      kj::Promise<void> work = nullptr;
      if (state->partitioned.contains(to)) {
        // As in a real partition, a call with a long timeout fails early: the
        // connection's probe fails first, or the connection attempt does.
        const int64_t detected_ms =
            std::min(timeout_ms, kDeadConnectionTimeoutMs);
        work = state->Timer()
                   .afterDelay(detected_ms * kj::MILLISECONDS)
                   .then([fail] {
                     fail("timed out waiting for the answer", true, true);
                   });
      } else {
        Connection& connection = state->Open(to);
        ++connection.outstanding;
        const std::weak_ptr<Connection> weak = state->connections[to];
        auto broken = connection.broken.addBranch().then(
            []() -> T { KJ_FAIL_REQUIRE("connection dropped"); });
        auto answer =
            connection.ready.addBranch().then([weak, send]() -> kj::Promise<T> {
              const auto open = weak.lock();
              KJ_REQUIRE(open != nullptr, "connection dropped");
              return send(open->Peer());
            });
        work =
            state->Timer()
                .timeoutAfter(timeout_ms * kj::MILLISECONDS,
                              answer.exclusiveJoin(kj::mv(broken)))
                .then(
                    [finish](T&& value) { finish(nullptr, std::move(value)); },
                    [state, weak, fail](kj::Exception&& e) {
                      const bool timed_out =
                          e.getType() == kj::Exception::Type::OVERLOADED;
                      const bool disconnected =
                          e.getType() == kj::Exception::Type::DISCONNECTED;
                      if (disconnected) state->Drop(weak);
                      fail(e.getDescription().cStr(), true, timed_out);
                    });
      }
      state->calls.emplace(
          id, work.then(kj::mv(done)).eagerlyEvaluate([](kj::Exception&&) {}));
    });
    if (!offered)
      fail("the task queue of the RPC thread is full", false, false);
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(std::exception_ptr, T)>(
      initiate, asio::use_awaitable);
}

PeerClient::Async<AppendReply> PeerClient::Append(Address to,
                                                  AppendRequest request,
                                                  int64_t timeout_ms) {
  // Shared: a std::function copies what it holds each time that it is copied.
  const auto kept = std::make_shared<const AppendRequest>(std::move(request));
  return Invoke<AppendReply>(to, timeout_ms, [kept](wire::Peer::Client peer) {
    auto call = peer.appendRequest();
    ToWire(*kept, call.initRequest());
    return call.send().then(
        [](auto&& result) { return FromWire(result.getReply()); });
  });
}

PeerClient::Async<SealReply> PeerClient::Seal(Address to, SealRequest request,
                                              int64_t timeout_ms) {
  return Invoke<SealReply>(to, timeout_ms, [request](wire::Peer::Client peer) {
    auto call = peer.sealRequest();
    ToWire(request, call.initRequest());
    return call.send().then(
        [](auto&& result) { return FromWire(result.getReply()); });
  });
}

PeerClient::Async<std::vector<HostGossip>> PeerClient::Gossip(
    Address to, std::string from, std::vector<HostGossip> gossip,
    int64_t timeout_ms) {
  return Invoke<std::vector<HostGossip>>(
      to, timeout_ms, [from, gossip](wire::Peer::Client peer) {
        auto call = peer.gossipRequest();
        call.setFrom(from.c_str());
        ToWireList(gossip, call.initNews(gossip.size()));
        return call.send().then([](auto&& result) {
          return FromWireList<HostGossip>(result.getNews());
        });
      });
}

PeerClient::Async<bool> PeerClient::Probe(Address to, Address target,
                                          int64_t timeout_ms) {
  return Invoke<bool>(to, timeout_ms, [target](wire::Peer::Client peer) {
    auto call = peer.probeRequest();
    call.setRpcAddress(target.c_str());
    return call.send().then([](auto&& result) { return result.getAlive(); });
  });
}

PeerClient::Async<ProgramView> PeerClient::Create(Address to,
                                                  CreateRequest request,
                                                  int64_t timeout_ms) {
  return Invoke<ProgramView>(
      to, timeout_ms, [request](wire::Peer::Client peer) {
        auto call = peer.createRequest();
        ToWire(request, call.initRequest());
        return call.send().then(
            [](auto&& result) { return FromWire(result.getView()); });
      });
}

PeerClient::Async<CallReply> PeerClient::Call(Address to, CallRequest request,
                                              PieceSink on_piece,
                                              int64_t timeout_ms) {
  return Invoke<CallReply>(
      to, timeout_ms, [request, on_piece](wire::Peer::Client peer) {
        auto call = peer.callRequest();
        ToWire(request, call.initRequest());
        call.setSink(kj::heap<SinkServer>(on_piece));
        return call.send().then(
            [](auto&& result) { return FromWire(result.getReply()); });
      });
}

PeerClient::Async<ProgramView> PeerClient::View(Address to, std::string program,
                                                std::string team,
                                                int64_t timeout_ms) {
  return Invoke<ProgramView>(
      to, timeout_ms, [program, team](wire::Peer::Client peer) {
        auto call = peer.viewRequest();
        call.setProgram(program.c_str());
        call.setTeam(team.c_str());
        return call.send().then(
            [](auto&& result) { return FromWire(result.getView()); });
      });
}

PeerClient::Async<ProgramView> PeerClient::End(Address to, std::string program,
                                               std::string team,
                                               int64_t timeout_ms) {
  return Invoke<ProgramView>(
      to, timeout_ms, [program, team](wire::Peer::Client peer) {
        auto call = peer.endRequest();
        call.setProgram(program.c_str());
        call.setTeam(team.c_str());
        return call.send().then(
            [](auto&& result) { return FromWire(result.getView()); });
      });
}

PeerClient::Async<CreditReply> PeerClient::Credits(Address to,
                                                   CreditRequest request,
                                                   int64_t timeout_ms) {
  return Invoke<CreditReply>(
      to, timeout_ms, [request](wire::Peer::Client peer) {
        auto call = peer.creditsRequest();
        ToWire(request, call.initRequest());
        return call.send().then(
            [](auto&& result) { return FromWire(result.getReply()); });
      });
}

PeerClient::Async<SlotReply> PeerClient::Slot(Address to, SlotRequest request,
                                              int64_t timeout_ms) {
  return Invoke<SlotReply>(to, timeout_ms, [request](wire::Peer::Client peer) {
    auto call = peer.slotRequest();
    ToWire(request, call.initRequest());
    return call.send().then(
        [](auto&& result) { return FromWire(result.getReply()); });
  });
}

PeerClient::Async<bool> PeerClient::ReportSlotDone(Address to, SlotDone request,
                                                   int64_t timeout_ms) {
  return Invoke<bool>(to, timeout_ms, [request](wire::Peer::Client peer) {
    auto call = peer.slotDoneRequest();
    ToWire(request, call.initRequest());
    return call.send().then([](auto&&) { return true; });
  });
}

PeerClient::Async<std::vector<SlotRequest>> PeerClient::InFlight(
    Address to, std::string upstream, int64_t timeout_ms) {
  return Invoke<std::vector<SlotRequest>>(
      to, timeout_ms, [upstream](wire::Peer::Client peer) {
        auto call = peer.inFlightRequest();
        call.setUpstream(upstream.c_str());
        return call.send().then([](auto&& result) {
          return FromWireList<SlotRequest>(result.getSlots());
        });
      });
}

PeerClient::Async<DocumentReply> PeerClient::Document(Address to,
                                                      uint64_t after,
                                                      int64_t wait_ms,
                                                      int64_t timeout_ms) {
  return Invoke<DocumentReply>(
      to, timeout_ms, [after, wait_ms](wire::Peer::Client peer) {
        auto call = peer.documentRequest();
        call.setAfter(after);
        call.setWaitMs(wait_ms);
        return call.send().then(
            [](auto&& result) { return FromWire(result.getDocument()); });
      });
}

PeerClient::Async<OwnerReply> PeerClient::Owner(Address to, uint32_t shard,
                                                int64_t timeout_ms) {
  return Invoke<OwnerReply>(to, timeout_ms, [shard](wire::Peer::Client peer) {
    auto call = peer.ownerRequest();
    call.setShard(shard);
    return call.send().then(
        [](auto&& result) { return FromWire(result.getReply()); });
  });
}

PeerClient::Async<bool> PeerClient::TakeOver(Address to,
                                             TakeOverRequest request,
                                             int64_t timeout_ms) {
  return Invoke<bool>(to, timeout_ms, [request](wire::Peer::Client peer) {
    auto call = peer.takeOverRequest();
    call.setShard(request.shard);
    ToWire(request.epoch, call.initEpoch());
    ToWire(request.holder, call.initHolder());
    ToWire(request.list, call.initList());
    return call.send().then([](auto&& result) { return result.getAccepted(); });
  });
}

}  // namespace pimento
