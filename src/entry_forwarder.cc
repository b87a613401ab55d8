#include "src/entry_forwarder.h"

#include <algorithm>
#include <utility>

#include "src/errors.h"
#include "src/log.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

const Log kLog("forward");

constexpr int64_t kOwnerLookupTimeoutMs = 600;
constexpr int64_t kProgramRpcTimeoutMs = 6'000;
constexpr int64_t kCallRpcTimeoutMs = 600'000;
constexpr int64_t kInitialBackoffMs = 15;
constexpr int64_t kMaxBackoffMs = 200;
constexpr int64_t kDocumentLongPollMs = 800;
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
         NowMs() - last_contact_ms_ < settings_.stale_ms;
}

EntryForwarder::Async<void> EntryForwarder::DocumentLoop() {
  for (;;) {
    const size_t index = scheduler_index_;
    const std::string address =
        settings_.schedulers[index % settings_.schedulers.size()];
    bool failed = false;
    // A stale document blocks all requests, for example after this process was
    // suspended, so ask for an immediate reply instead of a long poll.
    const int64_t wait_ms = fresh() ? kDocumentLongPollMs : 0;
    try {
      const DocumentReply reply = co_await peers_.Document(
          address, environment_->generation, wait_ms, kDocumentTimeoutMs);
      // A scheduler with an older generation does not confirm the document.
      const bool current =
          reply.generation >= environment_->generation && reply.generation > 0;
      failed = !current;
      if (current) last_contact_ms_ = NowMs();
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
                   << " did not return the document: " << e.what();
      failed = true;
    }
    if (failed) {
      if (scheduler_index_ == index) ++scheduler_index_;
      co_await Sleep(100);
    } else if (index % settings_.schedulers.size() != 0) {
      // Return to this host's own scheduler; if it is still down, the next
      // iteration moves on again.
      scheduler_index_ = 0;
    }
  }
}

EntryForwarder::Async<OwnerReply> EntryForwarder::Owner(uint32_t shard) {
  for (size_t i = 0; i < settings_.schedulers.size(); ++i) {
    const std::string address =
        settings_
            .schedulers[(scheduler_index_ + i) % settings_.schedulers.size()];
    try {
      co_return co_await peers_.Owner(address, shard, kOwnerLookupTimeoutMs);
    } catch (const TransportError&) {
      metrics_.CountRetry(Reason::kOwnerUnreachable);
    }
  }
  throw Refusal(Reason::kOwnerUnreachable, RunState::kUnknown,
                "No scheduler answered the request for the shard's owner.");
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
  int64_t backoff_ms = kInitialBackoffMs;
  Reason last = Reason::kOwnerUnreachable;
  for (;;) {
    std::string address;
    try {
      address = co_await OwnerAddressOf(shard);
      if (!address.empty()) {
        Reply reply = co_await send(address);
        if (!IsRetryableReason(reply.outcome.reason)) co_return reply;
        last = reply.outcome.reason;
      }
    } catch (const TransportError&) {
      last = Reason::kOwnerUnreachable;
    } catch (const Refusal& refusal) {
      last = refusal.reason();
    }
    owner_addresses_.erase(shard);
    metrics_.CountRetry(last);
    if (NowMs() + backoff_ms >= deadline_ms) break;
    co_await Sleep(backoff_ms);
    backoff_ms = std::min(kMaxBackoffMs, backoff_ms * 2);
  }
  // An attempt may have reached an owner, so whether the request ran is not
  // known.
  throw Refusal(last, RunState::kUnknown,
                "The owner of the program could not be reached in time.", 200);
}

EntryForwarder::Async<ProgramView> EntryForwarder::Create(
    CreateRequest request) {
  std::function<Async<ProgramView>(const std::string&)> send =
      [this, request](const std::string& address) {
        return peers_.Create(address, request, kProgramRpcTimeoutMs);
      };
  co_return co_await Forward<ProgramView>(request.shard, settings_.patience_ms,
                                          std::move(send));
}

EntryForwarder::Async<ProgramView> EntryForwarder::View(uint32_t shard,
                                                        std::string program,
                                                        std::string team) {
  std::function<Async<ProgramView>(const std::string&)> send =
      [this, program, team](const std::string& address) {
        return peers_.View(address, program, team, kProgramRpcTimeoutMs);
      };
  co_return co_await Forward<ProgramView>(shard, settings_.patience_ms,
                                          std::move(send));
}

EntryForwarder::Async<ProgramView> EntryForwarder::End(uint32_t shard,
                                                       std::string program,
                                                       std::string team) {
  std::function<Async<ProgramView>(const std::string&)> send =
      [this, program, team](const std::string& address) {
        return peers_.End(address, program, team, kProgramRpcTimeoutMs);
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
        CallRequest attempt = request;
        prepare(attempt);
        return peers_.Call(address, attempt, sink, kCallRpcTimeoutMs);
      };
  co_return co_await Forward<CallReply>(shard, settings_.patience_ms,
                                        std::move(send));
}

}  // namespace pimento
