#include "src/gateway_peers.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>

#include "schema/fleet.capnp.h"
#include "src/background_loop.h"
#include "src/connection_pool.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/held_port.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;

constexpr milliseconds kSendInterval{100};
// Upper bound of the datagrams per second that a gateway sends regularly.
constexpr int64_t kMaxSendsPerSecond = 120;
constexpr size_t kMaxDatagramBytes = 16 * 1024;
constexpr size_t kMaxEntries = 400;
constexpr int kSequenceBits = 16;
// A peer whose first received message has a sequence number up to this counts
// as heard from its start: its counters are then charged from zero.
constexpr uint64_t kStartSequences = 3;
constexpr int kRateAskKinds = 4;
constexpr int kProgramStatuses = 3;
constexpr double kHundredths = 100;

// A host name is not longer than in the Domain Name System.
constexpr size_t kMaxHostBytes = 253;
// Twice the gateways that are planned for. Only silent peers are dropped for
// others.
constexpr size_t kMaxPeers = 2'048;

// The list, unless it has more elements than a message names. Elements without
// size take no bytes in a message.
template <class List>
List Checked(List list) {
  if (list.size() > kMaxEntries)
    throw StateError("A gossip message of a gateway has a list of " +
                     std::to_string(list.size()) + " entries; only " +
                     std::to_string(kMaxEntries) + " are allowed.");
  return list;
}

// Throws StateError when `value` is not one of the `count` values of Enum.
template <class Enum>
Enum CheckedEnum(uint8_t value, int count) {
  if (value >= count)
    throw StateError("A gossip message of a gateway has the unknown value " +
                     std::to_string(value) + ".");
  return static_cast<Enum>(value);
}

uint16_t ToHundredths(double value) {
  constexpr double kMost = 65'535;
  return static_cast<uint16_t>(std::clamp(value * kHundredths, 0.0, kMost));
}

void EncodeVersionSamples(const std::vector<VersionSample>& samples,
                          wire::GatewayNews::Builder& out) {
  auto list = out.initRollouts(
      static_cast<unsigned>(std::min(samples.size(), kMaxEntries)));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setService(samples[i].service);
    list[i].setVersion(samples[i].version);
    list[i].setRoute(samples[i].route);
    list[i].setAnswers(static_cast<uint32_t>(samples[i].answers));
    list[i].setFailures(static_cast<uint32_t>(samples[i].failures));
    list[i].setTotalMs(static_cast<uint64_t>(samples[i].total_ms));
    size_t used = kTimeBuckets;
    while (used > 0 && samples[i].times[used - 1] == 0) --used;
    auto times = list[i].initTimes(static_cast<unsigned>(used));
    for (unsigned b = 0; b < used; ++b)
      times.set(b, static_cast<uint32_t>(samples[i].times[b]));
  }
}

void EncodeVersionSteps(const std::vector<VersionStep>& steps,
                        wire::GatewayNews::Builder& out) {
  auto list = out.initRolloutSteps(
      static_cast<unsigned>(std::min(steps.size(), kMaxEntries)));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setService(steps[i].service);
    list[i].setRevision(steps[i].revision);
    list[i].setOldInFlight(static_cast<uint32_t>(steps[i].old_in_flight));
  }
}

VersionSample DecodeVersionSample(const wire::VersionSample::Reader& in) {
  VersionSample sample{.service = in.getService(),
                       .version = in.getVersion(),
                       .route = in.getRoute(),
                       .answers = in.getAnswers(),
                       .failures = in.getFailures(),
                       .total_ms = static_cast<int64_t>(in.getTotalMs())};
  const auto times = in.getTimes();
  const size_t used = std::min<size_t>(times.size(), kTimeBuckets);
  for (unsigned b = 0; b < used; ++b) sample.times[b] = times[b];
  return sample;
}

void EncodePaces(const std::vector<PaceSample>& paces,
                 wire::GatewayNews::Builder& out) {
  auto list =
      out.initPaces(static_cast<unsigned>(std::min(paces.size(), kMaxEntries)));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setProcess(paces[i].process);
    list[i].setReadCenti(ToHundredths(paces[i].read_tokens_per_ms));
    list[i].setEventCentiMs(ToHundredths(paces[i].event_ms));
  }
}

}  // namespace

uint64_t SenderHash(const std::string& host, uint64_t boot) {
  return XXH3_64bits_withSeed(host.data(), host.size(), boot) >> kSequenceBits;
}

std::string EncodeGossip(const GatewayGossip& gossip) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::GatewayNews>();
  out.setHost(gossip.host);
  out.setBoot(gossip.boot);
  out.setSequence(gossip.sequence);
  out.setZone(gossip.zone);
  out.setCallersAddress(gossip.callers_address);
  out.setTeamsOnly(gossip.teams_only);
  out.setReady(gossip.ready);
  out.setStrained(gossip.strained);
  out.setStoreOverdueMs(gossip.store_overdue_ms);
  out.setStateVersion(gossip.state_version);
  out.setStateAgeMs(gossip.state_age_ms);
  auto loads = out.initLoads(
      static_cast<unsigned>(std::min(gossip.loads.size(), kMaxEntries)));
  for (unsigned i = 0; i < loads.size(); ++i) {
    const UpstreamLoad& load = gossip.loads[i];
    loads[i].setUpstream(load.upstream);
    loads[i].setInFlight(static_cast<uint32_t>(load.in_flight));
    loads[i].setTokens(static_cast<uint32_t>(load.tokens));
  }
  auto teams = out.initTeams(
      static_cast<unsigned>(std::min(gossip.teams.size(), kMaxEntries)));
  for (unsigned i = 0; i < teams.size(); ++i) {
    teams[i].setTeam(gossip.teams[i].team);
    teams[i].setAdmitted(static_cast<int32_t>(gossip.teams[i].use.admitted));
    teams[i].setStarted(static_cast<int32_t>(gossip.teams[i].use.started));
  }
  auto programs = out.initPrograms(
      static_cast<unsigned>(std::min(gossip.programs.size(), kMaxEntries)));
  for (unsigned i = 0; i < programs.size(); ++i)
    programs.set(i, gossip.programs[i]);
  auto leaving = out.initLeavingUpstreams(static_cast<unsigned>(
      std::min(gossip.leaving_upstreams.size(), kMaxEntries)));
  for (unsigned i = 0; i < leaving.size(); ++i)
    leaving.set(i, gossip.leaving_upstreams[i]);
  auto echoes = out.initEchoes(
      static_cast<unsigned>(std::min(gossip.echoes.size(), kMaxEntries)));
  for (unsigned i = 0; i < echoes.size(); ++i) {
    const GossipEcho& echo = gossip.echoes[i];
    echoes.set(i, (echo.sender << kSequenceBits) | echo.sequence);
  }
  auto asks = out.initRateAsks(
      static_cast<unsigned>(std::min(gossip.rate_asks.size(), kMaxEntries)));
  for (unsigned i = 0; i < asks.size(); ++i) {
    const RateAsk& ask = gossip.rate_asks[i];
    asks[i].setLimit(ask.limit);
    asks[i].setId(ask.id);
    asks[i].setKind(static_cast<uint8_t>(ask.kind));
    asks[i].setProgram(static_cast<uint8_t>(ask.program));
    asks[i].setPerSecond(ask.per_second);
  }
  auto replies = out.initRateReplies(
      static_cast<unsigned>(std::min(gossip.rate_replies.size(), kMaxEntries)));
  for (unsigned i = 0; i < replies.size(); ++i) {
    const RateReply& reply = gossip.rate_replies[i];
    replies[i].setId(reply.id);
    replies[i].setWaitMs(static_cast<int32_t>(reply.wait_ms));
    replies[i].setTokensMilli(static_cast<int32_t>(reply.tokens_milli));
  }
  auto crashes = out.initCrashes(
      static_cast<unsigned>(std::min(gossip.crashes.size(), kMaxEntries)));
  for (unsigned i = 0; i < crashes.size(); ++i) {
    const CrashReport& crash = gossip.crashes[i];
    crashes[i].setRequest(crash.request);
    crashes[i].setProcess(crash.process);
    crashes[i].setWeight(crash.weight);
    crashes[i].setAgeMs(static_cast<uint32_t>(crash.age_ms));
  }
  EncodeVersionSamples(gossip.version_samples, out);
  EncodeVersionSteps(gossip.version_steps, out);
  EncodePaces(gossip.paces, out);
  out.setCallerWeight(static_cast<uint16_t>(gossip.caller_weight));
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

GatewayGossip DecodeGossip(const std::string& bytes) {
  try {
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    memcpy(words.begin(), bytes.data(), words.size() * sizeof(capnp::word));
    capnp::FlatArrayMessageReader message(words.asPtr());
    const auto in = message.getRoot<wire::GatewayNews>();
    GatewayGossip gossip{.host = in.getHost(),
                         .boot = in.getBoot(),
                         .sequence = in.getSequence(),
                         .zone = in.getZone(),
                         .callers_address = in.getCallersAddress(),
                         .ready = in.getReady(),
                         .strained = in.getStrained(),
                         .state_version = in.getStateVersion(),
                         .state_age_ms = in.getStateAgeMs(),
                         .store_overdue_ms = in.getStoreOverdueMs(),
                         .teams_only = in.getTeamsOnly()};
    if (gossip.host.size() > kMaxHostBytes)
      throw StateError("A gossip message names a host with " +
                       std::to_string(gossip.host.size()) + " bytes.");
    for (const auto load : Checked(in.getLoads()))
      gossip.loads.push_back({.upstream = load.getUpstream(),
                              .in_flight = load.getInFlight(),
                              .tokens = load.getTokens()});
    for (const auto team : Checked(in.getTeams()))
      gossip.teams.push_back(
          {team.getTeam(), {team.getAdmitted(), team.getStarted()}});
    for (const uint64_t program : Checked(in.getPrograms()))
      gossip.programs.push_back(program);
    for (const uint64_t process : Checked(in.getLeavingUpstreams()))
      gossip.leaving_upstreams.push_back(process);
    for (const uint64_t echo : Checked(in.getEchoes()))
      gossip.echoes.push_back(
          {echo >> kSequenceBits, static_cast<uint16_t>(echo)});
    for (const auto ask : Checked(in.getRateAsks()))
      gossip.rate_asks.push_back(
          {.kind = CheckedEnum<RateAskKind>(ask.getKind(), kRateAskKinds),
           .limit = ask.getLimit(),
           .id = ask.getId(),
           .program =
               CheckedEnum<ProgramStatus>(ask.getProgram(), kProgramStatuses),
           .per_second = ask.getPerSecond()});
    for (const auto reply : Checked(in.getRateReplies()))
      gossip.rate_replies.push_back({.id = reply.getId(),
                                     .wait_ms = reply.getWaitMs(),
                                     .tokens_milli = reply.getTokensMilli()});
    for (const auto crash : Checked(in.getCrashes()))
      gossip.crashes.push_back({.request = crash.getRequest(),
                                .process = crash.getProcess(),
                                .weight = crash.getWeight(),
                                .age_ms = crash.getAgeMs()});
    for (const auto sample : Checked(in.getRollouts()))
      gossip.version_samples.push_back(DecodeVersionSample(sample));
    for (const auto step : Checked(in.getRolloutSteps()))
      gossip.version_steps.push_back({.service = step.getService(),
                                      .revision = step.getRevision(),
                                      .old_in_flight = step.getOldInFlight()});
    for (const auto pace : Checked(in.getPaces()))
      gossip.paces.push_back(
          {.process = pace.getProcess(),
           .read_tokens_per_ms = pace.getReadCenti() / kHundredths,
           .event_ms = pace.getEventCentiMs() / kHundredths});
    gossip.caller_weight = in.getCallerWeight();
    return gossip;
  } catch (const kj::Exception& e) {
    throw StateError(
        std::string("The gossip message of a gateway cannot be decoded: ") +
        e.getDescription().cStr());
  }
}

PeerUsage::Increase GatewayView::ApplyGossip(const GatewayGossip& gossip,
                                             int64_t now_ms) {
  if (!MakeRoomFor(gossip.host, now_ms)) return {};
  Peer& peer = peers_[gossip.host];
  if (gossip.teams_only) {
    const bool known = peer.gossip.boot == gossip.boot;
    return known ? peer.use.ApplyCounters(gossip.teams) : PeerUsage::Increase{};
  }
  const bool restarted = peer.gossip.boot != gossip.boot;
  if (restarted && gossip.boot < peer.gossip.boot) return {};
  if (!restarted && gossip.sequence <= peer.gossip.sequence) return {};
  if (restarted) peer.use = PeerUsage(gossip.sequence <= kStartSequences);
  peer.gossip = gossip;
  peer.last_gossip_ms = now_ms;
  return peer.use.ApplyCounters(gossip.teams);
}

bool GatewayView::MakeRoomFor(const std::string& host, int64_t now_ms) {
  if (peers_.size() < kMaxPeers || peers_.count(host) > 0) return true;
  std::erase_if(peers_, [&](const auto& peer) {
    return now_ms - peer.second.last_gossip_ms >= silent_after_ms_;
  });
  return peers_.size() < kMaxPeers;
}

bool GatewayView::IsSilent(const std::string& host, int64_t now_ms) const {
  return peers_.count(host) == 0 ||
         SinceLastGossipMs(host, now_ms) >= silent_after_ms_;
}

std::vector<const GatewayGossip*> GatewayView::ReachablePeers(
    int64_t now_ms) const {
  std::vector<const GatewayGossip*> reachable;
  for (const auto& [host, peer] : peers_) {
    if (now_ms - peer.last_gossip_ms < silent_after_ms_)
      reachable.push_back(&peer.gossip);
  }
  return reachable;
}

int64_t GatewayView::PeersHeardWithin(int64_t age_ms, int64_t now_ms) const {
  return std::count_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return now_ms - peer.second.last_gossip_ms <= age_ms;
  });
}

std::unordered_map<uint64_t, UpstreamLoad> GatewayView::LoadByUpstream(
    int64_t now_ms) const {
  std::unordered_map<uint64_t, UpstreamLoad> loads;
  for (const GatewayGossip* gossip : ReachablePeers(now_ms)) {
    for (const UpstreamLoad& load : gossip->loads) {
      UpstreamLoad& sum = loads[load.upstream];
      sum.upstream = load.upstream;
      sum.in_flight += load.in_flight;
      sum.tokens += load.tokens;
    }
  }
  return loads;
}

int64_t GatewayView::SinceLastGossipMs(const std::string& host,
                                       int64_t now_ms) const {
  const auto it = peers_.find(host);
  return it == peers_.end() ? now_ms : now_ms - it->second.last_gossip_ms;
}

std::vector<GossipEcho> GatewayView::Echoes(int64_t now_ms) const {
  std::vector<GossipEcho> echoes;
  for (const GatewayGossip* gossip : ReachablePeers(now_ms))
    echoes.push_back({SenderHash(gossip->host, gossip->boot),
                      static_cast<uint16_t>(gossip->sequence)});
  return echoes;
}

GatewayPeers::GatewayPeers(asio::io_context& io, const std::string& ip,
                           uint16_t port)
    : io_(io), socket_(io) {
  const std::string address = ip + ":" + std::to_string(port);
  BindWhenFree(address + " for datagrams", [&] {
    boost::system::error_code error;
    const udp::endpoint endpoint(asio::ip::make_address_v4(ip, error), port);
    if (!error && !socket_.is_open()) socket_.open(udp::v4(), error);
    if (!error) socket_.bind(endpoint, error);
    return error;
  });
}

void GatewayPeers::set_peers(const std::vector<std::string>& addresses) {
  peers_.clear();
  for (const std::string& address : addresses) {
    const auto endpoint = ParseEndpoint(address);
    peers_.emplace_back(endpoint.address(), endpoint.port());
  }
}

void GatewayPeers::Start(std::function<GatewayGossip()> build_gossip,
                         std::function<void(const GatewayGossip&)> on_gossip) {
  build_gossip_ = std::move(build_gossip);
  on_gossip_ = std::move(on_gossip);
  KeepRunning(io_, "gossip sender", [this] { return Send(); });
  KeepRunning(io_, "gossip receiver", [this] { return Receive(); });
}

void GatewayPeers::Announce() {
  GatewayGossip gossip = build_gossip_();
  gossip.sequence = ++sequence_;
  sent_[sequence_ % sent_.size()] = BootClock::now();
  SendToAll(EncodeGossip(gossip));
}

void GatewayPeers::SendTo(const std::string& address,
                          const GatewayGossip& gossip) {
  const auto endpoint = ParseEndpoint(address);
  const std::string bytes = EncodeGossip(gossip);
  boost::system::error_code ignored;  // the sender asks again
  socket_.send_to(asio::buffer(bytes),
                  udp::endpoint(endpoint.address(), endpoint.port()), 0,
                  ignored);
}

void GatewayPeers::SendToAll(const GatewayGossip& gossip) {
  SendToAll(EncodeGossip(gossip));
}

void GatewayPeers::SendToAll(const std::string& bytes) {
  for (const udp::endpoint& peer : peers_) {
    boost::system::error_code ignored;  // gossip tolerates loss
    socket_.send_to(asio::buffer(bytes), peer, 0, ignored);
  }
}

milliseconds GatewayPeers::interval() const {
  const auto peers = static_cast<int64_t>(peers_.size());
  return std::max(kSendInterval,
                  milliseconds(1'000 * peers / kMaxSendsPerSecond));
}

std::optional<BootClock::time_point> GatewayPeers::SentAt(
    uint16_t sequence) const {
  const auto sequences_ago = static_cast<uint16_t>(sequence_ - sequence);
  if (sequences_ago >= sent_.size() || sequences_ago >= sequence_)
    return std::nullopt;
  return sent_[(sequence_ - sequences_ago) % sent_.size()];
}

asio::awaitable<void> GatewayPeers::Send() {
  for (;;) {
    Announce();
    asio::steady_timer timer(io_, interval());
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> GatewayPeers::Receive() {
  std::string bytes(kMaxDatagramBytes, '\0');
  for (;;) {
    udp::endpoint from;
    boost::system::error_code error;
    const size_t got = co_await socket_.async_receive_from(
        asio::buffer(bytes), from,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;  // ICMP errors of unreachable peers are reported here
    try {
      on_gossip_(DecodeGossip(bytes.substr(0, got)));
    } catch (const std::exception& e) {
      // One message that cannot be handled must not end the loop.
      EventLine(Event::kHandlerFailed).Text("error", e.what());
    }
  }
}

}  // namespace pimento
