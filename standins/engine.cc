// Stand-in for a model engine: continuous batching, a prompt prefix cache in
// limited memory, streams that can be resumed and cancelled, session memory
// that stays until released, and a cold start that collapses under full load.
//
// The text of an answer is a function of the session and the prompt, so that a
// caller can tell a whole answer from a broken or crossed one.
//
// Switches: token_ms, batch_slowdown_pct (for each stream beyond the first),
// prefill_tokens_per_ms, cache_tokens, cold (starts a cold start now), cold_ms,
// cold_bears (streams borne while cold), silent (count of streams that say
// nothing), break_streams (count of streams cut in the middle), crossed (count
// of answers with another request's id), fencing (honours fencing numbers),
// resume_ms (how long a stream outlives its connection).
#include <algorithm>
#include <iostream>
#include <list>
#include <map>
#include <memory>

#include "src/worker_thread.h"
#include "standins/standin_main.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace pimento;

constexpr size_t kBytesPerToken = 4;

struct Stream {
  std::string session;
  std::vector<std::string> tokens;
  size_t made = 0;
  int64_t cached_tokens = 0;
  bool cancelled = false;
  int64_t opened_ms = 0;
  int64_t left_ms = 0;  // when its connection went, or 0
};

struct Session {
  std::string prefix;
  uint64_t fence = 0;
  bool released = false;
  int64_t used_ms = 0;
};

std::vector<std::string> MakeTokens(const std::string& session,
                                    const std::string& prompt, int64_t count) {
  const size_t seed = std::hash<std::string>{}(session + "\n" + prompt);
  std::vector<std::string> tokens;
  for (int64_t i = 0; i < count; ++i) {
    tokens.push_back(
        "w" + std::to_string((seed + static_cast<size_t>(i) * 7919) % 1000) +
        " ");
  }
  return tokens;
}

class Engine {
 public:
  Engine(standin::Switches& switches, asio::io_context& io)
      : switches_(switches),
        io_(io),
        cold_until_ms_(NowMs() + switches.Number("cold_ms")) {}

  asio::awaitable<void> Handle(const HttpRequest& request,
                               HttpResponder& responder) {
    if (request.path == "/v1/generate") {
      co_await Generate(request, responder);
      co_return;
    }
    HttpResponse answer = Answer(request);
    co_await responder.Send(std::move(answer));
  }

 private:
  HttpResponse Answer(const HttpRequest& request) {
    if (request.path == "/load") return {.body = Load()};
    if (request.path.starts_with("/v1/sessions/")) return Release(request);
    if (request.path.starts_with("/v1/streams/")) return Cancel(request);
    return {.status = 404, .body = "{}"};
  }

  bool Cold() {
    if (switches_.Take("cold")) Chill();
    return NowMs() < cold_until_ms_;
  }

  // Starts over: everything in memory is lost.
  void Chill() {
    cold_from_ms_ = NowMs();
    cold_until_ms_ = cold_from_ms_ + switches_.Number("cold_ms");
    for (auto& [id, stream] : streams_) stream->cancelled = true;
    streams_.clear();
    for (auto& [id, session] : sessions_) session.prefix.clear();
  }

  // A session's memory is taken by the first order and freed by a release.
  bool Fenced(Session& session, uint64_t fence) const {
    if (!switches_.On("fencing")) return false;
    if (fence < session.fence) return true;
    session.fence = fence;
    return false;
  }

  // When the cold start began and what came since, milliseconds ago.
  void SayCollapse() const {
    std::cout << "collapse: cold for " << NowMs() - cold_from_ms_
              << " ms; running since, ms:";
    for (const auto& [id, stream] : streams_) {
      if (!stream->cancelled)
        std::cout << " " << NowMs() - stream->opened_ms << "(" << stream->made
                  << " tokens)";
    }
    std::cout << std::endl;
  }

  HttpResponse Release(const HttpRequest& request) {
    const std::string rest =
        request.path.substr(std::string("/v1/sessions/").size());
    const std::string id = rest.substr(0, rest.find('/'));
    const json::value order = json::parse(request.body);
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) return {.body = "{}"};
    if (Fenced(it->second, order.at("fence").to_number<uint64_t>())) {
      return {.status = 409, .body = R"({"error":"old fencing number"})"};
    }
    for (auto& [stream_id, stream] : streams_) {
      if (stream->session == id) stream->cancelled = true;
    }
    it->second.prefix.clear();
    it->second.released = true;
    return {.body = "{}"};
  }

  HttpResponse Cancel(const HttpRequest& request) {
    const std::string rest =
        request.path.substr(std::string("/v1/streams/").size());
    const auto it = streams_.find(rest.substr(0, rest.rfind('/')));
    if (it != streams_.end()) it->second->cancelled = true;
    return {.body = "{}"};
  }

  size_t Running() const {
    return static_cast<size_t>(
        std::count_if(streams_.begin(), streams_.end(), [](const auto& entry) {
          return !entry.second->cancelled &&
                 entry.second->made < entry.second->tokens.size();
        }));
  }

  asio::awaitable<void> Generate(const HttpRequest& request,
                                 HttpResponder& responder) {
    const json::value order = json::parse(request.body);
    const std::string stream_id = order.at("stream").as_string().c_str();
    const std::string session_id = order.at("session").as_string().c_str();
    const auto fence = order.at("fence").to_number<uint64_t>();
    const bool resume = order.at("resume").as_bool();
    const bool known =
        streams_.contains(stream_id) && !streams_[stream_id]->cancelled;
    if (resume && !known) {
      HttpResponse answer{.status = 404,
                          .body = R"({"error":"no such stream"})"};
      co_await responder.Send(std::move(answer));
      co_return;
    }
    const bool cold = Cold();
    // A collapse: more than it bears while cold, and the cold start begins
    // anew.
    if (cold && !resume &&
        Running() >= static_cast<size_t>(switches_.Number("cold_bears"))) {
      ++collapses_;
      SayCollapse();
      Chill();
      HttpResponse answer{.status = 503, .body = R"({"error":"collapsed"})"};
      co_await responder.Send(std::move(answer));
      co_return;
    }
    Session& session = sessions_[session_id];
    if (Fenced(session, fence)) {
      HttpResponse answer{.status = 409,
                          .body = R"({"error":"old fencing number"})"};
      co_await responder.Send(std::move(answer));
      co_return;
    }
    ++started_;
    session.released = false;
    session.used_ms = NowMs();
    const std::shared_ptr<Stream> stream =
        Open(stream_id, session_id, order, resume);
    most_running_ =
        std::max<int64_t>(most_running_, static_cast<int64_t>(Running()));
    if (switches_.Take("silent")) {
      co_await Sleep(120'000);
      co_return;
    }
    co_await Send(request, responder, stream);
  }

  std::shared_ptr<Stream> Open(const std::string& stream_id,
                               const std::string& session_id,
                               const json::value& order, bool resume) {
    if (resume) {
      const std::shared_ptr<Stream>& stream = streams_.at(stream_id);
      stream->left_ms = 0;
      ++resumed_;
      return stream;
    }
    const std::string prompt = order.at("prompt").as_string().c_str();
    auto stream = std::make_shared<Stream>();
    stream->session = session_id;
    stream->opened_ms = NowMs();
    stream->tokens = MakeTokens(session_id, prompt,
                                order.at("max_tokens").to_number<int64_t>());
    stream->cached_tokens = TakeCached(session_id, prompt);
    streams_[stream_id] = stream;
    const auto fresh = static_cast<int64_t>(prompt.size() / kBytesPerToken) -
                       stream->cached_tokens;
    prefilled_ += fresh;
    cached_ += stream->cached_tokens;
    asio::co_spawn(io_, Produce(stream_id, stream, fresh, prompt),
                   asio::detached);
    return stream;
  }

  // Makes tokens at the batch's pace, whether or not somebody reads them.
  asio::awaitable<void> Produce(std::string stream_id,
                                std::shared_ptr<Stream> stream,
                                int64_t fresh_tokens, std::string prompt) {
    const int64_t slow = NowMs() < cold_until_ms_ ? 4 : 1;
    co_await Sleep(
        slow * fresh_tokens /
        std::max<int64_t>(1, switches_.Number("prefill_tokens_per_ms")));
    while (stream->made < stream->tokens.size() && !stream->cancelled) {
      const auto others = static_cast<int64_t>(Running()) - 1;
      const int64_t pct = 100 + others * switches_.Number("batch_slowdown_pct");
      co_await Sleep(slow * std::max<int64_t>(
                                1, switches_.Number("token_ms") * pct / 100));
      ++stream->made;
      const bool left = stream->left_ms != 0;
      if (left && NowMs() - stream->left_ms > switches_.Number("resume_ms")) {
        stream->cancelled = true;
      }
    }
    if (!stream->cancelled) Keep(stream->session, prompt + Joined(*stream));
    co_await Sleep(switches_.Number("resume_ms"));
    const auto it = streams_.find(stream_id);
    if (it != streams_.end() && it->second == stream) streams_.erase(it);
  }

  static std::string Joined(const Stream& stream) {
    std::string text;
    for (const std::string& token : stream.tokens) text += token;
    return text;
  }

  int64_t TakeCached(const std::string& session_id, const std::string& prompt) {
    const Session& session = sessions_[session_id];
    const bool hit =
        !session.prefix.empty() && prompt.starts_with(session.prefix);
    return hit ? static_cast<int64_t>(session.prefix.size() / kBytesPerToken)
               : 0;
  }

  // Keeps a prefix, and drops the least recently used ones over the limit.
  void Keep(const std::string& session_id, const std::string& prefix) {
    Session& session = sessions_[session_id];
    if (session.released) return;
    session.prefix = prefix;
    for (;;) {
      size_t total = 0;
      Session* oldest = nullptr;
      for (auto& [id, other] : sessions_) {
        total += other.prefix.size() / kBytesPerToken;
        const bool candidate = !other.prefix.empty() && id != session_id;
        if (candidate && (oldest == nullptr || other.used_ms < oldest->used_ms))
          oldest = &other;
      }
      if (total <= static_cast<size_t>(switches_.Number("cache_tokens")))
        return;
      if (oldest == nullptr) return;
      oldest->prefix.clear();
    }
  }

  asio::awaitable<void> Send(const HttpRequest& request,
                             HttpResponder& responder,
                             std::shared_ptr<Stream> kept) {
    Stream& stream = *kept;
    std::string request_id = request.Header("x-request-id");
    if (switches_.Take("crossed")) request_id = "another-request";
    HttpResponse head{.content_type = "text/event-stream",
                      .headers = {{"X-Request-Id", request_id}}};
    const bool breaks = switches_.Take("break_streams");
    size_t sent = 0;
    try {
      co_await responder.Begin(std::move(head));
      while (sent < stream.tokens.size() && !stream.cancelled) {
        if (breaks && sent >= stream.tokens.size() / 2) {
          responder.Abort();
          stream.left_ms = NowMs();
          co_return;
        }
        if (sent >= stream.made) {
          co_await Sleep(1);
          continue;
        }
        const json::object event = {{"i", sent}, {"t", stream.tokens[sent]}};
        ++sent;
        co_await responder.Write("data: " + json::serialize(event) + "\n\n");
      }
      if (stream.cancelled) {
        responder.Abort();
        co_return;
      }
      const json::object done = {{"done", true},
                                 {"tokens", stream.tokens.size()},
                                 {"cached", stream.cached_tokens}};
      co_await responder.Write("data: " + json::serialize(done) + "\n\n");
      co_await responder.End();
    } catch (const std::exception&) {
      stream.left_ms = NowMs();
    }
  }

  std::string Load() {
    int64_t held = 0;
    for (const auto& [id, session] : sessions_)
      held += session.released ? 0 : 1;
    const json::object load = {
        {"running", Running()},    {"sessions", held},
        {"collapses", collapses_}, {"most_running", most_running_},
        {"prefilled", prefilled_}, {"cached", cached_},
        {"resumed", resumed_},     {"started", started_},
        {"cold", Cold()}};
    return json::serialize(load);
  }

  standin::Switches& switches_;
  asio::io_context& io_;
  std::map<std::string, std::shared_ptr<Stream>> streams_;
  std::map<std::string, Session> sessions_;
  int64_t cold_until_ms_;
  int64_t cold_from_ms_ = 0;
  int64_t collapses_ = 0;
  int64_t most_running_ = 0;
  int64_t prefilled_ = 0;
  int64_t cached_ = 0;
  int64_t resumed_ = 0;
  int64_t started_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  pimento::standin::Switches switches({{"token_ms", 2},
                                       {"batch_slowdown_pct", 5},
                                       {"prefill_tokens_per_ms", 20},
                                       {"cache_tokens", 200'000},
                                       {"cold", 0},
                                       {"cold_ms", 1000},
                                       {"cold_bears", 2},
                                       {"silent", 0},
                                       {"break_streams", 0},
                                       {"crossed", 0},
                                       {"fencing", true},
                                       {"resume_ms", 5000}});
  std::unique_ptr<Engine> engine;
  return pimento::standin::Main(
      argc, argv, "standin-engine", switches,
      [&](boost::asio::io_context& io) -> pimento::HttpHandler {
        engine = std::make_unique<Engine>(switches, io);
        return [&engine](const pimento::HttpRequest& request,
                         pimento::HttpResponder& responder) {
          return engine->Handle(request, responder);
        };
      });
}
