#include "src/membership_duty.h"

#include <utility>

#include "src/errors.h"
#include "src/log.h"

namespace pimento {
namespace {

const Log kLog("membership");

constexpr size_t kHelpers = 2;
constexpr int64_t kHostListMs = 30'000;
constexpr int64_t kHostListAloneMs = 1'000;
// Every so many probe periods a seed address is asked, whatever is known of it.
constexpr int kSeedEvery = 5;

}  // namespace

MembershipDuty::MembershipDuty(WorkerThread& duty, SchedulerContext& context,
                               MembershipDutyOptions options)
    : duty_(duty),
      context_(context),
      options_(std::move(options)),
      membership_(options_.self, options_.membership, options_.self.boot) {}

void MembershipDuty::Start() {
  Spawn(duty_.io(), "membership", ProbeLoop());
  Spawn(duty_.io(), "membership", HostListLoop());
}

void MembershipDuty::Announce(std::vector<OwnedShard> owned) {
  boost::asio::post(duty_.io(), [this, owned = std::move(owned)]() mutable {
    owned_ = std::move(owned);
    UpdateSelf();
    Publish();
  });
}

void MembershipDuty::NotePeer() {
  last_peer_ms_ = NowMs();
  last_contact_ms_ = NowMs();
}

void MembershipDuty::UpdateSelf() {
  const auto environment = context_.environment.load();
  membership_.UpdateSelf(context_.leaving, environment->generation, owned_);
}

void MembershipDuty::Publish() {
  if (published_ == membership_.revision()) return;
  published_ = membership_.revision();
  context_.view =
      std::make_shared<const HostView>(membership_.All(), options_.self.host);
}

boost::asio::awaitable<std::vector<HostNews>> MembershipDuty::Exchange(
    std::vector<HostNews> news) {
  std::function<boost::asio::awaitable<std::vector<HostNews>>()> work =
      [this, news]() -> boost::asio::awaitable<std::vector<HostNews>> {
    NotePeer();
    UpdateSelf();
    membership_.Learn(news, NowMs());
    Publish();
    co_return membership_.News();
  };
  co_return co_await RunOn<std::vector<HostNews>>(duty_, std::move(work));
}

boost::asio::awaitable<void> MembershipDuty::ProbeLoop() {
  for (int period = 0;; ++period) {
    co_await Sleep(options_.probe_every_ms);
    UpdateSelf();
    membership_.Tick(NowMs());
    Publish();
    const std::optional<HostInfo> target = membership_.NextProbe();
    if (target) Spawn(duty_.io(), "membership", ProbeOne(*target));
    const bool lonely = membership_.size() == 1 || period % kSeedEvery == 0;
    if (lonely && !options_.seeds.empty()) {
      const std::string seed =
          options_.seeds[next_seed_++ % options_.seeds.size()];
      if (seed != options_.self.rpc_address)
        Spawn(duty_.io(), "membership", ProbeAddress(seed));
    }
  }
}

boost::asio::awaitable<void> MembershipDuty::ProbeAddress(std::string address) {
  std::vector<HostNews> news = membership_.News();
  try {
    const std::vector<HostNews> answer = co_await context_.peers->Gossip(
        address, options_.self.host, news, options_.probe_timeout_ms);
    NotePeer();
    membership_.Learn(answer, NowMs());
    Publish();
  } catch (const TransportError&) {
    // A seed that does not answer says nothing about any host.
  }
}

boost::asio::awaitable<void> MembershipDuty::ProbeOne(HostInfo target) {
  std::vector<HostNews> news = membership_.News();
  bool answered = false;
  try {
    const std::vector<HostNews> answer =
        co_await context_.peers->Gossip(target.rpc_address, options_.self.host,
                                        news, options_.probe_timeout_ms);
    NotePeer();
    membership_.Learn(answer, NowMs());
    answered = true;
  } catch (const TransportError&) {
    // Others may still reach it.
  }
  if (!answered)
    answered = co_await AskHelpers(target.host, target.rpc_address);
  if (!answered) {
    kLog.Debug() << "The host " << target.host << " does not answer.";
    membership_.ProbeFailed(target.host, NowMs());
  }
  Publish();
}

boost::asio::awaitable<bool> MembershipDuty::AskHelpers(std::string target,
                                                        std::string address) {
  for (const HostInfo& helper : membership_.Helpers(target, kHelpers)) {
    try {
      const bool alive = co_await context_.peers->Probe(
          helper.rpc_address, address, 2 * options_.probe_timeout_ms);
      if (alive) co_return true;
    } catch (const TransportError&) {
      // The next helper may do.
    }
  }
  co_return false;
}

// The platform counts every call, so a host registers only when it has
// something to say, and reads the list often only while it knows nobody.
boost::asio::awaitable<void> MembershipDuty::HostListLoop() {
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
      kLog.Debug() << "The host list cannot be read: " << e.what();
    }
    const bool alone = membership_.size() == 1;
    co_await Sleep(alone ? kHostListAloneMs : kHostListMs);
  }
}

}  // namespace pimento
