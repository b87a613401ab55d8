#include "src/caller_routes.h"

#include <boost/algorithm/string.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "src/answer_stream.h"
#include "src/async_condition.h"
#include "src/log.h"
#include "src/placement.h"
#include "src/program_ledger.h"
#include "src/request_body.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

namespace json = boost::json;

const Log kLog("entry");

constexpr uint32_t kDefaultBudgetCalls = 200;
constexpr uint64_t kDefaultBudgetTokens = 1'000'000;
constexpr int64_t kDefaultDeadlineMs = 600'000;
constexpr int64_t kMaxDeadlineMs = 86'400'000;
constexpr uint64_t kDefaultMaxTokens = 256;
constexpr size_t kMaxIdempotencyKeyBytes = 256;
constexpr size_t kMaxCachedRefusals = 20'000;
constexpr int64_t kAddressTtlMs = 10'000;

std::vector<std::string> Segments(const std::string& path) {
  std::vector<std::string> parts;
  const std::string trimmed =
      boost::trim_left_copy_if(path, boost::is_any_of("/"));
  boost::split(parts, trimmed, boost::is_any_of("/"));
  return parts;
}

// Returns whether the path matches: '*' stands for one segment, "**" for all
// remaining ones, as in "v1/programs/*/calls".
bool Matches(const std::string& pattern,
             const std::vector<std::string>& segments) {
  const std::vector<std::string> wanted = Segments(pattern);
  for (size_t i = 0; i < wanted.size(); ++i) {
    if (wanted[i] == "**") return true;
    if (i >= segments.size()) return false;
    if (wanted[i] != "*" && wanted[i] != segments[i]) return false;
  }
  return wanted.size() == segments.size();
}

std::string ErrorJson(const Refusal& refusal) {
  const json::object error = {{"reason", Name(refusal.reason())},
                              {"run", Name(refusal.run())},
                              {"retry_after_ms", refusal.retry_after_ms()},
                              {"message", refusal.what()}};
  return json::serialize(json::object{{"error", error}});
}

Refusal ToRefusal(const Outcome& outcome) {
  return {outcome.reason, outcome.run, outcome.message, outcome.retry_after_ms};
}

uint32_t ShardOrThrow(const std::string& program, uint32_t shards) {
  const std::optional<uint32_t> shard = ShardOfProgram(program);
  if (!shard || *shard >= shards) {
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "There is no program " + program + ".");
  }
  return *shard;
}

uint32_t SequenceOrThrow(const std::string& text) {
  uint32_t sequence = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), sequence);
  const bool whole =
      error == std::errc{} && end == text.data() + text.size() && sequence > 0;
  if (!whole) throw BadField("sequence", "must be a whole number from 1");
  return sequence;
}

std::string RefusalCacheKey(const CallRequest& call) {
  return call.program + "/" + std::to_string(call.sequence);
}

std::string ReplyJson(const CallRequest& call, const CallReply& reply,
                      bool with_output) {
  json::object body = {{"program", call.program},
                       {"sequence", call.sequence},
                       {"tokens", reply.tokens},
                       {"attempt", reply.attempt}};
  if (with_output) body["output"] = reply.output;
  if (reply.http_status != 0) body["http_status"] = reply.http_status;
  return json::serialize(body);
}

std::string Event(const std::string& name, const json::object& data) {
  return "event: " + name + "\ndata: " + json::serialize(data) + "\n\n";
}

}  // namespace

// A streamed answer on its way from the RPC thread to the request's coroutine.
// It buffers at most the text of the answer.
struct CallerRoutes::Stream {
  struct Piece {
    uint32_t attempt;
    uint64_t offset;
    std::string text;
  };
  // Guards `pieces` and `wake_pending`.
  std::mutex mutex;
  std::deque<Piece> pieces;
  bool wake_pending = false;
  // The remaining members are used on the entry's thread only.
  AsyncCondition changed;
  AnswerStream answer{0, 0};
  bool done = false;
  CallReply reply;
  std::optional<Refusal> refusal;
};

const CallerRoutes::RouteEntry CallerRoutes::kRoutes[] = {
    {"GET", "healthz", &CallerRoutes::Health},
    {"GET", "metrics", &CallerRoutes::MetricsText},
    {"GET", "v1/address", &CallerRoutes::Address},
    {"POST", "v1/programs", &CallerRoutes::CreateProgram},
    {"POST", "v1/programs/*/calls", &CallerRoutes::MakeCall},
    {"GET", "v1/programs/*/calls/*", &CallerRoutes::ReadCall},
    {"GET", "v1/programs/*/history", &CallerRoutes::History},
    {"DELETE", "v1/programs/*", &CallerRoutes::EndProgram},
    {"POST", "v1/services/*/**", &CallerRoutes::CallService},
};

CallerRoutes::CallerRoutes(boost::asio::io_context& io,
                           EntryForwarder& forwarder, Metrics& metrics,
                           std::string host)
    : io_(io),
      forwarder_(forwarder),
      metrics_(metrics),
      host_(std::move(host)),
      start_us_(static_cast<uint64_t>(NowUs())) {}

std::string CallerRoutes::NewRequestId() {
  return host_ + "-" + std::to_string(start_us_) + "-" +
         std::to_string(++requests_);
}

void CallerRoutes::AbortRequestsOfWithdrawnKeys() {
  const auto environment = forwarder_.environment();
  refused_until_ms_.clear();
  for (const auto& [name, team] : environment->document.teams) {
    known_digests_.insert(team.key_digests.begin(), team.key_digests.end());
  }
  for (auto& [id, active] : active_) {
    const bool withdrawn =
        !active.digest.empty() &&
        environment->document.TeamOfDigest(active.digest) == nullptr;
    if (!withdrawn) continue;
    metrics_.Add(Counter::kStreamsCut);
    active.responder->Abort();
  }
}

CallerRoutes::Async<void> CallerRoutes::Handle(const HttpRequest& request,
                                               HttpResponder& responder) {
  const uint64_t id = ++requests_;
  const std::string key = request.Header("authorization");
  ActiveRequest active{.digest = {}, .responder = &responder};
  if (key.starts_with("Bearer ")) active.digest = KeyDigest(key.substr(7));
  active_[id] = active;
  std::optional<Refusal> refusal;
  std::exception_ptr failure;
  try {
    co_await Dispatch(request, responder);
  } catch (const Refusal& e) {
    refusal = e;
  } catch (const boost::system::system_error&) {
    failure = std::current_exception();
  } catch (const std::exception& e) {
    kLog.Error() << "A request failed with an internal error: " << e.what();
    refusal = Refusal(Reason::kInternal, RunState::kUnknown,
                      "The request failed with an internal error.");
  }
  active_.erase(id);
  if (failure) std::rethrow_exception(failure);
  if (refusal) co_await Refuse(*refusal, responder);
}

CallerRoutes::Async<void> CallerRoutes::Refuse(const Refusal& refusal,
                                               HttpResponder& responder) {
  metrics_.CountRefusal(refusal.reason());
  if (responder.begun()) {
    co_await responder.Write("event: error\ndata: " + ErrorJson(refusal) +
                             "\n\n");
    co_await responder.End();
    co_return;
  }
  HttpResponse answer{.status = HttpStatus(refusal.reason()),
                      .body = ErrorJson(refusal)};
  if (answer.status == 429 || answer.status == 503) {
    // The header takes whole seconds, rounded up; the body has the exact time.
    answer.headers["Retry-After"] =
        std::to_string((refusal.retry_after_ms() + 999) / 1000);
  }
  co_await responder.Send(std::move(answer));
}

CallerRoutes::Async<void> CallerRoutes::Dispatch(const HttpRequest& request,
                                                 HttpResponder& responder) {
  const std::vector<std::string> segments = Segments(request.path);
  for (const RouteEntry& entry : kRoutes) {
    if (request.method != entry.method || !Matches(entry.pattern, segments))
      continue;
    co_await (this->*entry.route)(request, responder);
    co_return;
  }
  throw Refusal(Reason::kNotFound, RunState::kNotRun,
                "There is no " + request.method + " " + request.path + ".");
}

// Resolves the request's key to a team. Throws when the key is missing or not
// in the document. A request without a key is allowed when `service` is open.
CallerRoutes::Caller CallerRoutes::Identify(const HttpRequest& request,
                                            const std::string& service) const {
  const auto environment = forwarder_.environment();
  if (!forwarder_.fresh()) {
    throw Refusal(Reason::kNoConfiguration, RunState::kUnknown,
                  "This host has no up-to-date configuration: no scheduler has "
                  "answered recently.",
                  500);
  }
  const std::string header = request.Header("authorization");
  const Service* found = environment->document.FindService(service);
  if (header.empty() && found != nullptr && found->open) return {};
  if (!header.starts_with("Bearer ")) {
    throw Refusal(Reason::kKeyMissing, RunState::kUnknown,
                  "The header Authorization must be \"Bearer KEY\".");
  }
  Caller caller{.team = {}, .digest = KeyDigest(header.substr(7))};
  const Team* team = environment->document.TeamOfDigest(caller.digest);
  if (team == nullptr) {
    const bool withdrawn = known_digests_.contains(caller.digest);
    throw Refusal(
        withdrawn ? Reason::kKeyWithdrawn : Reason::kKeyUnknown,
        RunState::kUnknown,
        withdrawn ? "The key has been withdrawn." : "The key is not known.");
  }
  caller.team = team->name;
  return caller;
}

CallerRoutes::Async<void> CallerRoutes::Health(const HttpRequest&,
                                               HttpResponder& responder) {
  const bool ready = forwarder_.fresh();
  HttpResponse answer{
      .status = ready ? 200 : 503,
      .body = ready ? R"({"ready":true})" : R"({"ready":false})"};
  co_await responder.Send(std::move(answer));
}

CallerRoutes::Async<void> CallerRoutes::MetricsText(const HttpRequest&,
                                                    HttpResponder& responder) {
  HttpResponse answer{.body = metrics_.PrometheusText(),
                      .content_type = "text/plain; version=0.0.4"};
  if (server_metrics_) answer.body += server_metrics_();
  co_await responder.Send(std::move(answer));
}

CallerRoutes::Async<void> CallerRoutes::Address(const HttpRequest& request,
                                                HttpResponder& responder) {
  const uint32_t shards = forwarder_.environment()->document.shards;
  const std::string program = request.Query("program");
  uint32_t shard = static_cast<uint32_t>(requests_ % shards);
  if (!program.empty()) shard = ShardOrThrow(program, shards);
  const OwnerReply owner = co_await forwarder_.Owner(shard);
  json::array alternates;
  for (const std::string& address : owner.alternates)
    alternates.emplace_back(address);
  std::string address = owner.http_address;
  if (address.empty() && !owner.alternates.empty())
    address = owner.alternates.front();
  const json::object body = {{"address", address},
                             {"ttl_ms", kAddressTtlMs},
                             {"alternates", alternates}};
  HttpResponse answer{.body = json::serialize(body)};
  co_await responder.Send(std::move(answer));
}

CallerRoutes::Async<void> CallerRoutes::CreateProgram(
    const HttpRequest& request, HttpResponder& responder) {
  const Caller caller = Identify(request, "");
  const RequestBody body(request.body);
  body.RequireOnlyFields({"budget", "deadline_ms", "parent"});
  const RequestBody budget = body.Object("budget");
  budget.RequireOnlyFields({"calls", "tokens"});
  const uint32_t shards = forwarder_.environment()->document.shards;
  const std::string key = request.Header("idempotency-key");
  if (key.size() > kMaxIdempotencyKeyBytes)
    throw BadField("Idempotency-Key", "is too long");
  const std::string unique =
      key.empty() ? NewRequestId() : caller.team + "/program/" + key;
  CreateRequest create;
  create.team = caller.team;
  create.parent = body.Text("parent", false);
  create.shard = create.parent.empty() ? ShardOf(unique, shards)
                                       : ShardOrThrow(create.parent, shards);
  create.id = ProgramId(create.shard, unique);
  create.digest = CallDigest("", "", request.body, 0);
  create.budget_calls = static_cast<uint32_t>(
      budget.Number("calls", kDefaultBudgetCalls, 1, 100'000));
  create.budget_tokens =
      budget.Number("tokens", kDefaultBudgetTokens, 0, 1'000'000'000);
  create.time_ms = static_cast<int64_t>(
      body.Number("deadline_ms", kDefaultDeadlineMs, 1, kMaxDeadlineMs));
  const ProgramView view = co_await forwarder_.Create(create);
  if (!view.outcome.ok()) throw ToRefusal(view.outcome);
  HttpResponse answer{.status = 201, .body = view.json};
  co_await responder.Send(std::move(answer));
}

CallerRoutes::Async<void> CallerRoutes::MakeCall(const HttpRequest& request,
                                                 HttpResponder& responder) {
  const RequestBody body(request.body);
  body.RequireOnlyFields({"sequence", "service", "path", "input", "max_tokens",
                          "stream", "offset", "attempt"});
  CallRequest call;
  call.service = body.Text("service", true);
  const Caller caller = Identify(request, "");
  call.team = caller.team;
  call.program = Segments(request.path)[2];
  call.sequence = static_cast<uint32_t>(
      body.Number("sequence", std::nullopt, 1, 1'000'000));
  call.input = body.Text("input", true);
  call.path = body.Text("path", false);
  const auto environment = forwarder_.environment();
  const Service* service = environment->document.FindService(call.service);
  const bool engine =
      service == nullptr || service->kind == ServiceKind::kEngine;
  if (engine) {
    call.max_tokens = body.Number("max_tokens", kDefaultMaxTokens, 1,
                                  forwarder_.settings().max_tokens);
  }
  call.offset = body.Number("offset", 0, 0, UINT32_MAX);
  call.attempt =
      static_cast<uint32_t>(body.Number("attempt", 0, 0, UINT32_MAX));
  co_await RunCall(std::move(call), body.Flag("stream"), request, responder);
}

CallerRoutes::Async<void> CallerRoutes::ReadCall(const HttpRequest& request,
                                                 HttpResponder& responder) {
  const Caller caller = Identify(request, "");
  const std::vector<std::string> segments = Segments(request.path);
  CallRequest call;
  call.team = caller.team;
  call.program = segments[2];
  call.sequence = SequenceOrThrow(segments[4]);
  call.read_only = true;
  call.offset =
      std::strtoull(request.Query("offset", "0").c_str(), nullptr, 10);
  call.attempt = static_cast<uint32_t>(
      std::strtoul(request.Query("attempt", "1").c_str(), nullptr, 10));
  const bool stream = request.Header("accept") == "text/event-stream";
  co_await RunCall(std::move(call), stream, request, responder);
}

CallerRoutes::Async<void> CallerRoutes::History(const HttpRequest& request,
                                                HttpResponder& responder) {
  const Caller caller = Identify(request, "");
  const std::string program = Segments(request.path)[2];
  const uint32_t shard =
      ShardOrThrow(program, forwarder_.environment()->document.shards);
  const ProgramView view =
      co_await forwarder_.View(shard, program, caller.team);
  if (!view.outcome.ok()) throw ToRefusal(view.outcome);
  HttpResponse answer{.body = view.json};
  co_await responder.Send(std::move(answer));
}

CallerRoutes::Async<void> CallerRoutes::EndProgram(const HttpRequest& request,
                                                   HttpResponder& responder) {
  const Caller caller = Identify(request, "");
  const std::string program = Segments(request.path)[2];
  const uint32_t shard =
      ShardOrThrow(program, forwarder_.environment()->document.shards);
  const ProgramView view = co_await forwarder_.End(shard, program, caller.team);
  if (!view.outcome.ok()) throw ToRefusal(view.outcome);
  HttpResponse answer{.body = view.json};
  co_await responder.Send(std::move(answer));
}

CallerRoutes::Async<void> CallerRoutes::CallService(const HttpRequest& request,
                                                    HttpResponder& responder) {
  const std::vector<std::string> segments = Segments(request.path);
  CallRequest call;
  call.service = segments[2];
  const Caller caller = Identify(request, call.service);
  const auto environment = forwarder_.environment();
  const Service* service = environment->document.FindService(call.service);
  if (service == nullptr || service->kind != ServiceKind::kPlain) {
    throw Refusal(Reason::kNotFound, RunState::kNotRun,
                  "There is no plain service " + call.service + ".");
  }
  const std::string key = request.Header("idempotency-key");
  if (key.empty() && !service->idempotent) {
    throw Refusal(
        Reason::kIdempotencyKeyMissing, RunState::kNotRun,
        "The service " + call.service + " needs the header Idempotency-Key.");
  }
  if (key.size() > kMaxIdempotencyKeyBytes)
    throw BadField("Idempotency-Key", "is too long");
  const std::string unique =
      key.empty() ? NewRequestId()
                  : caller.team + "/service/" + call.service + "/" + key;
  call.team = caller.team;
  call.single = true;
  call.sequence = 1;
  call.input = request.body;
  call.path = "/" + boost::join(std::vector<std::string>(segments.begin() + 3,
                                                         segments.end()),
                                "/");
  const uint32_t shards = environment->document.shards;
  call.program = ProgramId(ShardOf(unique, shards), unique);
  co_await RunCall(std::move(call), false, request, responder);
}

// A call that was refused because of its team's rate is certain to be refused
// again until the team can earn its next grant, so it is refused here, before
// any other work. This applies only to the same program and sequence number:
// for other calls, this host cannot know that they did not run.
void CallerRoutes::CheckRefusalCache(const CallRequest& call) {
  if (!forwarder_.settings().refusal_cache) return;
  const auto it = refused_until_ms_.find(RefusalCacheKey(call));
  if (it == refused_until_ms_.end()) return;
  const int64_t left_ms = it->second - NowMs();
  if (left_ms <= 0) {
    refused_until_ms_.erase(it);
    return;
  }
  metrics_.Add(Counter::kCachedRefusals);
  throw Refusal(Reason::kRateLimited, RunState::kNotRun,
                "The team " + call.team + " is over its rate.", left_ms);
}

void CallerRoutes::CacheRefusal(const CallRequest& call,
                                const Outcome& outcome) {
  const bool cacheable = outcome.reason == Reason::kRateLimited &&
                         outcome.run == RunState::kNotRun;
  if (!cacheable) return;
  if (refused_until_ms_.size() >= kMaxCachedRefusals) refused_until_ms_.clear();
  refused_until_ms_[RefusalCacheKey(call)] = NowMs() + outcome.retry_after_ms;
}

CallerRoutes::Async<void> CallerRoutes::RunCall(CallRequest call, bool stream,
                                                const HttpRequest& request,
                                                HttpResponder& responder) {
  const uint32_t shard =
      ShardOrThrow(call.program, forwarder_.environment()->document.shards);
  CheckRefusalCache(call);
  call.request_id = NewRequestId();
  if (call.read_only || !call.single) {
    kLog.Debug() << "Request " << call.request_id << " is " << request.method
                 << " " << request.path << ".";
  }
  if (stream) {
    co_await StreamCall(shard, std::move(call), responder);
  } else {
    co_await AnswerCall(shard, std::move(call), responder);
  }
}

CallerRoutes::Async<void> CallerRoutes::AnswerCall(uint32_t shard,
                                                   CallRequest call,
                                                   HttpResponder& responder) {
  const CallReply reply = co_await forwarder_.Call(
      shard, call, [](CallRequest&) {}, PieceSink([](auto...) {}));
  CacheRefusal(call, reply.outcome);
  if (!reply.outcome.ok()) throw ToRefusal(reply.outcome);
  if (reply.unknown) {
    throw Refusal(Reason::kOutcomeUnknown, RunState::kUnknown,
                  "The call may have run; its outcome is not known.");
  }
  HttpResponse answer{.body = ReplyJson(call, reply, true),
                      .headers = {{"X-Request-Id", call.request_id}}};
  if (call.single) {
    answer.status = reply.http_status;
    answer.body = reply.output;
    if (!reply.content_type.empty()) answer.content_type = reply.content_type;
  }
  co_await responder.Send(std::move(answer));
}

CallerRoutes::Async<void> CallerRoutes::ForwardInto(
    std::shared_ptr<Stream> stream, uint32_t shard, CallRequest call) {
  const auto prepare = [stream](CallRequest& request) {
    request.attempt = stream->answer.attempt();
    request.offset = stream->answer.delivered();
  };
  boost::asio::io_context* io = &io_;
  const PieceSink sink = [stream, io](uint32_t attempt, uint64_t offset,
                                      const std::string& text) {
    const std::lock_guard lock(stream->mutex);
    stream->pieces.push_back(
        {.attempt = attempt, .offset = offset, .text = text});
    if (stream->wake_pending) return;
    stream->wake_pending = true;
    boost::asio::post(*io, [stream] { stream->changed.Notify(); });
  };
  try {
    stream->reply = co_await forwarder_.Call(shard, call, prepare, sink);
  } catch (const Refusal& refusal) {
    stream->refusal = refusal;
  }
  stream->done = true;
  stream->changed.Notify();
}

CallerRoutes::Async<void> CallerRoutes::StreamCall(uint32_t shard,
                                                   CallRequest call,
                                                   HttpResponder& responder) {
  auto stream = std::make_shared<Stream>();
  stream->answer = AnswerStream(call.attempt, call.offset);
  Spawn(io_, "entry", ForwardInto(stream, shard, call));
  HttpResponse head{.content_type = "text/event-stream",
                    .headers = {{"X-Request-Id", call.request_id},
                                {"Cache-Control", "no-store"}}};
  const auto output_events = [](const AnswerStream::Output& output,
                                uint32_t attempt) {
    std::string events;
    if (output.restart) events += Event("restart", {{"attempt", attempt}});
    if (!output.text.empty()) {
      events +=
          Event("piece", {{"offset", output.offset}, {"text", output.text}});
    }
    return events;
  };
  for (;;) {
    std::deque<Stream::Piece> pieces;
    {
      const std::lock_guard lock(stream->mutex);
      pieces.swap(stream->pieces);
      stream->wake_pending = false;
    }
    std::string events;
    for (const Stream::Piece& piece : pieces) {
      const AnswerStream::Output output =
          stream->answer.AddPiece(piece.attempt, piece.offset, piece.text);
      events += output_events(output, piece.attempt);
    }
    if (!events.empty()) {
      if (!responder.begun()) co_await responder.Begin(head);
      co_await responder.Write(std::move(events));
    }
    if (stream->done) break;
    if (pieces.empty()) co_await stream->changed.Wait(1'000);
  }
  const CallReply& reply = stream->reply;
  if (stream->refusal) throw Refusal(*stream->refusal);
  CacheRefusal(call, reply.outcome);
  if (!reply.outcome.ok()) throw ToRefusal(reply.outcome);
  if (reply.unknown) {
    throw Refusal(Reason::kOutcomeUnknown, RunState::kUnknown,
                  "The call may have run; its outcome is not known.");
  }
  const AnswerStream::Output rest =
      stream->answer.Finish(reply.attempt, reply.output);
  std::string events = output_events(rest, reply.attempt);
  events += "event: done\ndata: " + ReplyJson(call, reply, false) + "\n\n";
  if (!responder.begun()) co_await responder.Begin(head);
  co_await responder.Write(std::move(events));
  co_await responder.End();
}

}  // namespace pimento
