#include "src/membership_service.h"

#include <utility>

#include "src/errors.h"
#include "src/log.h"

namespace pimento {
namespace {

const Log kLog("membership");

constexpr size_t kIndirectProbes = 2;
constexpr int64_t kHostListIntervalMs = 30'000;
// While no other host is known.
constexpr int64_t kHostListIntervalAloneMs = 1'000;
// Once in this many probe periods a seed address is probed, even when the host
// there is already known.
constexpr int kProbePeriodsPerSeed = 5;

}  // namespace

MembershipService::MembershipService(WorkerThread& thread,
                                     SchedulerContext& context,
                                     MembershipServiceOptions options)
    : thread_(thread),
      context_(context),
      options_(std::move(options)),
      membership_(options_.self, options_.membership, options_.self.boot) {}

void MembershipService::Start() {
  Spawn(thread_.io(), "membership", ProbeLoop());
  Spawn(thread_.io(), "membership", HostListLoop());
}

void MembershipService::Announce(std::vector<OwnedShard> owned) {
  boost::asio::post(thread_.io(), [this, owned = std::move(owned)]() mutable {
    owned_ = std::move(owned);
    UpdateSelf();
    Publish();
  });
}

void MembershipService::RecordPeerContact() {
  last_peer_ms_ = NowMs();
  last_contact_ms_ = NowMs();
}

void MembershipService::UpdateSelf() {
  const auto environment = context_.environment.load();
  membership_.UpdateSelf(context_.leaving, environment->generation, owned_);
}

void MembershipService::Publish() {
  if (published_revision_ == membership_.revision()) return;
  published_revision_ = membership_.revision();
  context_.view =
      std::make_shared<const HostView>(membership_.All(), options_.self.host);
}

boost::asio::awaitable<std::vector<HostGossip>> MembershipService::Exchange(
    std::vector<HostGossip> gossip) {
  std::function<boost::asio::awaitable<std::vector<HostGossip>>()> work =
      [this, gossip]() -> boost::asio::awaitable<std::vector<HostGossip>> {
    RecordPeerContact();
    UpdateSelf();
    membership_.ApplyGossip(gossip, NowMs());
    Publish();
    co_return membership_.NextGossip();
  };
  co_return co_await RunOn<std::vector<HostGossip>>(thread_, std::move(work));
}

boost::asio::awaitable<void> MembershipService::ProbeLoop() {
  for (int period = 0;; ++period) {
    co_await Sleep(options_.probe_interval_ms);
    UpdateSelf();
    membership_.Tick(NowMs());
    Publish();
    const std::optional<HostInfo> target = membership_.NextProbe();
    if (target) Spawn(thread_.io(), "membership", ProbeOne(*target));
    const bool probe_seed =
        membership_.size() == 1 || period % kProbePeriodsPerSeed == 0;
    if (probe_seed && !options_.seeds.empty()) {
      const std::string seed =
          options_.seeds[next_seed_++ % options_.seeds.size()];
      if (seed != options_.self.rpc_address)
        Spawn(thread_.io(), "membership", ProbeAddress(seed));
    }
  }
}

boost::asio::awaitable<void> MembershipService::ProbeAddress(
    std::string address) {
  std::vector<HostGossip> gossip = membership_.NextGossip();
  try {
    const std::vector<HostGossip> answer = co_await context_.peers->Gossip(
        address, options_.self.host, gossip, options_.probe_timeout_ms);
    RecordPeerContact();
    membership_.ApplyGossip(answer, NowMs());
    Publish();
  } catch (const TransportError&) {
    // No host is suspected: which host has the seed address is not known.
  }
}

boost::asio::awaitable<void> MembershipService::ProbeOne(HostInfo target) {
  std::vector<HostGossip> gossip = membership_.NextGossip();
  bool answered = false;
  try {
    const std::vector<HostGossip> answer =
        co_await context_.peers->Gossip(target.rpc_address, options_.self.host,
                                        gossip, options_.probe_timeout_ms);
    RecordPeerContact();
    membership_.ApplyGossip(answer, NowMs());
    answered = true;
  } catch (const TransportError&) {
    // Other hosts may still reach it: try indirect probes.
  }
  if (!answered)
    answered = co_await ProbeIndirectly(target.host, target.rpc_address);
  if (!answered) {
    kLog.Debug() << "The host " << target.host << " does not answer probes.";
    membership_.ProbeFailed(target.host, NowMs());
  }
  Publish();
}

boost::asio::awaitable<bool> MembershipService::ProbeIndirectly(
    std::string target, std::string address) {
  for (const HostInfo& helper : membership_.Helpers(target, kIndirectProbes)) {
    try {
      const bool alive = co_await context_.peers->Probe(
          helper.rpc_address, address, 2 * options_.probe_timeout_ms);
      if (alive) co_return true;
    } catch (const TransportError&) {
      // Try the next helper.
    }
  }
  co_return false;
}

// The platform meters every call. A host therefore registers only at its
// start and when it begins to leave or stops leaving, and reads the list often
// only while it knows no other host.
boost::asio::awaitable<void> MembershipService::HostListLoop() {
  bool registered = false;
  bool registered_leaving = false;
  for (;;) {
    try {
      const bool leaving = context_.leaving;
      if (!registered || leaving != registered_leaving) {
        const ListedHost self{.host = options_.self.host,
                              .rpc_address = options_.self.rpc_address,
                              .leaving = leaving};
        registered = co_await context_.platform->Register(self);
        registered_leaving = leaving;
      }
      const std::vector<ListedHost> hosts = co_await context_.platform->Hosts();
      last_contact_ms_ = NowMs();
      for (const ListedHost& host : hosts) {
        membership_.Seed(host.host, host.rpc_address, NowMs());
      }
    } catch (const std::exception& e) {
      kLog.Debug() << "Cannot read the host list of the platform: " << e.what();
    }
    const bool alone = membership_.size() == 1;
    co_await Sleep(alone ? kHostListIntervalAloneMs : kHostListIntervalMs);
  }
}

}  // namespace pimento
