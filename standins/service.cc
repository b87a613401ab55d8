// Stand-in for a plain service (a till, a booking desk): it runs operations and
// counts how often each one ran.
//
// Switches: delay_ms, refuse (answers 503 without running), hang (runs, then
// says nothing), drop_after (count of calls that run and lose their answer),
// drop_before (count of connections closed without running), truncate (count of
// answers cut short), crossed (count of answers that belong to another call).
#include <map>

#include "src/worker_thread.h"
#include "standins/standin_main.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace pimento;

class Service {
 public:
  explicit Service(standin::Switches& switches) : switches_(switches) {}

  asio::awaitable<void> Handle(const HttpRequest& request,
                               HttpResponder& responder) {
    if (request.path == "/executions") {
      HttpResponse answer{.body = Executions()};
      co_await responder.Send(std::move(answer));
      co_return;
    }
    if (switches_.On("refuse")) {
      HttpResponse answer{.status = 503, .body = "{}"};
      co_await responder.Send(std::move(answer));
      co_return;
    }
    if (switches_.Take("drop_before")) {
      responder.Abort();
      co_return;
    }
    NoteSecrets(request);
    const std::string operation = request.Header("x-operation-id");
    const int64_t run =
        ++executions_[operation.empty() ? request.path : operation];
    ++in_flight_;
    most_in_flight_ = std::max(most_in_flight_, in_flight_);
    co_await Sleep(switches_.Number("delay_ms"));
    --in_flight_;
    if (switches_.On("hang")) co_await Sleep(120'000);
    if (switches_.Take("drop_after")) {
      responder.Abort();
      co_return;
    }
    co_await Reply(request, responder, run);
  }

 private:
  asio::awaitable<void> Reply(const HttpRequest& request,
                              HttpResponder& responder, int64_t run) {
    json::object done = {
        {"path", request.path}, {"run", run}, {"echo", request.body}};
    std::string request_id = request.Header("x-request-id");
    if (switches_.Take("crossed")) {
      request_id = "another-request";
      done["echo"] = "another caller's answer";
    }
    HttpResponse answer{.body = json::serialize(done),
                        .headers = {{"X-Request-Id", request_id}}};
    if (!switches_.Take("truncate")) {
      co_await responder.Send(std::move(answer));
      co_return;
    }
    std::string half = answer.body.substr(0, answer.body.size() / 2);
    co_await responder.Begin(std::move(answer));
    co_await responder.Write(std::move(half));
    responder.Abort();
  }

  void NoteSecrets(const HttpRequest& request) {
    std::string all = request.path + "\n" + request.body;
    for (const auto& [name, value] : request.headers)
      all += "\n" + name + ": " + value;
    if (all.find("key-") != std::string::npos) ++keys_seen_;
  }

  std::string Executions() const {
    json::object runs;
    for (const auto& [operation, count] : executions_) runs[operation] = count;
    const json::object all = {{"operations", runs},
                              {"in_flight", in_flight_},
                              {"most_in_flight", most_in_flight_},
                              {"keys_seen", keys_seen_}};
    return json::serialize(all);
  }

  standin::Switches& switches_;
  std::map<std::string, int64_t> executions_;
  int64_t in_flight_ = 0;
  int64_t most_in_flight_ = 0;
  // Requests in which a caller's key was found. Callers' keys start with
  // "key-".
  int64_t keys_seen_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  pimento::standin::Switches switches({{"delay_ms", 5},
                                       {"refuse", false},
                                       {"hang", false},
                                       {"drop_after", 0},
                                       {"drop_before", 0},
                                       {"truncate", 0},
                                       {"crossed", 0}});
  Service service(switches);
  return pimento::standin::Main(
      argc, argv, "standin-service", switches,
      [&service](boost::asio::io_context&) -> pimento::HttpHandler {
        return [&service](const pimento::HttpRequest& request,
                          pimento::HttpResponder& responder) {
          return service.Handle(request, responder);
        };
      });
}
