// How a request meets upstreams: a place, the exchange, the answer on its way
// to the caller, and the next upstream when one did not run it.
#include <algorithm>
#include <utility>

#include "src/errors.h"
#include "src/event_log.h"
#include "src/gateway_call_state.h"

namespace pimento::Internal {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kConnectLimit{500};
// Less than upstreams are known to keep idle connections when they do not say.
constexpr milliseconds kUsualKeepAlive{2'000};
constexpr milliseconds kKeepAliveMargin{600};
constexpr milliseconds kLongestKeepAlive{10'000};
constexpr size_t kMostAnswerBytes = 8 * 1024 * 1024;
constexpr int kStrayAnswers = 4;
constexpr int kFirstFailure = 300;

bool Successful(int status) { return status >= kOk && status < kFirstFailure; }

}  // namespace

asio::awaitable<void> GatewayCall::Offer() {
  for (;;) {
    if (token_.stopped()) co_return;
    PlaceRequest place{.request_id = head_.request_id,
                       .team = team_ == nullptr ? "" : team_->name,
                       .program = head_.program,
                       .priority = priority_};
    place.input = {.service = service_name_,
                   .prompt = &head_.prompt,
                   .output_tokens = head_.most_output_tokens.value_or(0),
                   .tokens_per_event =
                       service_ == nullptr ? 1 : service_->tokens_per_event,
                   .prompt_holder = held_at_,
                   .tried = tried_};
    place.wait_deadline_ms = SteadyMs() + LeftMs();
    UpstreamEntry upstream;
    try {
      upstream = co_await state_.dispatcher().Acquire(std::move(place), token_);
    } catch (const Refusal& refusal) {
      // Whether it ran is for the end to say; here only the reason counts.
      if (sends_ == 0) throw;
      last_failure_ += std::string(" Then: ") + refusal.what();
      co_return;
    }
    const OfferEnd end = co_await OfferOnce(upstream);
    done_ = end == OfferEnd::kDone;
    if (done_) co_return;
    if (end != OfferEnd::kNotRun) may_have_run_ = true;
    const bool again =
        !keep_failed_ && (end == OfferEnd::kNotRun || Repeatable());
    if (!again || sends_ >= route_->attempts) co_return;
    state_.metrics().Retried(end == OfferEnd::kNotRun
                                 ? Reason::kUpstreamUnreachable
                                 : Reason::kUpstreamBroken);
  }
}

asio::awaitable<OfferEnd> GatewayCall::OfferOnce(
    const UpstreamEntry& upstream) {
  const auto started = steady_clock::now();
  const int64_t events_before = events_;
  tried_.insert(upstream.id);
  OfferEnd end = OfferEnd::kNotRun;
  std::string failure;
  bool refused = false;
  std::unique_ptr<KeptConnection> connection;
  try {
    connection = co_await state_.pool().Acquire(
        upstream.address,
        std::min(kConnectLimit, milliseconds(std::max<int64_t>(1, LeftMs()))));
    ++sends_;
    EventLine(Event::kCallOffered)
        .Text("request", head_.request_id)
        .Text("upstream", upstream.id)
        .Text("address", upstream.address)
        .Number("attempt", sends_)
        .Number("left_ms", LeftMs())
        .Number("state_version", desired_->version());
    token_.set_on_stop([&connection] {
      if (connection) connection->Close();
    });
    end = OfferEnd::kLost;
    end = co_await Exchange(upstream, *connection);
    refused = end == OfferEnd::kNotRun;
    state_.pool().Release(std::move(connection), IdleTime());
  } catch (const TransportError& e) {
    failure = e.what();
    if (end == OfferEnd::kLost && events_ > events_before)
      end = OfferEnd::kBroken;
  }
  token_.clear_on_stop();
  CallResult result{.outcome = CallOutcome::kServed};
  result.duration_ms =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - started)
          .count();
  result.events = events_ - events_before;
  if (refused) result.outcome = CallOutcome::kRefused;
  if (!refused && end != OfferEnd::kDone)
    result.outcome =
        token_.stopped() ? CallOutcome::kAbandoned : CallOutcome::kFailed;
  state_.dispatcher().Release(upstream.id, result);
  if (end != OfferEnd::kDone) {
    last_failure_ = failure.empty() ? "The upstream did not run it." : failure;
    EventLine(Event::kOfferFailed)
        .Text("request", head_.request_id)
        .Text("upstream", upstream.id)
        .Text("error", last_failure_)
        .Number("events", result.events)
        .Number("took_ms", result.duration_ms);
  }
  co_return end;
}

std::shared_ptr<KeptConnection::Request> GatewayCall::Compose(
    const UpstreamEntry& upstream) const {
  const platform::UpstreamOrder order{
      .upstream_id = upstream.id,
      .team = team_ == nullptr ? "" : team_->name,
      .deadline_left_ms = std::max<int64_t>(1, LeftMs()),
      .last_event_id = last_event_id_};
  auto request = std::make_shared<KeptConnection::Request>(
      platform::HeaderForUpstream(request_.header, order));
  request->body() = history_ + request_.body;
  request->prepare_payload();
  return request;
}

asio::awaitable<const KeptConnection::ResponseHeader*>
GatewayCall::ReadOwnHeader(KeptConnection& connection,
                           platform::AnswerHead& head) {
  for (int strays = 0; strays < kStrayAnswers; ++strays) {
    const auto* header = co_await connection.ReadHeader(limit_);
    head = platform::DecodeAnswer(*header);
    keep_alive_ms_ = head.keep_alive_ms;
    const bool interim = head.status < kOk;
    const bool own = head.request_id == head_.request_id ||
                     (head.request_id.empty() && !Successful(head.status));
    if (own && !interim) co_return header;
    // The answer to another request: nobody waits for it any more.
    co_await connection.ReadRest(limit_, kMostAnswerBytes);
    EventLine(Event::kOfferFailed)
        .Text("request", head_.request_id)
        .Text("error", "an answer to another request came first")
        .Text("answer_to", head.request_id);
  }
  throw TransportError("The upstream answers other requests only.");
}

asio::awaitable<OfferEnd> GatewayCall::Exchange(const UpstreamEntry& upstream,
                                                KeptConnection& connection) {
  co_await connection.Send(Compose(upstream), limit_);
  platform::AnswerHead head;
  const auto* header = co_await ReadOwnHeader(connection, head);
  OfferEnd end = OfferEnd::kDone;
  if (head.not_run) {
    co_await connection.ReadRest(limit_, kMostAnswerBytes);
    constexpr int kMisdirected = 421;
    if (head.status == kMisdirected) state_.table().OnMisdirected(upstream.id);
    end = OfferEnd::kNotRun;
  } else if (Successful(head.status) && !head.stamped) {
    throw TransportError("The answer is not the upstream's own.");
  } else if (head.event_stream && Successful(head.status)) {
    end = co_await RelayEvents(connection, *header, upstream);
  } else if (events_ > 0) {
    throw TransportError("The stream could not be resumed: status " +
                         std::to_string(head.status) + ".");
  } else {
    end = co_await RelayWhole(connection, *header);
  }
  co_return end;
}

asio::awaitable<OfferEnd> GatewayCall::RelayWhole(
    KeptConnection& connection, const KeptConnection::ResponseHeader& header) {
  AnswerSink::Header out = platform::HeaderForCaller(header);
  const auto head = platform::DecodeAnswer(header);
  std::string body = co_await connection.ReadRest(limit_, kMostAnswerBytes);
  token_.clear_on_stop();
  co_await answer_.Send(std::move(out), std::move(body));
  LogEnd("answered", head.status);
  co_return OfferEnd::kDone;
}

asio::awaitable<bool> GatewayCall::PassOn(
    std::vector<StreamEvent> events,
    const KeptConnection::ResponseHeader& header) {
  std::string bytes;
  for (StreamEvent& event : events) {
    bytes += event.raw;
    if (event.has_data) {
      output_ += event.data;
      output_ += '\n';
      ++events_;
    }
    if (!event.id.empty()) last_event_id_ = event.id;
  }
  if (bytes.empty()) co_return true;
  if (!answer_.begun() &&
      !co_await answer_.Begin(platform::HeaderForCaller(header)))
    co_return false;
  co_return co_await answer_.Write(std::move(bytes));
}

asio::awaitable<OfferEnd> GatewayCall::RelayEvents(
    KeptConnection& connection, const KeptConnection::ResponseHeader& header,
    const UpstreamEntry& upstream) {
  EventSplitter splitter;
  for (;;) {
    const std::string piece = co_await connection.ReadPiece(limit_);
    if (piece.empty()) break;
    if (!co_await PassOn(splitter.Feed(piece), header)) {
      token_.Stop(StopReason::kCallerLeft);
      throw TransportError("The caller takes no more of the answer.");
    }
  }
  if (splitter.partial())
    throw TransportError("The stream ended in the middle of an event.");
  if (!answer_.begun() &&
      !co_await answer_.Begin(platform::HeaderForCaller(header)))
    throw TransportError("The caller left.");
  co_return co_await FinishStream(upstream);
}

asio::awaitable<OfferEnd> GatewayCall::FinishStream(
    const UpstreamEntry& upstream) {
  if (route_->keeps_history) {
    const int64_t per_event =
        service_ == nullptr ? 1 : service_->tokens_per_event;
    TurnRecord record{
        .turn = head_.request_id,
        .previous = head_.previous_turn,
        .team = team_ == nullptr ? "" : team_->name,
        .input = request_.body,
        .output = output_,
        .upstream = upstream.id,
        .retain_ms = static_cast<int64_t>(route_->retain_s * 1'000)};
    if (reserved_) {
      record.program = head_.program;
      record.tokens = static_cast<uint64_t>(events_ * per_event);
    }
    try {
      co_await state_.archive().Keep(std::move(record));
    } catch (const ArchiveError& e) {
      keep_failed_ = true;
      throw TransportError(std::string("The turn could not be kept: ") +
                           e.what());
    }
    reserved_ = false;
    EventLine(Event::kTurnKept)
        .Text("request", head_.request_id)
        .Number("events", events_)
        .Number("took_ms", TookMs());
  }
  token_.clear_on_stop();
  co_await answer_.End();
  LogEnd("streamed", kOk);
  co_return OfferEnd::kDone;
}

milliseconds GatewayCall::IdleTime() const {
  if (keep_alive_ms_ == 0) return kUsualKeepAlive;
  const milliseconds stated(keep_alive_ms_);
  return std::clamp(stated - kKeepAliveMargin, milliseconds(0),
                    kLongestKeepAlive);
}

}  // namespace pimento::Internal
