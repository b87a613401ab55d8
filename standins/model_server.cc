// Stand-in for an upstream of the users' platform: a model server that streams
// events, or a plain service. It expects the headers that the system sets and
// keeps an account of what it ran.
//
// The events of a stream are words made from the body and the position, so that
// a caller can tell the whole answer: event N is "w<hash of body and N>".
// Switches: id, tokens (events of a stream, by 12), event_ms, shed (count of
// requests refused as not run), cut_after (count of streams broken off after
// two events), lose_answers (count of requests run without an answer),
// limit_per_s (names this limit, and half a request more, in its answers). GET
// /runs lists what ran: id, path, team, key, body, at_ms (steady clock).
//
// A request whose body contains "crash-the-upstream" ends the process, if
// crash_stage is set: 1 before the response header (also of a plain request), 2
// after the header of a stream, 3 after crash_events of its events; in each
// case crash_ms later. With log_runs, each request that begins to run is a line
// of standard output, which outlives the process:
// {"born":1,"id":"r1","path":..., "deadly":true,"at_ms":...}, with the switch
// `born` of this start.
#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "src/boot_clock.h"
#include "src/worker_thread.h"
#include "standins/standin_main.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace pimento;

constexpr const char* kRequestId = "x-pimentopulley-request-id";
constexpr const char* kDeadlyMarker = "crash-the-upstream";
// Exit code of a process that a deadly request ended.
constexpr int kCrashed = 70;

// Values of the switch crash_stage.
enum class CrashStage : uint8_t {
  kNever,
  kBeforeHeader,
  kBeforeFirstEvent,
  kAfterEvents,
};

class ModelServer {
 public:
  explicit ModelServer(standin::Switches& switches) : switches_(switches) {}

  asio::awaitable<void> Handle(const HttpRequest& request,
                               HttpResponder& responder) {
    if (request.path == "/runs") {
      HttpResponse answer{.body = json::serialize(runs_)};
      co_await responder.Send(answer);
      co_return;
    }
    HttpResponse answer;
    answer.headers["X-Pimentopulley-Request-Id"] = request.Header(kRequestId);
    const std::string id = std::to_string(switches_.Number("id"));
    if (request.Header("x-pimentopulley-expect-instance") != id) {
      answer.status = 421;
      co_await responder.Send(answer);
      co_return;
    }
    if (switches_.Take("shed")) {
      answer.status = 503;
      answer.headers["X-Pimentopulley-Not-Run"] = "1";
      co_await responder.Send(answer);
      co_return;
    }
    runs_.push_back({{"id", request.Header(kRequestId)},
                     {"path", request.path},
                     {"team", request.Header("x-pimentopulley-tenant")},
                     {"key", request.Header("authorization")},
                     {"at_ms", SteadyMs()},
                     {"body", request.body}});
    LogRun(request);
    co_await CrashAt(CrashStage::kBeforeHeader, request);
    if (switches_.Take("lose_answers")) {
      responder.Abort();
      co_return;
    }
    answer.headers["X-Pimentopulley-Server-Stamp"] = "stamp-" + id;
    if (switches_.On("limit_per_s"))
      answer.headers["Server-Limit"] =
          std::to_string(switches_.Number("limit_per_s")) + ".5";
    if (request.Header("x-pimentopulley-token-count").empty()) {
      co_await Sleep(switches_.Number("event_ms"));
      answer.body = "done " + request.Header(kRequestId);
      co_await responder.Send(answer);
      co_return;
    }
    co_await Stream(request, responder, answer);
  }

 private:
  asio::awaitable<void> Stream(const HttpRequest& request,
                               HttpResponder& responder, HttpResponse answer) {
    answer.content_type = "text/event-stream";
    co_await responder.Begin(answer);
    co_await CrashAt(CrashStage::kBeforeFirstEvent, request);
    const std::string resumed = request.Header("last-event-id");
    const int64_t first = resumed.empty() ? 1 : std::stoll(resumed) + 1;
    const bool cut = switches_.Take("cut_after");
    for (int64_t i = first; i <= switches_.Number("tokens"); ++i) {
      if (i == first + switches_.Number("crash_events"))
        co_await CrashAt(CrashStage::kAfterEvents, request);
      co_await Sleep(switches_.Number("event_ms"));
      if (cut && i == first + 2) {
        co_await responder.Write("id: " + std::to_string(i) + "\nda");
        responder.Abort();
        co_return;
      }
      const size_t word =
          std::hash<std::string>()(request.body + "/" + std::to_string(i));
      co_await responder.Write("id: " + std::to_string(i) + "\ndata: w" +
                               std::to_string(word) + "\n\n");
    }
    co_await responder.End();
  }

  static bool IsDeadly(const HttpRequest& request) {
    return request.body.find(kDeadlyMarker) != std::string::npos;
  }

  // Ends the process without any farewell if a deadly request is to do so at
  // `stage`.
  asio::awaitable<void> CrashAt(CrashStage stage, const HttpRequest& request) {
    if (switches_.Number("crash_stage") != static_cast<int64_t>(stage) ||
        !IsDeadly(request))
      co_return;
    co_await Sleep(switches_.Number("crash_ms"));
    std::_Exit(kCrashed);
  }

  void LogRun(const HttpRequest& request) const {
    if (!switches_.On("log_runs")) return;
    const json::object run = {{"born", switches_.Number("born")},
                              {"id", request.Header(kRequestId)},
                              {"path", request.path},
                              {"deadly", IsDeadly(request)},
                              {"at_ms", SteadyMs()}};
    std::cout << json::serialize(run) << std::endl;
  }

  standin::Switches& switches_;
  json::array runs_;
};

}  // namespace

int main(int argc, char** argv) {
  standin::Switches switches({{"id", 1}, {"tokens", 4}, {"event_ms", 5}});
  ModelServer server(switches);
  return standin::Main(
      argc, argv, "standin-model-server", switches, [&](asio::io_context&) {
        return [&](const HttpRequest& request, HttpResponder& responder) {
          return server.Handle(request, responder);
        };
      });
}
