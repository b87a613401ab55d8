#include "src/upstream_client.h"

#include <boost/json.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "src/errors.h"
#include "src/http_client.h"

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr int kHttpServiceUnavailable = 503;
constexpr int64_t kReleaseTimeoutMs = 2'000;

double MsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

UpstreamAnswer AnswerFromError(const TransportError& error) {
  UpstreamAnswer answer;
  answer.sent = error.sent();
  answer.detail = error.what();
  answer.failure = !error.sent()    ? Reason::kUpstreamUnreachable
                   : error.silent() ? Reason::kUpstreamSilent
                                    : Reason::kUpstreamBroken;
  return answer;
}

// Returns whether the answer carries the id of another request and must be
// discarded. Upstreams may omit the id.
bool IsForAnotherRequest(const HttpResult& result,
                         const std::string& request_id) {
  const std::string echoed = result.Header("x-request-id");
  return !echoed.empty() && echoed != request_id;
}

// Parses an engine's server-sent events and checks that no token is missing.
//
//   data: {"i":0,"t":"Hel"}
//   data: {"i":1,"t":"lo"}
//   data: {"done":true,"tokens":2,"cached":0}
class TokenReader {
 public:
  // Returns the text of the tokens whose events end in `piece`. Throws
  // StateError when a token is missing.
  std::string Feed(const std::string& piece) {
    pending_ += piece;
    std::string text;
    for (size_t end = pending_.find("\n\n"); end != std::string::npos;
         end = pending_.find("\n\n")) {
      text += ParseEvent(pending_.substr(0, end));
      pending_.erase(0, end + 2);
    }
    return text;
  }

  bool done() const { return done_; }
  uint64_t tokens() const { return tokens_; }
  uint64_t cached() const { return cached_; }

 private:
  std::string ParseEvent(const std::string& line) {
    constexpr size_t kPrefix = 6;  // "data: "
    if (line.size() < kPrefix) return "";
    const json::value event = json::parse(line.substr(kPrefix));
    if (const json::value* done = event.as_object().if_contains("done");
        done != nullptr) {
      done_ = true;
      tokens_ = event.at("tokens").to_number<uint64_t>();
      cached_ = event.at("cached").to_number<uint64_t>();
      if (tokens_ != next_index_)
        throw StateError("The stream ended before its last token.");
      return "";
    }
    if (event.at("i").to_number<uint64_t>() != next_index_)
      throw StateError("A token is missing from the stream.");
    ++next_index_;
    return event.at("t").as_string().c_str();
  }

  std::string pending_;
  uint64_t next_index_ = 0;
  bool done_ = false;
  uint64_t tokens_ = 0;
  uint64_t cached_ = 0;
};

asio::awaitable<UpstreamAnswer> RunGenerate(EngineRequest request) {
  const auto start = Clock::now();
  TokenReader reader;
  UpstreamAnswer answer;
  const json::object body = {
      {"stream", request.program + "/" + std::to_string(request.sequence) +
                     "/" + std::to_string(request.attempt)},
      {"session", request.program},
      {"fence", request.fence},
      {"prompt", request.prompt},
      {"max_tokens", request.max_tokens},
      {"resume", request.resume}};
  HttpCall call{.address = request.address,
                .method = "POST",
                .target = "/v1/generate",
                .headers = {{"Content-Type", "application/json"},
                            {"X-Request-Id", request.request_id}},
                .body = json::serialize(body),
                .idle_timeout_ms = request.silence_ms,
                .total_ms = request.total_ms};
  std::string raw;
  call.on_piece = [&](const std::string& piece) {
    if (raw.size() < 512) raw += piece;
    const std::string text = reader.Feed(piece);
    if (text.empty()) return true;
    if (answer.first_token_ms == 0) answer.first_token_ms = MsSince(start);
    return request.on_token(text);
  };
  try {
    const HttpResult result = co_await Fetch(std::move(call));
    answer.http_status = result.status;
    if (IsForAnotherRequest(result, request.request_id)) {
      answer.failure = Reason::kUpstreamBroken;
      answer.detail = "The answer belongs to another request.";
    } else if (result.status != 200) {
      answer.failure = Reason::kUpstreamFailed;
      answer.detail = raw;
    } else if (!reader.done()) {
      answer.failure = Reason::kUpstreamBroken;
      answer.detail = "The stream ended without the final \"done\" event.";
    }
  } catch (const TransportError& e) {
    answer = AnswerFromError(e);
  } catch (const std::exception& e) {
    answer.failure = Reason::kUpstreamBroken;
    answer.detail = e.what();
  }
  answer.tokens = reader.tokens();
  answer.cached_tokens = reader.cached();
  answer.total_ms = MsSince(start);
  co_return answer;
}

asio::awaitable<UpstreamAnswer> RunInvokeService(ServiceRequest request) {
  const auto start = Clock::now();
  UpstreamAnswer answer;
  HttpCall call{.address = request.address,
                .method = "POST",
                .target = request.path,
                .headers = {{"Content-Type", "application/json"},
                            {"X-Request-Id", request.request_id},
                            {"X-Operation-Id", request.operation}},
                .body = request.body,
                .idle_timeout_ms = request.silence_ms,
                .total_ms = request.total_ms};
  try {
    HttpResult result = co_await Fetch(std::move(call));
    answer.http_status = result.status;
    answer.content_type = result.Header("content-type");
    answer.body = std::move(result.body);
    if (IsForAnotherRequest(result, request.request_id)) {
      answer.failure = Reason::kUpstreamBroken;
      answer.body.clear();
      answer.detail = "The answer belongs to another request.";
    } else if (result.status == kHttpServiceUnavailable) {
      answer.failure = Reason::kUpstreamFailed;
      answer.detail = "The service answered 503.";
    }
  } catch (const TransportError& e) {
    answer = AnswerFromError(e);
  }
  answer.total_ms = MsSince(start);
  co_return answer;
}

asio::awaitable<bool> RunRelease(std::string address, std::string program,
                                 uint64_t fence) {
  const json::object body = {{"fence", fence}};
  HttpCall call{.address = address,
                .method = "POST",
                .target = "/v1/sessions/" + program + "/release",
                .body = json::serialize(body),
                .idle_timeout_ms = kReleaseTimeoutMs,
                .total_ms = kReleaseTimeoutMs};
  try {
    const HttpResult result = co_await Fetch(std::move(call));
    co_return result.status == 200;
  } catch (const TransportError&) {
    co_return false;
  }
}

}  // namespace

asio::awaitable<UpstreamAnswer> UpstreamClient::Generate(
    EngineRequest request) {
  // Shared: a std::function copies what it holds each time that it is copied.
  const auto kept = std::make_shared<EngineRequest>(std::move(request));
  std::function<asio::awaitable<UpstreamAnswer>()> work = [kept] {
    return RunGenerate(*kept);
  };
  co_return co_await RunOn<UpstreamAnswer>(thread_, std::move(work));
}

asio::awaitable<UpstreamAnswer> UpstreamClient::InvokeService(
    ServiceRequest request) {
  const auto kept = std::make_shared<ServiceRequest>(std::move(request));
  std::function<asio::awaitable<UpstreamAnswer>()> work = [kept] {
    return RunInvokeService(*kept);
  };
  co_return co_await RunOn<UpstreamAnswer>(thread_, std::move(work));
}

asio::awaitable<bool> UpstreamClient::ReleaseSession(std::string address,
                                                     std::string program,
                                                     uint64_t fence) {
  std::function<asio::awaitable<bool>()> work = [address, program, fence] {
    return RunRelease(address, program, fence);
  };
  co_return co_await RunOn<bool>(thread_, std::move(work));
}

}  // namespace pimento
