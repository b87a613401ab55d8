// Stand-in for the platform's service: an object API with versions, conditional
// updates and watches, a lagging list of hosts, and an account of every call.
//
// Switches: down, slow_ms, lose_answers (count of writes whose answer is lost
// after the write took effect), watch_silent, hosts_lag_ms, writes_per_s,
// reads_per_s.
#include <deque>
#include <map>

#include "src/worker_thread.h"
#include "standins/standin_main.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace pimento;

constexpr size_t kMostBytes = 1024 * 1024;
constexpr int64_t kHostLifeMs = 600'000;

struct Object {
  uint64_t version = 0;
  std::string body;
};

struct RegisteredHost {
  std::string rpc_address;
  bool leaving = false;
  int64_t seen_ms = 0;
};

// Counts calls in the present second.
class SecondMeter {
 public:
  bool Allow(int64_t limit) {
    const int64_t second = NowMs() / 1000;
    if (second != second_) count_ = 0;
    second_ = second;
    return ++count_ <= limit;
  }

 private:
  int64_t second_ = 0;
  int64_t count_ = 0;
};

class Platform {
 public:
  explicit Platform(standin::Switches& switches) : switches_(switches) {}

  asio::awaitable<void> Handle(const HttpRequest& request,
                               HttpResponder& responder) {
    if (request.path == "/calls") {
      const json::object calls = {
          {"reads", reads_}, {"writes", writes_}, {"refused", refused_}};
      HttpResponse answer{.body = json::serialize(calls)};
      co_await responder.Send(answer);
      co_return;
    }
    if (switches_.On("down")) {
      responder.Abort();
      co_return;
    }
    if (switches_.Number("slow_ms") > 0)
      co_await Sleep(switches_.Number("slow_ms"));
    if (!Admit(request.method == "PUT" || request.method == "DELETE")) {
      HttpResponse answer{.status = 429, .body = "{}"};
      co_await responder.Send(answer);
      co_return;
    }
    if (request.path.starts_with("/watch/")) {
      co_await Watch(request, responder);
      co_return;
    }
    HttpResponse answer = Answer(request);
    const bool write =
        request.method == "PUT" && request.path.starts_with("/objects/");
    if (write && answer.status == 200 && switches_.Take("lose_answers")) {
      responder.Abort();
      co_return;
    }
    co_await responder.Send(std::move(answer));
  }

 private:
  bool Admit(bool write) {
    ++(write ? writes_ : reads_);
    SecondMeter& meter = write ? write_meter_ : read_meter_;
    const bool allowed =
        meter.Allow(switches_.Number(write ? "writes_per_s" : "reads_per_s"));
    if (!allowed) ++refused_;
    return allowed;
  }

  HttpResponse Answer(const HttpRequest& request) {
    if (request.path == "/hosts") return Hosts();
    if (request.path.starts_with("/hosts/")) return Register(request);
    if (request.path == "/list") return List(request.Query("prefix"));
    if (!request.path.starts_with("/objects/"))
      return {.status = 404, .body = "{}"};
    const std::string name =
        request.path.substr(std::string("/objects/").size());
    if (request.method == "PUT") return Put(name, request);
    if (request.method == "DELETE")
      return {.status = objects_.erase(name) > 0 ? 200 : 404};
    return Get(name);
  }

  HttpResponse Get(const std::string& name) const {
    const auto it = objects_.find(name);
    if (it == objects_.end()) return {.status = 404, .body = "{}"};
    return {.body = it->second.body,
            .content_type = "application/octet-stream",
            .headers = {{"X-Version", std::to_string(it->second.version)}}};
  }

  HttpResponse Put(const std::string& name, const HttpRequest& request) {
    if (request.body.size() > kMostBytes) return {.status = 413, .body = "{}"};
    const auto it = objects_.find(name);
    const uint64_t present = it == objects_.end() ? 0 : it->second.version;
    const std::string match = request.Header("if-match");
    if (match != std::to_string(present)) {
      return {.status = 409,
              .body = "{}",
              .headers = {{"X-Version", std::to_string(present)}}};
    }
    objects_[name] = {.version = ++revision_, .body = request.body};
    return {.body = "{}",
            .headers = {{"X-Version", std::to_string(revision_)}}};
  }

  HttpResponse List(const std::string& prefix) const {
    json::array found;
    for (auto it = objects_.lower_bound(prefix); it != objects_.end(); ++it) {
      if (!it->first.starts_with(prefix)) break;
      found.push_back({{"name", it->first}, {"version", it->second.version}});
    }
    return {.body = json::serialize(found)};
  }

  HttpResponse Hosts() {
    const int64_t now_ms = NowMs();
    const int64_t shown_ms = now_ms - switches_.Number("hosts_lag_ms");
    json::array shown;
    for (const auto& [name, host] : hosts_) {
      const bool gone = shown_ms - host.seen_ms > kHostLifeMs;
      if (gone || first_seen_[name] > shown_ms) continue;
      shown.push_back({{"host", name},
                       {"rpc_address", host.rpc_address},
                       {"leaving", host.leaving}});
    }
    return {.body = json::serialize(shown)};
  }

  HttpResponse Register(const HttpRequest& request) {
    const std::string name = request.path.substr(std::string("/hosts/").size());
    const json::value body = json::parse(request.body);
    hosts_[name] = {.rpc_address = body.at("rpc_address").as_string().c_str(),
                    .leaving = body.at("leaving").as_bool(),
                    .seen_ms = NowMs()};
    first_seen_.emplace(name, NowMs());
    return {.body = "{}"};
  }

  asio::awaitable<void> Watch(const HttpRequest& request,
                              HttpResponder& responder) {
    const std::string name = request.path.substr(std::string("/watch/").size());
    const uint64_t after = std::stoull(request.Query("after", "0"));
    const int64_t until_ms =
        NowMs() + std::stoll(request.Query("wait_ms", "0"));
    for (;;) {
      const bool silent = switches_.On("watch_silent");
      const auto it = objects_.find(name);
      if (!silent && it != objects_.end() && it->second.version > after) {
        HttpResponse answer = Get(name);
        co_await responder.Send(std::move(answer));
        co_return;
      }
      if (!silent && NowMs() >= until_ms) break;
      if (silent && NowMs() >= until_ms + 60'000) break;
      co_await Sleep(20);
    }
    HttpResponse answer{.status = 204};
    co_await responder.Send(std::move(answer));
  }

  standin::Switches& switches_;
  std::map<std::string, Object> objects_;
  std::map<std::string, RegisteredHost> hosts_;
  std::map<std::string, int64_t> first_seen_;
  uint64_t revision_ = 0;
  int64_t reads_ = 0;
  int64_t writes_ = 0;
  int64_t refused_ = 0;
  SecondMeter read_meter_;
  SecondMeter write_meter_;
};

}  // namespace

int main(int argc, char** argv) {
  pimento::standin::Switches switches({{"down", false},
                                       {"slow_ms", 0},
                                       {"lose_answers", 0},
                                       {"watch_silent", false},
                                       {"hosts_lag_ms", 500},
                                       {"writes_per_s", 400},
                                       {"reads_per_s", 2000}});
  Platform platform(switches);
  return pimento::standin::Main(
      argc, argv, "standin-platform", switches,
      [&platform](boost::asio::io_context&) -> pimento::HttpHandler {
        return [&platform](const pimento::HttpRequest& request,
                           pimento::HttpResponder& responder) {
          return platform.Handle(request, responder);
        };
      });
}
