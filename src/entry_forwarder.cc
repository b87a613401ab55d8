#include "src/entry_forwarder.h"

#include <algorithm>
#include <utility>

#include "src/errors.h"
#include "src/log.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

const Log kLog("forward");

constexpr int64_t kLookUpMs = 600;
constexpr int64_t kShortCallMs = 6'000;
constexpr int64_t kLongCallMs = 600'000;
constexpr int64_t kFirstPauseMs = 15;
constexpr int64_t kMostPauseMs = 200;
constexpr int64_t kDocumentWaitMs = 800;
constexpr int64_t kDocumentTimeoutMs = 1'600;

}  // namespace

EntryForwarder::EntryForwarder(boost::asio::io_context& io, PeerClient& peers,
                               Metrics& metrics, const EntrySettings& settings)
    : io_(io), peers_(peers), metrics_(metrics), settings_(settings) {}

void EntryForwarder::Start(std::function<void()> on_document) {
  on_document_ = std::move(on_document);
  Spawn(io_, "forward", DocumentLoop());
}

bool EntryForwarder::fresh() const {
  return environment_->generation > 0 &&
         NowMs() - heard_ms_ < settings_.stale_ms;
}

EntryForwarder::Async<void> EntryForwarder::DocumentLoop() {
  for (;;) {
    const size_t index = scheduler_;
    const std::string address =
        settings_.schedulers[index % settings_.schedulers.size()];
    bool failed = false;
    // After a pause of this process every moment counts: nothing is admitted
    // until a scheduler has been heard.
    const int64_t wait_ms = fresh() ? kDocumentWaitMs : 0;
    try {
      const DocumentReply reply = co_await peers_.Document(
          address, environment_->generation, wait_ms, kDocumentTimeoutMs);
      // A scheduler that is behind must not count as news.
      const bool current =
          reply.generation >= environment_->generation && reply.generation > 0;
      failed = !current;
      if (current) heard_ms_ = NowMs();
      if (reply.generation > environment_->generation) {
        auto next = std::make_shared<EnvironmentState>();
        next->generation = reply.generation;
        next->environment = reply.environment;
        next->text = reply.text;
        next->document =
            Document::Parse(reply.text, "environment/" + reply.environment);
        environment_ = std::shared_ptr<const EnvironmentState>(std::move(next));
        kLog.Info() << "Generation " << reply.generation << " is in force.";
        on_document_();
      }
    } catch (const std::exception& e) {
      kLog.Debug() << "The scheduler at " << address
                   << " has no document: " << e.what();
      failed = true;
    }
    if (failed) {
      if (scheduler_ == index) ++scheduler_;
      co_await Sleep(100);
    } else if (index % settings_.schedulers.size() != 0) {
      // Go back to this host's own scheduler when it is there again.
      scheduler_ = 0;
    }
  }
}

EntryForwarder::Async<OwnerReply> EntryForwarder::Owner(uint32_t shard) {
  for (size_t i = 0; i < settings_.schedulers.size(); ++i) {
    const std::string address =
        settings_.schedulers[(scheduler_ + i) % settings_.schedulers.size()];
    try {
      co_return co_await peers_.Owner(address, shard, kLookUpMs);
    } catch (const TransportError&) {
      metrics_.Retried(Reason::kOwnerUnreachable);
    }
  }
  throw Refusal(Reason::kOwnerUnreachable, RunState::kUnknown,
                "No scheduler answers.");
}

EntryForwarder::Async<std::string> EntryForwarder::OwnerAddressOf(
    uint32_t shard) {
  const auto it = owner_addresses_.find(shard);
  if (it != owner_addresses_.end()) co_return it->second;
  const OwnerReply owner = co_await Owner(shard);
  if (!owner.rpc_address.empty()) owner_addresses_[shard] = owner.rpc_address;
  co_return owner.rpc_address;
}

template <class Reply>
EntryForwarder::Async<Reply> EntryForwarder::Forward(
    uint32_t shard, int64_t patience_ms,
    std::function<Async<Reply>(const std::string&)> send) {
  const int64_t deadline_ms = NowMs() + patience_ms;
  int64_t pause_ms = kFirstPauseMs;
  Reason last = Reason::kOwnerUnreachable;
  for (;;) {
    std::string address;
    try {
      address = co_await OwnerAddressOf(shard);
      if (!address.empty()) {
        Reply reply = co_await send(address);
        if (!WorthRetry(reply.outcome.reason)) co_return reply;
        last = reply.outcome.reason;
      }
    } catch (const TransportError&) {
      last = Reason::kOwnerUnreachable;
    } catch (const Refusal& refusal) {
      last = refusal.reason();
    }
    owner_addresses_.erase(shard);
    metrics_.Retried(last);
    if (NowMs() + pause_ms >= deadline_ms) break;
    co_await Sleep(pause_ms);
    pause_ms = std::min(kMostPauseMs, pause_ms * 2);
  }
  // Nobody who could know has said whether it ran.
  throw Refusal(last, RunState::kUnknown,
                "The owner of the program cannot be reached.", 200);
}

EntryForwarder::Async<ProgramView> EntryForwarder::Create(
    CreateRequest request) {
  std::function<Async<ProgramView>(const std::string&)> send =
      [this, request](const std::string& address) {
        return peers_.Create(address, request, kShortCallMs);
      };
  co_return co_await Forward<ProgramView>(request.shard, settings_.patience_ms,
                                          std::move(send));
}

EntryForwarder::Async<ProgramView> EntryForwarder::View(uint32_t shard,
                                                        std::string program,
                                                        std::string team) {
  std::function<Async<ProgramView>(const std::string&)> send =
      [this, program, team](const std::string& address) {
        return peers_.View(address, program, team, kShortCallMs);
      };
  co_return co_await Forward<ProgramView>(shard, settings_.patience_ms,
                                          std::move(send));
}

EntryForwarder::Async<ProgramView> EntryForwarder::End(uint32_t shard,
                                                       std::string program,
                                                       std::string team) {
  std::function<Async<ProgramView>(const std::string&)> send =
      [this, program, team](const std::string& address) {
        return peers_.End(address, program, team, kShortCallMs);
      };
  co_return co_await Forward<ProgramView>(shard, settings_.patience_ms,
                                          std::move(send));
}

EntryForwarder::Async<CallReply> EntryForwarder::Call(
    uint32_t shard, CallRequest request,
    std::function<void(CallRequest&)> prepare, PieceSink sink) {
  request.patience_ms = settings_.patience_ms;
  std::function<Async<CallReply>(const std::string&)> send =
      [this, request, prepare, sink](const std::string& address) {
        CallRequest now = request;
        prepare(now);
        return peers_.Call(address, now, sink, kLongCallMs);
      };
  co_return co_await Forward<CallReply>(shard, settings_.patience_ms,
                                        std::move(send));
}

}  // namespace pimento
