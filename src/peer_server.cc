#include "src/peer_server.h"

#include <capnp/rpc-twoparty.h>

#include <future>
#include <map>
#include <utility>

#include "src/errors.h"
#include "src/log.h"
#include "src/peer_codec.h"
#include "src/rpc_connections.h"
#include "src/rpc_loop_context.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using wire::Peer;

const Log kLog("rpc");

// What a call in progress takes beside its parameters.
constexpr uint64_t kCallBytes = 2 * 1024;

}  // namespace

struct PeerServer::State {
  State(RpcLoop& rpc_loop, WorkerThread& handler_worker,
        PeerHandler& peer_handler, RpcLimits server_limits)
      : loop(rpc_loop),
        worker(handler_worker),
        handler(peer_handler),
        limits(server_limits) {}

  RpcLoop& loop;
  WorkerThread& worker;
  PeerHandler& handler;
  RpcLimits limits;
  // The maps and `next_id` are used on the RPC thread only. `pending` holds the
  // completion of each call in progress, which takes the error or a pointer to
  // the reply; `sinks` the receivers of streamed answers, by call; `writes` the
  // pieces that are being sent.
  std::map<uint64_t, std::function<void(std::exception_ptr, void*)>> pending;
  std::map<uint64_t, wire::Sink::Client> sinks;
  std::map<uint64_t, kj::Promise<void>> writes;
  uint64_t next_id = 1;
  kj::Own<RpcConnections> connections;
  kj::Promise<void> listening = nullptr;
};

namespace {

// Kept once for all copies of the work that uses it.
template <class Request>
std::shared_ptr<const Request> Shared(Request request) {
  return std::make_shared<const Request>(std::move(request));
}

template <class Reply>
concept HasOutcome = requires(Reply reply) {
  reply.outcome.reason;
};

// Awaits the handler. A Refusal becomes the outcome of the reply if the reply
// type has one, and is rethrown otherwise.
template <class Reply>
asio::awaitable<Reply> WithOutcome(
    std::function<asio::awaitable<Reply>()> work) {
  if constexpr (HasOutcome<Reply>) {
    try {
      co_return co_await work();
    } catch (const Refusal& refusal) {
      Reply refused{};
      refused.outcome = OutcomeOf(refusal);
      co_return refused;
    }
  } else {
    co_return co_await work();
  }
}

template <class State>
class PeerImplementation final : public Peer::Server {
 public:
  PeerImplementation(State& state, std::shared_ptr<RpcConnectionUse> use)
      : state_(state), use_(std::move(use)) {}

  kj::Promise<void> append(AppendContext context) override {
    const auto request = Shared(FromWire(context.getParams().getRequest()));
    return Serve<AppendReply>(
        context, [this, request] { return state_.handler.OnAppend(*request); },
        [context](const AppendReply& r) mutable {
          ToWire(r, context.getResults().initReply());
        });
  }
  kj::Promise<void> seal(SealContext context) override {
    auto request = FromWire(context.getParams().getRequest());
    return Serve<SealReply>(
        context, [this, request] { return state_.handler.OnSeal(request); },
        [context](const SealReply& r) mutable {
          ToWire(r, context.getResults().initReply());
        });
  }
  kj::Promise<void> gossip(GossipContext context) override {
    auto received = FromWireList<HostGossip>(context.getParams().getNews());
    return Serve<std::vector<HostGossip>>(
        context, [this, received] { return state_.handler.OnGossip(received); },
        [context](const std::vector<HostGossip>& r) mutable {
          ToWireList(r, context.getResults().initNews(r.size()));
        });
  }
  kj::Promise<void> probe(ProbeContext context) override {
    const std::string target = Text(context.getParams().getRpcAddress());
    return Serve<bool>(
        context, [this, target] { return state_.handler.OnProbe(target); },
        [context](bool alive) mutable {
          context.getResults().setAlive(alive);
        });
  }
  kj::Promise<void> create(CreateContext context) override {
    const auto request = Shared(FromWire(context.getParams().getRequest()));
    return Serve<ProgramView>(
        context, [this, request] { return state_.handler.OnCreate(*request); },
        [context](const ProgramView& r) mutable {
          ToWire(r, context.getResults().initView());
        });
  }
  // Pieces of the answer go to the caller's sink until the reply is sent.
  kj::Promise<void> call(CallContext context) override {
    const auto request = Shared(FromWire(context.getParams().getRequest()));
    const uint64_t id = state_.next_id++;
    state_.sinks.emplace(id, context.getParams().getSink());
    State* state = &state_;
    PieceSink sink = [state, id](uint32_t attempt, uint64_t offset,
                                 const std::string& text) {
      state->loop.Deliver([state, id, attempt, offset, text] {
        Write(*state, id, attempt, offset, text);
      });
    };
    return Serve<CallReply>(
        context,
        [this, request, sink] { return state_.handler.OnCall(*request, sink); },
        [context, state, id](const CallReply& r) mutable {
          state->sinks.erase(id);
          ToWire(r, context.getResults().initReply());
        });
  }
  kj::Promise<void> view(ViewContext context) override {
    const std::string program = Text(context.getParams().getProgram());
    const std::string team = Text(context.getParams().getTeam());
    return Serve<ProgramView>(
        context,
        [this, program, team] { return state_.handler.OnView(program, team); },
        [context](const ProgramView& r) mutable {
          ToWire(r, context.getResults().initView());
        });
  }
  kj::Promise<void> end(EndContext context) override {
    const std::string program = Text(context.getParams().getProgram());
    const std::string team = Text(context.getParams().getTeam());
    return Serve<ProgramView>(
        context,
        [this, program, team] { return state_.handler.OnEnd(program, team); },
        [context](const ProgramView& r) mutable {
          ToWire(r, context.getResults().initView());
        });
  }
  kj::Promise<void> credits(CreditsContext context) override {
    auto request = FromWire(context.getParams().getRequest());
    return Serve<CreditReply>(
        context, [this, request] { return state_.handler.OnCredits(request); },
        [context](const CreditReply& r) mutable {
          ToWire(r, context.getResults().initReply());
        });
  }
  kj::Promise<void> slot(SlotContext context) override {
    auto request = FromWire(context.getParams().getRequest());
    return Serve<SlotReply>(
        context, [this, request] { return state_.handler.OnSlot(request); },
        [context](const SlotReply& r) mutable {
          ToWire(r, context.getResults().initReply());
        });
  }
  kj::Promise<void> slotDone(SlotDoneContext context) override {
    auto request = FromWire(context.getParams().getRequest());
    return Serve<bool>(
        context, [this, request] { return state_.handler.OnSlotDone(request); },
        [context](bool) mutable { context.getResults(); });
  }
  kj::Promise<void> inFlight(InFlightContext context) override {
    const std::string upstream = Text(context.getParams().getUpstream());
    return Serve<std::vector<SlotRequest>>(
        context,
        [this, upstream] { return state_.handler.OnInFlight(upstream); },
        [context](const std::vector<SlotRequest>& r) mutable {
          ToWireList(r, context.getResults().initSlots(r.size()));
        });
  }
  kj::Promise<void> document(DocumentContext context) override {
    const uint64_t after = context.getParams().getAfter();
    const int64_t wait_ms = context.getParams().getWaitMs();
    return Serve<DocumentReply>(
        context,
        [this, after, wait_ms] {
          return state_.handler.OnDocument(after, wait_ms);
        },
        [context](const DocumentReply& r) mutable {
          ToWire(r, context.getResults().initDocument());
        });
  }
  kj::Promise<void> owner(OwnerContext context) override {
    const uint32_t shard = context.getParams().getShard();
    return Serve<OwnerReply>(
        context, [this, shard] { return state_.handler.OnOwner(shard); },
        [context](const OwnerReply& r) mutable {
          ToWire(r, context.getResults().initReply());
        });
  }
  kj::Promise<void> takeOver(TakeOverContext context) override {
    const auto params = context.getParams();
    const TakeOverRequest request{.shard = params.getShard(),
                                  .epoch = FromWire(params.getEpoch()),
                                  .holder = FromWire(params.getHolder()),
                                  .list = FromWire(params.getList())};
    return Serve<bool>(
        context, [this, request] { return state_.handler.OnTakeOver(request); },
        [context](bool accepted) mutable {
          context.getResults().setAccepted(accepted);
        });
  }

 private:
  static std::string Text(capnp::Text::Reader text) {
    return {text.cStr(), text.size()};
  }

  // Sends one piece to the sink of call `id`. A failed write removes the sink.
  static void Write(State& state, uint64_t id, uint32_t attempt,
                    uint64_t offset, const std::string& text) {
    const auto sink = state.sinks.find(id);
    if (sink == state.sinks.end()) return;
    auto request = sink->second.writeRequest();
    request.setAttempt(attempt);
    request.setOffset(offset);
    request.setText(capnp::Text::Reader(text.c_str(), text.size()));
    const uint64_t write = state.next_id++;
    State* owner = &state;
    const auto done = [owner, write] {
      owner->loop.Deliver([owner, write] { owner->writes.erase(write); });
    };
    state.writes.emplace(
        write,
        request.send()
            .ignoreResult()
            .then([done] { done(); })
            .eagerlyEvaluate([owner, id, done](kj::Exception&&) {
              owner->loop.Deliver([owner, id] { owner->sinks.erase(id); });
              done();
            }));
  }

  // Runs `work` on the worker thread, then `write` on the RPC thread. Whatever
  // holds RPC objects stays in `pending`, so that only the RPC thread destroys
  // it.
  template <class Reply, class Context>
  kj::Promise<void> Serve(Context& context,
                          std::function<asio::awaitable<Reply>()> work,
                          std::function<void(const Reply&)> write) {
    const uint64_t id = state_.next_id++;
    const uint64_t bytes =
        kCallBytes +
        context.getParams().totalSize().wordCount * sizeof(capnp::word);
    use_->BeginCall(bytes);
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
        kj::mv(paf.fulfiller));
    state_.pending[id] = [fulfiller, write, use = use_, bytes](
                             const std::exception_ptr& error, void* reply) {
      use->EndCall(bytes);
      if (error) {
        (*fulfiller)->reject(KJ_EXCEPTION(FAILED, ExceptionMessage(error)));
        return;
      }
      write(*static_cast<Reply*>(reply));
      (*fulfiller)->fulfill();
    };
    State* state = &state_;
    const bool offered = state_.worker.Offer([state, id, work] {
      asio::co_spawn(state->worker.io(), WithOutcome<Reply>(work),
                     [state, id](std::exception_ptr error, Reply reply) {
                       auto kept = std::make_shared<Reply>(std::move(reply));
                       state->loop.Deliver([state, id, error, kept] {
                         const auto node = state->pending.extract(id);
                         if (!node.empty()) node.mapped()(error, kept.get());
                       });
                     });
    });
    if (!offered) {
      state_.pending.erase(id);
      use_->EndCall(bytes);
      return KJ_EXCEPTION(OVERLOADED, "the task queue of the handler is full");
    }
    return kj::mv(paf.promise);
  }

  State& state_;
  std::shared_ptr<RpcConnectionUse> use_;
};

}  // namespace

PeerServer::PeerServer(RpcLoop& loop, WorkerThread& worker,
                       PeerHandler& handler, RpcLimits limits)
    : state_(std::make_shared<State>(loop, worker, handler, limits)) {}

PeerServer::~PeerServer() = default;

void PeerServer::Listen(const std::string& address) {
  std::promise<std::string> result;
  state_->loop.Deliver([this, &result, address] {
    State& state = *state_;
    auto& network = state.loop.context().io->provider->getNetwork();
    state.connections = kj::heap<RpcConnections>(
        state.loop.context().io->provider->getTimer(),
        RpcConnections::Options{.max_connections = state.limits.connections,
                                .budget = state.limits.held_bytes},
        [&state](std::shared_ptr<RpcConnectionUse> use) {
          return capnp::Capability::Client(
              kj::heap<PeerImplementation<State>>(state, std::move(use)));
        });
    state.listening =
        network.parseAddress(address)
            .then([&state, &result](kj::Own<kj::NetworkAddress> parsed) {
              auto receiver = parsed->listen();
              result.set_value("");
              auto& kept = *receiver;
              return state.connections->Listen(kept).attach(kj::mv(receiver),
                                                            kj::mv(parsed));
            })
            .eagerlyEvaluate([&result](kj::Exception&& e) {
              kLog.Error() << "The RPC listener failed: "
                           << e.getDescription().cStr();
              try {
                result.set_value(e.getDescription().cStr());
              } catch (const std::future_error&) {
              }
            });
  });
  const std::string error = result.get_future().get();
  if (!error.empty())
    throw TransportError("Cannot listen on " + address + ": " + error, false);
}

std::string PeerServer::MetricsText() {
  std::promise<std::string> text;
  state_->loop.Deliver([state = state_, &text] {
    text.set_value(state->connections.get() == nullptr
                       ? ""
                       : state->connections->MetricsText());
  });
  return text.get_future().get();
}

void PeerServer::Close() {
  state_->loop.Deliver([state = state_] { state->listening = nullptr; });
}

}  // namespace pimento
