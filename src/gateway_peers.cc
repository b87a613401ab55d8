#include "src/gateway_peers.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>

#include "schema/fleet.capnp.h"
#include "src/errors.h"
#include "src/event_log.h"
#include "src/kept_connection.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;

constexpr milliseconds kSendInterval{100};
// Datagrams a second that a gateway sends, at most.
constexpr int64_t kMaxSendsPerSecond = 120;
constexpr size_t kMaxDatagramBytes = 16 * 1024;
constexpr size_t kMaxEntries = 400;
constexpr int kSequenceBits = 16;
// Whoever heard one of the first news of a gateway has heard it from its start.
constexpr uint64_t kStartSequences = 3;

}  // namespace

uint64_t SenderHash(const std::string& host, uint64_t boot) {
  return XXH3_64bits_withSeed(host.data(), host.size(), boot) >> kSequenceBits;
}

std::string EncodeNews(const GatewayNews& news) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::GatewayNews>();
  out.setHost(news.host);
  out.setBoot(news.boot);
  out.setSequence(news.sequence);
  out.setZone(news.zone);
  out.setCallersAddress(news.callers_address);
  out.setTeamsOnly(news.teams_only);
  out.setReady(news.ready);
  out.setStrained(news.strained);
  out.setStoreSilentMs(news.store_silent_ms);
  out.setStateVersion(news.state_version);
  out.setStateAgeMs(news.state_age_ms);
  auto loads = out.initLoads(
      static_cast<unsigned>(std::min(news.loads.size(), kMaxEntries)));
  for (unsigned i = 0; i < loads.size(); ++i) {
    loads[i].setUpstream(news.loads[i].first);
    loads[i].setInFlight(static_cast<uint32_t>(news.loads[i].second));
  }
  auto teams = out.initTeams(
      static_cast<unsigned>(std::min(news.teams.size(), kMaxEntries)));
  for (unsigned i = 0; i < teams.size(); ++i) {
    teams[i].setTeam(news.teams[i].team);
    teams[i].setAdmitted(static_cast<int32_t>(news.teams[i].use.admitted));
    teams[i].setStarted(static_cast<int32_t>(news.teams[i].use.started));
  }
  auto programs = out.initPrograms(
      static_cast<unsigned>(std::min(news.programs.size(), kMaxEntries)));
  for (unsigned i = 0; i < programs.size(); ++i)
    programs.set(i, news.programs[i]);
  auto echoes = out.initEchoes(
      static_cast<unsigned>(std::min(news.echoes.size(), kMaxEntries)));
  for (unsigned i = 0; i < echoes.size(); ++i) {
    const NewsEcho& echo = news.echoes[i];
    echoes.set(i, (echo.sender << kSequenceBits) | echo.sequence);
  }
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

GatewayNews DecodeNews(const std::string& bytes) {
  try {
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    memcpy(words.begin(), bytes.data(), words.size() * sizeof(capnp::word));
    capnp::FlatArrayMessageReader message(words.asPtr());
    const auto in = message.getRoot<wire::GatewayNews>();
    GatewayNews news{.host = in.getHost(),
                     .boot = in.getBoot(),
                     .sequence = in.getSequence(),
                     .zone = in.getZone(),
                     .callers_address = in.getCallersAddress(),
                     .ready = in.getReady(),
                     .strained = in.getStrained(),
                     .state_version = in.getStateVersion(),
                     .state_age_ms = in.getStateAgeMs(),
                     .store_silent_ms = in.getStoreSilentMs(),
                     .teams_only = in.getTeamsOnly()};
    for (const auto load : in.getLoads())
      news.loads.emplace_back(load.getUpstream(), load.getInFlight());
    for (const auto team : in.getTeams())
      news.teams.push_back(
          {team.getTeam(), {team.getAdmitted(), team.getStarted()}});
    for (const uint64_t program : in.getPrograms())
      news.programs.push_back(program);
    for (const uint64_t echo : in.getEchoes())
      news.echoes.push_back(
          {echo >> kSequenceBits, static_cast<uint16_t>(echo)});
    return news;
  } catch (const kj::Exception& e) {
    throw StateError(std::string("A gateway's news are unreadable: ") +
                     e.getDescription().cStr());
  }
}

std::vector<UsageGossip::Entry> GatewayView::ApplyNews(const GatewayNews& news,
                                                int64_t now_ms) {
  Peer& peer = peers_[news.host];
  if (news.teams_only) {
    const bool known = peer.news.boot == news.boot;
    return known ? peer.use.ApplyCounters(news.teams) : std::vector<UsageGossip::Entry>{};
  }
  const bool restarted = peer.news.boot != news.boot;
  if (restarted && news.boot < peer.news.boot) return {};
  if (!restarted && news.sequence <= peer.news.sequence) return {};
  if (restarted) peer.use = PeerUsage(news.sequence <= kStartSequences);
  peer.news = news;
  peer.heard_ms = now_ms;
  return peer.use.ApplyCounters(news.teams);
}

bool GatewayView::IsSilent(const std::string& host, int64_t now_ms) const {
  return peers_.count(host) == 0 || SinceHeardMs(host, now_ms) >= silent_after_ms_;
}

std::vector<const GatewayNews*> GatewayView::LivePeers(int64_t now_ms) const {
  std::vector<const GatewayNews*> heard;
  for (const auto& [host, peer] : peers_) {
    if (now_ms - peer.heard_ms < silent_after_ms_) heard.push_back(&peer.news);
  }
  return heard;
}

std::unordered_map<uint64_t, int64_t> GatewayView::InFlightByUpstream(int64_t now_ms) const {
  std::unordered_map<uint64_t, int64_t> loads;
  for (const GatewayNews* news : LivePeers(now_ms)) {
    for (const auto& [upstream, count] : news->loads) loads[upstream] += count;
  }
  return loads;
}

int64_t GatewayView::SinceHeardMs(const std::string& host, int64_t now_ms) const {
  const auto it = peers_.find(host);
  return it == peers_.end() ? now_ms : now_ms - it->second.heard_ms;
}

std::vector<NewsEcho> GatewayView::Echoes(int64_t now_ms) const {
  std::vector<NewsEcho> echoes;
  for (const GatewayNews* news : LivePeers(now_ms))
    echoes.push_back({SenderHash(news->host, news->boot),
                      static_cast<uint16_t>(news->sequence)});
  return echoes;
}

GatewayPeers::GatewayPeers(asio::io_context& io, const std::string& ip,
                           uint16_t port)
    : io_(io), socket_(io) {
  boost::system::error_code error;
  const udp::endpoint endpoint(asio::ip::make_address_v4(ip, error), port);
  if (!error) socket_.open(udp::v4(), error);
  if (!error) socket_.bind(endpoint, error);
  if (error)
    throw TransportError("Cannot receive datagrams on " + ip + ":" +
                             std::to_string(port) + ": " + error.message(),
                         false);
}

void GatewayPeers::set_peers(const std::vector<std::string>& addresses) {
  peers_.clear();
  for (const std::string& address : addresses) {
    const auto endpoint = ParseEndpoint(address);
    peers_.emplace_back(endpoint.address(), endpoint.port());
  }
}

void GatewayPeers::Start(std::function<GatewayNews()> build_news,
                         std::function<void(const GatewayNews&)> on_news) {
  build_news_ = std::move(build_news);
  on_news_ = std::move(on_news);
  asio::co_spawn(io_, Send(), asio::detached);
  asio::co_spawn(io_, Receive(), asio::detached);
}

void GatewayPeers::Announce() {
  GatewayNews news = build_news_();
  news.sequence = ++sequence_;
  sent_[sequence_ % sent_.size()] = BootClock::now();
  SendToAll(EncodeNews(news));
}

void GatewayPeers::SendUsage(GatewayNews teams_only) {
  teams_only.teams_only = true;
  SendToAll(EncodeNews(teams_only));
}

void GatewayPeers::SendToAll(const std::string& bytes) {
  for (const udp::endpoint& peer : peers_) {
    boost::system::error_code ignored;  // news are lost now and then anyway
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
  if (sequences_ago >= sent_.size() || sequences_ago >= sequence_) return std::nullopt;
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
    if (error) continue;  // an unreachable peer shows up here
    try {
      on_news_(DecodeNews(bytes.substr(0, got)));
    } catch (const StateError& e) {
      EventLine(Event::kHandlerFailed).Text("error", e.what());
    }
  }
}

}  // namespace pimento
